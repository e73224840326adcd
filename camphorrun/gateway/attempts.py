"""Sends a request to replicas until it has an answer or none can be had."""

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
    ReplicaBarredError,
)
from .replicas import ReplicaHandle, ReplicaPool, endpoints
from .response_relay import MAX_BUFFERED_RESPONSE_BYTES, ResponseRelay

CONNECT_TIMEOUT_SECONDS = 0.4
# Unsafe requests use no connection that was idle for longer: a replica that closes it
# at that moment leaves the outcome unknown.
UNSAFE_IDLE_SECONDS = 1.0
# A repeatable request without answer goes to another replica after this multiple of
# its objective, but not before the least time.
PATIENCE_FACTOR = 2.0
LEAST_PATIENCE_SECONDS = 0.3
STREAM_HEAD_SECONDS = 2.5
MAX_REJECTIONS = 4
# Shared tokens from which on a prefix decides where a request runs.
LONG_PREFIX_TOKENS = 1000
REFUSED_RETRY_SECONDS = 0.3
# A replica that rejected a request gets the next one after this time, or if no other
# replica is left.
REJECTION_PAUSE_SECONDS = 0.25
MIN_USEFUL_SECONDS = 0.02
# Attempts that ended before anything was sent; another one is no repeat.
UNSENT_CODES = frozenset(
    {
        "connect_failed",
        "connect_timeout",
        "replica_draining",
        "replica_leaving",
        "replica_resting",
    }
)
# Ends of an attempt that say nothing about the health of the replica.
BLAMELESS_CODES = frozenset(
    {
        "caller_slow",
        "deadline",
        "rejected",
        "replica_draining",
        "replica_leaving",
        "replica_resting",
    }
)


