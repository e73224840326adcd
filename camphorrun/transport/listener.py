"""Accepts links of entries on the agent's HTTP server."""

from collections.abc import Callable

from aiohttp import web

from ..core import TimerService
from ..messages import MAX_FRAME_BYTES, Hello, KeyRing, Ping
from ..metrics import Metrics
from .errors import LinkError
from .link import Link, MessageHandler

# Three idle heartbeats of the dialing side.
LISTENER_SILENCE_SECONDS = 15.0
_CHECK_SECONDS = 1.0


class LinkListener:
    """Serves links and drops those that no longer carry heartbeats.

    Parameters
    ----------
    keys, local, timers, metrics
        As for ``Link``.
    handler : MessageHandler
        Receives messages other than heartbeats.
    answer_ping : callable
        Returns the ``Pong`` for a ``Ping``.
    on_down : callable
        Called with a link that closed.
    """

    def __init__(
        self,
        keys: KeyRing,
        local: Hello,
        timers: TimerService,
        metrics: Metrics,
        *,
        handler: MessageHandler,
        answer_ping: Callable[[Ping], object],
        on_down: Callable[[Link], None],
    ):
        self._keys = keys
        self._local = local
        self._timers = timers
        self._metrics = metrics
        self._handler = handler
        self._answer_ping = answer_ping
        self._on_down = on_down
        self.links: set[Link] = set()
        self._check = timers.subscribe(_CHECK_SECONDS, self._drop_silent)

    async def handle(self, req: web.Request) -> web.WebSocketResponse:
        """Serve one WebSocket request."""
        socket = web.WebSocketResponse(
            max_msg_size=MAX_FRAME_BYTES, compress=False, timeout=1.0
        )
        await socket.prepare(req)
        link = Link(
            socket,
            self._keys,
            self._local,
            self._timers,
            self._metrics,
            is_dialer=False,
        )
        try:
            await link.handshake()
        except LinkError:
            await link.close()
            return socket
        self.links.add(link)
        try:
            await link.run(self._receive)
        finally:
            self.links.discard(link)
            self._on_down(link)
        return socket

    def broadcast(self, message: object) -> None:
        """Send a message on every link that is open."""
        for link in tuple(self.links):
            try:
                link.send(message)
            except LinkError:
                self._metrics.drops.labels("broadcast").inc()

    async def close(self) -> None:
        """Close all links."""
        self._check.cancel()
        for link in tuple(self.links):
            await link.close()

    def _receive(self, link: Link, message: object) -> None:
        if isinstance(message, Ping):
            self._send_pong(link, message)
            return
        self._handler(link, message)

    def _send_pong(self, link: Link, ping: Ping) -> None:
        try:
            link.send(self._answer_ping(ping))
        except LinkError:
            self._metrics.drops.labels("pong").inc()

    def _drop_silent(self) -> None:
        horizon = self._timers.now() - LISTENER_SILENCE_SECONDS
        for link in tuple(self.links):
            if link.last_received_at < horizon:
                self._metrics.reconnects.labels("silent").inc()
                link.abort()
