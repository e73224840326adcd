"""Sends a request to replicas until one answers or no further attempt is allowed."""

import asyncio
from random import Random

from ..catalog import RouteKind
from ..core import EventLog, TimerService, with_timeout
from ..http1 import (
    ClientConnection,
    HttpError,
    ResponseHead,
    ServerResponder,
)
from ..metrics import Metrics
from ..pipeline import FirstEventTimes
from ..platform import (
    ResponseInfo,
    decode_response_info,
    encode_request,
)
from ..retries import RetryBudget
from ..routing import (
    AffinityPolicy,
    NoEndpoint,
    RouteChoice,
    Router,
    StageRequest,
)
from .context import RequestContext
from .errors import (
    AttemptFailedError,
    EventError,
    InputsGoneError,
    RefusedError,
    ReplicaUnavailableError,
)
from .permits import Permit
from .replicas import ReplicaHandle, ReplicaPool, endpoints
from .response_relay import MAX_BUFFERED_RESPONSE_BYTES, ResponseRelay

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
# Length of a shared prompt prefix from which the cache of an engine determines where
# the request runs.
MIN_AFFINITY_PREFIX_TOKENS = 1000
RETRY_AFTER_SECONDS = 0.3
# A replica that rejected a request is avoided for this time, unless no other replica is
# available.
REJECTION_BACKOFF_SECONDS = 0.25
# No attempt starts if less time than this is left.
MIN_ATTEMPT_SECONDS = 0.02
# Share of the remaining time that a request waits for a permit if the rate limits of
# all replicas are used up. It is rejected at once if it would have to wait longer.
MAX_PERMIT_WAIT_SHARE = 0.5
# Failures before anything was sent: another attempt is not charged as a retry.
UNSENT_CODES = frozenset(
    {
        "connect_failed",
        "connect_timeout",
        "replica_draining",
        "replica_leaving",
        "replica_limited",
        "replica_resting",
    }
)
# Failures that don't count in the health statistics of the replica.
HEALTH_NEUTRAL_CODES = frozenset(
    {
        "caller_slow",
        "deadline",
        "rejected",
        "replica_draining",
        "replica_leaving",
        "replica_limited",
        "replica_resting",
    }
)


