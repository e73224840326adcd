"""Relay of a replica's response to the caller."""

import math
from collections.abc import Callable

from ..catalog import RouteKind
from ..core import TimerService, with_timeout
from ..http1 import ClientConnection, ResponseHead, ServerResponder
from ..limits import Lease, MemoryAccount, PressureLevel
from ..metrics import Metrics
from ..platform import event_id, relay_headers
from ..retries import RetryBudget
from .context import RequestContext
from .errors import AttemptFailedError
from .event_stream import EventBuffer

# Responses up to this size are read completely before the caller gets the first byte,
# so that a repeatable request can still be sent to another replica.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# A resumable stream without an event for this long is resumed at another replica;
# callers abandon a stream after a gap of two seconds at the earliest.
STREAM_STALL_SECONDS = 2.0
# With an account of memory: bytes that are read from a replica at once. A larger part
# would take a slow caller so long that the replica's connection is unread meanwhile.
RELAY_PART_BYTES = 64 * 1024
# With an account of memory: a caller that reads too slowly for the buffers is
# disconnected once the replica's connection is unread for this long, because replicas
# abort responses that stay unread for some seconds.
MAX_UNREAD_SECONDS = 1.0
CALLER_STALLED = "caller_stalled"
HELD_RESPONSES = "responses"


class StallDetector:
    """Stall time-out of one stream.

    Attributes
    ----------
    last_event_at : float
        Time of the last event, or of the start of the stream.
    may_fail_over : bool
        Whether the stream may be resumed at another replica. If not, it has no stall
        time-out.
    """

    __slots__ = ("last_event_at", "may_fail_over")

    def __init__(self, now: float, may_fail_over: bool):
        self.last_event_at = now
        self.may_fail_over = may_fail_over

    def remaining_s(self, now: float) -> float:
        """Return the time left until the stream counts as stalled."""
        if not self.may_fail_over:
            return math.inf
        return max(0.0, self.last_event_at + STREAM_STALL_SECONDS - now)


