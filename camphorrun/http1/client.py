"""Client connection that sends one request at a time."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import NoReturn

import httptools

from ..core import Subscription, TimerService
from .errors import HttpError
from .headers import Headers
from .memory import ByteLease
from .socket_state import take_socket_error, unacknowledged_bytes
from .validity import HTTP_VERSIONS, is_valid_status, is_valid_text

# Reading from the socket pauses while more unread body bytes than this are buffered.
READ_HIGH_WATER_BYTES = 256 * 1024
# The kernel closes a connection whose sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MILLISECONDS = 4000
# Limit of the bytes that are not body data: a status line with its header fields and
# the interim responses before it, the framing between two chunks, or the trailers.
# Valid responses stay far below; the limit stops peers that send an endless head,
# chunk extension or trailer section.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_HEADER_FIELDS = 256
MAX_INTERIM_RESPONSES = 8
OVERSIZED = "oversized"
# Interval of checks whether the peer, which has ended its response, takes the request.
UPLOAD_CHECK_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and header fields of a response."""

    status: int
    reason: bytes
    headers: Headers


class ClientConnection(asyncio.Protocol):
    """Client side of one HTTP/1.1 connection.

    ``request`` sends a request and returns the head of the response; ``read`` then
    returns the body in parts. Another request may be sent only if ``reusable`` is true
    after the whole body was read.

    Parameters
    ----------
    timers : TimerService
        Clock by which idle times are measured.

    Attributes
    ----------
    idle_since : float
        Time of ``timers`` at which the last response was read completely.
    peer_idle_timeout_s : float
        Idle timeout announced by the peer in a ``Keep-Alive`` field, or 0.
    requests : int
        Number of requests sent on this connection.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self._error: HttpError | None = None
        self._in_use = False
        self._keep_alive = True
        self._has_unexpected_bytes = False
        self._has_peer_ended = False
        self._upload_check: Subscription | None = None
        self.idle_since = timers.now()
        self.peer_idle_timeout_s = 0.0
        self.requests = 0
        self._lease: ByteLease | None = None
        self._unread_since: float | None = None
        self._reset_message()

    # State of the current response.

    def _reset_message(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._fields: list[tuple[bytes, bytes]] = []
        self._reason = b""
        self._head: ResponseHead | None = None
        # A single buffer, because a list of many small chunks needs more memory.
        self._body_buffer = bytearray()
        self._complete = False
        self._body_ends_at_close = False
        self._overhead_bytes = 0
        self._interim_responses = 0

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection, as far as known."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self._has_peer_ended
            and self._error is None
        )

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self.is_open
            and not self._in_use
            and self._keep_alive
            and not self._has_unexpected_bytes
        )

    @property
    def complete(self) -> bool:
        """Whether the whole response was received and its body was read."""
        return self._complete and not self._body_buffer

    @property
    def can_read_immediately(self) -> bool:
        """Whether ``read`` would return without waiting."""
        return bool(self._body_buffer) or self._complete

    async def request(self, data: bytes) -> ResponseHead:
        """Send an encoded request and return the head of its response.

        Raises
        ------
        HttpError
            If the connection is closed or fails before a valid head was received.
        """
        self._reset_message()
        self._in_use = True
        self.requests += 1
        if self._transport is None or self._transport.is_closing():
            raise self._error or HttpError("connection is closed")
        self._transport.write(data)
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait_for_event()
        return self._head

    def charge(self, lease: ByteLease | None) -> None:
        """Count the unread body bytes in a lease from now on; None ends that.

        While the account of the lease is full, nothing is read ahead.
        """
        self._lease = lease
        if lease is not None:
            lease.resize(len(self._body_buffer))

    @property
    def unread_since(self) -> float | None:
        """Time since which nothing is read from the socket, None if it is read."""
        return self._unread_since

    async def read(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes of the body, or empty bytes once it is complete.

        Parameters
        ----------
        max_bytes : int, optional
            Limit of the bytes that are returned at once.

        Raises
        ------
        HttpError
            If the connection closes or fails before the body is complete.
        """
        while not self._body_buffer:
            if self._complete:
                self._finish_response()
                return b""
            if self._error is not None:
                raise self._error
            await self._wait_for_event()
        if max_bytes is None or len(self._body_buffer) <= max_bytes:
            data = bytes(self._body_buffer)
            self._body_buffer.clear()
        else:
            data = bytes(self._body_buffer[:max_bytes])
            del self._body_buffer[:max_bytes]
        if self._lease is not None:
            self._lease.resize(len(self._body_buffer))
        if self._transport is not None and not self._is_buffer_full:
            self._unread_since = None
            with contextlib.suppress(RuntimeError):
                self._transport.resume_reading()
        return data

    @property
    def _is_buffer_full(self) -> bool:
        size = len(self._body_buffer)
        if size > READ_HIGH_WATER_BYTES:
            return True
        return bool(size) and self._lease is not None and self._lease.is_account_full

    async def read_all(self, limit: int) -> bytes:
        """Return the remaining body.

        Raises
        ------
        HttpError
            If the body is incomplete, or longer than ``limit`` bytes (``malformed``).
        """
        parts = []
        size = 0
        while data := await self.read():
            size += len(data)
            if size > limit:
                self.abort()
                raise HttpError(f"body exceeds {limit} bytes", code="malformed")
            parts.append(data)
        return b"".join(parts)

    def _finish_response(self) -> None:
        if self._in_use:
            self._in_use = False
            self.idle_since = self._timers.now()

    def abort(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        self._keep_alive = False
        if self._transport is not None:
            self._transport.abort()

    async def _wait_for_event(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the parser.

        Bytes received while no response is expected close the connection, because a
        later request would take them for its response.
        """
        if not self._in_use or self._complete:
            self._has_unexpected_bytes = True
            self.abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(HttpError("unexpected protocol upgrade", code="malformed"))
        except httptools.HttpParserError as exc:
            self._on_parser_error(exc)
        if not self._complete and self._is_oversized():
            self._fail(
                HttpError("head or framing of a response too large", code=OVERSIZED)
            )
            self.abort()
        if self._lease is not None:
            self._lease.resize(len(self._body_buffer))
        if self._is_buffer_full and self._transport is not None:
            if self._unread_since is None:
                self._unread_since = self._timers.now()
            with contextlib.suppress(RuntimeError):
                self._transport.pause_reading()
        self._wake_waiter()

    def _is_oversized(self) -> bool:
        return (
            self._overhead_bytes > MAX_OVERHEAD_BYTES
            or len(self._fields) > MAX_HEADER_FIELDS
            or self._interim_responses > MAX_INTERIM_RESPONSES
        )

    def _on_parser_error(self, exc: Exception) -> None:
        self._has_unexpected_bytes = True
        if not self._complete:
            self._fail(HttpError(f"invalid HTTP response: {exc}", code="malformed"))
        self.abort()

    def _reject(self, text: str) -> NoReturn:
        """Fail the response and stop the parser, which would go on with later bytes.

        Called in callbacks of the parser only.
        """
        error = HttpError(f"invalid HTTP response: {text}", code="malformed")
        self._fail(error)
        raise error

    def eof_received(self) -> bool:
        """Complete a body that ends with the connection, if it is whole.

        Any other response that is unfinished at this point stays incomplete. A peer
        that fails may end the connection before it resets it, and a reset follows if it
        gets more of the request than it reads. So the end proves a whole body only once
        the peer has received the request. Until then the connection stays open for
        writing.
        """
        self._has_peer_ended = True
        self._keep_alive = False
        if not self._body_ends_at_close:
            return False
        self._complete_if_request_received()
        if self._complete or self._error is not None:
            return False
        self._upload_check = self._timers.subscribe(
            UPLOAD_CHECK_SECONDS, self._complete_if_request_received
        )
        return True

    def _complete_if_request_received(self) -> None:
        """End the response that the peer has ended, or wait for the next check."""
        error = take_socket_error(self._transport)
        if error is not None:
            self._fail(HttpError(f"connection reset after its end: {error}"))
        elif not unacknowledged_bytes(self._transport):
            self._complete = True
        else:
            return
        if self._upload_check is not None:
            self._stop_upload_check()
            self._transport.abort()
        self._wake_waiter()

    def _stop_upload_check(self) -> None:
        if self._upload_check is not None:
            self._upload_check.cancel()
            self._upload_check = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending ``request`` or ``read``."""
        self._stop_upload_check()
        self._keep_alive = False
        self._fail(HttpError(f"connection lost: {exc or 'closed by the peer'}"))
        self._wake_waiter()

    def _fail(self, error: HttpError) -> None:
        if self._error is None:
            self._error = error

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Mark the connection unusable if a second response follows the first one."""
        if self._complete:
            self._has_unexpected_bytes = True

    def on_status(self, status: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are ignored."""
        if self._head is None and len(self._fields) <= MAX_HEADER_FIELDS:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Make the head available to ``request`` unless the response is interim."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        self._check_status_line(status)
        if 100 <= status < 200:
            self._fields = []
            self._reason = b""
            self._interim_responses += 1
            return
        headers = Headers(self._fields)
        self._body_ends_at_close = (
            "transfer-encoding" not in headers
            and "content-length" not in headers
            and status not in (204, 304)
        )
        self._overhead_bytes = 0
        self._update_persistence(headers)
        self._head = ResponseHead(status, self._reason, headers)

    def _check_status_line(self, status: int) -> None:
        """Refuse what the parser accepts although it is not valid."""
        if (version := self._parser.get_http_version()) not in HTTP_VERSIONS:
            self._reject(f"version {version}")
        if not is_valid_status(status):
            self._reject(f"status {status:03d}")
        if not is_valid_text(self._reason):
            self._reject("control byte in the reason phrase")

    def _check_has_head(self) -> None:
        """Refuse an interim response with a body, which the parser accepts."""
        if self._head is None:
            self._reject("interim response with a body")

    def _update_persistence(self, headers: Headers) -> None:
        if not self._parser.should_keep_alive() or self._body_ends_at_close:
            self._keep_alive = False
        for part in headers.get("keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.peer_idle_timeout_s = float(value)

    def on_chunk_header(self) -> None:
        """Restart the count of framing bytes at each chunk."""
        self._check_has_head()
        self._overhead_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Append a part of the body to the buffer."""
        self._check_has_head()
        self._overhead_bytes = max(0, self._overhead_bytes - len(body))
        if not self._complete:
            self._body_buffer += body

    def on_message_complete(self) -> None:
        """Mark the response as complete unless its body ends with the connection."""
        if self._head is not None and not self._body_ends_at_close:
            self._complete = True


async def connect(
    host: str, port: int, timers: TimerService, timeout_s: float
) -> ClientConnection:
    """Open a connection to ``host:port`` within ``timeout_s`` seconds.

    Raises
    ------
    HttpError
        With code ``connect_failed`` or ``connect_timeout``; no byte was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, conn = await loop.create_connection(
                lambda: ClientConnection(timers), host, port
            )
    except TimeoutError as exc:
        raise HttpError(
            f"{host}:{port}: not connected within {timeout_s} s", code="connect_timeout"
        ) from exc
    except OSError as exc:
        raise HttpError(f"{host}:{port}: {exc}", code="connect_failed") from exc
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MILLISECONDS,
            )
    return conn
