"""Replicas that send bytes without end, seen from a gateway process and its callers."""

import asyncio
import contextlib
from pathlib import Path

import pytest

from camphorrun.core import LoopTimerService
from camphorrun.gateway.tests.cluster import (
    HOST,
    KEY,
    STAGE,
    configuration,
    route,
)
from camphorrun.standins.platform_replica import PlatformReplica
from camphorrun.standins.platform_store import PlatformStore
from camphorrun.standins.stream_peers import StreamServer

from .process_rig import GatewayProcess

BLOCK = 64 * 1024
FAULTY_REQUESTS = 24
CALLER_TIMEOUT_SECONDS = 4.0
ROUTE_TIMEOUT_MS = 2500
# The smallest host has 200 MB, of which the process needs about 50 MB.
MEMORY_BUDGET_MB = 60
ID = b"X-Attempt-Id: %s\r\nX-Replica-Stamp: s\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n" + CHUNKED


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# For each kind the first bytes of an answer, with the attempt, and what comes for ever.
ENDLESS = {
    "head": (b"HTTP/1.1 200 OK\r\n" + ID, b"X-A: 1\r\n" * (BLOCK // 8)),
    "field": (b"HTTP/1.1 200 OK\r\n" + ID + b"X-A: ", b"a" * BLOCK),
    "interim": (b"", b"HTTP/1.1 102 X\r\n\r\n" * (BLOCK // 18)),
    "junk": (b"", b"\x00\xff" * (BLOCK // 2)),
    "body": (b"HTTP/1.1 200 OK\r\n" + ID + b"\r\n", b"a" * BLOCK),
    "chunks": (b"HTTP/1.1 200 OK\r\n" + ID + CHUNKED, _chunk(b"a" * BLOCK)),
    "event": (b"HTTP/1.1 200 OK\r\n" + ID + EVENTS, _chunk(b"a" * BLOCK)),
    "trailers": (
        b"HTTP/1.1 200 OK\r\n" + ID + CHUNKED + b"0\r\n",
        b"X-A: 1\r\n" * (BLOCK // 8),
    ),
    "rejection": (
        b"HTTP/1.1 503 X\r\n" + ID + NOT_RUN + CHUNKED,
        _chunk(b"a" * BLOCK),
    ),
}


async def serve_without_end(kind: str, reader, writer) -> None:
    """Answer the first request on a connection, and go on until it is closed."""
    start, block = ENDLESS[kind]
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        head = await reader.readuntil(b"\r\n\r\n")
        attempt = head.lower().partition(b"x-attempt-id: ")[2].partition(b"\r\n")[0]
        writer.write(start.replace(b"%s", attempt))
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()


async def send(gateway: GatewayProcess, path: str, number: int) -> int:
    """Send a request, read its answer to the end, and return its status."""
    reader, writer = await asyncio.open_connection(*gateway.callers)
    status = 0
    try:
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
            f"X-Attempt-Id: r{number}\r\nX-Deadline-Ms: {ROUTE_TIMEOUT_MS}\r\n"
            "X-Model: m\r\nX-Pieces: 1\r\nX-Piece-Key: k\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
            status = int((await reader.readline()).split()[1])
            while await reader.read(BLOCK):
                pass
    except (OSError, TimeoutError, IndexError):
        pass
    finally:
        writer.transport.abort()
    return status


def config() -> dict:
    """Return a configuration with faulty services beside a sound one."""
    stages = [{"Service": "faulty-stage", "After": [], "PayloadBytes": 1000}]
    fields = {"TimeoutMs": ROUTE_TIMEOUT_MS, "TargetLatencyMs": ROUTE_TIMEOUT_MS}
    return configuration(
        1,
        Routes=[
            route("sound", "/sound/", "safe", "plain", **fields),
            route("plain", "/plain/", "safe", "faulty", **fields),
            route("once", "/once/", "unsafe", "faulty", **fields),
            route(
                "stream", "/stream/", "streaming", "faulty", Resumable=True, **fields
            ),
            route("staged", "/staged/", "streaming", "plain", Stages=stages, **fields),
        ],
        Services=[
            {"Name": "plain", "MaxConns": 100},
            {"Name": "faulty", "MaxConns": 100},
            {"Name": "faulty-stage", "MaxConns": 100, "Pieces": STAGE},
        ],
    )


class TestEndlessReplicas:
    """Bytes that are no answer, in a head or a body, until the gateway closes."""

    @pytest.mark.parametrize("kind", ENDLESS)
    def test_other_requests_are_served(self, kind, tmp_path: Path):
        """Guards against a gateway that keeps the bytes and ends with all requests."""

        async def scenario():
            store = PlatformStore(LoopTimerService())
            address = await store.start()
            store.put("keyed.op", "config", config())
            sound = PlatformReplica("i-sound", LoopTimerService())
            await sound.start()
            store.put("keyed.servers", "i-sound", sound.registration("plain"))
            servers = []
            for service in ("faulty", "faulty-stage"):
                server = StreamServer(lambda r, w: serve_without_end(kind, r, w))
                port = await server.start()
                entry = sound.registration(service, Address=f"127.0.0.1:{port}")
                store.put("keyed.servers", f"i-{service}", entry)
                servers.append(server)
            gateway = GatewayProcess(0, tmp_path, address)
            try:
                await gateway.start()
                before_mb = gateway.peak_memory_mb
                paths = ("/plain/x", "/once/x", "/stream/x", "/staged/x")
                faulty = [
                    asyncio.ensure_future(send(gateway, paths[n % len(paths)], n))
                    for n in range(FAULTY_REQUESTS)
                ]
                statuses = []
                for number in range(1000, 1020):
                    statuses.append(await send(gateway, "/sound/x", number))
                    await asyncio.sleep(0.1)
                await asyncio.gather(*faulty)
                return statuses, gateway.peak_memory_mb - before_mb, gateway.is_running
            finally:
                await gateway.stop()
                for server in servers:
                    await server.stop()
                sound.close()
                store.close()

        statuses, growth_mb, is_running = asyncio.run(scenario())
        assert statuses == [200] * len(statuses)
        assert is_running
        assert growth_mb <= MEMORY_BUDGET_MB
