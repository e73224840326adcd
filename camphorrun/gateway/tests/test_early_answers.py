"""Tests of replicas that answer while the request is still being sent to them."""

import pytest

from ...http1 import ServerLimits
from .cluster import configuration, event_bytes, run_scenario
from .raw_replica import (
    ATTEMPT_FIELDS,
    EVENTS,
    KINDS,
    ONCE,
    REPEATABLE,
    SOUND_BODY,
    RawAnswer,
    RawReplica,
    call,
    call_until_reached,
    framed_answer,
    unframed_answer,
)

# Larger than the buffers of the kernel at both ends of a connection.
UPLOAD = bytes(8 * 1024 * 1024)
STREAMS = {"stream", "staged", "resumable", "resumed"}
# Endings before the replica has read the request.
BROKEN_ENDS = ["reset", "close", "half_close", "half_close_reset"]


def body_of(kind: str) -> bytes:
    """Return the body of a whole answer."""
    return EVENTS if kind in STREAMS else SOUND_BODY


def part_of(kind: str) -> bytes:
    """Return the body of an answer that was broken off; events are not cut."""
    return event_bytes(1, 2) if kind in STREAMS else SOUND_BODY[:5]


async def accept_uploads(cluster) -> None:
    """Let the gateway and the replicas accept bodies as large as ``UPLOAD``."""
    limits = {**configuration()["Limits"], "MaxBodyBytes": 2 * len(UPLOAD)}
    cluster.store.put("keyed.op", "config", configuration(2, Limits=limits))
    daemon = cluster.daemons[0]
    await cluster.wait_until(lambda: daemon.state.deployment.version == 2)
    for replica in cluster.replicas:
        replica._server.limits = ServerLimits(body_bytes=2 * len(UPLOAD))


async def send_upload(cluster, kind: str, answer: RawAnswer, **options):
    """Send an upload of which the only replica is raw; return replica and response."""
    await accept_uploads(cluster)
    path, lines = KINDS[kind]
    raw = RawReplica(answer, **options)
    await raw.register(cluster)
    response = await call(cluster, path, *lines, body=UPLOAD)
    assert raw.requests, "the replica was not reached"
    return raw, response


class TestBrokenOff:
    """Answers without a length whose connection ends during the upload."""

    @pytest.mark.parametrize("end", BROKEN_ENDS)
    @pytest.mark.parametrize("kind", KINDS)
    def test_only_replica(self, kind, end):
        """Guards against a part of a body that looks complete."""

        async def scenario(cluster):
            answer = RawAnswer(unframed_answer(part_of(kind)), end, body_share=0.0)
            raw, response = await send_upload(cluster, kind, answer)
            assert raw.received_bytes < len(UPLOAD)
            if kind in STREAMS:
                assert response.status in (200, 502)
                assert response.status == 502 or not response.is_complete
            else:
                assert (response.status, response.is_complete) == (502, True)
            if kind in ONCE:
                assert len(raw.requests) == 1

        run_scenario(scenario, plain=0, stage=1)

    @pytest.mark.parametrize("share", [0.01, 0.5, 0.9])
    @pytest.mark.parametrize("end", BROKEN_ENDS)
    def test_part_of_the_upload_is_read(self, end, share):
        """Guards against a decision that depends on how much was read before."""

        async def scenario(cluster):
            answer = RawAnswer(unframed_answer(b"part"), end, body_share=share)
            raw, response = await send_upload(cluster, "unsafe", answer)
            assert raw.received_bytes < len(UPLOAD)
            assert (response.status, response.is_complete) == (502, True)

        run_scenario(scenario, plain=0)

    @pytest.mark.parametrize("end", ["reset", "half_close_reset"])
    @pytest.mark.parametrize("size", [0, 300_000, 3_000_000])
    def test_size_of_the_part(self, end, size):
        """Guards against a large part that looks complete, in chunks or at once."""

        async def scenario(cluster):
            answer = RawAnswer(unframed_answer(b"b" * size), end, body_share=0.0)
            _, response = await send_upload(cluster, "unsafe", answer)
            assert not (response.status == 200 and response.is_complete)

        run_scenario(scenario, plain=0)

    @pytest.mark.parametrize("kind", REPEATABLE)
    def test_beside_a_sound_replica(self, kind):
        """Guards against a failure although another replica may be asked."""

        async def scenario(cluster):
            await accept_uploads(cluster)
            path, lines = KINDS[kind]
            data = unframed_answer(b"")
            answer = RawAnswer(data, "half_close_reset", body_share=0.0)
            raw = RawReplica(answer)
            await raw.register(cluster)
            for response in await call_until_reached(
                cluster, raw, path, *lines, body=UPLOAD
            ):
                assert (response.status, response.is_complete) == (200, True)
                expected = b"answer " + path.encode() if kind == "safe" else EVENTS
                assert response.body
                assert expected.endswith(response.body)

        run_scenario(scenario, plain=1)

    @pytest.mark.parametrize("end", ["reset", "half_close_reset"])
    def test_kept_connection(self, end):
        """Guards against a check that only the first answer of a connection gets."""

        async def scenario(cluster):
            await accept_uploads(cluster)
            answer = RawAnswer(unframed_answer(b"part"), end, body_share=0.0)
            raw = RawReplica(answer, sound_requests=1)
            await raw.register(cluster)
            first = await call(cluster, "/unsafe/x")
            second = await call(cluster, "/unsafe/x", body=UPLOAD)
            assert (first.status, second.status) == (200, 502)
            assert (raw.connections, len(raw.requests)) == (1, 1)

        run_scenario(scenario, plain=0)


