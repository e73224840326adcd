"""Tests of links over real sockets: authentication, silence and replacement."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import aiohttp
import pytest
from aiohttp import web

from ...core import LoopTimerService
from ...messages import (
    MAX_FRAME_BYTES,
    AttemptId,
    Cancel,
    Hello,
    KeyRing,
    Ping,
    Pong,
    SharedKey,
)
from ...metrics import Metrics
from .. import LINK_PATH, Link, LinkDialer, LinkEvents, LinkListener, dialer

_KEYS = KeyRing((SharedKey(1, b"k" * 16),))
_CANCEL = Cancel(AttemptId("req-1", 0, 1))


class _Events(LinkEvents):
    """Counts link events."""

    def __init__(self):
        self.ups = 0
        self.downs: list[str] = []
        self.up = asyncio.Event()

    def link_up(self, link: Link, peer: Hello) -> None:
        self.ups += 1
        self.up.set()

    def link_down(self, reason: str) -> None:
        self.downs.append(reason)
        self.up.clear()

    def is_busy(self) -> bool:
        return True


@dataclass
class _Served:
    """A listener on a socket and what it received."""

    listener: LinkListener
    metrics: Metrics
    address: str
    received: list[object] = field(default_factory=list)

    def dropped(self, reason: str) -> float:
        value = self.metrics.registry.get_sample_value(
            "camphorrun_drops_total", {"reason": reason}
        )
        return value or 0.0


@contextlib.asynccontextmanager
async def _served(middle=None):
    """Serve a listener; ``middle`` may wrap its handler."""
    metrics = Metrics()
    received: list[object] = []
    listener = LinkListener(
        _KEYS,
        Hello("agent-1", "a", "agent", "inc-1", b""),
        LoopTimerService(),
        metrics,
        handler=lambda link, message: received.append(message),
        answer_ping=lambda ping: Pong(ping.nonce),
        on_down=lambda link: None,
    )
    app = web.Application()
    app.router.add_get(LINK_PATH, middle or listener.handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        yield _Served(listener, metrics, f"127.0.0.1:{port}", received)
    finally:
        await listener.close()
        await runner.cleanup()


@contextlib.asynccontextmanager
async def _dialed(address: str, events: _Events, keys: KeyRing = _KEYS):
    async with aiohttp.ClientSession() as session:
        link_dialer = LinkDialer(
            session,
            address,
            keys,
            Hello("entry-1", "a", "entry", "inc-2", b""),
            LoopTimerService(),
            Metrics(),
            events=events,
            handler=lambda link, message: None,
        )
        task = asyncio.ensure_future(link_dialer.run())
        try:
            yield link_dialer
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def _until(predicate) -> None:
    async with asyncio.timeout(10):
        while not predicate():
            await asyncio.sleep(0.01)


class TestForeignFrames:
    """Frames of processes without the shared key are refused and counted."""

    @pytest.mark.parametrize(
        ("frame", "reason"),
        [
            (b"\x01" + bytes(60), "bad_digest"),
            (b"\x07" + bytes(60), "unknown_key"),
            (b"\x01abc", "truncated"),
            (bytes(range(200)), "unknown_key"),
        ],
    )
    def test_frame_is_refused_and_service_unharmed(self, frame, reason):
        """Guards against a stranger that is heard, or that stops the listener."""

        async def scenario():
            async with _served() as served, aiohttp.ClientSession() as session:
                url = f"http://{served.address}{LINK_PATH}"
                async with session.ws_connect(url) as socket:
                    await socket.send_bytes(frame)
                    await _until(lambda: served.dropped(reason) == 1)
                await self._check_service(served)

        asyncio.run(scenario())

    def test_oversized_frame_is_refused(self):
        """Guards against memory taken by a frame beyond the limit."""

        async def scenario():
            async with _served() as served, aiohttp.ClientSession() as session:
                url = f"http://{served.address}{LINK_PATH}"
                async with session.ws_connect(url) as socket:
                    with contextlib.suppress(ConnectionError, aiohttp.ClientError):
                        await socket.send_bytes(bytes(MAX_FRAME_BYTES + 1))
                    await _until(lambda: served.dropped("handshake_failed") == 1)
                assert served.received == []
                await self._check_service(served)

        asyncio.run(scenario())

    @staticmethod
    async def _check_service(served: _Served) -> None:
        events = _Events()
        async with _dialed(served.address, events) as link_dialer:
            await asyncio.wait_for(events.up.wait(), 5)
            link_dialer.send(_CANCEL)
            await _until(lambda: served.received == [_CANCEL])


class TestKeyRotation:
    """Keys change without stopping the service."""

    def test_new_key_is_accepted_beside_the_old_one(self):
        """Guards against a dialer that is cut off by a key change."""

        async def scenario():
            events = _Events()
            ring = KeyRing((SharedKey(1, b"k" * 16), SharedKey(2, b"n" * 16)))
            async with (
                _served() as served,
                _dialed(served.address, events, ring),
            ):
                await asyncio.wait_for(events.up.wait(), 5)

        asyncio.run(scenario())

    def test_dialer_with_only_another_key_stays_down(self):
        """Guards against a link to a process without the shared key."""

        async def scenario():
            events = _Events()
            ring = KeyRing((SharedKey(2, b"n" * 16),))
            async with (
                _served() as served,
                _dialed(served.address, events, ring),
            ):
                await _until(lambda: served.dropped("unknown_key") >= 1)
                assert events.ups == 0

        asyncio.run(scenario())


class TestSilentLink:
    """A connection whose answers stop is replaced."""

    def test_silent_link_is_replaced(self, monkeypatch):
        """Guards against work that waits indefinitely on a half-open connection."""
        monkeypatch.setattr(dialer, "BUSY_HEARTBEAT_SECONDS", 0.1)
        monkeypatch.setattr(dialer, "SILENCE_SECONDS", 0.3)
        silent = {"next": True}

        async def scenario():
            async with _served() as served:
                answer = served.listener._answer_ping

                def answer_unless_silent(ping: Ping) -> object:
                    # A message that is no pong is ignored by the dialer.
                    return _CANCEL if silent["next"] else answer(ping)

                served.listener._answer_ping = answer_unless_silent
                events = _Events()
                async with _dialed(served.address, events):
                    await _until(lambda: "silent" in events.downs)
                    silent["next"] = False
                    await asyncio.wait_for(events.up.wait(), 5)
                    assert events.ups >= 2

        asyncio.run(scenario())
