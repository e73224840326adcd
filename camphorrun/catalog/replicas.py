"""Replicas as they register themselves."""

from dataclasses import dataclass
from enum import Enum


class ReplicaState(Enum):
    """Whether a replica takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Replica:
    """One registration.

    ``identifier`` names one start of the replica, with ``started_ms`` in the cases in
    which a replica starts again under its old name.
    """

    identifier: str
    service: str
    address: str
    availability_zone: str
    slots: int
    state: ReplicaState
    started_ms: int = 0
    cold_remaining_s: float = 0.0

    @property
    def boot(self) -> tuple[str, int]:
        """Identity of this start."""
        return self.identifier, self.started_ms

    @property
    def host(self) -> str:
        """IP address."""
        return self.address.rpartition(":")[0]

    @property
    def port(self) -> int:
        """TCP port."""
        return int(self.address.rpartition(":")[2])
