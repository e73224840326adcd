"""HTTP/1.1 server whose connections handle one request at a time."""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools
from absl import logging

from ..core import Subscription, TimerService
from .headers import Headers

TIMEOUT_CHECK_SECONDS = 0.5
# A connection with more pipelined requests than this is closed.
MAX_PIPELINED_REQUESTS = 16
# Reading pauses until the request in progress has ended once more bytes than this
# were received after it.
MAX_PIPELINED_BYTES = 256 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024
# The kernel closes a connection whose sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MILLISECONDS = 8000

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class ServerLimits:
    """Limits of one request and of its connection.

    Attributes
    ----------
    header_bytes : int
        Size of the head, and of the framing between two chunks of a body.
    body_bytes : int
        Size of the body.
    header_timeout_s : float
        Time from the first byte of a request until it was received completely.
    idle_timeout_s : float
        Time for which a connection without a request stays open.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class ServerRequest:
    """A completely received request.

    Attributes
    ----------
    keep_alive : bool
        Whether the caller lets the connection stay open after the response.
    received_at, first_byte_at : float
        Times of the server's clock at the end and at the start of the request.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float
    first_byte_at: float


Handler = Callable[[ServerRequest, "ServerResponder"], Awaitable[None]]


class ServerResponder:
    """Writes the response to one request."""

    __slots__ = ("_chunked", "_conn", "_ended", "_keep_alive", "aborted", "started")

    def __init__(self, conn: "ServerConnection", keep_alive: bool):
        self._conn = conn
        self._keep_alive = keep_alive
        self._chunked = False
        self._ended = False
        self.aborted = False
        self.started = False

    def start(
        self,
        status: int,
        headers: Headers,
        length: int | None,
        reason: bytes = b"",
    ) -> None:
        """Write the head; a body without a length is sent with chunked encoding."""
        self.started = True
        self._chunked = length is None
        keep_alive = self._keep_alive and not self._conn.server.closing
        self._keep_alive = keep_alive
        lines = [
            b"HTTP/1.1 %d %s\r\n" % (status, reason or _REASONS.get(status, b"")),
            headers.encode(),
        ]
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            lines.append(b"Content-Length: %d\r\n" % length)
        if not keep_alive:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._conn.write(b"".join(lines))

    def send(self, data: bytes) -> None:
        """Write a part of the body without waiting for the transport."""
        if data:
            if self._chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            self._conn.write(data)

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait while the write buffer is full."""
        self.send(data)
        await self._conn.drain()

    @property
    def congested(self) -> bool:
        """Whether the write buffer is full because the caller reads too slowly."""
        return self._conn.congested

    async def drain(self) -> None:
        """Wait while the write buffer is full."""
        await self._conn.drain()

    def finish(self) -> None:
        """Mark the end of the body; close the connection unless it is persistent."""
        self._ended = True
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")
        if not self._keep_alive:
            self._conn.close_after_write()

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete response."""
        self.start(status, headers, len(body))
        if body:
            self._conn.write(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that the caller sees an incomplete response."""
        self._ended = True
        self.aborted = True
        self._conn.abort()

    @property
    def ended(self) -> bool:
        """Whether the response is complete or was aborted."""
        return self._ended


class ServerConnection(asyncio.Protocol):
    """Server side of one HTTP/1.1 connection.

    Pipelined requests are queued and handled in order, one at a time.

    Parameters
    ----------
    server : HttpServer
        Server that accepted the connection; holds the handler and the limits.
    """

    def __init__(self, server: "HttpServer"):
        self.server = server
        self._timers = server.timers
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._pending_requests: deque[ServerRequest] = deque()
        self._writable: asyncio.Future | None = None
        self._last_activity = self._timers.now()
        self._message_started_at: float | None = None
        self._is_closing = False
        self._pipelined_bytes = 0
        self._is_reading_paused = False
        # Bytes that are not body data, since the last chunk header, head or request.
        self._overhead_bytes = 0
        self._reset_message()
        self._parser = httptools.HttpRequestParser(self)

    # Callbacks of asyncio.Protocol and httptools for received data.

    def _reset_message(self) -> None:
        self._target = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_complete = False
        self._body_size = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket options and register the connection with the server."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MILLISECONDS,
            )
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; respond with an error status to an invalid request."""
        if self._is_closing:
            return
        self._last_activity = self._timers.now()
        if self._message_started_at is None:
            self._message_started_at = self._last_activity
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_request(400)
        except httptools.HttpParserError:
            self._refuse_request(400)
        else:
            self._check_overhead()
        if self._has_requests:
            self._pipelined_bytes += len(data)
            self._limit_pipelined_bytes()

    def _check_overhead(self) -> None:
        """Refuse a request whose head or body framing exceeds ``header_bytes``."""
        if self._overhead_bytes > self.server.limits.header_bytes:
            self._refuse_request(400 if self._head_complete else 431)

    def _limit_pipelined_bytes(self) -> None:
        if (
            self._pipelined_bytes > MAX_PIPELINED_BYTES
            and not self._is_reading_paused
            and self._transport
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._pipelined_bytes = 0
        if (
            self._is_reading_paused
            and self._transport
            and not self._transport.is_closing()
        ):
            self._transport.resume_reading()
        self._is_reading_paused = False

    def on_message_begin(self) -> None:
        """Reset the state of the current request."""
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are ignored."""
        if not self._head_complete:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the head and the framing of the body.

        Only an unambiguous ``Content-Length`` or ``Transfer-Encoding: chunked`` is
        accepted: a proxy in front that read the framing differently would let a caller
        smuggle a second request.
        """
        self._head_complete = True
        headers = Headers(self._fields)
        encodings = headers.get_all("transfer-encoding")
        if encodings and (
            [value.lower() for value in encodings] != ["chunked"]
            or "content-length" in headers
        ):
            self._refuse_request(400)
        elif sum(len(k) + len(v) + 4 for k, v in headers) > (
            self.server.limits.header_bytes
        ):
            self._refuse_request(431)
        elif headers.get("expect").lower() == "100-continue" and not self._has_requests:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._overhead_bytes = 0

    def on_chunk_header(self) -> None:
        """Restart the count of framing bytes at each chunk."""
        self._overhead_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; refuse a body larger than ``body_bytes``."""
        self._overhead_bytes = max(0, self._overhead_bytes - len(body))
        if self._is_closing:
            return
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self.server.limits.body_bytes:
            self._refuse_request(413)

    def on_message_complete(self) -> None:
        """Queue the request; close the connection if too many are queued."""
        if self._is_closing:
            return
        now = self._timers.now()
        req = ServerRequest(
            self._parser.get_method().decode("latin-1"),
            self._target,
            Headers(self._fields),
            b"".join(self._body),
            self._parser.should_keep_alive(),
            now,
            self._message_started_at if self._message_started_at is not None else now,
        )
        self._message_started_at = None
        self._overhead_bytes = 0
        self._reset_message()
        if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
            self.abort()
            return
        self._pending_requests.append(req)
        self._start_next_request()

    @property
    def _has_requests(self) -> bool:
        return self._task is not None or bool(self._pending_requests)

    # Handling of requests.

    def _start_next_request(self) -> None:
        if self._task is None and self._pending_requests and not self._is_closing:
            req = self._pending_requests.popleft()
            self._task = asyncio.get_running_loop().create_task(
                self._handle_request(req)
            )

    async def _handle_request(self, req: ServerRequest) -> None:
        responder = ServerResponder(self, req.keep_alive)
        try:
            await self.server.handler(req, responder)
        except asyncio.CancelledError:
            self.abort()
            raise
        except Exception as exc:
            logging.error("HTTP request handler raised: %r", exc, exc_info=exc)
        finally:
            self._task = None
            self._last_activity = self._timers.now()
            self.server.on_request_end()
        if not responder.ended:
            self.abort()
        self._start_next_request()
        if not self._has_requests:
            self._resume_reading()

    def _refuse_request(self, status: int) -> None:
        """Respond to an invalid or late request with ``status`` and close."""
        if self._is_closing:
            return
        self._is_closing = True
        self.server.on_unreadable(status)
        if self._has_requests:
            # The caller would take this response for that of the request in progress.
            self.abort()
            return
        reason = _REASONS[status]
        self.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, reason)
        )
        self.close_after_write()

    def check_timeouts(self, now: float) -> None:
        """Apply the timeouts of an unfinished request and of an idle connection."""
        limits = self.server.limits
        if self._has_requests or self._is_closing:
            return
        if self._message_started_at is not None:
            if now - self._message_started_at > limits.header_timeout_s:
                self._refuse_request(408)
        elif now - self._last_activity > limits.idle_timeout_s:
            self.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        if (
            not self._has_requests
            and self._message_started_at is None
            and not self._is_closing
        ):
            self.close_after_write()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled and no response is unsent."""
        return (
            not self._has_requests
            and self._message_started_at is None
            and not self._unsent_bytes
        )

    @property
    def _unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    # Writing.

    def write(self, data: bytes) -> None:
        """Write bytes; ignored once the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    @property
    def congested(self) -> bool:
        """Whether the write buffer is above its high-water mark."""
        return self._writable is not None

    async def drain(self) -> None:
        """Wait while the write buffer is above its high-water mark."""
        if self._writable is not None:
            await self._writable

    def pause_writing(self) -> None:
        """Make ``drain`` wait: the write buffer has reached its high-water mark."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let ``drain`` return: the write buffer is below its low-water mark."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def close_after_write(self) -> None:
        """Close the connection once all written bytes are sent."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed one counts as closed by the caller."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, because no caller waits for its response."""
        self._is_closing = True
        self.server.connections.discard(self)
        if self._writable is not None and not self._writable.done():
            self._writable.cancel()
        if self._task is not None:
            self._task.cancel()


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
    ):
        self.handler = handler
        self.timers = timers
        self.limits = limits or ServerLimits()
        self.on_unreadable = on_unreadable
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
