"""Passes the answer of a replica on to the caller."""

from collections.abc import Callable

from ..catalog import RouteKind
from ..core import TimerService, bounded
from ..http1 import ClientConnection, ResponseHead, ServerResponder
from ..metrics import Metrics
from ..platform import event_id, relay_headers
from ..retries import RetryBudget
from .context import RequestContext
from .errors import AttemptFailedError
from .events import EventBuffer

# Answers up to this size are read to their end before the caller gets the first byte,
# so that a repeatable request can still be sent to another replica.
BUFFERED_ANSWER_BYTES = 256 * 1024
# A resumable stream that pauses for longer goes on at another replica; callers leave
# after two seconds at the earliest.
STREAM_GAP_SECONDS = 2.0


class AnswerRelay:
    """Relays whole answers and streams of events.

    Parameters
    ----------
    budget_of : callable
        Returns the retry budget of a service.
    """

    def __init__(
        self,
        budget_of: Callable[[str], RetryBudget],
        timers: TimerService,
        metrics: Metrics,
    ):
        self._budget_of = budget_of
        self._timers = timers
        self._metrics = metrics

    async def relay(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        conn: ClientConnection,
        responder: ServerResponder,
        *,
        may_move: bool,
    ) -> None:
        """Pass on the answer that begins with ``head``.

        ``may_move`` tells whether the request may be sent to another replica.

        Raises
        ------
        AttemptFailedError, HttpError, TimeoutError
            If the answer is incomplete, or another attempt is to replace it.
        """
        if ctx.route.kind is RouteKind.STREAM and head.status == 200:
            await self._relay_events(ctx, head, conn, responder, may_move)
        elif responder.started:
            # A resumed stream that is answered by anything but events.
            raise AttemptFailedError("resume_failed", not_run=False)
        else:
            await self._relay_body(ctx, head, conn, responder, may_move)

    async def _relay_body(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        conn: ClientConnection,
        responder: ServerResponder,
        may_move: bool,
    ) -> None:
        body, is_whole = await self._read_ahead(ctx, conn)
        if head.status >= 500 and may_move and is_whole:
            self._replace_failure(ctx)
        length = len(body) if is_whole else None
        responder.start(head.status, relay_headers(head), length, head.reason)
        await responder.write(body)
        while not is_whole:
            data = await self._read(ctx, conn)
            is_whole = not data
            await responder.write(data)
        responder.finish()

    def _replace_failure(self, ctx: RequestContext) -> None:
        """Drop a replica's failure if the budget allows another attempt."""
        if self._budget_of(ctx.service).try_withdraw(self._timers.now()):
            self._metrics.retries.labels("replica_error").inc()
            raise AttemptFailedError(
                "replica_error", not_run=False, is_repeat_paid=True
            )

    async def _read_ahead(
        self, ctx: RequestContext, conn: ClientConnection
    ) -> tuple[bytes, bool]:
        """Return the first bytes of a body, and whether they are all of it."""
        parts: list[bytes] = []
        size = 0
        while size <= BUFFERED_ANSWER_BYTES:
            data = await self._read(ctx, conn)
            if not data:
                return b"".join(parts), True
            parts.append(data)
            size += len(data)
        return b"".join(parts), False

    async def _read(
        self, ctx: RequestContext, conn: ClientConnection, most_s: float = float("inf")
    ) -> bytes:
        left_s = ctx.end_at - self._timers.now()
        if left_s <= 0.0:
            raise TimeoutError("the time of the request is over")
        return await bounded(self._timers, conn.read(), min(left_s, most_s))

    async def _relay_events(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        conn: ClientConnection,
        responder: ServerResponder,
        may_move: bool,
    ) -> None:
        """Pass on events as they arrive, each one whole."""
        buffer = EventBuffer()
        gap_s = STREAM_GAP_SECONDS if may_move else float("inf")
        while data := await self._read(ctx, conn, gap_s):
            if not ctx.begun_at:
                ctx.begun_at = self._timers.now()
                ctx.on_begun()
            events = buffer.feed(data)
            if events:
                await self._pass_on(ctx, head, events, responder)
        if not responder.started:
            responder.start(head.status, relay_headers(head), None, head.reason)
        await responder.write(buffer.rest)
        responder.finish()

    async def _pass_on(
        self,
        ctx: RequestContext,
        head: ResponseHead,
        events: list[bytes],
        responder: ServerResponder,
    ) -> None:
        if not responder.started:
            responder.start(head.status, relay_headers(head), None, head.reason)
        for event in events:
            ctx.last_event = event_id(event) or ctx.last_event
        await responder.write(b"".join(events))
