"""Orders of other gateways for pieces, whose results can be released by order.

Load pattern: callers that disconnect, or requests that time out, while the reply with
the names of their results is under way. The gateway that ordered the pieces never reads
the names, and the results would use space until they expire.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..core import TimerService
from ..metrics import Metrics
from .messages import PieceOrder, PieceReply, ReleaseOrder
from .owner_calls import LATE
from .owner_releases import OwnerReleases

# Bound of the results whose orders are kept, about 7 MB if each order has one. An owner
# that makes 2,700 pieces a second with a lifetime of 4 s has 11,000.
MAX_RESULTS = 16_384
# A cancellation may overtake its order, for instance if the order lies in the socket
# buffer of a paused gateway. The connection of the order is closed by then, so the
# order ends soon after it has arrived.
OVERTAKEN_SECONDS = 10.0
MAX_OVERTAKEN = 4096


@dataclass(frozen=True, slots=True)
class _Answered:
    """Results that the reply to an order named; they exist until ``expires_at``."""

    service: str
    handles: list[str]
    expires_at: float


class RemoteOrders:
    """Makes pieces for other gateways, and releases the results of cancelled orders.

    Only an order that its sender cancels loses its results; the sender uses no reply to
    it. Whether the sender is reachable, or has read the reply, is never guessed.

    Parameters
    ----------
    make_pieces : callable
        Makes the pieces of an order.
    releases : OwnerReleases
        Releases results through their owners.
    result_life_s : callable
        Returns the seconds after which unused results of a service expire.
    """

    def __init__(
        self,
        make_pieces: Callable[[PieceOrder], Awaitable[PieceReply]],
        releases: OwnerReleases,
        result_life_s: Callable[[str], float],
        *,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._make_pieces = make_pieces
        self._releases = releases
        self._result_life_s = result_life_s
        self._timers = timers
        self._metrics = metrics
        self._running: dict[str, asyncio.Task] = {}
        # Oldest first. The lifetimes of two services may differ, so an entry may stay
        # until those before it have expired.
        self._answered: OrderedDict[str, _Answered] = OrderedDict()
        self._result_count = 0
        # Cancelled orders that have not arrived, with the time until they are kept.
        self._overtaken: OrderedDict[str, float] = OrderedDict()
        self._is_expiry_scheduled = False

    @property
    def held_results(self) -> int:
        """Number of results whose orders are kept."""
        return self._result_count

    async def make_pieces(self, order: PieceOrder) -> PieceReply:
        """Make the pieces of an order, and keep the names of their results.

        The pieces of an order that is cancelled meanwhile are released, and its task is
        cancelled. Gateways of the previous release name no order; nothing is kept then.
        """
        if not order.order_id:
            return await self._make_pieces(order)
        if self._overtaken.pop(order.order_id, None) is not None:
            return PieceReply({}, LATE)
        self._running[order.order_id] = asyncio.current_task()
        try:
            reply = await self._make_pieces(order)
        finally:
            del self._running[order.order_id]
        self._keep(order, list(reply.handles.values()))
        return reply

    def release(self, order: ReleaseOrder) -> None:
        """Release named results, and those of cancelled orders."""
        if order.handles:
            self._releases.receive(order)
        for order_id in order.cancelled_orders:
            self._metrics.piece_cancels.labels(self._cancel(order_id)).inc()

    def _cancel(self, order_id: str) -> str:
        """Cancel an order, and return the state in which it was found."""
        self._expire()
        if (task := self._running.get(order_id)) is not None:
            task.cancel()
            return "running"
        if (answered := self._answered.pop(order_id, None)) is not None:
            self._result_count -= len(answered.handles)
            self._releases.release(answered.service, answered.handles)
            return "released"
        self._overtaken[order_id] = self._timers.now() + OVERTAKEN_SECONDS
        if len(self._overtaken) > MAX_OVERTAKEN:
            self._overtaken.popitem(last=False)
        self._schedule_expiry()
        return "unknown"

    def _keep(self, order: PieceOrder, handles: list[str]) -> None:
        if not handles:
            return
        expires_at = self._timers.now() + self._result_life_s(order.service)
        self._answered[order.order_id] = _Answered(order.service, handles, expires_at)
        self._result_count += len(handles)
        while self._result_count > MAX_RESULTS:
            self._drop_oldest()
            self._metrics.drops.labels("piece_order").inc()
        self._schedule_expiry()

    def _drop_oldest(self) -> None:
        _, answered = self._answered.popitem(last=False)
        self._result_count -= len(answered.handles)

    def _expire(self) -> None:
        """Remove the oldest entries while they have expired."""
        now = self._timers.now()
        while self._answered and next(iter(self._answered.values())).expires_at <= now:
            self._drop_oldest()
        while self._overtaken and next(iter(self._overtaken.values())) <= now:
            self._overtaken.popitem(last=False)

    def _schedule_expiry(self) -> None:
        if self._is_expiry_scheduled:
            return
        times = [each.expires_at for each in list(self._answered.values())[:1]]
        times += list(self._overtaken.values())[:1]
        if times:
            self._is_expiry_scheduled = True
            delay_s = max(0.0, min(times) - self._timers.now())
            self._timers.call_after(delay_s, self._on_expiry)

    def _on_expiry(self) -> None:
        self._is_expiry_scheduled = False
        self._expire()
        self._schedule_expiry()
