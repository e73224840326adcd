"""Batches the pieces of one stage service, for all gateways, into calls to replicas."""

import asyncio
import itertools
import math
from collections import deque
from collections.abc import Coroutine, Iterable
from functools import partial

from ..catalog import StageCapacity
from ..core import EventLog, TimerService, with_timeout
from ..http1 import HttpError
from ..metrics import Metrics
from ..pipeline import BatchQueue, CallPacer, CallSpeed, PieceGroup
from ..platform import DecodeError, StageFault, StageItem, StageItemResult
from ..retries import RetryBudget
from .errors import ReplicaUnavailableError, StageError
from .evacuations import EVACUATED, EVACUATION_RETRY_AFTER_SECONDS
from .home_regions import HOME_RETRY_AFTER_SECONDS, NO_HOME_REPLICA
from .owner_calls import BUSY
from .replicas import ReplicaPool
from .stage_calls import make_results, read_free_space
from .stage_releases import ResultReleaser
from .stage_workers import (
    StageWorker,
    StageWorkers,
    backlog_speed,
    call_speed,
    earliest_free_times,
    home_workers,
    is_worth_calling,
    mean_slowdown,
    permitted_workers,
    total_speed,
    zone_speeds,
)

# Time-out of a call: this multiple of its expected time, plus a fixed allowance.
CALL_TIMEOUT_FACTOR = 3.0
CALL_TIMEOUT_SLACK_SECONDS = 0.3
# Exponential back-off of a replica after failed calls. Without it, a replica that fails
# fast would attract the next calls.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 3.0
# Back-off after a replica reported no space for results, or refused a call.
FULL_BACKOFF_SECONDS = 0.1
REDISPATCH_DELAY_SECONDS = 0.02
# An idle replica with too little space waits up to this long instead of spending the
# fixed time of a call on less than this share of the pieces that a call could hold.
MAX_FILL_WAIT_SECONDS = 0.08
MIN_BATCH_FILL = 0.6
# Interval of space reports while results of earlier owners use space at a replica.
SPACE_REPORT_INTERVAL_SECONDS = 0.25
# The same for a replica with a rate limit, where each report takes the place of a call.
LIMITED_REPORT_INTERVAL_SECONDS = 2.0
MAX_TRIES = 3
# Upper bound of a predicted wait; without a replica the prediction is infinite.
MAX_REPORTED_WAIT_SECONDS = 3.0


class _GroupJob:
    """Progress of one group of pieces.

    Attributes
    ----------
    future : asyncio.Future
        Done when every piece is made or handed over, or the group has failed.
    piece_count : int
        Pieces of the whole group.
    results : dict of int to str
        Names of the results by piece.
    tries : int
        Failures that count against the maximum of tries.
    is_handed_over : bool
        Whether another owner makes the pieces that are not in a call.
    handed_over_pieces : int
        Number of pieces that another owner makes.
    """

    __slots__ = (
        "future",
        "group",
        "handed_over_pieces",
        "is_handed_over",
        "results",
        "piece_count",
        "tries",
    )

    def __init__(self, group: PieceGroup, future: asyncio.Future):
        self.group = group
        self.future = future
        self.piece_count = len(group.waiting_pieces)
        self.results: dict[int, str] = {}
        self.tries = 0
        self.is_handed_over = False
        self.handed_over_pieces = 0

    def resolve_if_complete(self) -> None:
        """Complete the future if every piece is made or handed over."""
        if (
            len(self.results) + self.handed_over_pieces == self.piece_count
            and not self.future.done()
        ):
            self.future.set_result(None)


