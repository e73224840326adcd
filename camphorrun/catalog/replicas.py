"""Replicas, as registered in the metadata store."""

from dataclasses import dataclass
from enum import Enum

# One start of a replica: identifier, and start time in Unix milliseconds.
Boot = tuple[str, int]


class ReplicaState(Enum):
    """State of a replica; only a ``READY`` one accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Replica:
    """Registration of one replica.

    Attributes
    ----------
    slots : int
        Number of requests that the replica runs at the same time.
    started_ms : int
        Start time in Unix milliseconds. It distinguishes the starts of a replica that
        restarts under the same identifier.
    cold_remaining_s : float
        Seconds until the replica has finished its warm-up.
    version : str
        Version of the replica's software, not of its model; versions have no order.
        What two versions write doesn't fit together.
    """

    identifier: str
    service: str
    address: str
    availability_zone: str
    slots: int
    state: ReplicaState
    started_ms: int = 0
    cold_remaining_s: float = 0.0
    version: str = ""

    @property
    def boot(self) -> Boot:
        """Identifier and start time, which together identify one start of a replica."""
        return self.identifier, self.started_ms

    @property
    def host(self) -> str:
        """IP address of ``address``."""
        return self.address.rpartition(":")[0]

    @property
    def port(self) -> int:
        """TCP port of ``address``."""
        return int(self.address.rpartition(":")[2])
