"""Kept connections to one address."""

import asyncio

from ..core import TimerService
from .client import ClientConnection, connect

# Used when the peer names no idle timeout.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Connections are dropped this share of the peer's idle timeout early, because the
# peer may close at the moment at which the next request is sent.
IDLE_TIMEOUT_FRACTION = 0.5


class ConnectionPool:
    """Connections to one address, most recently used first.

    Parameters
    ----------
    host, port
        Address.
    timers : TimerService
        Clock.
    limit : int
        Connections that may be open at the same time; further requests wait.
    """

    def __init__(self, host: str, port: int, timers: TimerService, limit: int = 64):
        self.host = host
        self.port = port
        self._timers = timers
        self._slots = asyncio.Semaphore(limit)
        self._idle: list[ClientConnection] = []
        self._closed = False
        self.opened = 0

    async def acquire(
        self, connect_timeout_s: float, maximum_idle_s: float = float("inf")
    ) -> ClientConnection:
        """Return a connection that is free; ``release`` must follow.

        Parameters
        ----------
        connect_timeout_s : float
            Bound of the time to open a connection.
        maximum_idle_s : float
            Kept connections that were idle for longer are not used.

        Raises
        ------
        HttpError
            If no connection can be opened; nothing was sent.
        """
        await self._slots.acquire()
        try:
            conn = self._pop_idle(maximum_idle_s)
            if conn is None:
                self.opened += 1
                conn = await connect(
                    self.host, self.port, self._timers, connect_timeout_s
                )
            return conn
        except BaseException:
            self._slots.release()
            raise

    def release(self, conn: ClientConnection) -> None:
        """Give a connection back; one that can't be reused is closed."""
        self._slots.release()
        if conn.reusable and not self._closed:
            self._idle.append(conn)
        else:
            conn.abort()

    @property
    def closed(self) -> bool:
        """Whether the pool was closed for good."""
        return self._closed

    def close(self) -> None:
        """Close the idle connections, and each other one when it is released."""
        self._closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for conn in self._idle:
            conn.abort()
        self._idle.clear()

    def _pop_idle(self, maximum_idle_s: float) -> ClientConnection | None:
        self._close_expired()
        now = self._timers.now()
        if self._idle and now - self._idle[-1].idle_since <= maximum_idle_s:
            return self._idle.pop()
        return None

    def _close_expired(self) -> None:
        now = self._timers.now()
        kept = []
        for conn in self._idle:
            limit_s = (
                conn.peer_idle_timeout_s or DEFAULT_IDLE_TIMEOUT_SECONDS
            ) * IDLE_TIMEOUT_FRACTION
            if conn.reusable and now - conn.idle_since < limit_s:
                kept.append(conn)
            else:
                conn.abort()
        self._idle = kept
