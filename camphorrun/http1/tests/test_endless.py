"""Tests of the size limits against peers that send endless messages."""

import asyncio
import contextlib
import subprocess
import sys

import pytest

from ...core import LoopTimerService
from ...standins.stream_peers import open_stream
from .. import Headers, HttpError, HttpServer, ServerLimits, connect
from ..client import MAX_OVERHEAD_BYTES, READ_HIGH_WATER_BYTES
from ..server import MAX_PIPELINED_BYTES
from .endless_responses import ENDLESS_RESPONSES, EndlessPeer

TIMERS = LoopTimerService()
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
# The smallest host of the deployments has 200 MB, of which the process needs about
# 50 MB; 20 faulty peers at once may use a third of the rest.
MEMORY_BUDGET_MB = 50
PEER_COUNT = 20
# Prints by how many MB the peak memory grows while endless responses are read.
MEASURE_MEMORY_SCRIPT = """
import asyncio, resource, sys
from camphorrun.http1.tests.endless_responses import read_endless_responses
before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
asyncio.run(read_endless_responses(sys.argv[1], int(sys.argv[2])))
after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
print((after - before) // 1024)
"""


class TestEndlessResponses:
    """Endless responses to a client connection."""

    @pytest.mark.parametrize(
        "kind", sorted(set(ENDLESS_RESPONSES) - {"body", "chunks"})
    )
    def test_connection_is_closed(self, kind):
        """Guards against reading an endless head or framing without a limit."""

        async def scenario():
            async with EndlessPeer(ENDLESS_RESPONSES[kind]) as peer:
                conn = await connect("127.0.0.1", peer.port, TIMERS, 1.0)
                with pytest.raises(HttpError) as caught:
                    await conn.request(REQUEST)
                    while await conn.read():
                        pass
                assert caught.value.code in ("oversized", "malformed")
                assert not conn.reusable
                await asyncio.sleep(0.05)
                return peer.sent

        sent = asyncio.run(asyncio.wait_for(scenario(), 20))
        # The rest of the sent bytes is in socket buffers and is never read.
        assert sent < 64 * MAX_OVERHEAD_BYTES

    @pytest.mark.parametrize("kind", ["body", "chunks"])
    def test_unread_body_bytes_are_bounded(self, kind):
        """Guards against buffering a whole body while its consumer is slow."""

        async def scenario():
            async with EndlessPeer(ENDLESS_RESPONSES[kind]) as peer:
                conn = await connect("127.0.0.1", peer.port, TIMERS, 1.0)
                await conn.request(REQUEST)
                await asyncio.sleep(0.3)
                buffered_bytes = len(conn._body_buffer)
                await conn.read()
                conn.abort()
                return buffered_bytes

        buffered_bytes = asyncio.run(asyncio.wait_for(scenario(), 10))
        assert buffered_bytes <= 2 * READ_HIGH_WATER_BYTES

    @pytest.mark.parametrize("kind", sorted(ENDLESS_RESPONSES))
    def test_memory_of_a_process(self, kind):
        """Guards against a faulty replica that exhausts the memory of an entry host."""
        command = [sys.executable, "-c", MEASURE_MEMORY_SCRIPT, kind, str(PEER_COUNT)]
        run = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert run.returncode == 0, run.stderr
        assert int(run.stdout) <= MEMORY_BUDGET_MB


REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
ENDLESS_REQUESTS = {
    "fields": (REQUEST_HEAD, b"X-A: 1\r\n" * 1000),
    "field": (REQUEST_HEAD + b"X-A: ", b"a" * 8000),
    "target": (b"GET /", b"a" * 8000),
    "trailers": (
        REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: 1\r\n" * 1000,
    ),
    "extension": (
        REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"a" * 8000,
    ),
}


class TestEndlessRequests:
    """Endless requests to a server."""

    @pytest.mark.parametrize("kind", sorted(ENDLESS_REQUESTS))
    @pytest.mark.parametrize("is_busy", [False, True])
    def test_connection_is_closed(self, kind, is_busy):
        """Guards against buffering an endless request, alone or pipelined."""

        async def scenario():
            release = asyncio.Event()

            async def handle(_req, responder):
                await release.wait()
                responder.abort()

            server = HttpServer(handle, TIMERS, ServerLimits(header_bytes=16384))
            port = await server.start("127.0.0.1", 0)
            first, more = ENDLESS_REQUESTS[kind]
            sent = 0
            async with open_stream("127.0.0.1", port) as (reader, writer):
                if is_busy:
                    writer.write(b"GET / HTTP/1.1\r\n\r\n")
                writer.write(first)
                with contextlib.suppress(ConnectionError):
                    while sent < 4_000_000:
                        writer.write(more)
                        sent += len(more)
                        await writer.drain()
                        await asyncio.sleep(0)
                        if reader.at_eof():
                            break
                    await reader.read()
            server.close()
            return sent

        assert asyncio.run(asyncio.wait_for(scenario(), 10)) < 4_000_000

    def test_pipelined_bytes_are_bounded(self):
        """Guards against buffering many pipelined bodies during a slow request."""

        async def scenario():
            release = asyncio.Event()
            served = []

            async def handle(req, responder):
                await release.wait()
                served.append(len(req.body))
                responder.respond(200, Headers())

            server = HttpServer(handle, TIMERS)
            port = await server.start("127.0.0.1", 0)
            body = b"b" * 1_000_000
            head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
            async with open_stream("127.0.0.1", port) as (_, writer):
                writer.write(b"GET / HTTP/1.1\r\n\r\n" + (head + body) * 8)
                await asyncio.sleep(0.2)
                (conn,) = server.connections
                buffered_bytes = (
                    sum(len(r.body) for r in conn._pending_requests) + conn._body_size
                )
                release.set()
                async with asyncio.timeout(5):
                    while len(served) < 9:
                        await asyncio.sleep(0.01)
            server.close()
            return buffered_bytes

        buffered_bytes = asyncio.run(asyncio.wait_for(scenario(), 10))
        assert buffered_bytes <= 3 * MAX_PIPELINED_BYTES
