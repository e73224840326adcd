"""Server side of one HTTP/1.1 connection."""

import asyncio
import contextlib
import socket
from collections import deque
from typing import TYPE_CHECKING

import httptools
from absl import logging

from .headers import Headers
from .memory import HeldBytes
from .server_exchange import REASONS, ServerRequest, ServerResponder

if TYPE_CHECKING:
    from .server import HttpServer

# A connection with more pipelined requests than this is closed.
MAX_PIPELINED_REQUESTS = 16
# Reading pauses until the request in progress has ended once more bytes than this
# were received after it.
MAX_PIPELINED_BYTES = 256 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024
# Objects of a small request that runs, its connection to the replica included: measured
# as 14.4 and 15.2 KB of resident memory with 300 and 800 requests at a gateway.
REQUEST_OVERHEAD_BYTES = 16 * 1024
# After the refusal of a request whose body is not read, the connection stays open for
# this long or until the caller closes it. Closing at once with unread bytes would reset
# the connection, and the caller might lose the refusal.
LINGER_SECONDS = 1.0
# The kernel closes a connection whose sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MILLISECONDS = 8000


class ServerConnection(asyncio.Protocol):
    """Server side of one HTTP/1.1 connection.

    Pipelined requests are queued and handled in order, one at a time. If the server has
    an account of its memory, each read and each write that leaves unsent bytes updates
    the connection's share of it.

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
        self._responder: ServerResponder | None = None
        # Bytes of the requests that wait or run.
        self._request_bytes = 0
        self._written_bytes = 0
        self._sent_bytes = 0
        # Value of ``_written_bytes`` at the start of the last response.
        self._response_start = 0
        self._last_sent_at = self._last_activity
        self._unsent_loss = 0
        self._linger_until: float | None = None
        memory = server.memory
        self._input = memory.lease_input() if memory is not None else None
        self._output = memory.lease_output() if memory is not None else None
        self._reset_message()
        self._parser = httptools.HttpRequestParser(self)

    # Callbacks of asyncio.Protocol and httptools for received data.

    def _reset_message(self) -> None:
        self._target = b""
        self._fields: list[tuple[bytes, bytes]] = []
        # A single buffer, because a list of many small chunks needs more memory.
        self._body = bytearray()
        self._head_complete = False
        self._head_bytes = 0
        self._body_size = 0
        self._refusal: tuple[int, Headers] | None = None

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
        if self._input is not None:
            self._account_input()
            self._stop_reading_body()

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
        elif (head_bytes := sum(len(k) + len(v) + 4 for k, v in headers)) > (
            self.server.limits.header_bytes
        ):
            self._refuse_request(431)
        else:
            self._head_bytes = head_bytes
            if self.server.memory is not None and not self._is_closing:
                self._refusal = self.server.memory.refuse(headers)
            expects_continue = headers.get("expect").lower() == "100-continue"
            if expects_continue and not self._has_requests and self._refusal is None:
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._overhead_bytes = 0

    def on_chunk_header(self) -> None:
        """Restart the count of framing bytes at each chunk."""
        self._overhead_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; refuse a body larger than ``body_bytes``."""
        self._overhead_bytes = max(0, self._overhead_bytes - len(body))
        if self._is_closing or self._refusal is not None:
            return
        self._body += body
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
            bytes(self._body),
            self._parser.should_keep_alive(),
            now,
            self._message_started_at if self._message_started_at is not None else now,
            self._head_bytes + self._body_size + REQUEST_OVERHEAD_BYTES,
            self._refusal,
        )
        self._message_started_at = None
        self._overhead_bytes = 0
        self._reset_message()
        if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
            self.abort()
            return
        self._request_bytes += req.held_bytes
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
        responder = self._responder = ServerResponder(self, req.keep_alive)
        try:
            if req.refusal is not None:
                responder.respond(*req.refusal)
            else:
                await self.server.handler(req, responder)
        except asyncio.CancelledError:
            self.abort()
            raise
        except Exception as exc:
            logging.error("HTTP request handler raised: %r", exc, exc_info=exc)
        finally:
            self._task = None
            self._last_activity = self._timers.now()
            self._request_bytes -= req.held_bytes
            if self._output is not None and self._output.size:
                self._unsent_loss = max(self._unsent_loss, responder.loss)
            self._responder = None
            self._account_input()
            self.server.on_request_end()
        if not responder.ended:
            self.abort()
        self._start_next_request()
        if not self._has_requests:
            self._resume_reading()
            self._refuse_unread_body()

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
        reason = REASONS[status]
        self.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, reason)
        )
        self.close_after_write()

    def check_timeouts(self, now: float) -> None:
        """Apply the timeouts of an unfinished request and of an idle connection."""
        limits = self.server.limits
        self.account_output()
        if self._linger_until is not None and now >= self._linger_until:
            self.abort()
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

    # Account of memory.

    def _account_input(self) -> None:
        """Update the bytes of the requests that are read, wait or run."""
        if self._input is not None:
            self._input.resize(
                self._request_bytes
                + self._head_bytes
                + self._body_size
                + self._overhead_bytes
            )

    def _release_input(self) -> None:
        """Give back what the connection holds, and the rest when its task has ended.

        A task that is cancelled before its first step runs no code of its own.
        """
        if self._input is None:
            return
        self._reset_message()
        self._overhead_bytes = 0
        while self._pending_requests:
            self._request_bytes -= self._pending_requests.popleft().held_bytes
        if self._task is None:
            self._input.release()
        else:
            self._account_input()
            self._task.add_done_callback(lambda _: self._input.release())

    def on_response_start(self) -> None:
        """Note where a response starts in the written bytes."""
        self._response_start = self._written_bytes

    def account_output(self) -> None:
        """Update the bytes that the peer has not read."""
        if self._output is None:
            return
        unsent = self._unsent_bytes
        if not unsent and not self._output.size:
            return
        sent = self._written_bytes - unsent
        if sent > self._sent_bytes or not self._output.size:
            self._sent_bytes = sent
            self._last_sent_at = self._timers.now()
        if not unsent:
            self._unsent_loss = 0
        self._output.resize(unsent)

    def held_bytes(self) -> HeldBytes | None:
        """Return what the connection holds for a caller that is slow, None if nothing.

        A caller is slow if it has bytes to read, or if its request is being read.
        """
        self.account_output()
        if self._input is None:
            return None
        now = self._timers.now()
        size = self._output.size + self._input.size
        is_running = self._task is not None
        if self._output.size:
            loss = self._unsent_loss
            if self._responder is not None:
                loss = max(loss, self._responder.loss)
            has_begun = self._sent_bytes > self._response_start
            stalled_s = now - self._last_sent_at
            return HeldBytes(size, stalled_s, max(1, loss), has_begun, is_running)
        if self._has_requests or not self._head_complete or self._is_closing:
            return None
        started_at = self._message_started_at
        waited_s = now - started_at if started_at is not None else 0.0
        return HeldBytes(size, waited_s, 0, has_begun=False, is_running=False)

    @property
    def head_fields(self) -> Headers:
        """Header fields of the request that is being read."""
        return Headers(self._fields)

    def refuse_unread(self, status: int, headers: Headers) -> None:
        """Refuse the request that is being read, without reading the rest of it."""
        self._refusal = status, headers
        self._body = bytearray()
        self._body_size = 0
        self._refuse_unread_body()
        self._account_input()

    def _stop_reading_body(self) -> None:
        """Refuse a request that is read in part if memory is short."""
        if self._is_closing or not self._head_complete:
            return
        memory = self.server.memory
        if self._refusal is None and memory.stops_reading():
            refusal = memory.refuse(self.head_fields)
            if refusal is not None:
                self.refuse_unread(*refusal)
        else:
            self._refuse_unread_body()

    def _refuse_unread_body(self) -> None:
        """Answer a refused request whose body is incomplete, and read no more of it.

        The bytes that still arrive are discarded. Behind other requests, the refusal
        waits for their responses.
        """
        if self._refusal is None or self._has_requests or self._is_closing:
            return
        status, headers = self._refusal
        self._reset_message()
        self._message_started_at = None
        self._overhead_bytes = 0
        self._account_input()
        responder = ServerResponder(self, keep_alive=False)
        responder.start(status, headers, 0)
        self._is_closing = True
        self._linger_until = self._timers.now() + LINGER_SECONDS
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    # Writing.

    def write(self, data: bytes) -> None:
        """Write bytes; ignored once the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if self._output is not None:
                self._written_bytes += len(data)
                self.account_output()

    @property
    def congested(self) -> bool:
        """Whether the write buffer is above its high-water mark."""
        return self._writable is not None

    async def drain(self) -> None:
        """Wait while the write buffer is above its high-water mark."""
        if self._writable is not None:
            # Shielded, because others may wait for it after this wait has timed out.
            await asyncio.shield(self._writable)

    def pause_writing(self) -> None:
        """Make ``drain`` wait: the write buffer has reached its high-water mark."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let ``drain`` return: the write buffer is below its low-water mark."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        self.account_output()

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
        if self._output is not None:
            self._output.release()
        self._release_input()
        if self._task is not None:
            self._task.cancel()
