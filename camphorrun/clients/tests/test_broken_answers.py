"""Tests of the clients against servers whose responses are not valid or not whole."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from ...core import CamphorrunError
from ...placement import Order
from ...standins.stream_peers import serve_stream
from .. import (
    EndpointCall,
    EndpointClient,
    HostListClient,
    LogClient,
    WeightStoreClient,
    create_session,
)

CALL = EndpointCall("c", "op", "", msgspec.Raw(b"1"))
CONTENTS = b'{"models":["a"],"adapters":[],"role":""}'
LINES = b'{"sequence":0,"text":"a"}\n{"sequence":1,"end":true}\n'
CLOSE_SECONDS = 0.02


async def _read_stream(session, url: str) -> int:
    parts = [part async for part in EndpointClient(session, url).stream(CALL, 2.0)]
    return len(parts)


async def _take_grant(session, url: str) -> bool:
    await WeightStoreClient(session, url).take_grant("a")
    return True


# For each call of a client: a coroutine function, and the body of a valid answer.
Call = Callable[..., Awaitable[object]]
CALLS: dict[str, tuple[Call, bytes]] = {
    "endpoint call": (
        lambda s, u: EndpointClient(s, u).call(CALL, 2.0),
        b'{"output":1}',
    ),
    "endpoint stream": (_read_stream, LINES),
    "endpoint contents": (lambda s, u: EndpointClient(s, u).contents(), CONTENTS),
    "endpoint order": (
        lambda s, u: EndpointClient(s, u).give_order(Order("load", "a"), 1),
        CONTENTS,
    ),
    "log append": (lambda s, u: LogClient(s, u).append("s", [b"a"]), b'{"offset":3}'),
    "log read": (
        lambda s, u: LogClient(s, u).read("s", 1),
        b'{"records":[],"next_offset":1,"end_offset":1,"first_offset":1,"log_time_ms":1}',
    ),
    "host list": (lambda s, u: HostListClient(s, u).fetch(), b'{"hosts":[]}'),
    "weights": (_take_grant, b"{}"),
}
BODIES = {name: body for name, (_, body) in CALLS.items()}


def _framed(body: bytes, status: bytes = b"200", line: bytes = b"X-A: b") -> bytes:
    head = b"HTTP/1.1 %s Any\r\n%s\r\nContent-Length: %d\r\n\r\n"
    return head % (status, line, len(body)) + body


async def _call(name: str, answer: bytes, *, is_reset: bool = False) -> object:
    """Return the result of a client's call that gets ``answer``."""

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(CLOSE_SECONDS)
            if is_reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async with serve_stream(serve) as port, create_session() as session:
        call = CALLS[name][0]
        return await asyncio.wait_for(call(session, f"http://127.0.0.1:{port}"), 5)


class TestValidAnswers:
    """The answers of these tests, without a fault."""

    @pytest.mark.parametrize("name", CALLS)
    def test_result(self, name):
        """Guards against tests that pass because a sample is wrong otherwise."""
        assert asyncio.run(_call(name, _framed(BODIES[name]))) is not None


class TestInvalidCodes:
    """Status codes outside the range 100 to 599."""

    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
    @pytest.mark.parametrize("name", CALLS)
    def test_call_fails(self, name, status):
        """Guards against a result that is taken from an invalid answer."""
        with pytest.raises(CamphorrunError):
            asyncio.run(_call(name, _framed(BODIES[name], status)))

    @pytest.mark.parametrize("name", ["endpoint call", "endpoint stream"])
    def test_call_may_have_executed(self, name):
        """Guards against a promise that is taken from an invalid answer."""
        answer = _framed(b"", b"000", b"X-Executed: false")
        with pytest.raises(CamphorrunError) as caught:
            asyncio.run(_call(name, answer))
        assert caught.value.executed is True

    def test_append_is_uncertain(self):
        """Guards against an append that is repeated although it took effect."""
        with pytest.raises(CamphorrunError) as caught:
            asyncio.run(_call("log append", _framed(BODIES["log append"], b"000")))
        assert caught.value.code == "append_uncertain"


class TestControlBytes:
    """Control bytes in field values and reason phrases."""

    @pytest.mark.parametrize("byte", [0, 1, 8, 11, 31, 127])
    @pytest.mark.parametrize("name", CALLS)
    def test_call_fails(self, name, byte):
        """Guards against a result that is taken from an invalid answer."""
        control = b"%c" % byte
        for answer in (
            _framed(BODIES[name], line=b"X-A: a" + control + b"b"),
            _framed(BODIES[name], b"200 O" + control + b"K"),
        ):
            with pytest.raises(CamphorrunError):
                asyncio.run(_call(name, answer))

    @pytest.mark.parametrize("name", CALLS)
    def test_unusual_bytes_are_valid(self, name):
        """Guards against a refusal of tabs and of bytes above 127."""
        answer = _framed(BODIES[name], b"200 O\t\xc3\xa9\xff", b"X-A: a\tb\xff\xc3\xa9")
        assert asyncio.run(_call(name, answer)) is not None


class TestInvalidNames:
    """Names of fields with a blank or a control byte."""

    @pytest.mark.parametrize("line", [b"X A: b", b"X : b", b"X\x01A: b", b"X\x7f: b"])
    @pytest.mark.parametrize("name", CALLS)
    def test_call_fails(self, name, line):
        """Guards against a result that is taken from an invalid answer."""
        with pytest.raises(CamphorrunError):
            asyncio.run(_call(name, _framed(BODIES[name], line=line)))

    @pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt: aiohttp strips the blank")
    def test_blank_before_the_first_name(self):
        """Guards against a promise that is taken from an invalid answer."""
        answer = _framed(b"", b"503", b" X-Executed: false")
        with pytest.raises(CamphorrunError) as caught:
            asyncio.run(_call("endpoint call", answer))
        assert caught.value.executed is True


class TestCutBodies:
    """Bodies without a length that are cut, which aiohttp takes for whole.

    A body of JSON ends with its last brace, and a stream with a line that says so.
    """

    @pytest.mark.parametrize("is_reset", [True, False])
    @pytest.mark.parametrize("name", sorted(set(CALLS) - {"weights"}))
    def test_call_fails(self, name, is_reset):
        """Guards against a part of a body that is taken for the whole."""

        async def scenario():
            body = BODIES[name].rstrip()
            cuts = range(0, len(body), 3)
            answers = [b"HTTP/1.1 200 OK\r\n\r\n" + body[:cut] for cut in cuts]
            calls = (_call(name, answer, is_reset=is_reset) for answer in answers)
            return await asyncio.gather(*calls, return_exceptions=True)

        results = asyncio.run(scenario())
        assert results
        assert all(isinstance(result, CamphorrunError) for result in results)

    @pytest.mark.parametrize("name", CALLS)
    def test_whole_body(self, name):
        """Guards against a refusal of answers that end with their connection."""
        answer = b"HTTP/1.1 200 OK\r\n\r\n" + BODIES[name]
        assert asyncio.run(_call(name, answer)) is not None
