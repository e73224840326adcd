"""Tests of the relay over loopback sockets."""

import asyncio
import contextlib
import random
import socket

import aiohttp
import pytest
from aiohttp import web

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
from ...standins.stream_peers import open_stream, serve_stream
from .. import Announce, FetchRecords, RelayClient, RelayError, RelayPeers, RelayServer
from .. import server as server_module
from ..frames import (
    MAX_REPLY_BYTES,
    MAX_REQUEST_BYTES,
    PAGE_BYTES,
    open_reply,
    seal_request,
)
from ..messages import RELAY_PATH, encode_relay

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
    server = RelayServer(KEYS, {"fleet": follower}, LoopTimerService(), **options)
    async with _listening(server.handle) as (address, session):
        yield server, address, session


@contextlib.asynccontextmanager
async def _listening(handler):
    address = _free_address()
    app = web.Application()
    app.router.add_post(RELAY_PATH, handler)
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, *address.split(":")).start()
    try:
        async with aiohttp.ClientSession() as session:
            yield address, session
    finally:
        await runner.cleanup()


class TestRequests:
    """Peers get snapshots, records and announcements."""

    def test_snapshot_in_pages(self):
        """Guards against a snapshot larger than one frame that arrives damaged."""
        follower = _follower(400, "x" * 40_000)

        async def scenario():
            async with _served(follower) as (_, address, session):
                client = RelayClient(session, address, KEYS)
                data = await client.fetch_snapshot("fleet")
                behind = await client.fetch_snapshot("fleet", 400)
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
            async with _served(_follower(5), on_announce=seen.append) as (
                _,
                address,
                session,
            ):
                client = RelayClient(session, address, KEYS)
                await client.announce(message)
                found = await client.fetch_records("fleet", 4)
                with pytest.raises(RelayError) as caught:
                    await client.fetch_records("accounts", 1)
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
            answers = []
            async with _served(_follower(3)) as (server, address, session):
                client = RelayClient(session, address, KEYS)
                for count, bad in enumerate([*frames, too_large]):
                    url = f"http://{address}{RELAY_PATH}"
                    async with session.post(url, data=bad) as resp:
                        answers.append((resp.status, await resp.read()))
                    assert sum(server.refused.values()) == count + 1
                    assert len(await client.fetch_records("fleet", 1)) == 3
                return server.refused, answers

        refused, answers = asyncio.run(asyncio.wait_for(scenario(), 30))
        codes = ("bad_digest", "truncated", "oversized", "bad_message")
        assert all(refused[code] >= 1 for code in codes)
        assert refused["oversized"] == 2
        expected = [(403, b"")] * len(frames) + [(413, b"")]
        expected[2] = (413, b"")
        assert answers == expected

    def test_unreadable_body(self):
        """Guards against a server that a malformed, badly encoded or cut body stops."""
        head = f"POST {RELAY_PATH} HTTP/1.1\r\nHost: x\r\n"
        malformed = f"{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n".encode()
        encoded = f"{head}Content-Encoding: deflate\r\nContent-Length: 9\r\n\r\n"
        cut = f"{head}Content-Length: 99\r\n\r\nx".encode()

        async def scenario():
            async with _served(_follower(3)) as (server, address, session):
                client = RelayClient(session, address, KEYS)
                answers = []
                for data in (malformed, encoded.encode() + b"\xff" * 9, cut):
                    async with open_stream(*address.split(":")) as (reader, writer):
                        writer.write(data)
                        if data is not cut:
                            answers.append((await reader.readline()).split()[1])
                    assert len(await client.fetch_records("fleet", 1)) == 3
                return answers, server.refused["truncated"]

        answers, count = asyncio.run(asyncio.wait_for(scenario(), 30))
        # The HTTP parser refuses malformed chunks before the relay sees a request.
        assert (answers, count) == ([b"400", b"403"], 1)

    def test_body_that_never_ends(self, monkeypatch):
        """Guards against a sender that holds a handler or memory without bound."""
        monkeypatch.setattr(server_module, "READ_TIMEOUT_SECONDS", 0.05)

        async def send_part(address, size):
            head = f"POST {RELAY_PATH} HTTP/1.1\r\nHost: x\r\n".encode()
            async with open_stream(*address.split(":")) as (reader, writer):
                writer.write(head + b"Content-Length: 99999\r\n\r\n" + bytes(size))
                status = await reader.readline()
            return status.split()[1]

        async def scenario():
            async with _served(_follower(3)) as (server, address, _):
                sizes = (1, MAX_REQUEST_BYTES + 1)
                answers = [await send_part(address, size) for size in sizes]
                return answers, server.refused

        answers, refused = asyncio.run(asyncio.wait_for(scenario(), 30))
        assert answers == [b"408", b"413"]
        assert refused == {"relay_timeout": 1, "oversized": 1}

    def test_reply_to_another_request(self):
        """Guards against a recorded reply that is accepted for a new request."""
        server = RelayServer(KEYS, {"fleet": _follower(1)}, LoopTimerService())
        frame, nonce = seal_request(KEYS, encode_relay(FetchRecords("fleet", 1)))
        reply = server.answer(frame)
        assert open_reply(KEYS, nonce, reply)
        with pytest.raises(RelayError) as caught:
            open_reply(KEYS, bytes(16), reply)
        assert caught.value.code == "bad_digest"

    def test_silent_peer(self):
        """Guards against a request that waits without bound."""

        async def hold(reader, _writer):
            await reader.read()

        async def ask(session, address):
            client = RelayClient(session, address, KEYS, timeout_s=0.05)
            with pytest.raises(RelayError) as caught:
                await asyncio.wait_for(client.fetch_records("fleet", 1), 5)
            return caught.value.code

        async def scenario():
            async with serve_stream(hold) as port, aiohttp.ClientSession() as session:
                silent = f"127.0.0.1:{port}"
                return await ask(session, silent), await ask(session, _free_address())

        assert asyncio.run(scenario()) == ("relay_timeout", "relay_unavailable")

    def test_oversized_reply(self):
        """Guards against a peer whose reply fills the memory of the requester."""

        async def flood(request):
            resp = web.StreamResponse()
            await resp.prepare(request)
            await resp.write(bytes(MAX_REPLY_BYTES + 1))
            await asyncio.sleep(60)

        async def scenario():
            async with _listening(flood) as (address, session):
                with pytest.raises(RelayError) as caught:
                    await RelayClient(session, address, KEYS).fetch_records("fleet", 1)
                return caught.value.code

        assert asyncio.run(asyncio.wait_for(scenario(), 30)) == "oversized"


