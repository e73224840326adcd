"""Tests of slow, stalled, truncated and endless answers."""

import asyncio

import pytest

from ...http1 import HttpError
from ...retries import RetryBudget
from .. import answers
from .world import events, play

STREAM = "X-Model: m"


def remove_retry_budget(world) -> None:
    world.daemons[0]._budgets["plain"] = RetryBudget(0.0, 0.0)


class RawReplica:
    """Server that answers each request with fixed bytes and closes the connection.

    ``%ID`` in the answer is replaced by the attempt identifier. A ``block`` is sent
    repeatedly after the answer, until the peer closes the connection.
    """

    def __init__(self, answer: bytes, block: bytes = b""):
        self._answer = answer
        self._block = block
        self.closed = asyncio.Event()

    async def register(self, world) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        entry = world.replicas[0].registration("plain", Address=f"127.0.0.1:{port}")
        world.store.put("keyed.servers", world.replicas[0].identifier, entry)
        state = world.daemons[0].state
        name = world.replicas[0].identifier
        await world.until(lambda: state.replicas[name].port == port)

    async def _serve(self, reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        attempt_id = head.split(b"X-Attempt-Id: ")[1].split(b"\r\n")[0]
        writer.write(self._answer.replace(b"%ID", attempt_id))
        try:
            while self._block:
                writer.write(self._block)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
        self.closed.set()


HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %ID\r\nX-Replica-Stamp: s\r\n"


class TestStalls:
    """Streams without progress, and streams that are only slow."""

    def test_bytes_without_events_are_no_progress(self, monkeypatch):
        """Guards against a stalled stream that is kept because bytes trickle in."""
        monkeypatch.setattr(answers, "STREAM_GAP_SECONDS", 0.2)

        async def scenario(world):
            for replica in world.replicas:
                replica.script.trickle_after = 2
            asked = asyncio.ensure_future(world.ask("/resume/x", STREAM))
            await world.until(lambda: any(r.runs for r in world.replicas))
            for replica in world.replicas:
                if not replica.runs:
                    replica.script.trickle_after = -1
            answer = await asked
            assert (answer.status, answer.body.replace(b":id", b"id")) == (
                200,
                events(1, 2, 3, 4, 5),
            )
            assert [len(r.runs) for r in world.replicas] == [1, 1]

        play(scenario, plain=2)

    def test_slow_stream_without_retry_budget_continues(self, monkeypatch):
        """Guards against cutting a slow stream that no other attempt can replace."""
        monkeypatch.setattr(answers, "STREAM_GAP_SECONDS", 0.1)

        async def scenario(world):
            remove_retry_budget(world)
            for replica in world.replicas:
                replica.script.event_gap_s = 0.25
            answer = await world.ask("/resume/x", STREAM)
            assert (answer.status, answer.body) == (200, events(1, 2, 3, 4, 5))

        play(scenario, plain=2)

    def test_slow_replica_without_retry_budget_is_awaited(self):
        """Guards against giving up a slow replica that no other attempt can replace."""

        async def scenario(world):
            remove_retry_budget(world)
            for replica in world.replicas:
                replica.script.work_s = 1.3
            assert (await world.ask("/safe/x")).status == 200

        play(scenario, plain=2)


class TestBrokenAnswers:
    """Answers that are truncated, endless or not read."""

    def test_stream_truncated_within_an_event_is_aborted(self):
        """Guards against a truncated stream that looks complete to the caller."""

        async def scenario(world):
            raw = RawReplica(HEAD + b"\r\nid: 1\ndata: e1\n\nid: 2\nda")
            await raw.register(world)
            with pytest.raises(HttpError):
                await world.ask("/stream/x", STREAM)

        play(scenario)

    def test_stream_delimited_by_connection_close_is_complete(self):
        """Guards against a complete stream that is taken for a truncated one.

        It has no framing, so only the end of the connection delimits it.
        """

        async def scenario(world):
            raw = RawReplica(HEAD + b"\r\nid: 1\ndata: e1\n\n")
            await raw.register(world)
            answer = await world.ask("/stream/x", STREAM)
            assert answer.body == events(1)

        play(scenario)

    def test_event_of_unbounded_size_is_refused(self):
        """Guards against one endless event that fills the memory of the host."""

        async def scenario(world):
            raw = RawReplica(HEAD + b"\r\nid: 1\ndata: ", b"a" * 65536)
            await raw.register(world)
            answer = await world.ask("/stream/x", STREAM)
            assert answer.status == 502
            await asyncio.wait_for(raw.closed.wait(), 2)

        play(scenario)

    def test_caller_that_reads_nothing_is_timed_out(self):
        """Guards against an answer that occupies a replica after its deadline."""

        async def scenario(world):
            raw = RawReplica(HEAD + b"\r\n", b"id: 1\ndata: e1\n\n" * 4096)
            await raw.register(world)
            conn = await world.connect()
            conn._transport.pause_reading()
            line = b"X-Deadline-Ms: 2500"
            data = world.encode("/stream/x", STREAM).replace(
                line, b"X-Deadline-Ms: 600"
            )
            conn._transport.write(data)
            await asyncio.wait_for(raw.closed.wait(), 2)
            conn.abort()

        play(scenario)
