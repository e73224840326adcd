"""One authenticated connection between an entry and an agent."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable
from dataclasses import replace

import aiohttp
from aiohttp import web

from ..core import TimerService
from ..messages import (
    FrameSealer,
    Hello,
    KeyRing,
    MessageError,
    decode_message,
    encode_message,
)
from ..metrics import Metrics
from .errors import LinkError

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_SECONDS = 2.0
SEND_TIMEOUT_SECONDS = 2.0

WebSocket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse
MessageHandler = Callable[["Link", object], None]


class Link:
    """A connection on which both ends proved that they hold a shared key.

    Parameters
    ----------
    socket : WebSocket
        An open WebSocket.
    keys : KeyRing
        Shared keys.
    local : Hello
        Description of this process; the nonce is replaced for each connection.
    timers : TimerService
        Clock.
    metrics : Metrics
        Counters of dropped frames.
    is_dialer : bool
        True on the side that opened the connection.
    """

    def __init__(
        self,
        socket: WebSocket,
        keys: KeyRing,
        local: Hello,
        timers: TimerService,
        metrics: Metrics,
        *,
        is_dialer: bool,
    ):
        self._socket = socket
        self._sealer = FrameSealer(keys, is_dialer=is_dialer)
        self._is_dialer = is_dialer
        self._local = replace(local, nonce=secrets.token_bytes(NONCE_BYTES))
        self._timers = timers
        self._metrics = metrics
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue(maxsize=4096)
        self._writer: asyncio.Task | None = None
        self.peer: Hello | None = None
        self.last_received_at = timers.now()
        self.closed = False

    async def handshake(self) -> Hello:
        """Exchange hellos and bind the connection; return the peer's hello.

        Raises
        ------
        LinkError
            With the code of the refusal, if the peer does not hold a shared key.
        """
        await self._write(self._sealer.seal(encode_message(self._local)))
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                data = await self._socket.receive_bytes()
            peer = decode_message(self._sealer.open(data))
        except (TimeoutError, TypeError, MessageError, aiohttp.ClientError) as exc:
            code = getattr(exc, "code", "handshake_failed")
            self._metrics.drops.labels(code).inc()
            raise LinkError(f"handshake: {exc!r}", code=code) from exc
        if not isinstance(peer, Hello):
            raise LinkError("expected a hello", code="handshake_failed")
        self._bind(peer)
        return peer

    def _bind(self, peer: Hello) -> None:
        self.peer = peer
        if self._is_dialer:
            self._sealer.bind(self._local.nonce, peer.nonce)
        else:
            self._sealer.bind(peer.nonce, self._local.nonce)
        self._writer = asyncio.get_running_loop().create_task(self._write_all())

    def send(self, message: object) -> None:
        """Queue a message.

        Raises
        ------
        LinkError
            If the link is closed or its queue is full; a full queue closes it.
        """
        if self.closed:
            raise LinkError("link is closed")
        try:
            self._outgoing.put_nowait(encode_message(message))
        except asyncio.QueueFull:
            self.abort()
            raise LinkError("send queue is full", code="send_queue_full") from None

    async def run(self, handler: MessageHandler) -> None:
        """Hand each received message to ``handler`` until the link closes."""
        try:
            async for frame in self._socket:
                if frame.type is not aiohttp.WSMsgType.BINARY:
                    self._metrics.drops.labels("not_binary").inc()
                    break
                if not self._handle(frame.data, handler):
                    break
        except (aiohttp.ClientError, ConnectionError):
            self._metrics.drops.labels("connection_error").inc()
        finally:
            await self.close()

    def _handle(self, data: bytes, handler: MessageHandler) -> bool:
        """Return False if the frame shows that the connection is not authentic."""
        try:
            payload = self._sealer.open(data)
        except MessageError as exc:
            self._metrics.drops.labels(exc.code).inc()
            return False
        self.last_received_at = self._timers.now()
        try:
            message = decode_message(payload)
        except MessageError as exc:
            self._metrics.drops.labels(exc.code).inc()
            return True
        handler(self, message)
        return True

    async def _write_all(self) -> None:
        """Seal and write queued messages; a blocked write closes the link."""
        try:
            while True:
                payload = await self._outgoing.get()
                await self._write(self._sealer.seal(payload))
        except LinkError:
            self.abort()

    async def _write(self, frame: bytes) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                await self._socket.send_bytes(frame)
        except (TimeoutError, ConnectionError, aiohttp.ClientError) as exc:
            raise LinkError(f"write: {exc!r}") from exc

    def abort(self) -> None:
        """Cut the connection at once, without waiting for the peer."""
        self.closed = True
        transport = _transport_of(self._socket)
        if transport is not None:
            transport.abort()

    async def close(self) -> None:
        """Close the connection and stop the writer."""
        self.closed = True
        if self._writer is not None:
            self._writer.cancel()
        with contextlib.suppress(Exception):
            async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                await self._socket.close()


def _transport_of(socket: WebSocket) -> asyncio.Transport | None:
    """Return the TCP transport below a WebSocket of aiohttp."""
    return socket.get_extra_info("transport") or _writer_transport(socket)


def _writer_transport(socket: WebSocket) -> asyncio.Transport | None:
    # aiohttp has no public accessor for the transport on both kinds of WebSocket.
    return getattr(getattr(socket, "_writer", None), "transport", None)
