"""Pool of persistent connections to one address."""

import asyncio
from collections import deque
from weakref import WeakSet

from ..core import TimerService
from .client import ClientConnection, connect
from .errors import HttpError

# Used when the peer announces no idle timeout in a ``Keep-Alive`` field.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# An idle connection is closed after this fraction of the peer's idle timeout, because
# the peer could otherwise close it at the moment at which the next request is sent.
IDLE_TIMEOUT_FRACTION = 0.5


class ConnectionPool:
    """Pool of connections to one address that reuses the most recently used one first.

    Parameters
    ----------
    host, port
        Address of the peer.
    timers : TimerService
        Clock by which idle times are measured.
    limit : int
        Maximum number of connections, idle ones included; ``acquire`` waits while all
        of them are in use.

    Attributes
    ----------
    opened : int
        Number of attempts to open a connection.
    """

    def __init__(self, host: str, port: int, timers: TimerService, limit: int = 64):
        self.host = host
        self.port = port
        self._timers = timers
        self._limit = limit
        # Slots that are in use or granted to a caller that has not resumed yet.
        self._used_slots = 0
        self._waiters: deque[asyncio.Future] = deque()
        # Connections that are being opened.
        self._opening = 0
        self._idle: list[ClientConnection] = []
        self._in_use: set[ClientConnection] = set()
        self._closed = False
        self.opened = 0
        self._opened: WeakSet[ClientConnection] = WeakSet()

    async def acquire(
        self, connect_timeout_s: float, maximum_idle_s: float = float("inf")
    ) -> ClientConnection:
        """Return a connection for exclusive use until ``release`` is called.

        A cancelled call holds neither a connection nor a slot. The call must be awaited
        in the task that releases the connection: a result of another task is lost if
        the waiting one is cancelled before it resumes.

        Parameters
        ----------
        connect_timeout_s : float
            Timeout for opening a connection.
        maximum_idle_s : float
            Pooled connections that were idle for longer are not reused.

        Raises
        ------
        HttpError
            If no connection can be opened; no byte was sent.
        """
        await self._take_slot()
        try:
            conn = self._pop_idle(maximum_idle_s)
            if conn is None:
                conn = await self._open(connect_timeout_s)
                self._opened.add(conn)
            self._in_use.add(conn)
            return conn
        except BaseException:
            self._free_slot()
            raise

    def release(self, conn: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        A second call for the same use has no effect, so that slots never exceed the
        limit.
        """
        if conn not in self._in_use:
            return
        self._in_use.remove(conn)
        if conn.reusable and not self._closed:
            self._idle.append(conn)
        else:
            conn.abort()
        self._close_surplus()
        self._free_slot()

    @property
    def in_use(self) -> int:
        """Number of connections that were acquired and not released yet."""
        return len(self._in_use)

    def open_connections(self) -> list[ClientConnection]:
        """Return the connections that are open, in use or idle."""
        return [conn for conn in self._opened if conn.is_open]

    @property
    def closed(self) -> bool:
        """Whether ``close`` was called; the pool then keeps no connections."""
        return self._closed

    def close(self) -> None:
        """Close the idle connections now and those in use when they are released."""
        self._closed = True
        self.close_idle()
        for waiter in [w for w in self._waiters if not w.done()]:
            self._waiters.remove(waiter)
            text = f"{self.host}:{self.port}: the pool was closed"
            waiter.set_exception(HttpError(text, code="connect_failed"))

    def close_idle(self) -> None:
        """Close the idle connections; the pool stays usable."""
        for conn in self._idle:
            conn.abort()
        self._idle.clear()

    @property
    def limit(self) -> int:
        """Maximum number of connections.

        After it is lowered, connections in use above it are closed as they are
        released.
        """
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit
        self._close_surplus()
        self._grant_slots()

    async def _open(self, timeout_s: float) -> ClientConnection:
        self.opened += 1
        self._opening += 1
        try:
            self._close_surplus()
            return await connect(self.host, self.port, self._timers, timeout_s)
        finally:
            self._opening -= 1

    async def _take_slot(self) -> None:
        # Slots are granted as soon as they are free, so nobody waits for this one.
        if self._used_slots < self._limit:
            self._used_slots += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.cancelled():
                self._waiters.remove(waiter)
            elif waiter.exception() is None:
                # The slot was granted in the same iteration of the event loop.
                self._free_slot()
            raise

    def _free_slot(self) -> None:
        self._used_slots -= 1
        self._grant_slots()

    def _grant_slots(self) -> None:
        for waiter in list(self._waiters):
            if self._used_slots >= self._limit:
                return
            if not waiter.done():
                self._waiters.remove(waiter)
                self._used_slots += 1
                waiter.set_result(None)

    def _close_surplus(self) -> None:
        """Close the idle connections beyond the limit, longest unused ones first."""
        others = len(self._in_use) + self._opening
        while self._idle and others + len(self._idle) > self._limit:
            self._idle.pop(0).abort()

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