class ResponseRelay:
    """Relays complete responses and event streams.

    Parameters
    ----------
    budget_of : callable
        Returns the retry budget of a service.
    on_progress : callable
        Called with the request after each part of its event stream.
    memory : MemoryAccount, optional
        Account of the bytes that are read from replicas and not written yet.
    """

    def __init__(
        self,
        budget_of: Callable[[str], RetryBudget],
        on_progress: Callable[[RequestContext], None],
        timers: TimerService,
        metrics: Metrics,
        memory: MemoryAccount | None = None,
    ):
        self._memory = memory
        self._budget_of = budget_of
        self._on_progress = on_progress
        self._timers = timers
        self._metrics = metrics

    async def relay(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        conn: ClientConnection,
        responder: ServerResponder,
        *,
        may_fail_over: bool,
    ) -> None:
        """Relay the response that starts with ``head``.

        ``may_fail_over`` tells whether the request may be sent to another replica.

        Raises
        ------
        AttemptFailedError, HttpError, TimeoutError
            If the response is incomplete, or another attempt is to replace it.
        """
        if ctx.route.kind is RouteKind.STREAM and head.status == 200:
            relay = self._relay_events
        elif responder.started:
            # The caller has the first part of a stream, which only events can continue.
            raise AttemptFailedError("resume_failed", not_run=False)
        else:
            relay = self._relay_body
        if self._memory is None:
            await relay(ctx, head, conn, responder, may_fail_over, None)
            return
        unread = self._memory.open(HELD_RESPONSES)
        held = self._memory.open(HELD_RESPONSES)
        conn.charge(unread)
        try:
            await relay(ctx, head, conn, responder, may_fail_over, held)
        finally:
            conn.charge(None)
            unread.release()
            held.release()

    async def _relay_body(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        conn: ClientConnection,
        responder: ServerResponder,
        may_fail_over: bool,
        held: Lease | None,
    ) -> None:
        body, is_complete = await self._read_buffered(ctx, conn, held)
        if head.status >= 500 and may_fail_over and is_complete:
            self._fail_if_retry_allowed(ctx)
        length = len(body) if is_complete else None
        responder.start(head.status, relay_headers(head), length, head.reason)
        responder.send(body)
        body = b""
        if held is not None:
            held.resize(0)
        await self._wait_for_caller(ctx, responder, conn)
        while not is_complete:
            data = await self._read(ctx, conn)
            is_complete = not data
            await self._send(ctx, responder, conn, data)
        responder.finish()

    async def _send(
        self,
        ctx: RequestContext,
        responder: ServerResponder,
        conn: ClientConnection,
        data: bytes,
    ) -> None:
        """Send bytes to the caller; wait until it can accept more.

        Raises
        ------
        AttemptFailedError
            As for ``_wait_for_caller``.
        """
        responder.send(data)
        await self._wait_for_caller(ctx, responder, conn)

    async def _wait_for_caller(
        self, ctx: RequestContext, responder: ServerResponder, conn: ClientConnection
    ) -> None:
        """Wait until the caller can accept more bytes.

        Raises
        ------
        AttemptFailedError
            With code ``caller_slow`` if the wait reaches the end of the request. With
            an account of memory, with code ``caller_stalled`` if the replica's
            connection is unread for too long, and another run of the request gives the
            response again.
        """
        while responder.congested:
            ctx.is_caller_slow = True
            now = self._timers.now()
            remaining_s = wait_s = max(0.0, ctx.end_at - now)
            if self._memory is not None and ctx.route.repeatable:
                unread_since = conn.unread_since
                unread_s = now - unread_since if unread_since is not None else 0.0
                if unread_s >= MAX_UNREAD_SECONDS:
                    raise AttemptFailedError(CALLER_STALLED, not_run=False)
                wait_s = min(remaining_s, MAX_UNREAD_SECONDS - unread_s)
            try:
                await with_timeout(self._timers, responder.drain(), wait_s)
                return
            except TimeoutError as exc:
                if wait_s >= remaining_s:
                    raise AttemptFailedError("caller_slow", not_run=False) from exc

    def _fail_if_retry_allowed(self, ctx: RequestContext) -> None:
        """Discard the error response if the budget allows another attempt.

        Raises
        ------
        AttemptFailedError
            With code ``replica_error`` if the budget was charged for another attempt.
        """
        if self._budget_of(ctx.service).try_withdraw(self._timers.now()):
            self._metrics.retries.labels("replica_error").inc()
            raise AttemptFailedError(
                "replica_error", not_run=False, is_retry_charged=True
            )

    async def _read_buffered(
        self, ctx: RequestContext, conn: ClientConnection, held: Lease | None
    ) -> tuple[bytes, bool]:
        """Return the start of a body, and whether that is the complete body.

        Less is buffered while memory is short; the caller then gets the start earlier.
        """
        parts: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_RESPONSE_BYTES:
            data = await self._read(ctx, conn)
            if not data:
                return b"".join(parts), True
            parts.append(data)
            size += len(data)
            if held is not None:
                held.resize(size)
                if self._memory.level >= PressureLevel.SHEDDING:
                    break
        return b"".join(parts), False

    async def _read(
        self, ctx: RequestContext, conn: ClientConnection, max_s: float = float("inf")
    ) -> bytes:
        remaining_s = ctx.end_at - self._timers.now()
        if remaining_s <= 0.0:
            raise TimeoutError(
                "the request reached its deadline or the time-out of its route"
            )
        max_bytes = RELAY_PART_BYTES if self._memory is not None else None
        return await with_timeout(
            self._timers, conn.read(max_bytes), min(remaining_s, max_s)
        )

    async def _relay_events(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        conn: ClientConnection,
        responder: ServerResponder,
        may_fail_over: bool,
        held: Lease | None,
    ) -> None:
        """Relay events as they arrive; incomplete events are held back."""
        buffer = EventBuffer()
        stall_detector = StallDetector(self._timers.now(), may_fail_over)
        while data := await self._read_event_bytes(ctx, conn, stall_detector):
            if not ctx.stream_started_at:
                ctx.stream_started_at = self._timers.now()
                ctx.on_stream_started()
            self._on_progress(ctx)
            events = buffer.feed(data)
            if held is not None:
                held.resize(buffer.size)
            if any(event_id(event) for event in events):
                stall_detector.last_event_at = self._timers.now()
            if events:
                await self._send_events(ctx, head, events, responder, conn)
        if buffer.is_within_event:
            # The replica has broken off, even if the framing of the body is complete.
            raise AttemptFailedError("truncated", not_run=False)
        if not responder.started:
            responder.start(head.status, relay_headers(head), None, head.reason)
        await self._send(ctx, responder, conn, buffer.remainder)
        responder.finish()

    async def _read_event_bytes(
        self, ctx: RequestContext, conn: ClientConnection, stall_detector: StallDetector
    ) -> bytes:
        """Return the next bytes of a stream; empty at its end.

        Only complete events with an identifier restart the stall time-out. A stalled
        stream is moved to another replica only if the retry budget allows it. Otherwise
        the current replica is the caller's best chance, and the stall time-out is
        disabled.

        Raises
        ------
        AttemptFailedError
            With code ``stalled`` if the budget was charged for another attempt.
        TimeoutError
            If the request has reached its deadline or the time-out of its route.
        """
        while True:
            remaining_s = stall_detector.remaining_s(self._timers.now())
            try:
                return await self._read(ctx, conn, remaining_s)
            except TimeoutError:
                now = self._timers.now()
                if now >= ctx.end_at:
                    raise
            if conn.can_read_immediately:
                # After a pause of this process, timers fire before the received bytes
                # are read.
                stall_detector.last_event_at = now
                continue
            if stall_detector.remaining_s(now) > 0.0:
                continue
            if self._budget_of(ctx.service).try_withdraw(now):
                self._metrics.retries.labels("stalled").inc()
                raise AttemptFailedError(
                    "stalled", not_run=False, is_retry_charged=True
                )
            stall_detector.may_fail_over = False

    async def _send_events(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        events: list[bytes],
        responder: ServerResponder,
        conn: ClientConnection,
    ) -> None:
        if not responder.started:
            responder.start(head.status, relay_headers(head), None, head.reason)
        if ctx.required_version is None:
            ctx.required_version = ctx.sent_version
        for event in events:
            ctx.last_event_id = event_id(event) or ctx.last_event_id
        await self._send(ctx, responder, conn, b"".join(events))
