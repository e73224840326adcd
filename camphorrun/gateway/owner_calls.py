"""Requests pieces from the gateways that own stage services."""

from collections.abc import Awaitable, Callable, Set

import msgspec

from ..core import EventLog, TimerService
from ..metrics import Metrics
from .errors import PeerError
from .messages import HOME_PIECES_PATH, PIECES_PATH, PieceOrder, PieceReply
from .peers import Peers
from .piece_cancels import PieceCancels

# Unreachable owners after which a gateway makes the pieces itself.
MAX_OWNERS = 2
# After this many redirects the named daemon must make the pieces, because it may learn
# of its ownership later than the previous owner.
MAX_REDIRECTS = 1
MIN_TIMEOUT_SECONDS = 0.05
# Fault codes of a reply that the requesting gateway handles itself.
MOVED = "moved"
BUSY = "busy"
LATE = "late"
# The owner has no configuration yet, so another one must make the pieces.
UNCONFIGURED = "unconfigured"


class OwnerCalls:
    """Client for the owners of stage services.

    Parameters
    ----------
    owners_of : callable
        Returns the addresses of the owners of a service's shard, by preference.
    make_pieces : callable
        Makes pieces at this gateway.
    release : callable
        Releases results of a service.
    cancels : PieceCancels
        Cancels orders whose replies are not read.
    """

    def __init__(
        self,
        peers: Peers,
        owners_of: Callable[[str, str], list[str]],
        own_address: str,
        make_pieces: Callable[[PieceOrder], Awaitable[PieceReply]],
        release: Callable[[str, list[str]], None],
        cancels: PieceCancels,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._peers = peers
        self._owners_of = owners_of
        self._own_address = own_address
        self._make_pieces = make_pieces
        self._release = release
        self._cancels = cancels
        self._timers = timers
        self._metrics = metrics
        self._events = events

    async def request_pieces(self, order: PieceOrder) -> PieceReply:
        """Request pieces from the owner of the shard and follow its redirects.

        If the owners are unreachable, this daemon makes the pieces. Pieces that an
        owner made before the service moved to another one are kept. If the request
        fails, the results that exist are released. No owner is asked after the
        deadline.
        """
        started_at = self._timers.now()
        handles: dict[int, str] = {}
        unreachable: set[str] = set()
        owner = self.next_owner(order.service, order.shard, unreachable)
        redirects = 0
        try:
            while True:
                elapsed_s = self._timers.now() - started_at
                if elapsed_s >= order.deadline_left_s:
                    reply = PieceReply({}, LATE)
                    break
                forced = bool(unreachable) or redirects >= MAX_REDIRECTS
                remaining_order = _order_for_missing(order, handles, elapsed_s, forced)
                reply = await self._call_owner(owner, remaining_order)
                if reply is None:
                    unreachable.add(owner)
                    owner = self.next_owner(order.service, order.shard, unreachable)
                    continue
                handles.update(reply.handles)
                if reply.fault != MOVED:
                    break
                redirects += 1
                owner = reply.successor
                self._metrics.retries.labels("stage_moved").inc()
        except BaseException:
            self._release(order.service, list(handles.values()))
            raise
        if reply.fault:
            self._release(order.service, list(handles.values()))
            return reply
        return PieceReply(
            handles,
            "",
            reply.wait_s,
            by_account=reply.by_account,
            over_share=reply.over_share,
        )

    async def probe(self, order: PieceOrder) -> PieceReply | None:
        """Return the owner's reply to an order without pieces, None on any failure."""
        reply = await self._call_owner(
            self.next_owner(order.service, order.shard, set()), order
        )
        return reply if reply is not None and not reply.fault else None

    def next_owner(self, service: str, shard: str, unreachable: Set[str]) -> str:
        """Return the address of the next owner to try, empty for this daemon."""
        if len(unreachable) >= MAX_OWNERS:
            return ""
        return self._first_owner(
            service,
            shard,
            lambda a: a in unreachable or self._peers.link(a).is_suspect,
        )

    def expected_owner(self, service: str, shard: str) -> str:
        """Return the address of the owner that would be asked first."""
        owner = self._first_owner(service, shard, self._peers.is_suspect)
        return owner or self._own_address

    def _first_owner(
        self, service: str, shard: str, is_unreachable: Callable[[str], bool]
    ) -> str:
        """Return the first reachable owner, empty for this daemon."""
        for address in self._owners_of(service, shard):
            if address == self._own_address:
                return ""
            if not is_unreachable(address):
                return address
        return ""

    async def _call_owner(self, owner: str, order: PieceOrder) -> PieceReply | None:
        """Return the reply of one daemon, None if another one must be asked.

        That is the case if it is unreachable, its reply is unreadable, if it has
        started lately and does not know the service yet, or if it is of the previous
        release and the order has home zones. However a call ends without a reply that
        was read, the order is cancelled: the owner may have replied.
        """
        if owner in ("", self._own_address):
            return await self._make_pieces(order)
        if order.pieces:
            order_id = self._cancels.new_order_id()
            order = msgspec.structs.replace(order, order_id=order_id)
        path = PIECES_PATH if order.home_zones is None else HOME_PIECES_PATH
        try:
            data = await self._peers.link(owner).call(
                path, order, max(MIN_TIMEOUT_SECONDS, order.deadline_left_s)
            )
            reply = msgspec.msgpack.decode(data, type=PieceReply)
        except BaseException as exc:
            was_accepted = not (isinstance(exc, PeerError) and exc.not_accepted)
            if order.order_id and was_accepted:
                self._cancels.cancel(owner, order.service, order.order_id)
            if not isinstance(exc, (PeerError, msgspec.DecodeError)):
                raise
            self._record_owner_failure(owner, order, str(exc))
            return None
        if reply.fault == UNCONFIGURED:
            self._record_owner_failure(owner, order, "the owner has no configuration")
            return None
        return reply

    def _record_owner_failure(self, owner: str, order: PieceOrder, error: str) -> None:
        self._metrics.retries.labels("stage_owner").inc()
        self._events.log_decision(
            "owner_failed",
            order.request_id,
            owner=owner,
            service=order.service,
            error=error,
        )


def _order_for_missing(
    order: PieceOrder, handles: dict[int, str], elapsed_s: float, forced: bool
) -> PieceOrder:
    """Return the order for the pieces without a result, with the time that is left."""
    return msgspec.structs.replace(
        order,
        pieces=[piece for piece in order.pieces if piece not in handles],
        objective_left_s=order.objective_left_s - elapsed_s,
        deadline_left_s=order.deadline_left_s - elapsed_s,
        forced=forced,
    )
