"""Tests of server connections with predefined bytes over loopback."""

import asyncio

import pytest

from ...core import LoopTimerService
from ...standins.stream_peers import open_stream
from .. import Headers, HttpServer, ServerLimits, ServerRequest, ServerResponder


class EchoServer:
    """Server that echoes bodies and records requests, refusals and cancellations."""

    def __init__(self, limits: ServerLimits | None = None):
        self.requests: list[ServerRequest] = []
        self.cancelled = 0
        self.statuses: list[int] = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.server = HttpServer(
            self.handle, LoopTimerService(), limits, self.statuses.append
        )

    async def handle(self, req: ServerRequest, responder: ServerResponder) -> None:
        self.requests.append(req)
        try:
            await self.may_respond.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        responder.respond(200, Headers(), req.body)

    async def exchange(self, data: bytes, *, until: int = 1) -> bytes:
        """Send bytes; return those received until the close or ``until`` responses."""
        port = await self.server.start("127.0.0.1", 0)
        received = b""
        try:
            async with (
                open_stream("127.0.0.1", port) as (reader, writer),
                asyncio.timeout(2),
            ):
                writer.write(data)
                while received.count(b"HTTP/1.1 ") < until or not received:
                    part = await reader.read(65536)
                    if not part:
                        break
                    received += part
        finally:
            self.server.close()
        return received


def run(data: bytes, limits: ServerLimits | None = None, until: int = 1):
    async def scenario():
        served = EchoServer(limits)
        return served, await served.exchange(data, until=until)

    return asyncio.run(scenario())


class TestRequests:
    """Valid requests."""

    def test_body_with_length(self):
        """Guards against a truncated body or one with bytes of the next request."""
        served, received = run(b"POST /a?b=1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
        assert received.endswith(b"abc")
        assert served.requests[0].target == b"/a?b=1"

    def test_chunked_body(self):
        """Guards against chunk headers that are passed to the handler as body bytes."""
        data = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        served, _ = run(data + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        assert served.requests[0].body == b"abc"

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against responses in another order than their requests."""
        one = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n"
        _, received = run(one + b"1" + one + b"2", until=2)
        first, _, second = received.partition(b"\r\n\r\n")[2].partition(b"HTTP/1.1")
        assert first == b"1"
        assert second.endswith(b"2")

    def test_expect_continue(self):
        """Guards against callers that wait in vain for permission to send a body."""
        data = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        _, received = run(data)
        assert received.startswith(b"HTTP/1.1 100")


class TestRefusals:
    """Requests that are invalid, ambiguous, too large or too slow."""

    @pytest.mark.parametrize(
        "head",
        [
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Content-Length: +3\r\n",
            b"Bad Name: x\r\n",
            b"X: a\r\n folded\r\nContent-Length : 3\r\n",
        ],
    )
    def test_ambiguous_framing_is_refused(self, head):
        """Guards against request smuggling by a second request in the body."""
        inner = b"0\r\n\r\nGET /inner HTTP/1.1\r\n\r\n"
        served, received = run(b"POST / HTTP/1.1\r\n" + head + b"\r\n" + inner)
        assert received.startswith(b"HTTP/1.1 400")
        assert served.requests == []
        assert served.statuses == [400]

    def test_bytes_that_are_not_http(self):
        """Guards against a status other than 400 for bytes that are not HTTP."""
        _, received = run(b"\x00\x01\x02\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 400")

    def test_large_head(self):
        """Guards against accepting a head larger than ``header_bytes``."""
        limits = ServerLimits(header_bytes=200)
        _, received = run(b"GET / HTTP/1.1\r\nX: " + b"a" * 300 + b"\r\n\r\n", limits)
        assert received.startswith(b"HTTP/1.1 431")

    def test_unfinished_large_head(self):
        """Guards against waiting for the end of a head that is already too large."""
        limits = ServerLimits(header_bytes=200)
        _, received = run(b"GET / HTTP/1.1\r\nX: " + b"a" * 300, limits)
        assert received.startswith(b"HTTP/1.1 431")

    def test_large_body(self):
        """Guards against accepting a body larger than ``body_bytes``."""
        limits = ServerLimits(body_bytes=2)
        _, received = run(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", limits)
        assert received.startswith(b"HTTP/1.1 413")

    def test_incomplete_head_times_out(self):
        """Guards against callers that hold connections open with incomplete heads."""
        limits = ServerLimits(header_timeout_s=0.1)
        _, received = run(b"GET / HTTP/1.1\r\n", limits)
        assert received.startswith(b"HTTP/1.1 408")


class TestDisconnectAndShutdown:
    """Closed connections and the shutdown of the server."""

    def test_handler_is_cancelled_when_the_caller_disconnects(self):
        """Guards against handling a request whose caller has disconnected."""

        async def scenario():
            served = EchoServer()
            served.may_respond.clear()
            port = await served.server.start("127.0.0.1", 0)
            async with open_stream("127.0.0.1", port) as (_, writer):
                writer.write(b"GET / HTTP/1.1\r\n\r\n")
                while not served.requests:
                    await asyncio.sleep(0.01)
            while not served.cancelled:
                await asyncio.sleep(0.01)
            served.server.close()

        asyncio.run(asyncio.wait_for(scenario(), 2))

    def test_closing_server_sends_connection_close(self):
        """Guards against callers that reuse a connection which is about to close."""

        async def scenario():
            served = EchoServer()
            served.server.closing = True
            return await served.exchange(b"GET / HTTP/1.1\r\n\r\n")

        assert b"Connection: close" in asyncio.run(scenario())

    def test_failed_handler_closes_without_a_complete_response(self):
        """Guards against a response that looks complete after its handler failed."""

        async def scenario():
            served = EchoServer()

            async def fail(req, responder):
                responder.start(200, Headers(), None)
                await responder.write(b"part")
                raise RuntimeError("broken")

            served.server.handler = fail
            return await served.exchange(b"GET / HTTP/1.1\r\n\r\n", until=2)

        received = asyncio.run(scenario())
        assert b"0\r\n\r\n" not in received


class TestUnsentAnswers:
    """Responses that the caller has not read yet."""

    def test_connection_with_unsent_bytes_is_active(self):
        """Guards against a shutdown that truncates a response to a slow caller."""
        body = b"b" * 8_000_000

        async def scenario():
            async def handle(_req, responder):
                responder.respond(200, Headers(), body)

            server = HttpServer(handle, LoopTimerService())
            port = await server.start("127.0.0.1", 0)
            async with open_stream("127.0.0.1", port) as (reader, writer):
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                async with asyncio.timeout(2):
                    while not server.connections:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                unsent = server.active
                head = await reader.readuntil(b"\r\n\r\n")
                read = await reader.readexactly(len(body))
                async with asyncio.timeout(2):
                    while server.active:
                        await asyncio.sleep(0.01)
            server.close()
            return unsent, head[:15], read == body

        assert asyncio.run(scenario()) == (1, b"HTTP/1.1 200 OK", True)
