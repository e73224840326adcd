"""Starts of replicas, as their registrations tell them."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from ..catalog import Replica, ReplicaState

# Replicas that are remembered, also removed ones. The oldest are forgotten first.
MAX_REPLICAS = 4096


@dataclass(slots=True)
class _Start:
    """Latest start of a replica.

    Attributes
    ----------
    started_ms : int
        Start time in Unix milliseconds, 0 if the replica tells none.
    era, sequence : int
        Highest number of its registrations, in an era of the store.
    restarts : int
        Starts without a time that were noticed.
    """

    started_ms: int = 0
    era: int = 0
    sequence: int = 0
    restarts: int = 0


class ReplicaStarts:
    """Distinguishes the starts of replicas, also of those that tell no start time.

    The sequence of a registration restarts with the process, which counts once a
    registration is ready: a lower number alone does not tell that a replica that shuts
    down has started again. The sequence is compared within one era of the store only: a
    store that was restored from a copy has older registrations of the same process.
    """

    __slots__ = ("_starts",)

    def __init__(self):
        self._starts: OrderedDict[str, _Start] = OrderedDict()

    def has_time(self, identifier: str) -> bool:
        """Return whether a replica has told the time of a start."""
        start = self._starts.get(identifier)
        return start is not None and bool(start.started_ms)

    def observe(self, replica: Replica, era: int) -> None:
        """Record a registration; they must be given in the order of the store."""
        start = self._starts.setdefault(replica.identifier, _Start())
        self._starts.move_to_end(replica.identifier)
        while len(self._starts) > MAX_REPLICAS:
            self._starts.popitem(last=False)
        start.started_ms = replica.started_ms
        if start.started_ms:
            return
        if era != start.era:
            start.era, start.sequence = era, replica.sequence
        elif replica.sequence >= start.sequence:
            start.sequence = replica.sequence
        elif replica.state is ReplicaState.READY:
            start.sequence = replica.sequence
            start.restarts += 1

    def with_restarts(self, replica: Replica) -> Replica:
        """Return a registration with the number of noticed starts without a time."""
        start = self._starts.get(replica.identifier)
        if replica.started_ms or start is None or not start.restarts:
            return replica
        return replace(replica, restarts=start.restarts)
