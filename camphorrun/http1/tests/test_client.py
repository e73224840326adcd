"""Tests of client connections against peers that send predefined bytes."""

import asyncio
import socket
import struct

import pytest

from ...core import LoopTimerService
from ...standins.stream_peers import StreamServer, serve_stream
from .. import ConnectionPool, HttpError, connect

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
TIMERS = LoopTimerService()


class ScriptedPeer:
    """Sends fixed bytes after each request, then keeps, closes or resets the socket.

    ``later`` is sent 30 ms after ``answer``.
    """

    def __init__(self, answer: bytes, end: str = "keep", later: bytes = b""):
        self._answer = answer
        self._end = end
        self._later = later
        self.accepted = 0

    async def __aenter__(self) -> "ScriptedPeer":
        self._server = StreamServer(self._serve)
        self.port = await self._server.start()
        return self

    async def __aexit__(self, *exc) -> None:
        await self._server.stop()

    async def _serve(self, reader, writer) -> None:
        self.accepted += 1
        while await reader.read(65536):
            writer.write(self._answer)
            await writer.drain()
            if self._later:
                await asyncio.sleep(0.03)
                writer.write(self._later)
            if self._end == "close":
                writer.close()
                return
            if self._end == "reset":
                await asyncio.sleep(0.03)
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return


def exchange(answer: bytes, end: str = "keep", later: bytes = b""):
    """Return status, body and whether the connection is reusable."""

    async def scenario():
        async with ScriptedPeer(answer, end, later) as peer:
            conn = await connect("127.0.0.1", peer.port, TIMERS, 1.0)
            head = await conn.request(REQUEST)
            body = await conn.read_all(1000)
            await asyncio.sleep(0.08 if later else 0)
            reusable = conn.reusable
            conn.abort()
            return head.status, body, reusable

    return asyncio.run(asyncio.wait_for(scenario(), 3))


class TestCompleteResponses:
    """Complete responses."""

    def test_content_length(self):
        """Guards against closing a reusable connection."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert exchange(answer) == (200, b"ok", True)

    def test_chunked(self):
        """Guards against chunk headers that are returned as body bytes."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert exchange(head + b"2\r\nok\r\n0\r\n\r\n") == (200, b"ok", True)

    def test_body_that_ends_at_close(self):
        """Guards against an error for a body that ends when the peer closes."""
        assert exchange(b"HTTP/1.1 200 OK\r\n\r\nok", "close") == (200, b"ok", False)

    def test_interim_response_is_skipped(self):
        """Guards against returning a 1xx response as the final one."""
        answer = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n"
        assert exchange(answer)[:2] == (204, b"")

    def test_connection_close(self):
        """Guards against reusing a connection after ``Connection: close``."""
        answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        assert exchange(answer)[2] is False


class TestBrokenAnswers:
    """Incomplete, invalid or surplus responses."""

    @pytest.mark.parametrize(
        ("answer", "end"),
        [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "close"),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok", "close"),
            (b"HTTP/1.1 200 OK\r\n\r\nok", "reset"),
            (b"HTTP/1.1 200 OK\r\nContent-Le", "close"),
            (b"no http at all\r\n\r\n", "keep"),
        ],
    )
    def test_incomplete_response_raises(self, answer, end):
        """Guards against an incomplete response that is returned as complete."""
        with pytest.raises(HttpError):
            exchange(answer, end)

    @pytest.mark.parametrize(
        ("answer", "least"),
        [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0),
            (
                b"HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"2\r\nok\r\n0\r\n\r\n",
                0,
            ),
            # Without framing, only the head shows where the answer was cut.
            (b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nok", 2),
        ],
    )
    def test_answer_cut_at_any_byte_raises(self, answer, least):
        """Guards against a part of a head or body that is returned as complete."""
        for length in range(1, len(answer) - least):
            with pytest.raises(HttpError):
                exchange(answer[:length], "close")

    def test_bytes_after_the_answer_make_the_connection_unusable(self):
        """Guards against taking a surplus response for that of the next request."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert exchange(answer + answer) == (200, b"ok", False)

    def test_late_second_response_makes_the_connection_unusable(self):
        """Guards against reuse after a surplus response on an idle connection."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert exchange(answer, later=answer) == (200, b"ok", False)


class TestPool:
    """Reuse of pooled connections."""

    def test_connection_is_reused(self):
        """Guards against a new connection for each request."""

        async def scenario():
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            async with ScriptedPeer(answer) as peer:
                pool = ConnectionPool("127.0.0.1", peer.port, TIMERS)
                for _ in range(3):
                    conn = await pool.acquire(1.0)
                    await conn.request(REQUEST)
                    await conn.read_all(10)
                    pool.release(conn)
                pool.close()
                return peer.accepted

        assert asyncio.run(scenario()) == 1

    def test_connection_idle_beyond_the_bound_is_not_reused(self):
        """Guards against sending a request on a connection that the peer may close.

        The outcome of a request that must not be repeated would then be unknown.
        """

        async def scenario():
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            async with ScriptedPeer(answer) as peer:
                pool = ConnectionPool("127.0.0.1", peer.port, TIMERS)
                for _ in range(2):
                    conn = await pool.acquire(1.0, maximum_idle_s=0.01)
                    await conn.request(REQUEST)
                    await conn.read_all(10)
                    pool.release(conn)
                    await asyncio.sleep(0.05)
                pool.close()
                return peer.accepted

        assert asyncio.run(scenario()) == 2

    def test_refused_connection_reports_request_not_sent(self):
        """Guards against reporting an unknown outcome when no connection was opened."""

        async def scenario():
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            await connect("127.0.0.1", port, TIMERS, 1.0)

        with pytest.raises(HttpError) as caught:
            asyncio.run(scenario())
        assert caught.value.request_not_sent


class TestEarlyResponse:
    """A peer that responds before it has read the whole request."""

    def test_next_request_follows_the_whole_body(self):
        """Guards against sending a request before the body of the previous one."""
        body = bytes(range(256)) * 16384
        request = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        received = bytearray()

        async def serve(reader, writer):
            received.extend(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)
            await asyncio.sleep(0.05)
            received.extend(await reader.readexactly(len(body)))
            received.extend(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)

        async def scenario():
            async with serve_stream(serve) as port:
                pool = ConnectionPool("127.0.0.1", port, TIMERS)
                for data in (request, REQUEST):
                    conn = await pool.acquire(1.0)
                    head = await conn.request(data)
                    assert (head.status, await conn.read_all(10)) == (200, b"ok")
                    pool.release(conn)
                pool.close()
            return pool.opened

        opened = asyncio.run(asyncio.wait_for(scenario(), 5))
        assert opened == 1
        assert bytes(received) == request + REQUEST