class StageOwner:
    """Queue, dispatcher and replica state of one stage service, or of one shard of it.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : StageCapacity
        Capacity of one replica.
    replicas : ReplicaPool
        Replicas of all services.
    budget : RetryBudget
        Limits the pieces that are sent again after a failure.
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
        self._jobs: dict[PieceGroup, _GroupJob] = {}
        self._forced_jobs: dict[PieceGroup, _GroupJob] = {}
        self._workers = StageWorkers(service, capacity, replicas)
        self._releaser = ResultReleaser(
            replicas,
            capacity.result_life_s,
            self._on_released,
            timers=timers,
            metrics=metrics,
        )
        self._call_numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self._redispatch_scheduled = False
        # Sum of the replicas' speeds for the backlog, at the last dispatch.
        self._speed = math.inf

    @property
    def zones(self) -> frozenset[str]:
        """Availability zones whose replicas are used."""
        return self._workers.zones

    @zones.setter
    def zones(self, zones: frozenset[str]) -> None:
        self._workers.zones = zones

    async def make_pieces(
        self, group: PieceGroup, forced: bool = False, *, accept_late: bool = True
    ) -> dict[int, str]:
        """Queue a group and return the names of its results by piece.

        Pieces that are handed over to another owner have no result; those of a
        ``forced`` group are never handed over. Without ``accept_late``, a group that
        would miss its objective is rejected with the code ``busy``.

        A call that is in progress at the deadline of the group goes on, as other groups
        may have pieces in it; the results of this one are released when they arrive.

        Raises
        ------
        StageError
            If a piece can't be made, or with code ``late`` at the deadline.
        """
        self._reject_if_unservable(group)
        if not accept_late:
            self._reject_if_late(group)
        job = _GroupJob(group, asyncio.get_running_loop().create_future())
        jobs = self._forced_jobs if forced else self._jobs
        jobs[group] = job
        self._budget.deposit(self._timers.now())
        self._queue.add(group)
        self._pacer.on_arrival(self._timers.now())
        try:
            self._dispatch()
            left_s = group.deadline_at - self._timers.now()
            await with_timeout(self._timers, job.future, left_s)
        except BaseException as exc:
            # Also if all pieces are made, but the request was cancelled before it
            # resumed: the caller does not get the results.
            self.release(list(job.results.values()))
            if isinstance(exc, TimeoutError):
                raise self._stage_error(group, "late") from None
            raise
        finally:
            del jobs[group]
            self._queue.remove(group)
        return job.results

    @property
    def held_groups(self) -> int:
        """Number of groups whose request waits for results."""
        return len(self._jobs) + len(self._forced_jobs)

    @property
    def held_pieces(self) -> int:
        """Number of pieces in the queue."""
        return len(self._queue)

    def _reject_if_unservable(self, group: PieceGroup) -> None:
        """Reject a group that only replicas in evacuated zones could make.

        The same for a group without replicas in its home zones.
        """
        if self._replicas.lacks_home(self._service, group.home_zones):
            retry_after_s = HOME_RETRY_AFTER_SECONDS
            raise self._stage_error(group, NO_HOME_REPLICA, retry_after_s)
        if self._replicas.is_evacuated(self._service, None, group.home_zones):
            retry_after_s = EVACUATION_RETRY_AFTER_SECONDS
            raise self._stage_error(group, EVACUATED, retry_after_s)

    def _reject_if_late(self, group: PieceGroup) -> None:
        """Reject a group that the backlog ahead of it would make late."""
        wait_s = self.predicted_wait_s(group)
        if self._queue.is_late(group, wait_s, self._timers.now()):
            over_share = self._queue.accounts_over_share(self._speed)
            self._log_refusal(group, BUSY, over_share, wait_s)
            text = (
                f"stage {group.stage} of service {self._service} rejected: "
                f"predicted wait of {wait_s:.3f} s misses the objective"
            )
            raise StageError(text, code=BUSY, retry_after_s=wait_s)

    def _log_refusal(
        self,
        group: PieceGroup,
        code: str,
        over_share: set[tuple[int, str]],
        wait_s: float,
    ) -> None:
        self._events.log_decision(
            "stage_refused",
            group.request_id,
            service=self._service,
            stage=group.stage,
            code=code,
            account=group.account,
            over_share=(group.priority, group.account) in over_share,
            wait_s=round(wait_s, 3),
        )

    def predicted_wait_s(self, group: PieceGroup) -> float:
        """Return the predicted queueing delay of a group that arrives now."""
        now = self._timers.now()
        workers = self._current_workers()
        speed = total_speed(home_workers(workers, group.home_zones), now)
        self._queue.slowdown = mean_slowdown(workers, now)
        speeds = None if group.home_zones is None else zone_speeds(workers, now)
        wait_s = self._queue.predicted_wait_s(group, speed, now, speeds)
        return min(wait_s, MAX_REPORTED_WAIT_SECONDS)

    @property
    def extra_call_s(self) -> float:
        """Time that a full call takes beyond the nominal one, by reported speeds."""
        call_s = self._capacity.call_time_s(self._capacity.batch)
        return (self._queue.slowdown - 1.0) * call_s

    def reconfigure(self, capacity: StageCapacity) -> None:
        """Apply a changed capacity of the service."""
        if capacity == self._capacity:
            return
        self._capacity = self._queue.capacity = capacity
        self._workers.reconfigure(capacity)
        self._releaser.result_lifetime_s = capacity.result_life_s

    def set_budget(self, budget: RetryBudget) -> None:
        """Replace the budget of the pieces that are sent again after a failure."""
        self._budget = budget

    def hand_over(self) -> None:
        """Hand over to another owner all pieces that are not in a call yet."""
        for group, job in self._jobs.items():
            job.is_handed_over = True
            job.handed_over_pieces += len(group.waiting_pieces)
            group.waiting_pieces.clear()
            self._queue.remove(group)
            job.resolve_if_complete()

    def on_evacuation(self) -> None:
        """Move the queued pieces to replicas outside the evacuated zones, or fail.

        Without queued pieces, replicas would only be asked for reports.
        """
        if len(self._queue):
            self._dispatch()

    def expected_wait_s(
        self,
        result_bytes: int,
        priority: int,
        home_zones: frozenset[str] | None = None,
        account: str = "",
    ) -> float:
        """Return the expected queueing delay of pieces with results of a size."""
        return self._queue.expected_wait_s(
            result_bytes,
            priority,
            self._timers.now(),
            home_zones,
            account=account,
            speed=self._speed,
        )

    @property
    def has_long_backlog(self) -> bool:
        """Whether the calls are divided among client accounts."""
        return self._queue.has_long_backlog(self._speed)

    def is_over_share(self, priority: int, account: str) -> bool:
        """Return whether a client account has more than its share queued."""
        return (priority, account) in self._queue.accounts_over_share(self._speed)

    @property
    def pieces_over_share(self) -> int:
        """Number of queued pieces of client accounts over their share."""
        return self._queue.pieces_over_share(self._speed)

    def release(self, handles: list[str]) -> None:
        """Release results at the replicas that made them."""
        self._releaser.schedule(handles)

    def close(self) -> None:
        """Cancel all calls in progress."""
        self._releaser.close()
        for task in self._tasks:
            task.cancel()

    # Dispatch

    def _current_workers(self) -> list[StageWorker]:
        return self._workers.refresh(self._request_space_report)

    def _on_released(self, address: str, handles: list[str]) -> None:
        """Count the space as free once the release is confirmed.

        A call that is sent earlier may arrive before the release and find no space.
        """
        for worker in self._workers.at_address(address):
            for result in handles:
                worker.ledger.release(result)
        if len(self._queue):
            self._dispatch()

    def _dispatch(self) -> None:
        now = self._timers.now()
        workers = self._current_workers()
        self._speed = speed = backlog_speed(workers, now)
        self._queue.slowdown = mean_slowdown(workers, now)
        over_share = self._queue.accounts_over_share(speed)
        for group in self._queue.expire(speed, now):
            self._log_refusal(group, "late", over_share, now - group.arrived_at)
            self._fail(group, "late")
        for home_zones in self._queue.home_sets():
            if not home_workers(workers, home_zones):
                self._fail_during_pause(home_zones, now)
        idle = [w for w in workers if w.active_calls < self._capacity.calls]
        idle = [w for w in idle if w.backoff_until <= now and not w.awaiting_report]
        usable = permitted_workers(workers)
        idle = [w for w in idle if w in usable]
        call_s = self._capacity.call_time_s(self._capacity.batch)
        # A replica that needs permits may refuse the call; others come first.
        idle.sort(
            key=lambda w: (
                w.handle.is_limited,
                w.wait_s(now) + w.current_slowdown(now) * call_s,
            )
        )
        free_at = earliest_free_times(usable, self._capacity.calls, now)
        for worker in idle:
            if not len(self._queue):
                return
            if self._call_delay_s(workers, now) > 0.0:
                break
            speeds = self._call_speeds(worker, usable, now)
            if not speeds:
                continue
            space = worker.ledger.free_bytes(now)
            min_pieces = self._min_batch_pieces(worker, now)
            batch = self._queue.next_batch(
                space,
                speed,
                now,
                min_pieces=min_pieces,
                zone=worker.zone,
                free_at=free_at,
                speeds=speeds,
            )
            if batch:
                self._start(worker, batch)
                free_at = earliest_free_times(usable, self._capacity.calls, now)
        if len(self._queue):
            self._schedule_dispatch()

    def _call_speeds(
        self, worker: StageWorker, usable: list[StageWorker], now: float
    ) -> dict[frozenset[str] | None, CallSpeed]:
        """Return the speed of a worker by the home zones of the groups it may take.

        It is compared with the replicas in these zones only: a slow replica is the best
        one for groups that the faster replicas may not take.
        """
        speeds = {}
        for home_zones in self._queue.home_sets(worker.zone):
            others = home_workers(usable, home_zones)
            if is_worth_calling(worker, others, self._queue, now):
                speeds[home_zones] = call_speed(worker, others, self._capacity, now)
        return speeds

    def _call_delay_s(self, workers: list[StageWorker], now: float) -> float:
        """Return how long to delay calls so that later pieces find a free replica."""
        speed = total_speed(workers, now)
        pieces = len(self._queue)
        return self._pacer.call_delay_s(self._capacity, speed, pieces=pieces, now=now)

    def _fail_during_pause(self, home_zones: frozenset[str] | None, now: float) -> None:
        """Fail the groups that would be late when the first replica is available.

        These are the groups with some home zones, in which no replica is available. All
        of them fail if all replicas are in evacuated zones, or none is in a home zone.
        """
        groups = [g for g in self._queue.groups if g.home_zones == home_zones]
        if self._replicas.lacks_home(self._service, home_zones):
            for group in groups:
                self._fail(group, NO_HOME_REPLICA, HOME_RETRY_AFTER_SECONDS)
            return
        if self._replicas.is_evacuated(self._service, None, home_zones):
            for group in groups:
                self._fail(group, EVACUATED, EVACUATION_RETRY_AFTER_SECONDS)
            return
        pause = self._replicas.pause(self._service, self.zones, None, home_zones)
        if pause is None:
            return
        call_s = self._capacity.call_time_s(1)
        for group in groups:
            if group.latest_start(call_s) < now + pause.seconds:
                self._fail(group, pause.reason, pause.seconds)

    def _min_batch_pieces(self, worker: StageWorker, now: float) -> int:
        """Return the number of pieces below which no call starts yet.

        After MAX_FILL_WAIT_SECONDS without a call, a single piece is enough.
        """
        if now - worker.idle_since >= MAX_FILL_WAIT_SECONDS:
            return 1
        possible = min(self._queue.pieces_for(worker.zone), self._capacity.batch)
        return max(1, math.ceil(possible * MIN_BATCH_FILL))

    def _schedule_dispatch(self) -> None:
        if not self._redispatch_scheduled:
            self._redispatch_scheduled = True
            self._timers.call_after(REDISPATCH_DELAY_SECONDS, self._redispatch)

    def _redispatch(self) -> None:
        self._redispatch_scheduled = False
        self._dispatch()

    def _start(self, worker: StageWorker, batch: list[tuple[PieceGroup, int]]) -> None:
        worker.active_calls += 1
        now = self._timers.now()
        call_s = self._capacity.call_time_s(len(batch)) * worker.call_slowdown(now)
        worker.expected_free_at = max(now, worker.busy_until) + call_s
        self._pacer.on_call(now)
        if worker.handle.reported_load.latest is not None:
            age_s = worker.handle.reported_load.age_s(now)
            self._metrics.load_report_age_seconds.labels(self._service).observe(age_s)
        self._spawn(self._call(worker, batch))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, worker: StageWorker, batch: list[tuple[PieceGroup, int]]
    ) -> None:
        call_number = next(self._call_numbers)
        started_at = self._timers.now()
        was_cold = worker.handle.is_cold
        worker.ledger.reserve(
            call_number, sum(group.result_bytes for group, _ in batch)
        )
        made: list[tuple[str, int]] = []
        try:
            results = await self._send(worker, batch)
        except (HttpError, DecodeError, ReplicaUnavailableError, TimeoutError) as exc:
            self._on_failed_call(worker, batch, exc)
        else:
            was_cold = was_cold or worker.handle.is_cold
            self._on_results(worker, batch, results, made, started_at, was_cold)
        finally:
            worker.active_calls -= 1
            worker.idle_since = self._timers.now()
            worker.ledger.settle(call_number, made, self._timers.now())
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
        slowdown = worker.timeout_slowdown(now)
        expected_s = self._capacity.call_time_s(len(batch)) * slowdown
        expected_s += worker.wait_s(now)
        timeout_s = expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK_SECONDS
        home_zones = _common_zones(group for group, _ in batch)
        return await make_results(
            worker.handle, items, self._timers, timeout_s, home_zones
        )

    # Space

    def _request_space_report(self, worker: StageWorker) -> None:
        """Request a space report; the replica gets no call until it has arrived."""
        worker.tracks_reports = worker.awaiting_report = True
        self._spawn(self._read_space(worker))

    def _request_next_report(self, worker: StageWorker) -> None:
        """Request a report now if pieces are queued, otherwise with the next piece."""
        if len(self._queue):
            self._spawn(self._read_space(worker))
        else:
            worker.tracks_reports = False

    async def _read_space(self, worker: StageWorker) -> None:
        """Read the space report of a replica and correct its ledger."""
        asked_at = self._timers.now()
        try:
            least_bytes, free_bytes = await read_free_space(worker.handle, self._timers)
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
            worker.on_load_report(self._capacity, asked_at, now)
            worker.ledger.on_report(free_bytes, now, least_bytes)
            if worker.ledger.earlier_owner_bytes(now):
                request_next = partial(self._request_next_report, worker)
                interval_s = (
                    LIMITED_REPORT_INTERVAL_SECONDS
                    if worker.handle.is_limited
                    else SPACE_REPORT_INTERVAL_SECONDS
                )
                self._timers.call_after(interval_s, request_next)
        finally:
            worker.awaiting_report = False
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
        was_cold: bool,
    ) -> None:
        worker.on_load_report(self._capacity, started_at, self._timers.now())
        elapsed_s = self._timers.now() - started_at
        ratio = elapsed_s / self._capacity.call_time_s(len(batch))
        self._events.log_state_change(
            "stage_call",
            service=self._service,
            replica=worker.name,
            zone=worker.zone,
            pieces=len(batch),
            requests=sorted({group.request_id for group, _ in batch}),
            moved_bytes=_cross_zone_bytes(batch, worker.zone),
            made=sum(bool(result.handle) for result in results),
            seconds=round(elapsed_s, 4),
            ratio=round(worker.slowdown, 2),
            reported=round(worker.current_slowdown(self._timers.now()), 2),
            waiting=len(self._queue),
            free_bytes=worker.ledger.free_bytes(self._timers.now()),
        )
        if not was_cold:
            worker.record_call_time(ratio)
        worker.consecutive_failures = 0
        self._metrics.stage_seconds.labels(self._service).observe(elapsed_s)
        for (group, piece), result in zip(batch, results, strict=True):
            if result.handle:
                made.append((result.handle, group.result_bytes))
                self._on_piece(group, piece, result.handle)
            else:
                self._on_fault(worker, group, piece, result.fault)

    def _on_piece(self, group: PieceGroup, piece: int, handle: str) -> None:
        job = self._find_job(group)
        if job is None:
            # The request ended while the call was in progress.
            self.release([handle])
            return
        job.results[piece] = handle
        job.resolve_if_complete()

    def _find_job(self, group: PieceGroup) -> _GroupJob | None:
        return self._jobs.get(group) or self._forced_jobs.get(group)

    def _on_fault(
        self, worker: StageWorker, group: PieceGroup, piece: int, fault: StageFault
    ) -> None:
        self._metrics.attempts.labels(self._service, fault.value).inc()
        if fault is StageFault.NO_SPACE:
            worker.ledger.on_full(self._timers.now(), FULL_BACKOFF_SECONDS)
            if not worker.awaiting_report:
                self._request_space_report(worker)
            self._requeue(group, [piece], counts_as_try=False)
        elif fault is StageFault.FAILED:
            self._requeue(group, [piece], counts_as_try=True)
        else:
            code = "late" if fault is StageFault.LATE else "input_gone"
            self._fail(group, code)

    def _on_failed_call(
        self,
        worker: StageWorker,
        batch: list[tuple[PieceGroup, int]],
        exc: Exception,
    ) -> None:
        was_unavailable = isinstance(exc, ReplicaUnavailableError)
        refused = was_unavailable or (
            isinstance(exc, HttpError) and exc.code == "refused"
        )
        backoff_s = FULL_BACKOFF_SECONDS
        if not refused:
            worker.consecutive_failures += 1
            backoff_s = INITIAL_BACKOFF_SECONDS * 2 ** min(
                8, worker.consecutive_failures - 1
            )
        worker.backoff_until = self._timers.now() + min(MAX_BACKOFF_SECONDS, backoff_s)
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
            self._requeue(group, numbers, counts_as_try=not (unsent or refused))

    def _requeue(
        self, group: PieceGroup, pieces: list[int], counts_as_try: bool
    ) -> None:
        """Queue pieces again after a failure, or hand them over.

        ``counts_as_try`` tells whether the replica may have worked on them: such a
        failure counts towards MAX_TRIES and is charged to the retry budget.
        """
        job = self._find_job(group)
        if job is None or job.future.done():
            return
        if counts_as_try:
            job.tries += 1
            now = self._timers.now()
            if job.tries >= MAX_TRIES or not self._budget.try_withdraw(now):
                self._fail(group, "failed")
                return
        if job.is_handed_over:
            job.handed_over_pieces += len(pieces)
            job.resolve_if_complete()
            return
        self._queue.requeue(group, pieces, worked=counts_as_try)

    def _fail(self, group: PieceGroup, code: str, retry_after_s: float = 0.0) -> None:
        job = self._find_job(group)
        if job is not None and not job.future.done():
            job.future.set_exception(self._stage_error(group, code, retry_after_s))
        group.waiting_pieces = deque()
        self._queue.remove(group)

    def _stage_error(
        self, group: PieceGroup, code: str, retry_after_s: float = 0.0
    ) -> StageError:
        text = f"stage {group.stage} of service {self._service} failed: {code}"
        return StageError(text, code=code, retry_after_s=retry_after_s)


def _common_zones(groups: Iterable[PieceGroup]) -> frozenset[str] | None:
    """Return the zones in which all of some groups may run, None for all zones."""
    sets = [g.home_zones for g in groups if g.home_zones is not None]
    return frozenset.intersection(*sets) if sets else None


def _cross_zone_bytes(batch: list[tuple[PieceGroup, int]], zone: str) -> int:
    """Return the bytes that the groups of a call move between zones."""
    return sum(group.transfers.get(zone, 0) for group in {group for group, _ in batch})
