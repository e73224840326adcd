"""Tests of response heads that are valid or not, without a socket."""

import asyncio
from unittest.mock import Mock

import pytest

from ...core import ManualTimerService
from .. import ClientConnection, HttpError, ResponseHead

MAX_BODY_BYTES = 10_000
FRAMED_BODY = b"Content-Length: 2\r\n\r\nok"
SOUND = b"HTTP/1.1 200 OK\r\n" + FRAMED_BODY


def read_response(*parts: bytes) -> tuple[ResponseHead, bytes]:
    """Return head and body of the response that is received in these parts.

    The peer closes the connection after the last part.
    """

    async def scenario():
        transport = Mock()
        transport.is_closing.return_value = False
        transport.abort.side_effect = lambda: transport.is_closing.configure_mock(
            return_value=True
        )
        conn = ClientConnection(ManualTimerService())
        conn.connection_made(transport)
        response = asyncio.ensure_future(_read(conn))
        await asyncio.sleep(0)
        for part in parts:
            if not transport.is_closing():
                conn.data_received(part)
        if not transport.is_closing():
            conn.eof_received()
        conn.connection_lost(None)
        return await response

    return asyncio.run(scenario())


async def _read(conn: ClientConnection) -> tuple[ResponseHead, bytes]:
    head = await conn.request(b"GET / HTTP/1.1\r\n\r\n")
    return head, await conn.read_all(MAX_BODY_BYTES)


def split_bytes(data: bytes) -> list[bytes]:
    """Return the single bytes of ``data``."""
    return [data[index : index + 1] for index in range(len(data))]


def check_malformed(data: bytes) -> None:
    """Check that a response is refused in one piece and byte by byte."""
    for parts in ([data], split_bytes(data)):
        with pytest.raises(HttpError) as caught:
            read_response(*parts)
        assert caught.value.code == "malformed"


class TestStatusCodes:
    """Status codes inside and outside the range 100 to 599."""

    @pytest.mark.parametrize("code", [0, 1, 99, 600, 601, 999])
    def test_invalid_code(self, code):
        """Guards against an invalid code that is returned as an answer."""
        check_malformed(b"HTTP/1.1 %03d Any\r\n%b" % (code, FRAMED_BODY))

    @pytest.mark.parametrize("framing", [FRAMED_BODY, b"\r\n", b"X-A: b\r\n\r\n"])
    def test_valid_response_after_an_invalid_one(self, framing):
        """Guards against taking the bytes behind an invalid answer for the answer."""
        check_malformed(b"HTTP/1.1 000 Any\r\n" + framing + SOUND)

    def test_all_codes_of_final_responses(self):
        """Guards against a refusal of valid codes that are not registered."""
        for code in range(200, 600):
            line = b"HTTP/1.1 %d Any\r\n" % code
            body = b"" if code in (204, 304) else b"ok"
            framing = b"\r\n" if code in (204, 304) else FRAMED_BODY
            head, received = read_response(line + framing)
            assert (head.status, received) == (code, body)

    @pytest.mark.parametrize("code", [100, 102, 103, 199])
    def test_interim_codes_are_skipped(self, code):
        """Guards against a refusal of interim responses that are not registered."""
        interim = b"HTTP/1.1 %d Any\r\nX-A: b\r\n\r\n" % code
        head, body = read_response(interim + SOUND)
        assert (head.status, body) == (200, b"ok")