class TestWhole:
    """Early answers, and answers without a length, that are whole."""

    @pytest.mark.parametrize("kind", KINDS)
    def test_rest_of_the_upload_is_read(self, kind):
        """Guards against a refusal of an answer that began early and is whole."""

        async def scenario(cluster):
            answer = RawAnswer(unframed_answer(body_of(kind)), "linger", body_share=0.0)
            _, response = await send_upload(cluster, kind, answer)
            assert (response.status, response.is_complete) == (200, True)
            assert response.body == body_of(kind)
            assert response.headers["x-replica-stamp"] == "raw"

        run_scenario(scenario, plain=0, stage=1)

    @pytest.mark.parametrize("end", ["close", "linger"])
    @pytest.mark.parametrize("kind", KINDS)
    def test_answer_after_the_upload(self, kind, end):
        """Guards against a refusal of answers that end with their connection."""

        async def scenario(cluster):
            answer = RawAnswer(unframed_answer(body_of(kind)), end)
            raw, response = await send_upload(cluster, kind, answer)
            assert raw.received_bytes == len(UPLOAD)
            assert (response.status, response.is_complete) == (200, True)
            assert response.body == body_of(kind)

        run_scenario(scenario, plain=0, stage=1)

    @pytest.mark.parametrize("end", BROKEN_ENDS)
    @pytest.mark.parametrize("status", [200, 500])
    def test_answer_with_a_length(self, status, end):
        """Guards against a refusal of an early answer whose length is given."""

        async def scenario(cluster):
            line = b"HTTP/1.1 %d Any" % status
            answer = RawAnswer(framed_answer(SOUND_BODY, line), end, body_share=0.0)
            raw, response = await send_upload(cluster, "unsafe", answer)
            assert raw.received_bytes < len(UPLOAD)
            assert (response.status, response.body) == (status, SOUND_BODY)
            assert response.is_complete

        run_scenario(scenario, plain=0)

    @pytest.mark.parametrize("end", BROKEN_ENDS)
    def test_rejection(self, end):
        """Guards against 502 for a request that its replica has not run.

        The head of a rejection tells it; the body does not matter.
        """

        async def scenario(cluster):
            fields = b"X-Not-Executed: 1\r\n" + ATTEMPT_FIELDS + b"\r\n"
            data = b"HTTP/1.1 503 Full\r\n" + fields + b"fu"
            answer = RawAnswer(data, end, body_share=0.0)
            _, response = await send_upload(cluster, "unsafe", answer)
            assert response.status == 503
            assert "x-replica-stamp" not in response.headers

        run_scenario(scenario, plain=0)
