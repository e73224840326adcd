"""Cancels orders for pieces at other gateways whose replies are not used."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable

from ..core import TimerService, new_identifier
from ..metrics import Metrics
from .errors import PeerError
from .messages import ReleaseOrder
from .peers import Peers

# Results must be released within a second, also if one message is lost: the second one
# is sent after the sum of these times.
CANCEL_TIMEOUT_SECONDS = 0.4
RESEND_DELAY_SECONDS = 0.1
# A cancellation is sent again until the results have expired, but no longer than this.
MAX_RESEND_SECONDS = 10.0
# Bound of the orders that wait for their cancellation at one gateway. The oldest are
# dropped first, as their results expire first.
MAX_PENDING = 1024


class PieceCancels:
    """Sends cancellations to the gateways that have the orders, until they confirm.

    Each gateway gets one message at a time, with all orders that wait for it.

    Parameters
    ----------
    result_life_s : callable
        Returns the seconds after which unused results of a service expire.
    """

    def __init__(
        self,
        peers: Peers,
        result_life_s: Callable[[str], float],
        *,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._peers = peers
        self._result_life_s = result_life_s
        self._timers = timers
        self._metrics = metrics
        # By address: the orders to cancel, and until when their results exist at most.
        self._pending: dict[str, OrderedDict[str, float]] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._prefix = new_identifier("order")
        self._numbers = itertools.count()

    def new_order_id(self) -> str:
        """Return an identifier that no other order of any gateway has."""
        return f"{self._prefix}-{next(self._numbers)}"

    def cancel(self, owner: str, service: str, order_id: str) -> None:
        """Cancel an order whose reply was not read; the owner releases its results."""
        pending = self._pending.setdefault(owner, OrderedDict())
        life_s = min(MAX_RESEND_SECONDS, self._result_life_s(service))
        pending[order_id] = self._timers.now() + life_s
        if len(pending) > MAX_PENDING:
            pending.popitem(last=False)
            self._metrics.piece_cancels.labels("lost").inc()
        if owner not in self._tasks:
            self._tasks[owner] = asyncio.ensure_future(self._send_pending(owner))

    def close(self) -> None:
        """Cancel the messages in progress."""
        for task in self._tasks.values():
            task.cancel()

    async def _send_pending(self, owner: str) -> None:
        try:
            while pending := self._unexpired(owner):
                message = ReleaseOrder("", [], cancelled_orders=list(pending))
                try:
                    await self._peers.link(owner).call(
                        "/release", message, CANCEL_TIMEOUT_SECONDS
                    )
                except PeerError:
                    await self._timers.sleep(RESEND_DELAY_SECONDS)
                    continue
                for order_id in message.cancelled_orders:
                    pending.pop(order_id, None)
                self._metrics.piece_cancels.labels("sent").inc(
                    len(message.cancelled_orders)
                )
        finally:
            del self._tasks[owner]
            self._pending.pop(owner, None)

    def _unexpired(self, owner: str) -> OrderedDict[str, float]:
        """Return the orders to cancel at a gateway, without those that expired."""
        pending = self._pending[owner]
        now = self._timers.now()
        expired = [order_id for order_id, at in pending.items() if at <= now]
        for order_id in expired:
            del pending[order_id]
        self._metrics.piece_cancels.labels("lost").inc(len(expired))
        return pending
