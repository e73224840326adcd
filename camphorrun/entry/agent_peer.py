"""One agent as an entry sees it: its link, its load and the attempts sent to it."""

import asyncio
import contextlib
from collections.abc import Callable
from functools import singledispatchmethod

from ..clients import HostEntry
from ..core import TimerHandle, TimerService, with_timeout
from ..messages import (
    AttemptId,
    AttemptUnknown,
    Cancel,
    ClaimLost,
    Dispatch,
    DrainNotice,
    Hello,
    LoadReport,
    NotStarted,
    OutcomeReply,
    Pong,
    ResultAck,
    ResultEnd,
    ResultPart,
    Resume,
)
from ..metrics import Metrics
from ..routing import EndpointState
from ..transport import Link, LinkDialer, LinkError, LinkEvents
from .errors import AttemptLostError

# A link that is down this long is not waited for: the attempt counts as lost. See
# transport.dialer for the target that this time is a part of.
LINK_LOSS_GRACE_SECONDS = 0.5
# Time in which the agent says whether an attempt that ran out of time was queued or
# running. Without an answer the endpoint is held responsible.
VERDICT_SECONDS = 1.0

AttemptResult = ResultEnd | NotStarted | ClaimLost
PartCallback = Callable[[ResultPart], None]
OutcomeCallback = Callable[[OutcomeReply], None]
PositionsCallback = Callable[[dict[str, int]], None]
IncarnationCallback = Callable[[str, str], None]


class _PendingAttempt:
    """An attempt whose final message has not arrived."""

    __slots__ = ("dispatch", "fut", "next_sequence", "on_part", "parts")

    def __init__(self, dispatch: Dispatch, on_part: PartCallback | None):
        self.dispatch = dispatch
        self.on_part = on_part
        self.fut = asyncio.get_running_loop().create_future()
        self.next_sequence = 0
        self.parts: list[bytes] = []

    def add(self, part: ResultPart) -> bool:
        """Take the next part in order; return False for one out of order."""
        if part.sequence != self.next_sequence:
            return False
        self.next_sequence += 1
        self.parts.append(part.data)
        if self.on_part is not None:
            self.on_part(part)
        return True


