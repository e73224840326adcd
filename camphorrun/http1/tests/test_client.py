"""Tests of client connections against scripted bytes."""

import asyncio
import socket
import struct

import pytest

from ...core import LoopTimerService
from .. import ConnectionPool, HttpError, connect

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
TIMERS = LoopTimerService()


class ScriptedPeer:
    """Sends fixed bytes after each request and then keeps, closes or resets."""

    def __init__(self, answer: bytes, end: str = "keep", later: bytes = b""):
        self._answer = answer
        self._end = end
        self._later = later
        self.accepted = 0

    async def __aenter__(self) -> "ScriptedPeer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc) -> None:
        self._server.close()

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
    """Return status, body and whether the connection may be used again."""

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


class TestWholeAnswers:
    """Answers that are complete."""

    def test_length(self):
        """Guards against a connection that is not kept although it could be."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert exchange(answer) == (200, b"ok", True)

    def test_chunked(self):
        """Guards against chunk framing in the body."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert exchange(head + b"2\r\nok\r\n0\r\n\r\n") == (200, b"ok", True)

    def test_until_close(self):
        """Guards against a body without length that is taken for incomplete."""
        assert exchange(b"HTTP/1.1 200 OK\r\n\r\nok", "close") == (200, b"ok", False)

    def test_interim_response_is_skipped(self):
        """Guards against an interim response taken for the answer."""
        answer = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n"
        assert exchange(answer)[:2] == (204, b"")

    def test_connection_close(self):
        """Guards against another request on a connection that is closing."""
        answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        assert exchange(answer)[2] is False


class TestBrokenAnswers:
    """Answers that must not look complete."""

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
    def test_incomplete_answer_raises(self, answer, end):
        """Guards against a part of an answer that is passed on as the whole."""
        with pytest.raises(HttpError):
            exchange(answer, end)

    def test_bytes_after_the_answer_spoil_the_connection(self):
        """Guards against an extra answer taken for that of the next request."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert exchange(answer + answer) == (200, b"ok", False)

    def test_late_second_answer_spoils_the_connection(self):
        """Guards against an extra answer that comes while the connection is idle."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert exchange(answer, later=answer) == (200, b"ok", False)


class TestPool:
    """Kept connections."""

    def test_connection_is_kept(self):
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

    def test_idle_connection_is_not_used_beyond_the_bound(self):
        """Guards against an unsafe request on a connection the peer may close."""

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

    def test_refused_connection_was_not_sent(self):
        """Guards against a refused connection reported as an unknown outcome."""

        async def scenario():
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            await connect("127.0.0.1", port, TIMERS, 1.0)

        with pytest.raises(HttpError) as caught:
            asyncio.run(scenario())
        assert caught.value.request_not_sent


class TestEarlyAnswer:
    """A peer that answers before it has read a long request."""

    def test_next_request_follows_the_whole_body(self):
        """Guards against bytes of the next request inside the body of the last."""
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
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            pool = ConnectionPool(
                "127.0.0.1", server.sockets[0].getsockname()[1], TIMERS
            )
            for data in (request, REQUEST):
                conn = await pool.acquire(1.0)
                head = await conn.request(data)
                assert (head.status, await conn.read_all(10)) == (200, b"ok")
                pool.release(conn)
            pool.close()
            server.close()
            return pool.opened

        opened = asyncio.run(asyncio.wait_for(scenario(), 5))
        assert opened == 1
        assert bytes(received) == request + REQUEST