class Attempts:
    """Runs the attempts of requests.

    Parameters
    ----------
    replicas : ReplicaPool
        Replicas of all services.
    budget_of : callable
        Returns the retry budget of a service.
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
        self._first_events = FirstEventTimes()
        rng = Random(seed)
        self._plain = Router(None, availability_zone, rng.getrandbits(32))
        self._engine = Router(AffinityPolicy(), availability_zone, rng.getrandbits(32))

    async def answer(self, ctx: RequestContext, responder: ServerResponder) -> None:
        """Answer a request.

        Raises
        ------
        RefusedError
            If the caller has no answer yet and gets none from a replica.
        InputsGoneError
            If stage results must be made again; the request has not run there.
        """
        budget: RetryBudget = self._budget_of(ctx.service)
        budget.deposit(self._timers.now())
        rejections = 0
        reason = ""
        while True:
            handle = self._choose(ctx, reason)
            try:
                await self._attempt(ctx, handle, responder)
                return
            except AttemptFailedError as exc:
                reason = exc.code
                self._note_failure(ctx, handle, exc)
                if exc.inputs_gone:
                    raise InputsGoneError(reason) from exc
                rejections += exc.not_run
                is_paid = exc.is_repeat_paid
            if not is_paid and not self._may_repeat(ctx, budget, rejections, reason):
                self._give_up(ctx, responder, reason)
                return

    def _choose(self, ctx: RequestContext, reason: str) -> ReplicaHandle:
        now = self._timers.now()
        if ctx.end_at - now < MIN_USEFUL_SECONDS:
            raise self._refusal(ctx, reason or "deadline")
        handles = self._replicas.usable(ctx.service)
        if not handles:
            raise self._none_usable(ctx, reason)
        paused = {
            h.replica.identifier for h in handles if now < h.rejected_until
        } | ctx.tried
        request = self._stage_request(ctx, ctx.end_at - now, paused)
        router = self._engine if ctx.route.uses_engine else self._plain
        choice = router.choose(endpoints(handles), request, now)
        if isinstance(choice, NoEndpoint) and paused:
            # All others are gone; a replica that rejected may take it by now.
            request = self._stage_request(ctx, ctx.end_at - now, set())
            choice = router.choose(endpoints(handles), request, now)
        if isinstance(choice, NoEndpoint):
            raise self._refusal(ctx, choice.reason)
        return self._chosen(ctx, choice)

    def _none_usable(self, ctx: RequestContext, reason: str) -> RefusedError:
        """Return the refusal while no replica takes work."""
        rest_s = self._replicas.rest_left_s(ctx.service)
        if rest_s:
            return self._refusal(ctx, "replicas_resting", rest_s)
        return self._refusal(ctx, reason or "no_endpoint")

    def first_event_s(self, ctx: RequestContext) -> float:
        """Return the time to expect from the start of an attempt to its first event."""
        return self._first_events.expected_s(ctx.service, ctx.prompt_tokens)

    def preferred_zone(self, ctx: RequestContext) -> str:
        """Return the zone of the engine that holds a request's prefix.

        Empty if the prefix is too short to decide where the request runs.
        """
        left_s = ctx.end_at - self._timers.now()
        request = self._stage_request(ctx, left_s, set())
        if not ctx.route.uses_engine or request.prefix_tokens < LONG_PREFIX_TOKENS:
            return ""
        handles = self._replicas.usable(ctx.service)
        choice = self._engine.choose(endpoints(handles), request, self._timers.now())
        if isinstance(choice, NoEndpoint):
            return ""
        return choice.endpoint.availability_zone

    def _stage_request(
        self, ctx: RequestContext, left_s: float, exclude: set[str]
    ) -> StageRequest:
        prompt = ctx.caller.prompt
        # The last part belongs to the request alone; those before it are shared.
        shared = prompt[:-1]
        sizes: dict[str, int] = {}
        if ctx.results is not None:
            for result, size in ctx.results.final_sizes(ctx.route):
                maker = self._replicas.at_address(result.partition("/")[0])
                if maker is not None:
                    zone = maker.replica.availability_zone
                    sizes[zone] = sizes.get(zone, 0) + size
        return StageRequest(
            ctx.service,
            prefix=shared[-1].identifier if shared else ctx.request_id,
            prefix_tokens=sum(part.tokens for part in shared),
            input_bytes=tuple(sizes.items()),
            remaining_s=left_s,
            exclude=frozenset(exclude),
        )

    def _chosen(self, ctx: RequestContext, choice: RouteChoice) -> ReplicaHandle:
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

    def _may_repeat(
        self, ctx: RequestContext, budget: RetryBudget, rejections: int, reason: str
    ) -> bool:
        """Return whether the request may be sent once more."""
        route = ctx.route
        if ctx.sent and not route.repeatable:
            return False
        if ctx.runs >= route.max_attempts or rejections >= MAX_REJECTIONS:
            return False
        if reason in UNSENT_CODES:
            return True
        if not budget.try_withdraw(self._timers.now()):
            self._metrics.refusals.labels("retry_budget").inc()
            return False
        self._metrics.retries.labels(reason).inc()
        return True

    def _give_up(
        self, ctx: RequestContext, responder: ServerResponder, reason: str
    ) -> None:
        if responder.started:
            responder.abort()
            return
        raise self._refusal(ctx, reason)

    def _refusal(
        self,
        ctx: RequestContext,
        reason: str,
        retry_after_s: float = REFUSED_RETRY_SECONDS,
    ) -> RefusedError:
        """Return the answer for a request that no replica answered."""
        if not ctx.sent:
            return RefusedError(
                reason, code=reason, status=503, retry_after_s=retry_after_s
            )
        late = self._timers.now() >= ctx.end_at - MIN_USEFUL_SECONDS
        return RefusedError(reason, code=reason, status=504 if late else 502)

    def _note_failure(
        self, ctx: RequestContext, handle: ReplicaHandle, exc: AttemptFailedError
    ) -> None:
        ctx.tried.add(handle.replica.identifier)
        if exc.not_run:
            handle.rejected_until = self._timers.now() + REJECTION_PAUSE_SECONDS
        self._metrics.attempts.labels(ctx.service, exc.code).inc()
        self._events.log_decision(
            "attempt_failed",
            ctx.request_id,
            replica=handle.replica.identifier,
            reason=exc.code,
            not_run=exc.not_run,
            runs=ctx.runs,
            last_event=ctx.last_event,
        )

    # One attempt

    async def _attempt(
        self, ctx: RequestContext, handle: ReplicaHandle, responder: ServerResponder
    ) -> None:
        started_at = self._timers.now()
        ctx.begun_at = 0.0
        handle.endpoint.on_dispatch()
        ok = None
        conn = None
        try:
            conn = await self._connect(ctx, handle)
            await self._exchange(ctx, handle, conn, responder)
            ok = True
        except AttemptFailedError as exc:
            # A replica that is full, for instance, is busy and not broken.
            ok = None if exc.code in BLAMELESS_CODES else False
            raise
        except BaseException:
            if conn is not None:
                conn.abort()
            raise
        finally:
            if conn is not None:
                handle.pool.release(conn)
            # The length of a stream says nothing about the speed of its replica.
            elapsed_s = (ctx.begun_at or self._timers.now()) - started_at
            if ctx.begun_at and ctx.route.uses_engine:
                tokens = ctx.prompt_tokens
                self._first_events.note(ctx.service, tokens, elapsed_s)
            if ok is None:
                handle.endpoint.on_cancel()
            else:
                handle.endpoint.on_result(ok, elapsed_s, self._timers.now())

    async def _connect(
        self, ctx: RequestContext, handle: ReplicaHandle
    ) -> ClientConnection:
        repeatable = ctx.route.repeatable
        idle_s = float("inf") if repeatable else UNSAFE_IDLE_SECONDS
        left_s = max(MIN_USEFUL_SECONDS, ctx.end_at - self._timers.now())
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
            self._check_again(ctx, handle)
        except AttemptFailedError:
            handle.pool.release(conn)
            raise
        return conn

    def _check_again(self, ctx: RequestContext, handle: ReplicaHandle) -> None:
        """Check what may have changed while the request waited for a connection.

        The process may have been paused meanwhile.
        """
        if ctx.end_at - self._timers.now() < MIN_USEFUL_SECONDS:
            raise AttemptFailedError("deadline", not_run=True)
        try:
            handle.check()
        except ReplicaBarredError as exc:
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
            inputs=None if ctx.results is None else ctx.results.final(),
            resume_after=ctx.last_event or ctx.caller.resume_after,
        )
        was_sent = ctx.sent
        ctx.sent = True
        ctx.runs += 1
        try:
            head = await self._head(ctx, conn, data)
            handle.hear(head, ctx.request_id)
            info = decode_response_info(head, ctx.caller)
            if info.not_run and _is_believed(info, conn):
                await self._drop_body(conn)
                ctx.sent = was_sent
                ctx.runs -= 1
                raise _rejection(info)
            if not info.id_matches or (200 <= head.status < 300 and not info.has_stamp):
                raise AttemptFailedError("foreign_answer", not_run=False)
            await self._relay.relay(
                ctx, head, conn, responder, may_fail_over=self._may_move(ctx)
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

    async def _head(
        self, ctx: RequestContext, conn: ClientConnection, data: bytes
    ) -> ResponseHead:
        left_s = max(MIN_USEFUL_SECONDS, ctx.end_at - self._timers.now())
        if not self._may_move(ctx):
            return await with_timeout(self._timers, conn.request(data), left_s)
        waiting = asyncio.ensure_future(conn.request(data))
        try:
            patience_s = min(left_s, self._patience_s(ctx))
            return await self._patient(ctx, waiting, patience_s)
        finally:
            waiting.cancel()

    async def _patient(
        self,
        ctx: RequestContext,
        waiting: asyncio.Future[ResponseHead],
        patience_s: float,
    ) -> ResponseHead:
        """Wait for a head; give a silent replica up if the budget pays for another."""
        try:
            return await with_timeout(self._timers, asyncio.shield(waiting), patience_s)
        except TimeoutError:
            now = self._timers.now()
            if now >= ctx.end_at - MIN_USEFUL_SECONDS:
                raise
        if not waiting.done() and self._budget_of(ctx.service).try_withdraw(now):
            self._metrics.retries.labels("silent").inc()
            raise AttemptFailedError("silent", not_run=False, is_repeat_paid=True)
        return await with_timeout(self._timers, waiting, ctx.end_at - now)

    def _may_move(self, ctx: RequestContext) -> bool:
        """Return whether a replica that stays silent is given up for another one."""
        return ctx.route.repeatable and ctx.runs < ctx.route.max_attempts

    def _patience_s(self, ctx: RequestContext) -> float:
        if ctx.route.kind is RouteKind.STREAM:
            return max(STREAM_HEAD_SECONDS, ctx.route.objective_s)
        return max(LEAST_PATIENCE_SECONDS, ctx.route.objective_s * PATIENCE_FACTOR)

    async def _drop_body(self, conn: ClientConnection) -> None:
        try:
            await with_timeout(
                self._timers,
                conn.read_all(MAX_BUFFERED_RESPONSE_BYTES),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (HttpError, TimeoutError):
            conn.abort()


def _is_believed(info: ResponseInfo, conn: ClientConnection) -> bool:
    """Return whether a rejection belongs to the request that was sent.

    A second copy of an earlier answer may arrive where the next one is due. Only the
    first answer on a connection can be no copy; only there a rejection needs no name.
    """
    return info.id_matches or (info.id_missing and conn.requests == 1)


def _rejection(info: ResponseInfo) -> AttemptFailedError:
    if info.inputs_gone:
        return AttemptFailedError("inputs_gone", not_run=True, inputs_gone=True)
    if info.misdirected:
        return AttemptFailedError("misdirected", not_run=True)
    return AttemptFailedError("rejected", not_run=True)