class AgentPeer(LinkEvents):
    """Sends attempts to one agent and matches the replies.

    Parameters
    ----------
    listed : HostEntry
        Where the agent is.
    state : EndpointState
        Routing state, updated here.
    timers, metrics
        Clock and counters.
    positions : callable
        Stream positions of this process, for heartbeats.
    on_outcome : callable
        Receives answers to outcome queries.
    on_positions : callable
        Receives the stream positions of the agent.
    on_incarnation : callable
        Receives host and incarnation of the agent when a link is up.
    """

    def __init__(
        self,
        listed: HostEntry,
        state: EndpointState,
        timers: TimerService,
        metrics: Metrics,
        *,
        positions: Callable[[], dict[str, int]],
        on_outcome: OutcomeCallback,
        on_positions: PositionsCallback = lambda _positions: None,
        on_incarnation: IncarnationCallback = lambda _host, _incarnation: None,
    ):
        self.listed = listed
        self.state = state
        self.dialer: LinkDialer | None = None
        self.incarnation = ""
        self.peer_positions: dict[str, int] = {}
        self._timers = timers
        self._metrics = metrics
        self._positions = positions
        self._on_outcome = on_outcome
        self._on_positions = on_positions
        self._on_incarnation = on_incarnation
        self._pending: dict[AttemptId, _PendingAttempt] = {}
        self._timed_out: dict[AttemptId, TimerHandle] = {}
        self._loss_timer = None

    async def attempt(
        self,
        dispatch: Dispatch,
        on_part: PartCallback | None,
        timeout_s: float,
    ) -> tuple[AttemptResult, list[bytes]]:
        """Send a dispatch and return its final message and the streamed parts.

        Raises
        ------
        AttemptLostError
            If what became of the attempt cannot be known in time.
        """
        pending = _PendingAttempt(dispatch, on_part)
        self._pending[dispatch.attempt] = pending
        self.state.on_dispatch()
        try:
            return await self._send_and_wait(pending, timeout_s)
        finally:
            self._pending.pop(dispatch.attempt, None)

    async def _send_and_wait(
        self, pending: _PendingAttempt, timeout_s: float
    ) -> tuple[AttemptResult, list[bytes]]:
        attempt = pending.dispatch.attempt
        try:
            self.dialer.send(pending.dispatch)
        except LinkError as exc:
            return NotStarted(attempt, exc.code), []
        try:
            result = await with_timeout(self._timers, pending.fut, timeout_s)
        except TimeoutError as exc:
            self._await_verdict(attempt)
            self._send(Cancel(attempt))
            raise AttemptLostError("no result in time", code="timeout") from exc
        except asyncio.CancelledError:
            self._send(Cancel(attempt))
            raise
        self._send(ResultAck(attempt))
        return result, pending.parts

    def _await_verdict(self, attempt: AttemptId) -> None:
        """Leave open whether a timeout is the fault of the endpoint."""
        self._timed_out[attempt] = self._timers.call_after(
            VERDICT_SECONDS, lambda: self._judge_timeout(attempt, None)
        )

    def _judge_timeout(self, attempt: AttemptId, result: AttemptResult | None) -> None:
        """Count a timeout as a failure unless the attempt mostly waited in the queue.

        A service in overload lets attempts run out of time in its queues, which says
        nothing against the endpoint; one that never answers keeps them running.
        """
        self._timed_out.pop(attempt).cancel()
        if isinstance(result, NotStarted | ClaimLost) or mostly_queued(result):
            self.state.on_cancel()
        else:
            self.state.on_result(False, 0.0, self._timers.now())

    def send(self, message: object) -> bool:
        """Send a message; return whether there was a link."""
        return self._send(message)

    def _send(self, message: object) -> bool:
        try:
            self.dialer.send(message)
        except LinkError:
            return False
        return True

    # Link events.

    def link_up(self, link: Link, peer: Hello) -> None:
        """Resume what is in flight, or give it up if the agent was replaced."""
        if self._loss_timer is not None:
            self._loss_timer.cancel()
            self._loss_timer = None
        if self.incarnation and peer.incarnation != self.incarnation:
            self._fail_all("agent_replaced")
        self.incarnation = peer.incarnation
        self._on_incarnation(self.listed.host, peer.incarnation)
        self.state.on_link(True, self._timers.now())
        self.state.set_draining(False)
        for pending in tuple(self._pending.values()):
            attempt = pending.dispatch.attempt
            self._metrics.retries.labels("resume").inc()
            with contextlib.suppress(LinkError):
                link.send(Resume(attempt, self.incarnation, pending.next_sequence))

    def link_down(self, reason: str) -> None:
        """Stop routing here; give attempts up if the link stays down."""
        self.state.on_link(False, self._timers.now())
        self._loss_timer = self._timers.call_after(
            LINK_LOSS_GRACE_SECONDS, lambda: self._fail_all("link_lost")
        )

    def positions(self) -> dict[str, int]:
        """Return the stream positions of this process."""
        return self._positions()

    def is_busy(self) -> bool:
        """Return whether attempts are in flight."""
        return bool(self._pending)

    def close(self, code: str) -> None:
        """Give up everything in flight, for a host that left the list."""
        self._fail_all(code)

    def _fail_all(self, code: str) -> None:
        for pending in tuple(self._pending.values()):
            if not pending.fut.done():
                pending.fut.set_exception(AttemptLostError("attempt lost", code=code))

    # Messages.

    @singledispatchmethod
    def handle(self, message: object, link: Link) -> None:
        """Handle a message of the agent; unexpected kinds are counted."""
        self._metrics.drops.labels("unexpected_message").inc()

    @handle.register
    def _(self, message: Pong, link: Link) -> None:
        self._report(message.load)
        self.peer_positions = message.positions
        self._on_positions(message.positions)
        self.state.set_draining(message.draining)

    @handle.register
    def _(self, message: DrainNotice, link: Link) -> None:
        self.state.set_draining(True)

    @handle.register
    def _(self, message: ResultPart, link: Link) -> None:
        pending = self._match(message.attempt)
        if pending is not None and not pending.add(message):
            self._metrics.drops.labels("part_out_of_order").inc()

    @handle.register
    def _(self, message: ResultEnd, link: Link) -> None:
        self._report(message.load)
        pending = self._match(message.attempt, message)
        if pending is None:
            return
        if pending.next_sequence != message.parts and message.ok:
            self._metrics.drops.labels("incomplete_stream").inc()
            self._send(Resume(message.attempt, self.incarnation, pending.next_sequence))
            return
        self._resolve(pending, message)

    @handle.register
    def _(self, message: NotStarted, link: Link) -> None:
        self._report(message.load)
        self._resolve(self._match(message.attempt, message), message)

    @handle.register
    def _(self, message: ClaimLost, link: Link) -> None:
        self._resolve(self._match(message.attempt, message), message)

    @handle.register
    def _(self, message: AttemptUnknown, link: Link) -> None:
        pending = self._match(message.attempt)
        if pending is None:
            return
        if message.incarnation == pending.dispatch.incarnation:
            code = "attempt_unknown"
            self._resolve(pending, NotStarted(message.attempt, code))
        else:
            self._fail_all("agent_replaced")

    @handle.register
    def _(self, message: OutcomeReply, link: Link) -> None:
        self._on_outcome(message)

    def _match(
        self, attempt: AttemptId, result: AttemptResult | None = None
    ) -> _PendingAttempt | None:
        if result is not None and attempt in self._timed_out:
            self._judge_timeout(attempt, result)
            self._send(ResultAck(attempt))
            return None
        pending = self._pending.get(attempt)
        if result is not None and pending is None:
            # The agent keeps a result until it is acknowledged, and a drain waits.
            self._send(ResultAck(attempt))
        if pending is None or pending.fut.done():
            self._metrics.drops.labels("unmatched_reply").inc()
            return None
        return pending

    def _resolve(self, pending: _PendingAttempt | None, result: AttemptResult) -> None:
        if pending is not None and not pending.fut.done():
            pending.fut.set_result(result)

    def _report(self, load: LoadReport) -> None:
        self.state.on_report(load, self._timers.now())


def mostly_queued(result: object) -> bool:
    """Return whether a failed attempt waited longer than it ran."""
    cost = getattr(result, "cost", None)
    return cost is not None and cost.queue_s > cost.busy_s
