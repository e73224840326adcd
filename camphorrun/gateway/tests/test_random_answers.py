"""Random answers of replicas: callers get a whole answer, or the gateway's error."""

import random

import pytest

from .cluster import event_bytes, run_scenario
from .raw_replica import (
    KINDS,
    ONCE,
    SOUND_BODY,
    RawAnswer,
    RawReplica,
    call,
    request_field,
)
from .test_early_answers import UPLOAD, accept_uploads

REQUESTS = 40
LAST_EVENT = 5
# Bytes without line feeds, which would end a line or the head in another place.
RANDOM_BYTES = bytes(byte for byte in range(256) if byte != 10)
FRAMED_ENDS = ("keep", "close", "reset", "half_close")
# Status codes by which the gateway promises that nothing ran.
PROMISES = (408, 421, 429, 503)
# Endings of answers that are cut before the replica has read the request.
CUT_ENDS = ("reset", "close", "half_close", "half_close_reset")


class RandomReplica(RawReplica):
    """Replica whose answers have random faults.

    Attributes
    ----------
    whole : set of str
        Attempts that got a whole answer, whose head may have random bytes.
    """

    def __init__(self, identifier: str, rng: random.Random):
        super().__init__(RawAnswer(b""), identifier=identifier)
        self.whole: set[str] = set()
        self._rng = rng

    def next_answer(self, head: str) -> RawAnswer:
        """Return a valid, changed or cut answer."""
        rng = self._rng
        body = SOUND_BODY
        if request_field(head, "x-model"):
            last = int(request_field(head, "last-event-id") or 0)
            body = event_bytes(*range(last + 1, LAST_EVENT + 1))
        fields = b"X-Attempt-Id: %ID\r\nX-Other: a b\r\nX-Replica-Stamp: raw\r\n"
        start = b"HTTP/1.1 %03d OK\r\n" % rng.choice((200, 200, 404, 0, 99, 600, 500))
        data = self._change(start + fields)
        if str(len(UPLOAD)) in head and rng.random() < 0.6:
            cut = rng.randrange(len(body) or 1)
            answer = data + b"\r\n" + body[:cut]
            return RawAnswer(answer, rng.choice(CUT_ENDS), body_share=0.0)
        self.whole.add(request_field(head, "x-attempt-id"))
        is_split = rng.random() < 0.3
        if rng.random() < 0.5:
            answer = data + b"Content-Length: %d\r\n\r\n" % len(body) + body
            return RawAnswer(answer, rng.choice(FRAMED_ENDS), is_split=is_split)
        end = rng.choice(("close", "linger"))
        return RawAnswer(data + b"\r\n" + body, end, is_split=is_split)

    def _change(self, data: bytes) -> bytes:
        """Return a head of which some bytes may be replaced."""
        rng = self._rng
        if rng.random() < 0.4:
            return data
        changed = bytearray(data)
        for _ in range(rng.randrange(1, 4)):
            position = rng.randrange(len(data))
            if data[position] not in b"\r\n%ID":
                changed[position] = rng.choice(RANDOM_BYTES)
        return bytes(changed)


class TestRandomAnswers:
    """Any answer of replicas, to any kind of request."""

    @pytest.mark.parametrize("seed", range(1, 4))
    def test_what_callers_get(self, seed):
        """Guards against broken answers, second runs and untrue promises."""

        async def scenario(cluster):
            rng = random.Random(seed)
            await accept_uploads(cluster)
            replicas = [RandomReplica(f"i-{n}", rng) for n in range(3)]
            for replica in replicas:
                await replica.register(cluster)
            for _ in range(REQUESTS):
                await check_request(cluster, replicas, rng)
            assert sum(len(replica.requests) for replica in replicas) >= REQUESTS / 2

        run_scenario(scenario, plain=0, stage=1)


async def check_request(cluster, replicas: list[RandomReplica], rng) -> None:
    """Send a random request and check its response."""
    kind = rng.choice(list(KINDS))
    path, lines = KINDS[kind]
    body = UPLOAD if rng.random() < 0.3 else b""
    response = await call(cluster, path, *lines, body=body)
    attempt = f"a{cluster.last_number}"
    runs = [name for replica in replicas for name in replica.requests].count(attempt)
    if kind in ONCE:
        assert runs <= 1
    if "x-reason" in response.headers and response.status in PROMISES:
        assert runs == 0
    if not response.is_complete or "x-replica-stamp" not in response.headers:
        assert not (response.is_complete and 200 <= response.status < 300)
        return
    assert any(attempt in replica.whole for replica in replicas)
    assert response.headers["x-attempt-id"] == attempt
    first = 3 if kind == "resumed" else 1
    events = event_bytes(*range(first, LAST_EVENT + 1))
    assert response.body == (events if "X-Model: m" in lines else SOUND_BODY)
