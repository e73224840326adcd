"""Forwards TCP connections, and can let established ones go silent.

It stands in for a network device that loses the state of its connections: both ends
keep an open connection on which nothing arrives any more, while new connections work.
"""

import asyncio
import contextlib

from .stream_peers import StreamServer

CHUNK_BYTES = 64 * 1024


class _Connection:
    """The two sides of a forwarded connection."""

    __slots__ = ("forwards", "writers")

    def __init__(self, *writers: asyncio.StreamWriter):
        self.forwards = asyncio.Event()
        self.forwards.set()
        self.writers = writers


class TcpForwarder:
    """Forwards from an address to a target.

    Parameters
    ----------
    target : str
        ``ip:port`` to connect to.

    Attributes
    ----------
    accepted : int
        Connections accepted so far.
    is_cut : bool
        Whether connections are silent from their start, as behind a partition.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = StreamServer(self._accept)
        self._connections: set[_Connection] = set()
        self.accepted = 0
        self.is_cut = False

    async def start(self, host: str, port: int = 0) -> str:
        """Listen and return the ``ip:port`` in use."""
        return f"{host}:{await self._server.start(host, port)}"

    def silence(self) -> int:
        """Stop to forward on the connections of now; return how many there were."""
        for connection in self._connections:
            connection.forwards.clear()
        count = len(self._connections)
        self._connections.clear()
        return count

    def cut(self) -> None:
        """Silence the connections of now and all later ones, until ``heal``."""
        self.is_cut = True
        self.silence()

    def heal(self) -> None:
        """Forward on new connections again; those of the cut stay silent."""
        self.is_cut = False
        self.silence()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._server.stop()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._forward(reader, writer)
        finally:
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        connection = _Connection(writer, far_writer)
        if self.is_cut:
            connection.forwards.clear()
        self._connections.add(connection)
        pumps = [
            asyncio.ensure_future(_pump(connection, reader, far_writer)),
            asyncio.ensure_future(_pump(connection, far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._connections.discard(connection)
            far_writer.close()


async def _pump(
    connection: _Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Copy bytes while the connection forwards; a silent one is held open."""
    while data := await reader.read(CHUNK_BYTES):
        await connection.forwards.wait()
        writer.write(data)
        await writer.drain()
    # The end of one side must not show on the other side of a silent connection.
    await connection.forwards.wait()
