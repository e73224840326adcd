"""Tests of replicas that send a head which is not valid HTTP/1.1."""

import asyncio

import pytest

from ...core import LoopTimerService
from ...platform import StoreClient, StoreError
from ...standins.stream_peers import serve_stream
from ..errors import PeerError
from ..peers import PeerLink
from .cluster import event_bytes, run_scenario
from .raw_replica import (
    ATTEMPT_FIELDS,
    EVENTS,
    KINDS,
    ONCE,
    REPEATABLE,
    SOUND_BODY,
    STAGED,
    RawAnswer,
    RawReplica,
    call,
    call_until_reached,
    framed_answer,
)

INVALID_CODES = (b"000", b"600")
RARE_CODES = (207, 226, 299, 300, 399, 418, 451, 499, 507, 520, 599)
INVALID_LINES = (b"X A: b", b"X\x01A: b")
STAGE_RESULTS = b'{"Items":[{"Handle":"127.0.0.1:9/a"}]}'


def answer_with_line(line: bytes, body: bytes = SOUND_BODY) -> bytes:
    return framed_answer(body, b"HTTP/1.1 200 OK\r\n" + line)


def answer_with_code(code: bytes) -> bytes:
    return framed_answer(SOUND_BODY, b"HTTP/1.1 " + code + b" Any")


def calls_of(replicas) -> int:
    return sum(len(replica.runs) for replica in replicas)


async def check_only_broken(cluster, kind: str, answer: RawAnswer, **options) -> None:
    """Check a request of which the only replica sends a broken answer."""
    path, lines = KINDS[kind]
    raw = RawReplica(answer, **options)
    await raw.register(cluster)
    response = await call(cluster, path, *lines)
    assert raw.requests, "the replica was not reached"
    assert (response.status, response.is_complete) == (502, True)
    assert "x-replica-stamp" not in response.headers
    if kind in ONCE:
        assert len(raw.requests) == 1
    rendered = cluster.daemons[0].metrics.render().decode()
    assert 'code="malformed"' in rendered


async def check_beside_sound(cluster, kind: str, answer: RawAnswer) -> None:
    """Check repeatable requests of which one of two replicas sends a broken answer."""
    path, lines = KINDS[kind]
    raw = RawReplica(answer)
    await raw.register(cluster)
    for response in await call_until_reached(cluster, raw, path, *lines):
        assert (response.status, response.is_complete) == (200, True)
        if kind == "safe":
            assert response.body == b"answer " + path.encode()
        else:
            first = 3 if kind == "resumed" else 1
            assert response.body == event_bytes(*range(first, 6))


async def check_kept_connection(cluster, data: bytes) -> None:
    """Check a broken answer, byte by byte, on a connection that was used before."""
    raw = RawReplica(RawAnswer(data, is_split=True), sound_requests=1)
    await raw.register(cluster)
    responses = [await call(cluster, "/unsafe/x") for _ in range(2)]
    assert [response.status for response in responses] == [200, 502]
    assert (raw.connections, len(raw.requests)) == (1, 1)


async def check_stage_replica(cluster, data: bytes) -> None:
    """Check a request of which the only stage replica sends a broken answer."""
    raw = RawReplica(RawAnswer(data), service="stage")
    await raw.register(cluster)
    response = await call(cluster, "/staged/x", *STAGED)
    assert raw.requests, "the replica was not reached"
    # The request itself was sent to no replica.
    assert response.status == 503
    assert calls_of(cluster.replicas) == 0


class TestInvalidCodes:
    """Status codes outside the range 100 to 599."""

    @pytest.mark.parametrize("code", INVALID_CODES)
    @pytest.mark.parametrize("kind", KINDS)
    def test_only_replica(self, kind, code):
        """Guards against an invalid code, or a refusal of what may have run."""

        async def scenario(cluster):
            await check_only_broken(cluster, kind, RawAnswer(answer_with_code(code)))

        run_scenario(scenario, plain=0, stage=1)

    @pytest.mark.parametrize("kind", REPEATABLE)
    def test_beside_a_sound_replica(self, kind):
        """Guards against a failure although another replica may be asked."""

        async def scenario(cluster):
            await check_beside_sound(cluster, kind, RawAnswer(answer_with_code(b"000")))

        run_scenario(scenario, plain=1)

    def test_rejection(self):
        """Guards against a promise that is taken from an invalid answer."""

        async def scenario(cluster):
            fields = b"X-Not-Executed: 1\r\n" + ATTEMPT_FIELDS
            answer = b"HTTP/1.1 000 Full\r\n" + fields + b"Content-Length: 0\r\n\r\n"
            await check_only_broken(cluster, "unsafe", RawAnswer(answer))

        run_scenario(scenario, plain=0)

    def test_kept_connection(self):
        """Guards against a check that only the first answer of a connection gets."""

        async def scenario(cluster):
            await check_kept_connection(cluster, answer_with_code(b"000"))

        run_scenario(scenario, plain=0)

    def test_stream_that_goes_on(self):
        """Guards against a stream that ends as complete at a broken answer."""

        async def scenario(cluster):
            cluster.replicas[0].script.cut_after = 2
            raw = RawReplica(RawAnswer(answer_with_code(b"000")))
            await raw.register(cluster)
            path, lines = KINDS["resumable"]
            for response in await call_until_reached(cluster, raw, path, *lines):
                assert response.status in (200, 502)
                assert response.status == 502 or not response.is_complete
            assert calls_of(cluster.replicas) > 0

        run_scenario(scenario, plain=1)

    def test_stage_replica(self):
        """Guards against stage results from an invalid answer."""

        async def scenario(cluster):
            answer = framed_answer(STAGE_RESULTS, b"HTTP/1.1 000 Any")
            await check_stage_replica(cluster, answer)

        run_scenario(scenario, plain=1)

    def test_stage_replica_beside_a_sound_one(self):
        """Guards against a request that fails with the stage call of one replica."""

        async def scenario(cluster):
            raw = RawReplica(RawAnswer(answer_with_code(b"000")), service="stage")
            await raw.register(cluster)
            path, lines = KINDS["staged"]
            for response in await call_until_reached(cluster, raw, path, *lines):
                assert (response.status, response.body) == (200, EVENTS)

        run_scenario(scenario, plain=1, stage=1)


