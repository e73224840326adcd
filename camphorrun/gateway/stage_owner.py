"""Makes the pieces of one stage service in batches, for all gateways."""

import asyncio
import itertools
import math
from collections import deque
from collections.abc import Coroutine
from functools import partial

from ..catalog import StageCapacity
from ..core import EventLog, TimerService
from ..http1 import HttpError
from ..metrics import Metrics
from ..pipeline import BatchQueue, CallPacer, PieceGroup
from ..platform import DecodeError, StageFault, StageItem, StageItemResult
from ..retries import RetryBudget
from .errors import ReplicaUnavailableError, StageError
from .replicas import ReplicaPool
from .stage_calls import make_results, read_free_space
from .stage_releases import ResultReleases
from .stage_workers import StageWorker, StageWorkers, free_times, speed_of

# A call that takes this multiple of its usual time is given up.
CALL_TIMEOUT_FACTOR = 3.0
CALL_TIMEOUT_SLACK_SECONDS = 0.3
# Pause of a replica after a failed call; a fast failure must not attract the next one.
FIRST_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 3.0
# Pause after a replica reported that it has no space, or that it is full.
FULL_PAUSE_SECONDS = 0.1
RETRY_DISPATCH_SECONDS = 0.02
# A replica waits this long for space rather than spend the fixed time of a call on less
# than this share of the pieces that a call could take.
MAX_FILL_WAIT_SECONDS = 0.08
LEAST_FILL = 0.6
# Interval of reports while results of earlier owners use space at a replica.
SPACE_REPORT_SECONDS = 0.25
MAX_TRIES = 3
# Longest wait that is told to others; without a replica there is no prediction.
MAX_WAIT_SECONDS = 3.0


class _Job:
    """A group with the results that it has so far."""

    __slots__ = ("fut", "group", "left", "moves", "results", "total", "tries")

    def __init__(self, group: PieceGroup, fut: asyncio.Future):
        self.group = group
        self.fut = fut
        self.total = len(group.waiting)
        self.results: dict[int, str] = {}
        self.tries = 0
        # Once the service has moved, pieces that another owner makes.
        self.moves = False
        self.left = 0

    def settle(self) -> None:
        """End the job if every piece is made, or left to another owner."""
        if len(self.results) + self.left == self.total and not self.fut.done():
            self.fut.set_result(None)


