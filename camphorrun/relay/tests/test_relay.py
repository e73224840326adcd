"""Tests of the relay over loopback sockets."""

import asyncio
import contextlib
import random
import socket

import pynng
import pytest

from ...configuration import (
    ConfigurationChange,
    ConfigurationView,
    Drain,
    StreamFollower,
    encode_document,
    encode_record,
)
from ...core import LogRecord, LoopTimerService, MemoryLog
from ...messages import KeyRing, SharedKey
from .. import Announce, FetchRecords, RelayClient, RelayError, RelayPeers, RelayServer
from ..frames import MAX_REQUEST_BYTES, PAGE_BYTES, open_reply, seal_request
from ..messages import encode_relay
from ..sockets import receive

KEYS = KeyRing((SharedKey(1, b"k" * 32),))
FOREIGN_KEYS = KeyRing((SharedKey(1, b"f" * 32),))


def _free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _record(offset, reason="r"):
    body = encode_document(Drain(f"h{offset}", reason))
    change = ConfigurationChange(f"c{offset}", "drain", f"h{offset}", 0, body)
    return LogRecord(offset, 1, encode_record(change))


def _follower(records, reason="r", source=None, log=None):
    timers = LoopTimerService()
    view = ConfigurationView("fleet")
    follower = StreamFollower(log or MemoryLog(timers), view, timers, source=source)
    for offset in range(1, records + 1):
        record = _record(offset, reason)
        view.apply(record)
        follower.recent.add(record)
    return follower


@contextlib.asynccontextmanager
async def _served(follower, **options):
    address = _free_address()
    timers = LoopTimerService()
    server = RelayServer(address, KEYS, {"fleet": follower}, timers, **options)
    task = asyncio.ensure_future(server.run())
    try:
        yield server, address
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


class TestRequests:
    """Peers get snapshots, records and announcements."""

    def test_snapshot_in_pages(self):
        """Guards against a snapshot larger than one frame that arrives damaged."""
        follower = _follower(400, "x" * 40_000)

        async def scenario():
            async with _served(follower) as (_, address):
                client = RelayClient(address, KEYS)
                data = await client.fetch_snapshot("fleet")
                behind = await client.fetch_snapshot("fleet", 400)
                client.close()
                return data, behind

        data, behind = asyncio.run(scenario())
        assert len(data) > 15_000_000 > 2 * PAGE_BYTES
        assert behind is None
        view = ConfigurationView("fleet")
        assert view.install(data)
        assert view.get("drain", "h400").reason == "x" * 40_000

    def test_records_and_announcement(self):
        """Guards against requests that reach the wrong handler."""
        message = Announce("h", "127.0.0.1:1", "agent", "s", "z", "i")
        seen = []

        async def scenario():
            async with _served(_follower(5), on_announce=seen.append) as (_, address):
                client = RelayClient(address, KEYS)
                await client.announce(message)
                found = await client.fetch_records("fleet", 4)
                with pytest.raises(RelayError) as caught:
                    await client.fetch_records("accounts", 1)
                client.close()
                return found, caught.value.code

        found, code = asyncio.run(scenario())
        assert found == (_record(4), _record(5))
        assert (seen, code) == ([message], "unknown_stream")


class TestRefusedFrames:
    """Frames that are not authentic are refused and counted."""

    def test_server_keeps_serving(self):
        """Guards against a server that a foreign or damaged frame stops."""
        payload = encode_relay(FetchRecords("fleet", 1))
        frame, _ = seal_request(KEYS, payload)
        foreign, _ = seal_request(FOREIGN_KEYS, payload)
        not_a_request, _ = seal_request(KEYS, b"\xc1")
        rng = random.Random(1)
        frames = [foreign, frame[:20], frame + bytes(MAX_REQUEST_BYTES), not_a_request]
        frames += [rng.randbytes(rng.randrange(200)) for _ in range(50)]
        too_large = bytes(1024 * 1024)

        async def scenario():
            async with _served(_follower(3)) as (server, address):
                client = RelayClient(address, KEYS)
                for count, bad in enumerate([*frames, too_large]):
                    with pynng.Req0(send_timeout=2000) as sender:
                        sender.dial(f"tcp://{address}", block=False)
                        await sender.asend(bad)
                        expected = min(count + 1, len(frames))
                        while sum(server.refused.values()) < expected:
                            await asyncio.sleep(0.001)
                        assert len(await client.fetch_records("fleet", 1)) == 3
                client.close()
                return server.refused

        refused = asyncio.run(asyncio.wait_for(scenario(), 30))
        codes = ("bad_digest", "truncated", "oversized", "bad_message")
        assert all(refused[code] >= 1 for code in codes)
        # NNG itself refuses the frame above its own limit.
        assert sum(refused.values()) == len(frames)

    def test_reply_to_another_request(self):
        """Guards against a recorded reply that is accepted for a new request."""
        server = RelayServer("", KEYS, {"fleet": _follower(1)}, LoopTimerService())
        frame, nonce = seal_request(KEYS, encode_relay(FetchRecords("fleet", 1)))
        reply = server.answer(frame)
        assert open_reply(KEYS, nonce, reply)
        with pytest.raises(RelayError) as caught:
            open_reply(KEYS, bytes(16), reply)
        assert caught.value.code == "bad_digest"

    def test_silent_peer(self):
        """Guards against a request that waits without bound."""

        async def ask(address):
            client = RelayClient(address, KEYS, timeout_ms=50)
            with pytest.raises(RelayError) as caught:
                await asyncio.wait_for(client.fetch_records("fleet", 1), 5)
            return caught.value.code

        async def scenario():
            address = _free_address()
            with pynng.Rep0(listen=f"tcp://{address}"):
                return await ask(address), await ask(_free_address())

        assert asyncio.run(scenario()) == ("relay_timeout",) * 2


class TestCancellation:
    """A server can be stopped at any moment."""

    def test_cancelled_while_an_operation_completes(self):
        """Guards against a cancellation that pynng drops."""

        class _Completing:
            async def arecv(self):
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(60)
                return b""

        async def scenario():
            task = asyncio.ensure_future(receive(_Completing()))
            await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

        asyncio.run(scenario())


class TestRelayPeers:
    """A follower starts from peers while the log is unavailable."""

    def test_highest_snapshot_is_installed(self):
        """Guards against a start from the peer that is furthest behind."""

        async def scenario():
            log = MemoryLog(LoopTimerService())
            log.available = False
            async with (
                _served(_follower(3)) as (_, low),
                _served(_follower(7)) as (_, high),
            ):
                addresses = [low, high, _free_address()]
                peers = RelayPeers(KEYS, lambda _: addresses, timeout_ms=300)
                follower = _follower(0, source=peers, log=log)
                assert await follower.fetch_from_peers()
                return follower.position

        assert asyncio.run(scenario()) == 7