class TestCancellation:
    """A request can be stopped at any moment."""

    def test_cancelled_while_an_operation_completes(self):
        """Guards against a cancellation that is dropped when a reply arrives."""

        async def scenario():
            async with _served(_follower(3)) as (_, address, session):
                client = RelayClient(session, address, KEYS)
                outcomes = set()
                for turns in range(60):
                    task = asyncio.ensure_future(client.fetch_records("fleet", 1))
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    was_pending = task.cancel()
                    await asyncio.wait([task])
                    assert task.cancelled() == was_pending
                    outcomes.add(was_pending)
                assert len(await client.fetch_records("fleet", 1)) == 3
                return outcomes

        assert True in asyncio.run(asyncio.wait_for(scenario(), 30))


class TestRelayPeers:
    """A follower starts from peers while the log is unavailable."""

    def test_highest_snapshot_is_installed(self):
        """Guards against a start from the peer that is furthest behind."""

        async def scenario():
            log = MemoryLog(LoopTimerService())
            log.available = False
            async with (
                _served(_follower(3)) as (_, low, session),
                _served(_follower(7)) as (_, high, _),
            ):
                addresses = [low, high, _free_address()]
                peers = RelayPeers(session, KEYS, lambda _: addresses)
                follower = _follower(0, source=peers, log=log)
                assert await follower.fetch_from_peers()
                return follower.position

        assert asyncio.run(scenario()) == 7
