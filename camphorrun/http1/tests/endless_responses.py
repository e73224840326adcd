"""Peers that send endless responses, and a client that reads them."""

import asyncio
import contextlib

from ...core import LoopTimerService, with_timeout
from ...standins.stream_peers import StreamServer
from .. import HttpError, connect

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK_BYTES = 64 * 1024
# Timeout of each read, and the pause before the first read of a body.
READ_TIMEOUT_SECONDS = 1.0


def _block(unit: bytes) -> bytes:
    return unit * (BLOCK_BYTES // len(unit))


# For each kind: the first bytes of the response, and the block repeated after them.
ENDLESS_RESPONSES = {
    "reason": (b"HTTP/1.1 200 ", _block(b"a")),
    "fields": (_OK, _block(b"X-A: 1\r\n")),
    "field": (_OK + b"X-A: ", _block(b"a")),
    "name": (_OK, _block(b"a")),
    "interim": (b"", _block(b"HTTP/1.1 102 Processing\r\n\r\n")),
    "trailers": (_CHUNKED + b"0\r\n", _block(b"X-A: 1\r\n")),
    "trailer": (_CHUNKED + b"0\r\nX-A: ", _block(b"a")),
    "extension": (_CHUNKED + b"1;", _block(b"a")),
    "size": (_CHUNKED, _block(b"0")),
    "junk": (b"", _block(b"\x00\xff")),
    "blank": (b"", _block(b"\r\n")),
    "body": (_OK + b"\r\n", _block(b"a")),
    "chunks": (_CHUNKED, _block(b"4\r\naaaa\r\n")),
}


class EndlessPeer:
    """Answers each request with fixed first bytes, then repeats a block endlessly."""

    def __init__(self, answer: tuple[bytes, bytes]):
        self._answer = answer
        self.sent = 0

    async def __aenter__(self) -> "EndlessPeer":
        self._server = StreamServer(self._serve)
        self.port = await self._server.start()
        return self

    async def __aexit__(self, *exc) -> None:
        await self._server.stop()

    async def _serve(self, reader, writer) -> None:
        start, block = self._answer
        await reader.read(1024)
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(block)
                await writer.drain()
                self.sent += len(block)


async def read_endless_responses(kind: str, peers: int) -> None:
    """Read responses on ``peers`` connections at once until each fails or times out."""
    timers = LoopTimerService()

    async def read(port: int) -> None:
        conn = await connect("127.0.0.1", port, timers, 5.0)
        with contextlib.suppress(HttpError, TimeoutError):
            await with_timeout(
                timers, conn.request(b"GET / HTTP/1.1\r\n\r\n"), READ_TIMEOUT_SECONDS
            )
            await asyncio.sleep(READ_TIMEOUT_SECONDS)
            await with_timeout(timers, conn.read(), READ_TIMEOUT_SECONDS)
        conn.abort()

    async with EndlessPeer(ENDLESS_RESPONSES[kind]) as peer:
        await asyncio.gather(*(read(peer.port) for _ in range(peers)))
