"""Ends of TCP connections that send arbitrary bytes, for tests of the other end.

All connections are closed before the event loop ends. A stream writer that is closed by
the garbage collector after that raises an error in whichever test runs then.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StreamServer:
    """TCP server that runs a handler for each connection.

    Parameters
    ----------
    handler : callable
        Coroutine function with a stream reader and a stream writer as arguments. The
        connection stays open after it has returned, unless it closes the writer.
    """

    def __init__(self, handler: StreamHandler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the port in use."""
        # A plain function as callback runs for every accepted connection, a coroutine
        # doesn't if the loop ends before its first step.
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections, and cancel the handlers."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        self._tasks.append(asyncio.ensure_future(self._handler(reader, writer)))


@contextlib.asynccontextmanager
async def serve_stream(handler: StreamHandler) -> AsyncIterator[int]:
    """Run a ``StreamServer`` on loopback and yield its port."""
    server = StreamServer(handler)
    port = await server.start()
    try:
        yield port
    finally:
        await server.stop()


@contextlib.asynccontextmanager
async def open_stream(
    host: str, port: int | str
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to an address; yield reader and writer, and close the connection."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        yield reader, writer
    finally:
        writer.close()
