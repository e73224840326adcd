"""Sends a request to replicas until one answers or no further attempt is allowed."""

import asyncio
from collections.abc import Coroutine

from ..catalog import RouteKind
from ..core import EventLog, TimerService, with_timeout
from ..http1 import (
    ClientConnection,
    HttpError,
    ResponseHead,
    ServerResponder,
)
from ..limits import MemoryAccount
from ..metrics import Metrics
from ..pipeline import FirstEventTimes
from ..platform import (
    DecodeError,
    ResponseInfo,
    decode_response_info,
    decode_start_ms,
    encode_report_request,
    encode_request,
)
from ..retries import RetryBudget
from .context import RequestContext
from .errors import (
    AttemptFailedError,
    EventError,
    InputsGoneError,
    RefusedError,
    ReplicaUnavailableError,
)
from .permits import Permit
from .quarantine_guard import QuarantineGuard
from .replica_handle import ReplicaHandle
from .replica_selection import MIN_ATTEMPT_SECONDS, ReplicaSelector, refusal_error
from .response_relay import (
    CALLER_STALLED,
    MAX_BUFFERED_RESPONSE_BYTES,
    ResponseRelay,
)
from .stream_records import StreamRecords

CONNECT_TIMEOUT_SECONDS = 0.4
# Longest idle time of a connection that is reused for a non-idempotent request. If the
# replica closes an idle connection while the request is sent, the outcome is unknown.
MAX_UNSAFE_IDLE_SECONDS = 1.0
# An idempotent request is sent to another replica if no response head arrives within
# this multiple of its latency objective, but not before the minimum.
HEAD_TIMEOUT_OBJECTIVES = 2.0
MIN_HEAD_TIMEOUT_SECONDS = 0.3
# The same for a stream, whose time-out is its latency objective or this minimum.
MIN_STREAM_HEAD_TIMEOUT_SECONDS = 2.5
MAX_REJECTIONS = 4
PROOF_TIMEOUT_SECONDS = 0.3
# Stands for the version of a process that has started since it registered. No replica
# has it, so a stream that began there does not go on.
UNKNOWN_VERSION = "\0unknown"
# A replica that rejected a request is avoided for this time, unless no other replica is
# available.
REJECTION_BACKOFF_SECONDS = 0.25
HELD_REQUESTS = "sent_requests"
# Bounds the length of a log line.
MAX_LOGGED_PARTS = 8
# Failures before anything was sent: another attempt is not charged as a retry.
UNSENT_CODES = frozenset(
    {
        "connect_failed",
        "connect_timeout",
        "connection_ended",
        "replica_draining",
        "replica_evacuated",
        "replica_leaving",
        "replica_limited",
        "replica_not_home",
        "replica_restarted",
        "replica_resting",
        "replica_unconfirmed",
        "replica_unproven",
        "version_unrecorded",
    }
)
# Failures that don't count in the health statistics of the replica.
HEALTH_NEUTRAL_CODES = frozenset(
    {
        "caller_slow",
        CALLER_STALLED,
        "connection_ended",
        "deadline",
        "rejected",
        "replica_draining",
        "replica_evacuated",
        "replica_leaving",
        "replica_limited",
        "replica_not_home",
        "replica_resting",
        "replica_unconfirmed",
        "version_unrecorded",
    }
)


