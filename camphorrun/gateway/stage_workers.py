"""State that the owner of a stage service keeps for each of its replicas."""

import math
from collections.abc import Callable

from ..catalog import StageCapacity, is_home
from ..pipeline import NOMINAL_SPEED, BatchQueue, CallSpeed, SpaceLedger
from .replica_handle import ReplicaHandle
from .replicas import ReplicaPool

# A replica whose calls take this multiple of their nominal time counts as slow and gets
# calls only while there is a backlog.
SLOW_THRESHOLD = 2.0
SLOWDOWN_SMOOTHING_FACTOR = 0.4
# Another replica counts as faster from this ratio of call times. Smaller differences
# are less than those between the expected and the real time of a call.
FASTER_RATIO = 1.25


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
    busy_until : float
        When calls of another owner are expected to have left the replica.
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
        "busy_until",
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
        self.busy_until = -math.inf
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

    @property
    def has_speed(self) -> bool:
        """Whether the replica reports its speed."""
        return self.handle.reported_load.has_speed

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown by the reported speed and the observed call times."""
        reported = self.handle.reported_load
        return reported.slowdown(self.slowdown, self.idle_since, now)

    def call_slowdown(self, now: float) -> float:
        """Return the slowdown by which the time of a call is predicted.

        A replica that does not report its speed counts as nominal at best.
        """
        current = self.current_slowdown(now)
        return current if self.has_speed else max(1.0, current)

    def timeout_slowdown(self, now: float) -> float:
        """Return the slowdown by which a time-out is derived.

        A report that is too optimistic must not cut off a call, and the host may become
        slower while the call runs.
        """
        return max(1.0, self.slowdown, self.current_slowdown(now))

    def is_slow(self, now: float) -> bool:
        """Return whether calls take much longer than their nominal time."""
        return self.current_slowdown(now) >= SLOW_THRESHOLD

    def wait_s(self, now: float) -> float:
        """Return the time until calls of another owner have left the replica."""
        return max(0.0, self.busy_until - now)

    def free_at(self, calls: int, now: float) -> float:
        """Return when the replica, which runs ``calls`` at once, can start a call."""
        free_at = max(now, self.busy_until)
        if self.active_calls < calls:
            return free_at
        return max(free_at, self.expected_free_at)

    def on_load_report(
        self, capacity: StageCapacity, asked_at: float, now: float
    ) -> None:
        """Derive the calls of another owner from the load reported in an answer.

        ``asked_at`` is when the request was sent; an earlier report is not used. The
        calls of this owner include the one that the replica may have answered with
        the report, because replicas differ in whether they still count it.
        """
        reported = self.handle.reported_load
        if reported.latest is None or reported.received_at < asked_at:
            return
        load = reported.latest
        present = min(load.running + load.waiting, capacity.calls + capacity.queue)
        others = present - self.active_calls
        if others <= 0 or present < capacity.calls:
            self.busy_until = now
            return
        # On average the call that runs is half done.
        call_s = capacity.call_time_s(capacity.batch) * self.call_slowdown(now)
        self.busy_until = now + (others - 0.5) / capacity.calls * call_s

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
            worker = self._workers.get(boot)
            # A replica that registers again, or at another address, has a new handle;
            # the pool of the former one is closed.
            if worker is None or worker.handle is not handle:
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


def home_workers(
    workers: list[StageWorker], home_zones: frozenset[str] | None
) -> list[StageWorker]:
    """Return the workers in home zones, all of them if it is None."""
    return [worker for worker in workers if is_home(worker.zone, home_zones)]


def zone_speeds(workers: list[StageWorker], now: float) -> dict[str, float]:
    """Return the combined speed of the workers of each zone."""
    zones = {worker.zone for worker in workers}
    return {
        zone: total_speed(home_workers(workers, frozenset({zone})), now)
        for zone in zones
    }


def total_speed(workers: list[StageWorker], now: float) -> float:
    """Return the combined speed, 1 for each worker at nominal speed.

    Workers in back-off don't count. None counts as faster than nominal unless it
    reports its speed.
    """
    active_workers = (worker for worker in workers if worker.backoff_until <= now)
    return sum(1.0 / worker.call_slowdown(now) for worker in active_workers)


def backlog_speed(workers: list[StageWorker], now: float) -> float:
    """Return the combined speed of the workers that share a backlog.

    Those that don't report their speed count as nominal, and so do those in back-off.
    """
    return sum(1.0 / w.call_slowdown(now) if w.has_speed else 1.0 for w in workers)


def mean_slowdown(workers: list[StageWorker], now: float) -> float:
    """Return the slowdown of the mean speed, 1 if no worker reports its speed."""
    if not any(worker.has_speed for worker in workers):
        return 1.0
    working = [worker for worker in workers if worker.backoff_until <= now]
    return len(working) / total_speed(working, now) if working else 1.0


def call_speed(
    worker: StageWorker,
    workers: list[StageWorker],
    capacity: StageCapacity,
    now: float,
) -> CallSpeed:
    """Return the speed of a worker, compared with those that are faster."""
    if not worker.has_speed:
        return NOMINAL_SPEED
    slowdown = worker.call_slowdown(now)
    call_s = capacity.call_time_s(capacity.batch)
    ends = []
    for other in workers:
        if other.awaiting_report or not other.ledger.free_bytes(now):
            continue
        other_slowdown = other.call_slowdown(now)
        if other.backoff_until <= now and other_slowdown * FASTER_RATIO <= slowdown:
            starts_at = other.free_at(capacity.calls, now)
            ends.append(starts_at + call_s * other_slowdown)
    return CallSpeed(slowdown, tuple(sorted(ends)))


def is_worth_calling(
    worker: StageWorker, workers: list[StageWorker], queue: BatchQueue, now: float
) -> bool:
    """Return whether a worker is fast, or the backlog justifies a slow one.

    A slow worker gets a call if its extra time is less than the time in which the other
    workers get through the backlog. The same holds for a worker that another owner
    uses, compared with those that are free earlier.
    """
    wait_s = worker.wait_s(now)
    is_slow = worker.is_slow(now)
    if not is_slow and not wait_s:
        return True
    capacity = queue.capacity
    fast_workers = [
        w
        for w in workers
        if not w.is_slow(now)
        and w.backoff_until <= now
        and (is_slow or w.free_at(capacity.calls, now) < worker.busy_until)
    ]
    if not fast_workers:
        return True
    call_s = capacity.call_time_s(capacity.batch)
    extra_s = (worker.current_slowdown(now) - 1.0) * call_s + wait_s
    return queue.backlog_s(backlog_speed(fast_workers, now)) > extra_s


def earliest_free_times(
    workers: list[StageWorker], calls: int, now: float
) -> dict[str, float]:
    """Return when the first replica of each zone can start a call.

    Slow workers and workers in back-off don't count. ``calls`` is the number of calls
    that a replica runs concurrently.
    """
    free_at: dict[str, float] = {}
    for worker in workers:
        if worker.backoff_until > now or worker.is_slow(now):
            continue
        available_at = worker.free_at(calls, now)
        free_at[worker.zone] = min(available_at, free_at.get(worker.zone, available_at))
    return free_at


def permitted_workers(workers: list[StageWorker]) -> list[StageWorker]:
    """Return the workers that may get a call.

    A cold one beside warm ones needs a permit. It is requested in advance, so that no
    pieces wait for its owner.
    """
    if all(worker.handle.is_cold for worker in workers):
        return workers
    permitted = []
    for worker in workers:
        if not worker.handle.is_cold or worker.handle.has_advance_permit:
            permitted.append(worker)
        else:
            worker.handle.request_permit()
    return permitted
