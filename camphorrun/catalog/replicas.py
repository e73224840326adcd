"""Replicas, as registered in the metadata store."""

from dataclasses import dataclass, field
from enum import Enum

# One start of a replica: identifier, and start time in Unix milliseconds.
Boot = tuple[str, int]


class ReplicaState(Enum):
    """State of a replica; only a ``READY`` one accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Load and speed of a replica, as it reports them in an answer.

    Attributes
    ----------
    running, waiting : int
        Requests of all gateways that the replica runs, and that wait there.
    slots : int
        Number of requests that the replica runs at the same time.
    slowdown : float
        Time that work takes on the host at the moment, as a multiple of the usual one;
        1 if the replica does not report it.
    reports_speed : bool
        Whether the replica reports the slowdown.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    reports_speed: bool = False


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
    sequence : int
        Number of the registration; it rises with each one of a start. Registrations
        that differ in nothing else are equal.
    restarts : int
        Starts that this gateway has noticed by the sequence, if the replica tells no
        start time.
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
    sequence: int = field(default=0, compare=False)
    restarts: int = 0

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
