"""State that the owner of a stage service keeps for each of its replicas."""

import math
from collections.abc import Callable

from ..catalog import StageCapacity
from ..pipeline import SpaceLedger
from .replica_handle import ReplicaHandle
from .replicas import ReplicaPool

# A replica whose calls take this multiple of their nominal time counts as slow and gets
# calls only while there is a backlog.
SLOW_THRESHOLD = 2.0
SLOWDOWN_SMOOTHING_FACTOR = 0.4


class StageWorker:
    """Load, speed, space and failures of one replica, as observed by its owner.

    Attributes
    ----------
    active_calls : int
        Calls in progress.
    expected_free_at : float
        When the latest call is expected to end.
    consecutive_failures : int
        Failed calls since the last successful one.
    backoff_until : float
        End of the back-off after a failed or refused call.
    idle_since : float
        When the last call ended.
    slowdown : float
        Call time as a multiple of the nominal one, as an exponential moving average.
    awaiting_report : bool
        Whether a report of the free space was requested and has not arrived.
    tracks_reports : bool
        Whether the space ledger is kept up to date by reports.
    """

    __slots__ = (
        "active_calls",
        "expected_free_at",
        "consecutive_failures",
        "handle",
        "idle_since",
        "ledger",
        "backoff_until",
        "slowdown",
        "awaiting_report",
        "tracks_reports",
    )

    def __init__(self, handle: ReplicaHandle, capacity: StageCapacity):
        self.handle = handle
        self.ledger = SpaceLedger(capacity.result_bytes, capacity.result_life_s)
        self.active_calls = 0
        self.expected_free_at = -math.inf
        self.idle_since = -math.inf
        self.consecutive_failures = 0
        self.backoff_until = -math.inf
        self.slowdown = 1.0
        self.awaiting_report = False
        self.tracks_reports = False

    @property
    def zone(self) -> str:
        """Availability zone of the replica."""
        return self.handle.replica.availability_zone

    @property
    def name(self) -> str:
        """Identifier of the replica."""
        return self.handle.replica.identifier

    def is_slow(self) -> bool:
        """Return whether calls take much longer than their nominal time."""
        return self.slowdown >= SLOW_THRESHOLD

    def is_disposable(self) -> bool:
        """Return whether nothing is lost if this worker is dropped.

        A replica without a permit gets one soon, and its free space is known.
        """
        return not self.active_calls and self.handle.unavailable_reason != "limited"

    def record_call_time(self, ratio: float) -> None:
        """Update the slowdown by a call time as a multiple of the nominal one."""
        self.slowdown += SLOWDOWN_SMOOTHING_FACTOR * (ratio - self.slowdown)


class StageWorkers:
    """Workers for the available replicas of a stage service in some zones.

    Attributes
    ----------
    zones : frozenset of str
        Availability zones whose replicas are used.
    """

    def __init__(self, service: str, capacity: StageCapacity, replicas: ReplicaPool):
        self.zones: frozenset[str] = frozenset()
        self._service = service
        self._capacity = capacity
        self._replicas = replicas
        self._workers: dict[tuple[str, int], StageWorker] = {}

    def reconfigure(self, capacity: StageCapacity) -> None:
        """Apply a changed capacity of the service."""
        self._capacity = capacity
        for worker in self._workers.values():
            worker.ledger.resize(capacity.result_bytes, capacity.result_life_s)

    def refresh(
        self, on_unknown_space: Callable[[StageWorker], None]
    ) -> list[StageWorker]:
        """Return the workers of the available replicas.

        Workers of other replicas are dropped once their calls have ended.
        ``on_unknown_space`` is called for each worker whose free space is not known.
        """
        handles = {
            handle.replica.boot: handle
            for handle in self._replicas.available(self._service)
            if handle.replica.availability_zone in self.zones
        }
        for boot in self._workers.keys() - handles.keys():
            if self._workers[boot].is_disposable():
                del self._workers[boot]
        for boot, handle in handles.items():
            if boot not in self._workers:
                self._workers[boot] = StageWorker(handle, self._capacity)
        workers = [self._workers[boot] for boot in handles]
        for worker in workers:
            if not worker.tracks_reports and not worker.awaiting_report:
                on_unknown_space(worker)
        return workers

    def at_address(self, address: str) -> list[StageWorker]:
        """Return the workers whose replicas have an address."""
        found = self._workers.values()
        return [w for w in found if w.handle.replica.address == address]


def total_speed(workers: list[StageWorker], now: float) -> float:
    """Return the combined speed, 1 for each worker at nominal speed.

    Workers in back-off don't count, and none counts as faster than nominal.
    """
    active_workers = (worker for worker in workers if worker.backoff_until <= now)
    return sum(1.0 / max(1.0, worker.slowdown) for worker in active_workers)


def earliest_free_times(
    workers: list[StageWorker], calls: int, now: float
) -> dict[str, float]:
    """Return when the first replica of each zone can start a call.

    Slow workers and workers in back-off don't count. ``calls`` is the number of calls
    that a replica runs concurrently.
    """
    free_at: dict[str, float] = {}
    for worker in workers:
        if worker.backoff_until > now or worker.is_slow():
            continue
        available_at = (
            now if worker.active_calls < calls else max(now, worker.expected_free_at)
        )
        free_at[worker.zone] = min(available_at, free_at.get(worker.zone, available_at))
    return free_at