class TestInvalidNames:
    """Names of fields with a blank or a control byte."""

    @pytest.mark.parametrize("line", INVALID_LINES)
    @pytest.mark.parametrize("kind", KINDS)
    def test_only_replica(self, kind, line):
        """Guards against a head that callers read differently than the gateway."""

        async def scenario(cluster):
            answer = answer_with_line(line)
            await check_only_broken(cluster, kind, RawAnswer(answer))

        run_scenario(scenario, plain=0, stage=1)

    @pytest.mark.parametrize("kind", REPEATABLE)
    def test_beside_a_sound_replica(self, kind):
        """Guards against a failure although another replica may be asked."""

        async def scenario(cluster):
            answer = RawAnswer(answer_with_line(b"X A: b"), is_split=True)
            await check_beside_sound(cluster, kind, answer)

        run_scenario(scenario, plain=1)

    def test_kept_connection(self):
        """Guards against a check that only the first answer of a connection gets."""

        async def scenario(cluster):
            await check_kept_connection(cluster, answer_with_line(b"X\x01A: b"))

        run_scenario(scenario, plain=0)

    def test_stage_replica(self):
        """Guards against stage results from an invalid answer."""

        async def scenario(cluster):
            answer = answer_with_line(b"X A: b", STAGE_RESULTS)
            await check_stage_replica(cluster, answer)

        run_scenario(scenario, plain=1)


class TestInvalidReasons:
    """Reason phrases with a control byte."""

    @pytest.mark.parametrize("kind", KINDS)
    def test_only_replica(self, kind):
        """Guards against a status line that callers can't read."""

        async def scenario(cluster):
            answer = framed_answer(SOUND_BODY, b"HTTP/1.1 200 O\x00\x01K")
            await check_only_broken(cluster, kind, RawAnswer(answer))

        run_scenario(scenario, plain=0, stage=1)

    @pytest.mark.parametrize("reason", [b"", b" ", b" O\tK", b" \xc3\xa9"])
    def test_valid_reason_is_relayed(self, reason):
        """Guards against a refusal of reason phrases that are only unusual."""

        async def scenario(cluster):
            answer = framed_answer(SOUND_BODY, b"HTTP/1.1 200" + reason)
            raw = RawReplica(RawAnswer(answer))
            await raw.register(cluster)
            response = await call(cluster, "/unsafe/x")
            assert (response.status, response.body) == (200, SOUND_BODY)

        run_scenario(scenario, plain=0)


class TestInterimBodies:
    """Interim responses with a body, which must not have one."""

    @pytest.mark.parametrize("kind", KINDS)
    def test_only_replica(self, kind):
        """Guards against an answer that begins with bytes of an interim response."""

        async def scenario(cluster):
            interim = b"HTTP/1.1 199 Any\r\nContent-Length: 6\r\n\r\nfirst "
            answer = RawAnswer(interim + framed_answer(SOUND_BODY))
            await check_only_broken(cluster, kind, answer)

        run_scenario(scenario, plain=0, stage=1)


class TestOtherReaders:
    """The store and other gateways."""

    def test_append_to_the_store(self):
        """Guards against a repeat of an append that may have taken effect."""
        answer = b"HTTP/1.1 000 Any\r\nContent-Length: 0\r\n\r\n"

        async def scenario():
            async with serve_stream(answer_with(answer)) as port:
                store = StoreClient(f"127.0.0.1:{port}", LoopTimerService())
                await store.append_record("keyed.status", "k", b"v")

        with pytest.raises(StoreError) as caught:
            asyncio.run(scenario())
        assert caught.value.code == "uncertain"

    def test_call_of_a_peer(self):
        """Guards against an invalid answer that counts as a refusal of the call."""
        answer = b"HTTP/1.1 000 Any\r\nContent-Length: 0\r\n\r\n"

        async def scenario():
            async with serve_stream(answer_with(answer)) as port:
                link = PeerLink(f"127.0.0.1:{port}", LoopTimerService())
                try:
                    await link.call("/stage", {}, 2.0)
                finally:
                    link.close()

        with pytest.raises(PeerError) as caught:
            asyncio.run(scenario())
        assert not caught.value.not_accepted


def answer_with(data: bytes):
    """Return a handler of connections that answers the first bytes with ``data``."""

    async def serve(reader, writer):
        await reader.read(65536)
        writer.write(data)

    return serve


class TestValidCodes:
    """Status codes that are rare, and valid."""

    @pytest.mark.parametrize("code", RARE_CODES)
    def test_answer_is_relayed(self, code):
        """Guards against a refusal of an answer whose code is not registered."""

        async def scenario(cluster):
            raw = RawReplica(RawAnswer(answer_with_code(b"%d" % code)))
            await raw.register(cluster)
            response = await call(cluster, "/unsafe/x")
            assert (response.status, response.body) == (code, SOUND_BODY)
            assert response.headers["x-replica-stamp"] == "raw"

        run_scenario(scenario, plain=0)