class Attempts:
    """Chooses replicas for requests, sends them and retries where that is safe.

    Parameters
    ----------
    replicas : ReplicaPool
        Replicas of all services.
    budget_of : callable
        Returns the retry budget of a service.
    availability_zone : str
        Zone of this gateway.
    seed : int
        Seed of the random choices of the routers.
    """

    def __init__(
        self,
        replicas: ReplicaPool,
        budget_of,
        availability_zone: str,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
        seed: int = 0,
    ):
        self._replicas = replicas
        self._budget_of = budget_of
        self._relay = ResponseRelay(budget_of, timers, metrics)
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._first_event_times = FirstEventTimes()
        rng = Random(seed)
        self._load_router = Router(None, availability_zone, rng.getrandbits(32))
        self._affinity_router = Router(
            AffinityPolicy(), availability_zone, rng.getrandbits(32)
        )

    async def answer(self, ctx: RequestContext, responder: ServerResponder) -> None:
        """Send a request to replicas and relay the answer to the caller.

        A response that has started and can't be continued is aborted.

        Raises
        ------
        RefusedError
            If no response has started and no further attempt is allowed.
        InputsGoneError
            If a replica lacks a stage result. That replica has not run the request; the
            stages must be run again.
        """
        budget: RetryBudget = self._budget_of(ctx.service)
        budget.deposit(self._timers.now())
        rejections = 0
        reason = ""
        while True:
            handle, permit = await self._reserve_replica(ctx, reason)
            try:
                await self._attempt(ctx, handle, permit, responder)
                return
            except AttemptFailedError as exc:
                reason = exc.code
                self._record_failure(ctx, handle, exc)
                if exc.inputs_gone:
                    raise InputsGoneError(reason) from exc
                rejections += exc.not_run
                is_charged = exc.is_retry_charged
            if not is_charged and not self._may_retry(ctx, budget, rejections, reason):
                self._abort_or_refuse(ctx, responder, reason)
                return

    async def _reserve_replica(
        self, ctx: RequestContext, reason: str
    ) -> tuple[ReplicaHandle, Permit | None]:
        """Choose a replica and acquire a permit if it has a rate limit.

        A replica without a free permit is passed over. Only if no other replica is
        available, the request waits for a permit.

        Raises
        ------
        RefusedError
            If no replica may get the request in time.
        """
        while True:
            handle = self._choose_replica(ctx, reason)
            if handle is None:
                return await self._wait_for_permit(ctx)
            try:
                return handle, await handle.acquire_permit()
            except ReplicaUnavailableError:
                self._log_permit_refusal(ctx, handle)

    async def _wait_for_permit(
        self, ctx: RequestContext
    ) -> tuple[ReplicaHandle, Permit | None]:
        """Wait for the first permit of any replica, or refuse the request at once."""
        now = self._timers.now()
        # The stages of a request are wasted if it is refused.
        wait_until = ctx.objective_at if ctx.stage_results is None else ctx.end_at
        max_wait_s = max(0.0, wait_until - now) * MAX_PERMIT_WAIT_SHARE
        handle = self._replicas.next_permitted(ctx.service)
        if handle is not None and handle.available_at - now <= max_wait_s:
            try:
                return handle, await handle.acquire_permit(max_wait_s)
            except ReplicaUnavailableError:
                self._log_permit_refusal(ctx, handle)
        raise self._unavailable_refusal(ctx, "replicas_limited")

    def _log_permit_refusal(self, ctx: RequestContext, handle: ReplicaHandle) -> None:
        wait_s = handle.available_at - self._timers.now()
        self._events.log_decision(
            "permit_refused",
            ctx.request_id,
            replica=handle.replica.identifier,
            wait_s=round(wait_s, 3),
        )

    def _choose_replica(self, ctx: RequestContext, reason: str) -> ReplicaHandle | None:
        """Return a replica, None if only replicas without a permit are left."""
        now = self._timers.now()
        if ctx.end_at - now < MIN_ATTEMPT_SECONDS:
            raise self._refusal_error(ctx, reason or "deadline")
        handles = self._replicas.available(ctx.service)
        if not handles:
            if self._replicas.next_permitted(ctx.service) is not None:
                return None
            raise self._unavailable_refusal(ctx, reason)
        avoided = {
            h.replica.identifier for h in handles if now < h.rejection_backoff_until
        } | ctx.tried_replicas
        request = self._stage_request(ctx, ctx.end_at - now, avoided)
        router = self._affinity_router if ctx.route.uses_engine else self._load_router
        choice = router.choose(endpoints(handles), request, now)
        if isinstance(choice, NoEndpoint) and avoided:
            # No other replica is available, and one that rejected a request earlier may
            # accept this one.
            request = self._stage_request(ctx, ctx.end_at - now, set())
            choice = router.choose(endpoints(handles), request, now)
        if isinstance(choice, NoEndpoint):
            raise self._refusal_error(ctx, choice.reason)
        return self._log_choice(ctx, choice)

    def _unavailable_refusal(self, ctx: RequestContext, reason: str) -> RefusedError:
        """Return the error for a request while no replica accepts work."""
        pause = self._replicas.pause(ctx.service)
        if pause is not None:
            return self._refusal_error(ctx, f"replicas_{pause.reason}", pause.seconds)
        return self._refusal_error(ctx, reason or "no_endpoint")

    def expected_first_event_s(self, ctx: RequestContext) -> float:
        """Return the predicted time from the start of an attempt to its first event."""
        return self._first_event_times.expected_s(ctx.service, ctx.prompt_tokens)

    def permit_wait_s(self, ctx: RequestContext) -> float:
        """Return the time until the first permit, 0 unless all replicas lack one."""
        pause = self._replicas.pause(ctx.service)
        is_limited = pause is not None and pause.reason == "limited"
        return pause.seconds if is_limited else 0.0

    def preferred_zone(self, ctx: RequestContext) -> str:
        """Return the zone of the engine that has the request's prefix cached.

        Empty if the service has no engines, if the prefix is too short to determine
        where the request runs, or if no endpoint is available.
        """
        left_s = ctx.end_at - self._timers.now()
        request = self._stage_request(ctx, left_s, set())
        if (
            not ctx.route.uses_engine
            or request.prefix_tokens < MIN_AFFINITY_PREFIX_TOKENS
        ):
            return ""
        handles = self._replicas.available(ctx.service)
        choice = self._affinity_router.choose(
            endpoints(handles), request, self._timers.now()
        )
        if isinstance(choice, NoEndpoint):
            return ""
        return choice.endpoint.availability_zone

    def _stage_request(
        self, ctx: RequestContext, left_s: float, exclude: set[str]
    ) -> StageRequest:
        prompt = ctx.caller.prompt
        # All parts but the last one may be shared with other requests.
        shared_parts = prompt[:-1]
        sizes: dict[str, int] = {}
        if ctx.stage_results is not None:
            for result, size in ctx.stage_results.final_result_sizes(ctx.route):
                producer = self._replicas.at_address(result.partition("/")[0])
                if producer is not None:
                    zone = producer.replica.availability_zone
                    sizes[zone] = sizes.get(zone, 0) + size
        return StageRequest(
            ctx.service,
            prefix=shared_parts[-1].identifier if shared_parts else ctx.request_id,
            prefix_tokens=sum(part.tokens for part in shared_parts),
            input_bytes=tuple(sizes.items()),
            remaining_s=left_s,
            exclude=frozenset(exclude),
        )

    def _log_choice(self, ctx: RequestContext, choice: RouteChoice) -> ReplicaHandle:
        """Log the chosen replica and return its handle."""
        handle = self._replicas.get(choice.endpoint.host)
        self._events.log_decision(
            "attempt",
            ctx.request_id,
            replica=choice.endpoint.host,
            service=ctx.service,
            in_flight=choice.endpoint.in_flight,
            failure_rate=round(choice.endpoint.failure_rate, 3),
            probe=choice.probe,
            left_s=round(ctx.end_at - self._timers.now(), 3),
        )
        return handle

    def _may_retry(
        self, ctx: RequestContext, budget: RetryBudget, rejections: int, reason: str
    ) -> bool:
        """Return whether another attempt is allowed.

        The retry budget is charged for it, unless nothing was sent in the last one.
        """
        route = ctx.route
        if ctx.may_have_run and not route.repeatable:
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
        raise self._refusal_error(ctx, reason)

    def _refusal_error(
        self,
        ctx: RequestContext,
        reason: str,
        retry_after_s: float = RETRY_AFTER_SECONDS,
    ) -> RefusedError:
        """Return the error for a request that no replica answered.

        The status is 503 if no replica can have run the request, 504 after its deadline
        or time-out, and 502 otherwise.
        """
        if not ctx.may_have_run:
            return RefusedError(
                f"no replica ran the request: {reason}",
                code=reason,
                status=503,
                retry_after_s=retry_after_s,
            )
        is_late = self._timers.now() >= ctx.end_at - MIN_ATTEMPT_SECONDS
        return RefusedError(
            f"no replica answered the request: {reason}",
            code=reason,
            status=504 if is_late else 502,
        )

    def _record_failure(
        self, ctx: RequestContext, handle: ReplicaHandle, exc: AttemptFailedError
    ) -> None:
        ctx.tried_replicas.add(handle.replica.identifier)
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
        handle.endpoint.on_dispatch()
        succeeded = None
        conn = None
        try:
            conn = await self._connect(ctx, handle, permit)
            await self._exchange(ctx, handle, conn, responder)
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
            if conn is not None:
                handle.pool.release(conn)
            # Latency is measured to the start of a stream: its length depends on the
            # request and not on the speed of the replica.
            elapsed_s = (ctx.stream_started_at or self._timers.now()) - started_at
            if ctx.stream_started_at and ctx.route.uses_engine:
                tokens = ctx.prompt_tokens
                self._first_event_times.observe(ctx.service, tokens, elapsed_s)
            if succeeded is None:
                handle.endpoint.on_cancel()
            else:
                handle.endpoint.on_result(succeeded, elapsed_s, self._timers.now())

    async def _connect(
        self, ctx: RequestContext, handle: ReplicaHandle, permit: Permit | None
    ) -> ClientConnection:
        repeatable = ctx.route.repeatable
        idle_s = float("inf") if repeatable else MAX_UNSAFE_IDLE_SECONDS
        left_s = max(MIN_ATTEMPT_SECONDS, ctx.end_at - self._timers.now())
        try:
            conn = await with_timeout(
                self._timers,
                handle.pool.acquire(CONNECT_TIMEOUT_SECONDS, idle_s),
                left_s,
            )
        except HttpError as exc:
            raise AttemptFailedError(exc.code, not_run=True) from exc
        except TimeoutError as exc:
            raise AttemptFailedError("connect_timeout", not_run=True) from exc
        try:
            self._check_after_wait(ctx, handle, permit)
        except AttemptFailedError:
            handle.pool.release(conn)
            raise
        return conn

    def _check_after_wait(
        self, ctx: RequestContext, handle: ReplicaHandle, permit: Permit | None
    ) -> None:
        """Check deadline, replica and permit again after the wait for a connection.

        All of them may be outdated, also because the process was paused.

        Raises
        ------
        AttemptFailedError
            If the time is too short, or the replica accepts no requests any more.
        """
        if ctx.end_at - self._timers.now() < MIN_ATTEMPT_SECONDS:
            raise AttemptFailedError("deadline", not_run=True)
        try:
            handle.ensure_available(permit)
        except ReplicaUnavailableError as exc:
            raise AttemptFailedError(exc.code, not_run=True) from exc

    async def _exchange(
        self,
        ctx: RequestContext,
        handle: ReplicaHandle,
        conn: ClientConnection,
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
        ctx.may_have_run = True
        ctx.possible_runs += 1
        try:
            head = await self._send_request(ctx, conn, data)
            info = decode_response_info(head, ctx.caller)
            sent_at = now if info.id_matches else None
            handle.apply_notice(head, ctx.request_id, sent_at=sent_at)
            if info.not_run and _is_attributable(info, conn):
                await self._discard_body(conn)
                ctx.may_have_run = could_have_run
                ctx.possible_runs -= 1
                raise _rejection_error(info)
            if not info.id_matches or (200 <= head.status < 300 and not info.has_stamp):
                raise AttemptFailedError("foreign_answer", not_run=False)
            await self._relay.relay(
                ctx, head, conn, responder, may_fail_over=self._may_fail_over(ctx)
            )
        except HttpError as exc:
            conn.abort()
            raise AttemptFailedError(exc.code, not_run=False) from exc
        except TimeoutError as exc:
            conn.abort()
            raise AttemptFailedError("timeout", not_run=False) from exc
        except EventError as exc:
            conn.abort()
            raise AttemptFailedError(exc.code, not_run=False) from exc
        except AttemptFailedError as exc:
            if exc.code == "foreign_answer":
                conn.abort()
            raise

    async def _send_request(
        self, ctx: RequestContext, conn: ClientConnection, data: bytes
    ) -> ResponseHead:
        left_s = max(MIN_ATTEMPT_SECONDS, ctx.end_at - self._timers.now())
        if not self._may_fail_over(ctx):
            return await with_timeout(self._timers, conn.request(data), left_s)
        pending_head = asyncio.ensure_future(conn.request(data))
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


def _is_attributable(info: ResponseInfo, conn: ClientConnection) -> bool:
    """Return whether a rejection answers the request that was sent.

    A duplicate of an earlier answer may arrive in place of the next one. The first
    answer on a connection can't be a duplicate, so only there a rejection without an
    attempt identifier is accepted.
    """
    return info.id_matches or (info.id_missing and conn.requests == 1)


def _rejection_error(info: ResponseInfo) -> AttemptFailedError:
    if info.inputs_gone:
        return AttemptFailedError("inputs_gone", not_run=True, inputs_gone=True)
    if info.misdirected:
        return AttemptFailedError("misdirected", not_run=True)
    return AttemptFailedError("rejected", not_run=True)