class Attempts:
    """Sends requests to replicas and retries where that is safe.

    Parameters
    ----------
    selector : ReplicaSelector
        Chooses the replicas.
    budget_of : callable
        Returns the retry budget of a service.
    guard : QuarantineGuard
        Refuses requests that crash replicas.
    streams : StreamRecords
        Records which software version begins a stream.
    memory : MemoryAccount, optional
        Account of the bytes that are sent to replicas and read from them.
    """

    def __init__(
        self,
        selector: ReplicaSelector,
        budget_of,
        guard: QuarantineGuard,
        streams: StreamRecords,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
        memory: MemoryAccount | None = None,
    ):
        self._memory = memory
        self._selector = selector
        self._budget_of = budget_of
        self._guard = guard
        self._streams = streams
        self._relay = ResponseRelay(
            budget_of, self._observe_progress, timers, metrics, memory
        )
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._first_event_times = FirstEventTimes()

    async def answer(self, ctx: RequestContext, responder: ServerResponder) -> None:
        """Send a request to replicas and relay the answer to the caller.

        A response that has started and can't be continued is aborted.

        Raises
        ------
        RefusedError
            If no response has started and no further attempt is allowed, or if the
            request is quarantined.
        InputsGoneError
            If a replica lacks a stage result. That replica has not run the request; the
            stages must be run again.
        """
        budget: RetryBudget = self._budget_of(ctx.service)
        budget.deposit(self._timers.now())
        rejections = 0
        reason = ""
        while True:
            self._guard.check(ctx)
            ctx.preferred_version = self._streams.version_to_keep(ctx)
            handle, permit = await self._selector.reserve(ctx, reason)
            try:
                await self._attempt(ctx, handle, permit, responder)
                return
            except AttemptFailedError as exc:
                reason = exc.code
                self._record_failure(ctx, handle, exc)
                if exc.inputs_gone:
                    raise InputsGoneError(reason) from exc
                # The zone's other replicas are not tried, so this ends by itself.
                rejections += exc.not_run and reason != "replica_evacuated"
                is_charged = exc.is_retry_charged
            if not is_charged and not self._may_retry(ctx, budget, rejections, reason):
                self._abort_or_refuse(ctx, responder, reason)
                return

    def expected_first_event_s(self, ctx: RequestContext) -> float:
        """Return the predicted time from the start of an attempt to its first event."""
        return self._first_event_times.expected_s(ctx.service, ctx.prompt_tokens)

    def _observe_progress(self, ctx: RequestContext) -> None:
        self._guard.observe_progress(ctx)
        if ctx.engine_call is not None:
            ctx.engine_call.on_event(self._timers.now(), is_delayed=ctx.is_caller_slow)

    def _may_retry(
        self, ctx: RequestContext, budget: RetryBudget, rejections: int, reason: str
    ) -> bool:
        """Return whether another attempt is allowed.

        The retry budget is charged for it, unless nothing was sent in the last one.
        """
        route = ctx.route
        if ctx.may_have_run and not route.repeatable:
            return False
        if reason == CALLER_STALLED:
            return False
        if ctx.possible_runs >= route.max_attempts or rejections >= MAX_REJECTIONS:
            return False
        if reason in UNSENT_CODES:
            return True
        if not budget.try_withdraw(self._timers.now()):
            self._metrics.refusals.labels("retry_budget").inc()
            return False
        self._metrics.retries.labels(reason).inc()
        return True

    def _abort_or_refuse(
        self, ctx: RequestContext, responder: ServerResponder, reason: str
    ) -> None:
        if responder.started:
            responder.abort()
            return
        raise refusal_error(ctx, reason, self._timers.now())

    def _record_failure(
        self, ctx: RequestContext, handle: ReplicaHandle, exc: AttemptFailedError
    ) -> None:
        ctx.tried_replicas.add(handle.replica.identifier)
        self._guard.observe_failure(ctx, handle, exc.code)
        if exc.not_run:
            handle.rejection_backoff_until = (
                self._timers.now() + REJECTION_BACKOFF_SECONDS
            )
        self._metrics.attempts.labels(ctx.service, exc.code).inc()
        self._events.log_decision(
            "attempt_failed",
            ctx.request_id,
            replica=handle.replica.identifier,
            reason=exc.code,
            not_run=exc.not_run,
            runs=ctx.possible_runs,
            last_event=ctx.last_event_id,
            started_ms=handle.replica.started_ms,
            # Whether the replica had begun to answer in this attempt.
            begun=bool(ctx.stream_started_at),
            shared_parts=ctx.shared_parts[:MAX_LOGGED_PARTS],
        )

    # One attempt

    async def _attempt(
        self,
        ctx: RequestContext,
        handle: ReplicaHandle,
        permit: Permit | None,
        responder: ServerResponder,
    ) -> None:
        started_at = self._timers.now()
        ctx.stream_started_at = 0.0
        ctx.answer_begun = False
        ctx.has_cleared = False
        handle.endpoint.on_dispatch()
        was_cold = handle.is_cold
        succeeded = None
        conn = None
        try:
            conn = await self._connect_unless_evacuated(ctx, handle, permit)
            ctx.is_at_replica = True
            await self._exchange(ctx, handle, conn, permit, responder)
            self._guard.observe_answer(ctx)
            succeeded = True
        except AttemptFailedError as exc:
            # A replica that is at capacity, for instance, is not faulty.
            succeeded = None if exc.code in HEALTH_NEUTRAL_CODES else False
            raise
        except BaseException:
            if conn is not None:
                conn.abort()
            raise
        finally:
            ctx.is_at_replica = False
            if ctx.engine_call is not None:
                ctx.engine_call.end()
                ctx.engine_call = None
            if conn is not None:
                handle.pool.release(conn)
            # Latency is measured to the start of a stream: its length depends on the
            # request and not on the speed of the replica.
            elapsed_s = (ctx.stream_started_at or self._timers.now()) - started_at
            # The times of a cold replica say nothing of warm ones.
            is_cold = was_cold or handle.is_cold
            if ctx.stream_started_at and ctx.route.uses_engine and not is_cold:
                tokens = ctx.prompt_tokens
                self._first_event_times.observe(ctx.service, tokens, elapsed_s)
            if succeeded is None:
                handle.endpoint.on_cancel()
            else:
                latency_s = None if is_cold else elapsed_s
                handle.endpoint.on_result(succeeded, latency_s, self._timers.now())

    async def _connect_unless_evacuated(
        self, ctx: RequestContext, handle: ReplicaHandle, permit: Permit | None
    ) -> ClientConnection:
        """Return a connection; give up at once if the replica's zone is evacuated."""
        try:
            with handle.interruptible_wait():
                return await self._connect(ctx, handle, permit)
        except ReplicaUnavailableError as exc:
            raise AttemptFailedError(exc.code, not_run=True) from exc

    async def _connect(
        self, ctx: RequestContext, handle: ReplicaHandle, permit: Permit | None
    ) -> ClientConnection:
        conn = await self._acquire(ctx, handle)
        while conn in ctx.rejected_on:
            conn.abort()
            handle.pool.release(conn)
            conn = await self._acquire(ctx, handle)
        handle.on_connection(conn)
        try:
            await handle.wait_until_confirmed()
            self._check_after_wait(ctx, handle, permit)
            await self._prove_start(ctx, handle, conn)
            await self._record_version(ctx, handle, conn)
            await handle.wait_until_confirmed()
            self._check_after_wait(ctx, handle, permit)
        except (AttemptFailedError, RefusedError):
            handle.pool.release(conn)
            raise
        except BaseException:
            conn.abort()
            handle.pool.release(conn)
            raise
        return conn

    async def _record_version(
        self, ctx: RequestContext, handle: ReplicaHandle, conn: ClientConnection
    ) -> None:
        """Record the version of the process to which a connection leads.

        Raises
        ------
        AttemptFailedError
            If the record could not be written in time, and the stream must not be sent.
        """
        replica = handle.replica
        has_restarted = conn in handle.restarted
        ctx.sent_version = UNKNOWN_VERSION if has_restarted else replica.version
        version = None if has_restarted else replica.version
        is_proven = conn in handle.proven
        if not await self._streams.record_attempt(ctx, replica, version, is_proven):
            raise AttemptFailedError("version_unrecorded", not_run=True)

    async def _prove_start(
        self, ctx: RequestContext, handle: ReplicaHandle, conn: ClientConnection
    ) -> None:
        """Check that a connection leads to the registered start of a replica.

        A replica may start again under its identifier and address with another software
        version, before its registration tells. All requests on a connection reach the
        same process, so one report proves it for the lifetime of the connection. A
        replica with a rate limit is not asked, because each report needs a permit. One
        whose report doesn't tell its start is used, and not proven. A stream may also
        begin at one that has started again, but nothing is known of its version.

        Raises
        ------
        AttemptFailedError
            If the replica does not answer, or if it has started again and the request
            needs a version.
        """
        replica = handle.replica
        if conn in handle.restarted and ctx.required_version is not None:
            raise AttemptFailedError("replica_restarted", not_run=True)
        is_known = conn in handle.asked or handle.is_limited or not replica.started_ms
        if is_known or not self._streams.needs_proof(ctx):
            return
        try:
            started_ms = await with_timeout(
                self._timers, _read_start_ms(handle, conn), PROOF_TIMEOUT_SECONDS
            )
        except DecodeError:
            started_ms = None
        except (HttpError, TimeoutError) as exc:
            conn.abort()
            raise AttemptFailedError("replica_unproven", not_run=True) from exc
        has_restarted = started_ms not in (None, replica.started_ms)
        if has_restarted and ctx.required_version is not None:
            conn.abort()
            handle.pool.close_idle()
            raise AttemptFailedError("replica_restarted", not_run=True)
        if not conn.reusable:
            # The replica closes it after the report.
            raise AttemptFailedError("connection_ended", not_run=True)
        handle.asked.add(conn)
        if has_restarted:
            handle.restarted.add(conn)
        elif started_ms is not None:
            handle.proven.add(conn)

    async def _acquire(
        self, ctx: RequestContext, handle: ReplicaHandle
    ) -> ClientConnection:
        repeatable = ctx.route.repeatable
        idle_s = float("inf") if repeatable else MAX_UNSAFE_IDLE_SECONDS
        left_s = max(MIN_ATTEMPT_SECONDS, ctx.end_at - self._timers.now())
        try:
            return await with_timeout(
                self._timers,
                handle.pool.acquire(CONNECT_TIMEOUT_SECONDS, idle_s),
                left_s,
            )
        except HttpError as exc:
            handle.on_connection_error(exc)
            raise AttemptFailedError(exc.code, not_run=True) from exc
        except TimeoutError as exc:
            raise AttemptFailedError("connect_timeout", not_run=True) from exc

    def _check_after_wait(
        self, ctx: RequestContext, handle: ReplicaHandle, permit: Permit | None
    ) -> None:
        """Check deadline, replica and permit again after the wait for a connection.

        All of them may be outdated, also because the process was paused.

        Raises
        ------
        AttemptFailedError
            If the time is too short, or the replica accepts no requests any more.
        RefusedError
            If the request has been quarantined meanwhile.
        """
        self._guard.check(ctx)
        if ctx.end_at - self._timers.now() < MIN_ATTEMPT_SECONDS:
            raise AttemptFailedError("deadline", not_run=True)
        try:
            handle.ensure_available(permit, ctx.home_zones)
        except ReplicaUnavailableError as exc:
            raise AttemptFailedError(exc.code, not_run=True) from exc

    async def _exchange(
        self,
        ctx: RequestContext,
        handle: ReplicaHandle,
        conn: ClientConnection,
        permit: Permit | None,
        responder: ServerResponder,
    ) -> None:
        now = self._timers.now()
        data = encode_request(
            ctx.caller,
            replica=handle.replica.identifier,
            account=ctx.account,
            deadline_s=ctx.end_at - now,
            priority=ctx.rank if ctx.route.uses_engine else None,
            inputs=None
            if ctx.stage_results is None
            else ctx.stage_results.final_results(),
            resume_after=ctx.last_event_id or ctx.caller.resume_after,
        )
        could_have_run = ctx.may_have_run
        ctx.trial = None
        ctx.sent_at = now
        ctx.engine_call = self._selector.start_engine_call(ctx, handle)
        ctx.may_have_run = True
        ctx.possible_runs += 1
        try:
            request = _request_if_available(
                ctx, handle, permit, conn, data, self._memory
            )
            # From here on only the call holds the bytes, until the head arrives.
            del data
            head = await self._send_request(ctx, request)
            info = decode_response_info(head, ctx.caller)
            sent_at = now if info.id_matches else None
            handle.apply_notice(head, ctx.request_id, sent_at=sent_at)
            if info.not_run and _is_attributable(info, conn):
                await self._discard_body(conn)
                ctx.may_have_run = could_have_run
                ctx.possible_runs -= 1
                ctx.rejected_on.append(conn)
                raise _rejection_error(info)
            if not info.id_matches or (200 <= head.status < 300 and not info.has_stamp):
                raise AttemptFailedError("foreign_answer", not_run=False)
            ctx.answer_begun = True
            await self._relay.relay(
                ctx, head, conn, responder, may_fail_over=self._may_fail_over(ctx)
            )
        except ReplicaUnavailableError as exc:
            # Raised before the first byte was sent.
            ctx.may_have_run = could_have_run
            ctx.possible_runs -= 1
            raise AttemptFailedError(exc.code, not_run=True) from exc
        except HttpError as exc:
            conn.abort()
            if not ctx.answer_begun:
                handle.on_connection_error(exc)
            raise AttemptFailedError(exc.code, not_run=False) from exc
        except TimeoutError as exc:
            conn.abort()
            raise AttemptFailedError("timeout", not_run=False) from exc
        except EventError as exc:
            conn.abort()
            raise AttemptFailedError(exc.code, not_run=False) from exc
        except AttemptFailedError as exc:
            if not exc.not_run:
                # A late copy of a dropped answer could be taken for that to the next
                # attempt, which has the same identifier.
                conn.abort()
            raise

    async def _send_request(
        self, ctx: RequestContext, request: Coroutine[None, None, ResponseHead]
    ) -> ResponseHead:
        left_s = max(MIN_ATTEMPT_SECONDS, ctx.end_at - self._timers.now())
        if not self._may_fail_over(ctx):
            return await with_timeout(self._timers, request, left_s)
        pending_head = asyncio.ensure_future(request)
        try:
            head_timeout_s = min(left_s, self._head_timeout_s(ctx))
            return await self._wait_for_head(ctx, pending_head, head_timeout_s)
        finally:
            pending_head.cancel()

    async def _wait_for_head(
        self,
        ctx: RequestContext,
        pending_head: asyncio.Future[ResponseHead],
        head_timeout_s: float,
    ) -> ResponseHead:
        """Wait for a response head, at first no longer than ``head_timeout_s``.

        After that the attempt fails if the retry budget allows another one; otherwise
        the wait goes on until the request must be answered.
        """
        try:
            return await with_timeout(
                self._timers, asyncio.shield(pending_head), head_timeout_s
            )
        except TimeoutError:
            now = self._timers.now()
            if now >= ctx.end_at - MIN_ATTEMPT_SECONDS:
                raise
        if not pending_head.done() and self._budget_of(ctx.service).try_withdraw(now):
            self._metrics.retries.labels("silent").inc()
            raise AttemptFailedError("silent", not_run=False, is_retry_charged=True)
        return await with_timeout(self._timers, pending_head, ctx.end_at - now)

    def _may_fail_over(self, ctx: RequestContext) -> bool:
        """Return whether a time-out may move the request to another replica."""
        return ctx.route.repeatable and ctx.possible_runs < ctx.route.max_attempts

    def _head_timeout_s(self, ctx: RequestContext) -> float:
        if ctx.route.kind is RouteKind.STREAM:
            return max(MIN_STREAM_HEAD_TIMEOUT_SECONDS, ctx.route.objective_s)
        return max(
            MIN_HEAD_TIMEOUT_SECONDS, ctx.route.objective_s * HEAD_TIMEOUT_OBJECTIVES
        )

    async def _discard_body(self, conn: ClientConnection) -> None:
        try:
            await with_timeout(
                self._timers,
                conn.read_all(MAX_BUFFERED_RESPONSE_BYTES),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (HttpError, TimeoutError):
            conn.abort()


async def _request_if_available(
    ctx: RequestContext,
    handle: ReplicaHandle,
    permit: Permit | None,
    conn: ClientConnection,
    data: bytes,
    memory: MemoryAccount | None,
) -> ResponseHead:
    """Send a request and return the head of the response.

    The task that sends starts later than the one that chose the replica, and the
    process may be paused in between, so the replica is checked again.
    """
    handle.ensure_available(permit, ctx.home_zones)
    if memory is None:
        return await conn.request(data)
    lease = memory.open(HELD_REQUESTS)
    lease.resize(len(data))
    try:
        return await conn.request(data)
    finally:
        lease.release()


async def _read_start_ms(handle: ReplicaHandle, conn: ClientConnection) -> int | None:
    """Return when the process at the end of a connection started, if it tells."""
    handle.ensure_available()
    await conn.request(encode_report_request(handle.replica.address))
    return decode_start_ms(await conn.read_all(MAX_BUFFERED_RESPONSE_BYTES))


def _is_attributable(info: ResponseInfo, conn: ClientConnection) -> bool:
    """Return whether a rejection answers the request that was sent.

    A duplicate of an earlier answer may arrive in place of the next one. The first
    answer on a connection can't be a duplicate, so only there a rejection without an
    attempt identifier is accepted. An identifier is proof, because no connection gets
    a request again that was rejected on it.
    """
    return info.id_matches or (info.id_missing and conn.requests == 1)


def _rejection_error(info: ResponseInfo) -> AttemptFailedError:
    if info.inputs_gone:
        return AttemptFailedError("inputs_gone", not_run=True, inputs_gone=True)
    if info.misdirected:
        return AttemptFailedError("misdirected", not_run=True)
    return AttemptFailedError("rejected", not_run=True)
