"""Limits, requests and responses of the HTTP/1.1 server."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .headers import Headers

if TYPE_CHECKING:
    from .server_connection import ServerConnection

# Rank of responses whose handler has not told what a caller loses.
MAX_LOSS = 3

REASONS = {
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
    held_bytes : int
        Bytes that count as held until the response has ended.
    refusal : (int, Headers) or None
        Status and header fields with which the server refuses the request in its turn;
        None if the handler serves it.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float
    first_byte_at: float
    held_bytes: int = 0
    refusal: tuple[int, Headers] | None = None


Handler = Callable[[ServerRequest, "ServerResponder"], Awaitable[None]]


class ServerResponder:
    """Writes the response to one request.

    Attributes
    ----------
    loss : int
        Rank of what the caller loses if the connection is closed for lack of memory,
        set by the handler. Connections of a lower rank are closed first.
    """

    __slots__ = (
        "_chunked",
        "_conn",
        "_ended",
        "_keep_alive",
        "aborted",
        "loss",
        "started",
    )

    def __init__(self, conn: "ServerConnection", keep_alive: bool):
        self._conn = conn
        self._keep_alive = keep_alive
        self._chunked = False
        self._ended = False
        self.aborted = False
        self.started = False
        self.loss = MAX_LOSS

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
            b"HTTP/1.1 %d %s\r\n" % (status, reason or REASONS.get(status, b"")),
            headers.encode(),
        ]
        if length is None:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        else:
            lines.append(b"Content-Length: %d\r\n" % length)
        if not keep_alive:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._conn.on_response_start()
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
