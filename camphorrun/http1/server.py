"""HTTP/1.1 server whose connections handle one request at a time."""

import asyncio
from collections.abc import Callable

from ..core import Subscription, TimerService
from .memory import ServerMemory
from .server_connection import (
    MAX_PIPELINED_BYTES,
    MAX_PIPELINED_REQUESTS,
    TCP_USER_TIMEOUT_MILLISECONDS,
    WRITE_HIGH_WATER_BYTES,
    ServerConnection,
)
from .server_exchange import Handler, ServerLimits, ServerRequest, ServerResponder

__all__ = [
    "MAX_PIPELINED_BYTES",
    "MAX_PIPELINED_REQUESTS",
    "TCP_USER_TIMEOUT_MILLISECONDS",
    "WRITE_HIGH_WATER_BYTES",
    "Handler",
    "HttpServer",
    "ServerConnection",
    "ServerLimits",
    "ServerRequest",
    "ServerResponder",
]

TIMEOUT_CHECK_SECONDS = 0.5


class HttpServer:
    """HTTP/1.1 server on one address.

    Parameters
    ----------
    handler : callable
        Coroutine function that receives a ``ServerRequest`` and a ``ServerResponder``
        and writes the response. If it raises or doesn't end the response, the
        connection is reset.
    timers : TimerService
        Clock by which the timeouts are measured.
    limits : ServerLimits
        Limits of requests; the attribute may be replaced while the server runs.
    on_unreadable : callable
        Called with the response status of each request that was refused because it
        was invalid, exceeded a limit or arrived too slowly.
    memory : ServerMemory, optional
        Account of the bytes that the connections hold; without one nothing is counted.

    Attributes
    ----------
    closing : bool
        True makes each connection close after its current response.
    """

    def __init__(
        self,
        handler: Handler,
        timers: TimerService,
        limits: ServerLimits | None = None,
        on_unreadable: Callable[[int], None] = lambda status: None,
        memory: ServerMemory | None = None,
    ):
        self.handler = handler
        self.timers = timers
        self.limits = limits or ServerLimits()
        self.on_unreadable = on_unreadable
        self.memory = memory
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None
        self._timeout_check: Subscription | None = None

    async def start(self, host: str, port: int, backlog: int = 512) -> int:
        """Start to listen and return the port, which the system chooses for port 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=backlog
        )
        self._timeout_check = self.timers.subscribe(
            TIMEOUT_CHECK_SECONDS, self._check_timeouts
        )
        return self._server.sockets[0].getsockname()[1]

    def _check_timeouts(self) -> None:
        now = self.timers.now()
        for conn in list(self.connections):
            conn.check_timeouts(now)

    def on_request_end(self) -> None:
        """Close idle connections after a request if the server is closing."""
        if self.closing:
            asyncio.get_running_loop().call_soon(self.close_idle)

    def close_idle(self) -> None:
        """Close each connection on which no request is being read or handled."""
        for conn in list(self.connections):
            conn.close_if_idle()

    @property
    def active(self) -> int:
        """Number of connections with an unfinished request or unsent response bytes."""
        return sum(not conn.is_idle for conn in self.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        if self._timeout_check is not None:
            self._timeout_check.cancel()
        for conn in list(self.connections):
            conn.abort()
