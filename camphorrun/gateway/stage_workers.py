"""The replicas of one stage service, as their owner uses them."""

import math
from collections.abc import Callable

from ..catalog import StageCapacity
from ..pipeline import SpaceLedger
from .replicas import ReplicaHandle, ReplicaPool

# A replica that needs this multiple of the usual time gets work only for a backlog.
SLOW_THRESHOLD = 2.0
SLOWDOWN_SMOOTHING_FACTOR = 0.4


class StageWorker:
    """One replica as the owner of its service uses it.

    Attributes
    ----------
    busy : int
        Calls in progress.
    busy_until : float
        When the present call is expected to end.
    ratio : float
        Time of its calls as a multiple of the usual one.
    report_due : bool
        Whether a report of the free space was asked for and has not come.
    reported : bool
        Whether the account of the space still follows the reports.
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
        """Return whether its calls take much longer than usual."""
        return self.slowdown >= SLOW_THRESHOLD

    def record_call_time(self, ratio: float) -> None:
        """Take over the time of a call as a multiple of the usual one."""
        self.slowdown += SLOWDOWN_SMOOTHING_FACTOR * (ratio - self.slowdown)


class StageWorkers:
    """Replicas of some zones that take work for a stage service.

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
        """Take over a changed configuration of the service."""
        self._capacity = capacity
        for worker in self._workers.values():
            worker.ledger.resize(capacity.result_bytes, capacity.result_life_s)

    def refresh(
        self, on_unknown_space: Callable[[StageWorker], None]
    ) -> list[StageWorker]:
        """Return workers of the replicas that take work, and forget the others.

        ``on_new`` is called for each one whose free space is not known.
        """
        handles = {
            handle.replica.boot: handle
            for handle in self._replicas.available(self._service)
            if handle.replica.availability_zone in self.zones
        }
        for boot in self._workers.keys() - handles.keys():
            if not self._workers[boot].active_calls:
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
        """Return the workers of the replicas with an address."""
        found = self._workers.values()
        return [w for w in found if w.handle.replica.address == address]


def total_speed(workers: list[StageWorker], now: float) -> float:
    """Return the speed of all workers, 1 for each that is as fast as usual."""
    active_workers = (worker for worker in workers if worker.backoff_until <= now)
    return sum(1.0 / max(1.0, worker.slowdown) for worker in active_workers)


def earliest_free_times(
    workers: list[StageWorker], calls: int, now: float
) -> dict[str, float]:
    """Return when the next replica of each zone that works can begin a call.

    ``calls`` is the number of calls that a replica takes at a time.
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
