"""Accepts dispatches, queues them, and runs them within the concurrency limit."""

import asyncio
import dataclasses
from functools import singledispatchmethod

from absl import logging

from ..claims import (
    ClaimError,
    StartCoordinator,
    StartGranted,
    StartLost,
    StartRefused,
    parse_claim_key,
)
from ..clients import EndpointError
from ..core import TimerService
from ..limits import ConcurrencyLimit, LatencySample, QueueItem, StageQueue
from ..messages import (
    AttemptId,
    AttemptUnknown,
    Cancel,
    ClaimLost,
    Dispatch,
    GetOutcome,
    LoadReport,
    NotStarted,
    ResultAck,
    ResultEnd,
    ResultPart,
    Resume,
    StageCost,
    StoreOutcome,
)
from ..metrics import Metrics
from ..transport import Link, LinkError
from .attempts import AttemptRecord, AttemptState, AttemptStore, FinalMessage
from .endpoint_runner import EndpointRunner
from .outcome_store import OutcomeStore

EXPIRE_INTERVAL_SECONDS = 0.05
PATIENT_DEADLINE_SECONDS = 30.0


class AgentWorker:
    """Owner of the queue, the limit and the attempts of one endpoint.

    Parameters
    ----------
    incarnation : str
        Identity of this process; dispatches for another one are refused.
    runner : EndpointRunner
        Calls the endpoint.
    claims : StartCoordinator
        Decides non-idempotent calls.
    queue, limit, store, outcomes, timers, metrics
        Parts that the worker drives.
    """

    def __init__(
        self,
        incarnation: str,
        runner: EndpointRunner,
        claims: StartCoordinator,
        *,
        queue: StageQueue,
        limit: ConcurrencyLimit,
        store: AttemptStore,
        outcomes: OutcomeStore,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._incarnation = incarnation
        self._runner = runner
        self._claims = claims
        self._queue = queue
        self._limit = limit
        self._store = store
        self._outcomes = outcomes
        self._timers = timers
        self._metrics = metrics
        self._running = 0
        self._refusal = ""
        timers.subscribe(EXPIRE_INTERVAL_SECONDS, self._expire)

    @property
    def unfinished(self) -> int:
        """Attempts that are queued or running."""
        return self._store.unfinished

    @property
    def known_attempts(self) -> int:
        """Attempts whose result was not acknowledged yet, with unfinished ones."""
        return len(self._store)

    def models_in_use(self) -> frozenset[str]:
        """Return the models of attempts that are queued or running."""
        return self._store.unfinished_models()

    def refuse_new_work(self, code: str) -> None:
        """Refuse dispatches with ``code`` from now on; empty accepts again."""
        self._refusal = code

    def load(self) -> LoadReport:
        """Return the present load."""
        service_time_s = self._limit.mean_service_time_s
        wait_s = len(self._queue) * service_time_s / self._limit.steady_limit
        return LoadReport(
            self._running,
            self._limit.steady_limit,
            len(self._queue),
            wait_s,
            service_time_s,
        )

    @singledispatchmethod
    def handle(self, message: object, link: Link) -> None:
        """Handle a message of an entry; unexpected kinds are counted."""
        self._metrics.drops.labels("unexpected_message").inc()

    @handle.register
    def _(self, message: Dispatch, link: Link) -> None:
        record = self._store.find(message.attempt)
        if record is not None:
            self._replay(record, link, 0)
            return
        if self._store.is_refused(message.attempt):
            _send(link, AttemptUnknown(message.attempt, self._incarnation))
            return
        refusal = self._refusal_of(message)
        if refusal:
            self._refuse(message.attempt, link, refusal)
            return
        self._enqueue(AttemptRecord(message, link, self._timers.now()))

    @handle.register
    def _(self, message: Resume, link: Link) -> None:
        record = self._store.find(message.attempt)
        if record is None:
            self._store.refuse(message.attempt, self._timers.now())
            _send(link, AttemptUnknown(message.attempt, self._incarnation))
            return
        self._replay(record, link, message.next_sequence)

    @handle.register
    def _(self, message: ResultAck, link: Link) -> None:
        self._store.remove(message.attempt, self._timers.now())

    @handle.register
    def _(self, message: StoreOutcome, link: Link) -> None:
        self._outcomes.put(message, self._timers.now())

    @handle.register
    def _(self, message: GetOutcome, link: Link) -> None:
        _send(link, self._outcomes.get(message, self._timers.now()))

    @handle.register
    def _(self, message: Cancel, link: Link) -> None:
        record = self._store.find(message.attempt)
        if record is None:
            self._store.refuse(message.attempt, self._timers.now())
            return
        self._cancel(record)

    def _refusal_of(self, dispatch: Dispatch) -> str:
        if dispatch.incarnation != self._incarnation:
            return "stale_incarnation"
        return self._refusal

    def _refuse(self, attempt: AttemptId, link: Link, code: str) -> None:
        self._metrics.refusals.labels(code).inc()
        self._store.refuse(attempt, self._timers.now())
        load = self.load()
        _send(
            link,
            NotStarted(attempt, code, retry_after_s=load.queue_wait_s, load=load),
        )

    def _enqueue(self, record: AttemptRecord) -> None:
        item = self._queue_item(record)
        push = self._queue.push(item, self._timers.now())
        if not push.accepted:
            self._refuse(record.dispatch.attempt, record.link, push.reason)
            return
        self._store.add(record)
        if push.displaced is not None:
            self._drop_queued(push.displaced.token, "displaced")
        self._pump()

    def _queue_item(self, record: AttemptRecord) -> QueueItem:
        dispatch = record.dispatch
        return QueueItem(
            token=record,
            priority=dispatch.priority,
            enqueued_at=record.received_at,
            deadline_at=record.deadline_at,
            downstream_s=dispatch.downstream_s,
            estimate_s=self._limit.service_time_s(
                dispatch.input_units, dispatch.output_units, _kind(dispatch)
            ),
            tolerates_latency=dispatch.remaining_s >= PATIENT_DEADLINE_SECONDS,
        )

    def _pump(self) -> None:
        """Start queued attempts while the limit allows."""
        while self._running < self._limit.limit:
            item = self._queue.pop(self._timers.now())
            if item is None:
                break
            self._start(item.token)
        self._metrics.in_flight.set(self._running)
        self._metrics.queued.set(len(self._queue))
        self._metrics.limit.set(self._limit.limit)

    def _start(self, record: AttemptRecord) -> None:
        self._running += 1
        record.state = AttemptState.CLAIMING
        record.task = asyncio.get_running_loop().create_task(self._run(record))

    async def _run(self, record: AttemptRecord) -> None:
        in_flight = self._running
        try:
            final = await self._claim_and_run(record, in_flight)
        except asyncio.CancelledError:
            final = self._failed(record, "cancelled", "cancelled by the entry")
        except Exception as exc:
            logging.exception("attempt %s failed", record.dispatch.attempt)
            final = self._failed(record, "internal", repr(exc))
        finally:
            self._running -= 1
        self._finish(record, final)
        self._pump()

    async def _claim_and_run(
        self, record: AttemptRecord, in_flight: int
    ) -> FinalMessage:
        if record.dispatch.idempotent:
            return await self._call(record, 0, in_flight)
        return await self._run_claimed(record, in_flight)

    async def _run_claimed(self, record: AttemptRecord, in_flight: int) -> FinalMessage:
        """Run a non-idempotent call if its claim is granted."""
        dispatch = record.dispatch
        try:
            key = parse_claim_key(dispatch.key)
        except ClaimError as exc:
            return NotStarted(dispatch.attempt, exc.code, str(exc))
        token = _attempt_token(dispatch.attempt)
        body_digest = bytes.fromhex(dispatch.body_digest)
        result = await self._claims.acquire(key, body_digest, token)
        if not isinstance(result, StartGranted):
            return _claim_refusal(result, dispatch.attempt)
        final = await self._call(record, result.offset, in_flight)
        self._record_claim(result, final)
        return final

    def _record_claim(self, granted: StartGranted, final: ResultEnd) -> None:
        if not final.ok and not final.executed:
            self._claims.withdraw(granted)
            return
        data = final.data if final.ok else b""
        self._claims.finish(granted, final.ok, final.code, data)

    async def _call(
        self, record: AttemptRecord, fencing_token: int, in_flight: int
    ) -> ResultEnd:
        record.state = AttemptState.RUNNING
        record.started_at = self._timers.now()
        try:
            final = await self._runner.run(record, fencing_token)
        except EndpointError as exc:
            self._observe(record, in_flight, ok=False)
            return self._failed(record, exc.code, str(exc), executed=exc.executed)
        except asyncio.CancelledError:
            await self._runner.cancel(record)
            raise
        self._observe(record, in_flight, ok=True)
        return final

    def _observe(self, record: AttemptRecord, in_flight: int, *, ok: bool) -> None:
        now = self._timers.now()
        dispatch = record.dispatch
        sample = LatencySample(
            now - record.started_at,
            dispatch.input_units,
            in_flight,
            ok,
            now,
            dispatch.output_units,
            _kind(dispatch),
        )
        self._limit.observe(sample)
        self._metrics.attempts.labels(dispatch.service, "ok" if ok else "failed").inc()
        self._metrics.stage_seconds.labels(dispatch.service).observe(
            now - record.received_at
        )

    def _failed(
        self, record: AttemptRecord, code: str, detail: str, *, executed: bool = True
    ) -> ResultEnd:
        """Return the end of a failed attempt with the time that it took."""
        now = self._timers.now()
        started_at = record.started_at or now
        cost = StageCost(
            busy_s=now - started_at,
            queue_s=started_at - record.received_at,
            bytes_in=len(record.dispatch.payload),
        )
        return ResultEnd(
            record.dispatch.attempt,
            ok=False,
            code=code,
            detail=detail,
            executed=executed,
            cost=cost,
        )

    def _finish(self, record: AttemptRecord, final: FinalMessage) -> None:
        final = _with_load(final, self.load())
        self._store.finish(record, final, self._timers.now())
        _send(record.link, final)

    def _replay(self, record: AttemptRecord, link: Link, next_sequence: int) -> None:
        """Send what the entry misses on its new link."""
        record.link = link
        for part in record.parts[next_sequence:]:
            _send(link, part)
        if record.final is not None:
            _send(link, record.final)

    def _cancel(self, record: AttemptRecord) -> None:
        """Stop a call whose result is not wanted.

        A non-idempotent call that may have reached its endpoint runs on, so that its
        outcome is recorded.
        """
        if record.state is AttemptState.QUEUED:
            self._queue.remove(record)
            self._drop_queued(record, "cancelled")
            return
        if record.dispatch.idempotent and record.task is not None:
            record.task.cancel()

    def _drop_queued(self, record: AttemptRecord, code: str) -> None:
        self._metrics.refusals.labels(code).inc()
        final = NotStarted(record.dispatch.attempt, code)
        self._finish(record, final)

    def _expire(self) -> None:
        now = self._timers.now()
        for item in self._queue.expire(now):
            self._drop_queued(item.token, "deadline_unreachable")
        expired = self._store.expire(now)
        if expired:
            self._metrics.drops.labels("unacknowledged_result").inc(expired)
        self._pump()


def send_part(record: AttemptRecord, part: ResultPart) -> None:
    """Send a part on the present link of the attempt's entry."""
    _send(record.link, part)


def _send(link: Link, message: object) -> None:
    """Send on a link that may be closed; the entry resumes on its next link."""
    try:
        link.send(message)
    except LinkError:
        return


def _kind(dispatch: Dispatch) -> str:
    """Return the kind of work, whose service time depends on its units alone."""
    return f"{dispatch.operation}/{dispatch.model}"


def _attempt_token(attempt: AttemptId) -> str:
    return f"{attempt.request_id}.{attempt.stage}.{attempt.attempt}"


def _claim_refusal(
    result: StartLost | StartRefused, attempt: AttemptId
) -> ClaimLost | NotStarted:
    if isinstance(result, StartLost):
        return ClaimLost(attempt, result.decision.state.value)
    return NotStarted(attempt, result.code, claim_uncertain=result.uncertain)


def _with_load(final: FinalMessage, load: LoadReport) -> FinalMessage:
    if isinstance(final, ClaimLost):
        return final
    return dataclasses.replace(final, load=load)