class StageOwner:
    """Queue and replicas of one stage service, or of one shard of it.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : StageCapacity
        Capacity of one replica.
    replicas : ReplicaPool
        Replicas of all services.
    budget : RetryBudget
        Bounds pieces that are sent once more.
    """

    def __init__(
        self,
        service: str,
        capacity: StageCapacity,
        replicas: ReplicaPool,
        budget: RetryBudget,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._service = service
        self._capacity = capacity
        self._queue = BatchQueue(capacity)
        self._pacer = CallPacer()
        self._replicas = replicas
        self._budget = budget
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._jobs: dict[PieceGroup, _Job] = {}
        self._forced_jobs: dict[PieceGroup, _Job] = {}
        self._workers = StageWorkers(service, capacity, replicas)
        self._releases = ResultReleases(
            replicas,
            capacity.result_life_s,
            self._on_released,
            timers=timers,
            metrics=metrics,
        )
        self._calls = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self._redispatch_scheduled = False

    @property
    def zones(self) -> frozenset[str]:
        """Availability zones whose replicas are used."""
        return self._workers.zones

    @zones.setter
    def zones(self, zones: frozenset[str]) -> None:
        self._workers.zones = zones

    async def make(
        self, group: PieceGroup, forced: bool = False, *, patient: bool = True
    ) -> dict[int, str]:
        """Return the results of a group by piece.

        Pieces that are left to another owner have none; those of a ``forced`` group
        are made here in any case. A group that is not ``patient`` is not queued if it
        would be late.

        Raises
        ------
        StageError
            If a piece can't be made.
        """
        if not patient:
            self._check_wait(group)
        job = _Job(group, asyncio.get_running_loop().create_future())
        jobs = self._forced_jobs if forced else self._jobs
        jobs[group] = job
        self._budget.deposit(self._timers.now())
        self._queue.add(group)
        self._pacer.on_arrival(self._timers.now())
        self._dispatch()
        try:
            await job.fut
            return job.results
        finally:
            del jobs[group]
            self._queue.remove(group)
            if not job.fut.done() or job.fut.cancelled() or job.fut.exception():
                self.release(list(job.results.values()))

    def _check_wait(self, group: PieceGroup) -> None:
        """Turn away a group that the backlog before it makes late."""
        wait_s = self.predicted_wait_s(group)
        if self._queue.is_late(group, wait_s, self._timers.now()):
            text = f"stage {group.stage} at {self._service}"
            raise StageError(text, code="busy", retry_after_s=wait_s)

    def predicted_wait_s(self, group: PieceGroup) -> float:
        """Return the wait to expect for a group that would come now."""
        now = self._timers.now()
        speed = speed_of(self._current_workers(), now)
        wait_s = self._queue.predicted_wait_s(group, speed, now)
        return min(wait_s, MAX_WAIT_SECONDS)

    def reconfigure(self, capacity: StageCapacity) -> None:
        """Take over a changed configuration of the service."""
        if capacity == self._capacity:
            return
        self._capacity = self._queue.capacity = capacity
        self._workers.reconfigure(capacity)
        self._releases.life_s = capacity.result_life_s

    def hand_over(self) -> None:
        """Leave all pieces that no call has taken yet to another owner."""
        for group, job in self._jobs.items():
            job.moves = True
            job.left += len(group.waiting)
            group.waiting.clear()
            self._queue.remove(group)
            job.settle()

    def expected_wait_s(self, result_bytes: int, priority: int) -> float:
        """Return the wait to expect for pieces with results of a size."""
        return self._queue.expected_wait_s(result_bytes, priority, self._timers.now())

    def release(self, handles: list[str]) -> None:
        """Free results at their makers."""
        self._releases.add(handles)

    def close(self) -> None:
        """Cancel all calls."""
        self._releases.close()
        for task in self._tasks:
            task.cancel()

    # Dispatch

    def _current_workers(self) -> list[StageWorker]:
        return self._workers.current(self._ask_for_space)

    def _on_released(self, address: str, handles: list[str]) -> None:
        """Use the space only now: a call that overtakes the release finds none."""
        for worker in self._workers.at_address(address):
            for result in handles:
                worker.ledger.release(result)
        if len(self._queue):
            self._dispatch()

    def _dispatch(self) -> None:
        now = self._timers.now()
        workers = self._current_workers()
        for group in self._queue.expire(len(workers), now):
            self._fail(group, "late")
        if not workers:
            self._refuse_during_rest(now)
        free = [w for w in workers if w.busy < self._capacity.calls]
        free = [w for w in free if w.paused_until <= now and not w.report_due]
        free.sort(key=lambda worker: worker.ratio)
        free_at = free_times(workers, self._capacity.calls, now)
        for worker in free:
            if not len(self._queue):
                return
            if self._hold_s(workers, now) > 0.0:
                break
            if not self._is_worth(worker, workers, now):
                continue
            space = worker.ledger.free_bytes(now)
            least = self._least_pieces(worker, now)
            batch = self._queue.next_batch(
                space,
                len(workers),
                now,
                least=least,
                zone=worker.zone,
                free_at=free_at,
            )
            if batch:
                self._start(worker, batch)
                free_at = free_times(workers, self._capacity.calls, now)
        if len(self._queue):
            self._schedule_dispatch()

    def _hold_s(self, workers: list[StageWorker], now: float) -> float:
        """Return how long no call begins, so that later pieces find a free replica."""
        speed = speed_of(workers, now)
        pieces = len(self._queue)
        return self._pacer.call_delay_s(self._capacity, speed, pieces=pieces, now=now)

    def _refuse_during_rest(self, now: float) -> None:
        """Give up what can't be in time once the first replica takes work again."""
        rest_s = self._replicas.rest_left_s(self._service, self.zones)
        if rest_s <= 0.0:
            return
        call_s = self._capacity.call_time_s(1)
        for group in self._queue.groups:
            if group.latest_start(call_s) < now + rest_s:
                self._fail(group, "resting", rest_s)

    def _least_pieces(self, worker: StageWorker, now: float) -> int:
        """Return how many pieces make a call worth its fixed time."""
        if now - worker.idle_since >= MAX_FILL_WAIT_SECONDS:
            return 1
        possible = min(len(self._queue), self._capacity.batch)
        return max(1, math.ceil(possible * LEAST_FILL))

    def _is_worth(
        self, worker: StageWorker, workers: list[StageWorker], now: float
    ) -> bool:
        """Return whether work at a slow replica ends before the others get to it."""
        if not worker.is_slow():
            return True
        fast = [w for w in workers if not w.is_slow() and w.paused_until <= now]
        if not fast:
            return True
        call_s = self._capacity.call_time_s(self._capacity.batch)
        return self._queue.backlog_s(len(fast)) > (worker.ratio - 1.0) * call_s

    def _schedule_dispatch(self) -> None:
        if not self._redispatch_scheduled:
            self._redispatch_scheduled = True
            self._timers.call_after(RETRY_DISPATCH_SECONDS, self._redispatch)

    def _redispatch(self) -> None:
        self._redispatch_scheduled = False
        self._dispatch()

    def _start(self, worker: StageWorker, batch: list[tuple[PieceGroup, int]]) -> None:
        worker.busy += 1
        call_s = self._capacity.call_time_s(len(batch)) * max(1.0, worker.ratio)
        worker.busy_until = self._timers.now() + call_s
        self._pacer.on_call(self._timers.now())
        self._spawn(self._call(worker, batch))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, worker: StageWorker, batch: list[tuple[PieceGroup, int]]
    ) -> None:
        call = next(self._calls)
        started_at = self._timers.now()
        worker.ledger.reserve(call, sum(group.result_bytes for group, _ in batch))
        made: list[tuple[str, int]] = []
        try:
            results = await self._send(worker, batch)
        except (HttpError, DecodeError, ReplicaUnavailableError, TimeoutError) as exc:
            self._on_failed_call(worker, batch, exc)
        else:
            self._on_results(worker, batch, results, made, started_at)
        finally:
            worker.busy -= 1
            worker.idle_since = self._timers.now()
            worker.ledger.settle(call, made, self._timers.now())
        self._dispatch()

    async def _send(
        self, worker: StageWorker, batch: list[tuple[PieceGroup, int]]
    ) -> list[StageItemResult]:
        now = self._timers.now()
        items = [
            StageItem(
                group.request_id,
                group.stage,
                piece,
                group.deadline_at - now,
                group.key,
                group.inputs,
            )
            for group, piece in batch
        ]
        usual_s = self._capacity.call_time_s(len(batch)) * max(1.0, worker.ratio)
        timeout_s = usual_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK_SECONDS
        return await make_results(worker.handle, items, self._timers, timeout_s)

    # Space

    def _ask_for_space(self, worker: StageWorker) -> None:
        """Read the report of a replica, which gets no call before it has come."""
        worker.reported = worker.report_due = True
        self._spawn(self._read_space(worker))

    def _follow_space(self, worker: StageWorker) -> None:
        """Read the report once more, or at the next piece if none waits now."""
        if len(self._queue):
            self._spawn(self._read_space(worker))
        else:
            worker.reported = False

    async def _read_space(self, worker: StageWorker) -> None:
        """Correct the account of a replica's space by its report."""
        try:
            free_bytes = await read_free_space(worker.handle, self._timers)
        except (HttpError, DecodeError, ReplicaUnavailableError, TimeoutError) as exc:
            self._metrics.drops.labels("space_report").inc()
            self._events.log_state_change(
                "space_unknown",
                service=self._service,
                replica=worker.name,
                error=str(exc),
            )
        else:
            now = self._timers.now()
            worker.ledger.on_report(free_bytes, now)
            if worker.ledger.earlier_owner_bytes(now):
                follow = partial(self._follow_space, worker)
                self._timers.call_after(SPACE_REPORT_SECONDS, follow)
        finally:
            worker.report_due = False
        if len(self._queue):
            self._dispatch()

    # Results

    def _on_results(
        self,
        worker: StageWorker,
        batch: list[tuple[PieceGroup, int]],
        results: list[StageItemResult],
        made: list[tuple[str, int]],
        started_at: float,
    ) -> None:
        elapsed_s = self._timers.now() - started_at
        ratio = elapsed_s / self._capacity.call_time_s(len(batch))
        self._events.log_state_change(
            "stage_call",
            service=self._service,
            replica=worker.name,
            zone=worker.zone,
            pieces=len(batch),
            requests=sorted({group.request_id for group, _ in batch}),
            moved_bytes=_moved_bytes(batch, worker.zone),
            made=sum(bool(result.handle) for result in results),
            seconds=round(elapsed_s, 4),
            ratio=round(worker.ratio, 2),
            waiting=len(self._queue),
            free_bytes=worker.ledger.free_bytes(self._timers.now()),
        )
        worker.note_time(ratio)
        worker.failures = 0
        self._metrics.stage_seconds.labels(self._service).observe(elapsed_s)
        for (group, piece), result in zip(batch, results, strict=True):
            if result.handle:
                made.append((result.handle, group.result_bytes))
                self._on_piece(group, piece, result.handle)
            else:
                self._on_fault(worker, group, piece, result.fault)

    def _on_piece(self, group: PieceGroup, piece: int, handle: str) -> None:
        job = self._job(group)
        if job is None:
            # The caller has left meanwhile.
            self.release([handle])
            return
        job.results[piece] = handle
        job.settle()

    def _job(self, group: PieceGroup) -> _Job | None:
        return self._jobs.get(group) or self._forced_jobs.get(group)

    def _on_fault(
        self, worker: StageWorker, group: PieceGroup, piece: int, fault: StageFault
    ) -> None:
        self._metrics.attempts.labels(self._service, fault.value).inc()
        if fault is StageFault.NO_SPACE:
            worker.ledger.on_full(self._timers.now(), FULL_PAUSE_SECONDS)
            if not worker.report_due:
                self._ask_for_space(worker)
            self._queue_again(group, [piece], counts=False)
        elif fault is StageFault.FAILED:
            self._queue_again(group, [piece], counts=True)
        else:
            code = "late" if fault is StageFault.LATE else "input_gone"
            self._fail(group, code)

    def _on_failed_call(
        self,
        worker: StageWorker,
        batch: list[tuple[PieceGroup, int]],
        exc: Exception,
    ) -> None:
        barred = isinstance(exc, ReplicaUnavailableError)
        refused = barred or (isinstance(exc, HttpError) and exc.code == "refused")
        pause_s = FULL_PAUSE_SECONDS
        if not refused:
            worker.failures += 1
            pause_s = FIRST_PAUSE_SECONDS * 2 ** min(8, worker.failures - 1)
        worker.paused_until = self._timers.now() + min(MAX_PAUSE_SECONDS, pause_s)
        unsent = isinstance(exc, HttpError) and exc.request_not_sent
        reason = getattr(exc, "code", "timeout")
        self._metrics.retries.labels(f"stage_{reason}").inc()
        self._events.log_state_change(
            "stage_call_failed",
            service=self._service,
            replica=worker.name,
            pieces=len(batch),
            requests=sorted({group.request_id for group, _ in batch}),
            reason=reason,
            error=str(exc),
        )
        pieces: dict[PieceGroup, list[int]] = {}
        for group, piece in batch:
            pieces.setdefault(group, []).append(piece)
        for group, numbers in pieces.items():
            self._queue_again(group, numbers, counts=not (unsent or refused))

    def _queue_again(self, group: PieceGroup, pieces: list[int], counts: bool) -> None:
        """Queue pieces once more; ``counts`` if they may have been worked on."""
        job = self._job(group)
        if job is None or job.fut.done():
            return
        if counts:
            job.tries += 1
            now = self._timers.now()
            if job.tries >= MAX_TRIES or not self._budget.try_withdraw(now):
                self._fail(group, "failed")
                return
        if job.moves:
            job.left += len(pieces)
            job.settle()
            return
        group.waiting.extendleft(reversed(pieces))
        self._queue.add(group)

    def _fail(self, group: PieceGroup, code: str, retry_after_s: float = 0.0) -> None:
        job = self._job(group)
        if job is not None and not job.fut.done():
            text = f"stage {group.stage} at {self._service}"
            error = StageError(text, code=code, retry_after_s=retry_after_s)
            job.fut.set_exception(error)
        group.waiting = deque()
        self._queue.remove(group)


def _moved_bytes(batch: list[tuple[PieceGroup, int]], zone: str) -> int:
    """Return the bytes that cross zones for the groups of a call."""
    return sum(group.transfers.get(zone, 0) for group in {group for group, _ in batch})
