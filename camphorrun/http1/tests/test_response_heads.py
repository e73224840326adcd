"""Tests of response heads that are valid or not, without a socket."""

import asyncio
import re
from unittest.mock import Mock

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ...core import ManualTimerService
from .. import ClientConnection, HttpError, ResponseHead

MAX_BODY_BYTES = 10_000
FRAMED_BODY = b"Content-Length: 2\r\n\r\nok"
# Lines whose field name is not a token (RFC 9110, section 5.1).
INVALID_LINES = [
    b"X A: b",
    b"X : b",
    b" X: b",
    b"\tX: b",
    b"X\t: b",
    b"X\x00: b",
    b"X\x01A: b",
    b"X\x1f: b",
    b"X\x7f: b",
    b"X\x80: b",
    b"X\rA: b",
    b"X(A): b",
    b": b",
    b"X",
    b"Content-Length : 1",
    b"Content-\x01Length: 1",
]
SEPARATORS = b'"(),/:;<=>?@[\\]{}'
TOKEN_BYTES = bytes(b for b in range(0x21, 0x7F) if b not in SEPARATORS)
VALUE_BYTES = bytes([9, *range(0x20, 0x7F), *range(0x80, 0x100)])
# Fields with a meaning for the reader are not generated.
FRAMING_FIELDS = {b"content-length", b"transfer-encoding", b"connection", b"upgrade"}
names = st.lists(st.sampled_from(TOKEN_BYTES), min_size=1, max_size=8).map(bytes)
values = st.lists(st.sampled_from(VALUE_BYTES), max_size=8).map(bytes)
field_lists = st.lists(
    st.tuples(names, values).filter(lambda f: f[0].lower() not in FRAMING_FIELDS),
    max_size=4,
)
SOUND = b"HTTP/1.1 200 OK\r\n" + FRAMED_BODY


def read_response(*parts: bytes) -> tuple[ResponseHead, bytes]:
    """Return head and body of the response that is received in these parts.

    The peer closes the connection after the last part.
    """

    async def scenario():
        transport = Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        transport.get_extra_info.return_value = None
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


class TestStatusLine:
    """Versions and reason phrases."""

    @pytest.mark.parametrize("byte", [*range(9), 11, 12, *range(14, 32), 127])
    def test_reason_with_a_control_byte(self, byte):
        """Guards against control bytes that callers get in the status line."""
        status_line = b"HTTP/1.1 200 O%cK\r\n" % byte
        check_malformed(status_line + FRAMED_BODY)
        check_malformed(status_line.replace(b"200", b"103") + b"\r\n" + SOUND)

    @pytest.mark.parametrize("version", [b"0.9", b"2.0"])
    def test_version(self, version):
        """Guards against a message of another protocol that is taken for an answer."""
        check_malformed(b"HTTP/" + version + b" 200 OK\r\n" + FRAMED_BODY)

    def test_earlier_version(self):
        """Guards against a refusal of HTTP/1.0."""
        head, body = read_response(b"HTTP/1.0 200 OK\r\n" + FRAMED_BODY)
        assert (head.status, body) == (200, b"ok")


class TestInterimBodies:
    """Interim responses end with their head (RFC 9112, section 6.3)."""

    @pytest.mark.parametrize("code", [100, 102, 103, 104, 150, 199])
    @pytest.mark.parametrize(
        "rest",
        [
            b"Content-Length: 2\r\n\r\nab",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ],
    )
    def test_body(self, code, rest):
        """Guards against bytes of an interim response in the body of the answer."""
        check_malformed(b"HTTP/1.1 %d Any\r\n" % code + rest + SOUND)

    @pytest.mark.parametrize("code", [100, 103, 199])
    def test_empty_body(self, code):
        """Guards against a refusal of a length that tells nothing else."""
        interim = b"HTTP/1.1 %d Any\r\nContent-Length: 0\r\n\r\n" % code
        head, body = read_response(interim + SOUND)
        assert (head.status, body) == (200, b"ok")


class TestFieldNames:
    """Names of fields that are no tokens."""

    @pytest.mark.parametrize("line", INVALID_LINES)
    def test_head(self, line):
        """Guards against a line that a caller would read differently."""
        status_line = b"HTTP/1.1 200 OK\r\n"
        check_malformed(status_line + line + b"\r\n" + FRAMED_BODY)
        framing, body = b"X-A: b\r\nContent-Length: 2\r\n", b"\r\nok"
        check_malformed(status_line + framing + line + b"\r\n" + body)

    @pytest.mark.parametrize("line", INVALID_LINES)
    def test_interim_response(self, line):
        """Guards against an answer behind an interim response that is not valid."""
        check_malformed(b"HTTP/1.1 103 Any\r\n" + line + b"\r\n\r\n" + SOUND)

    @pytest.mark.parametrize("line", INVALID_LINES)
    def test_trailers(self, line):
        """Guards against a body that ends with trailers that are not valid."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        check_malformed(head + b"2\r\nok\r\n0\r\n" + line + b"\r\n\r\n")


class TestAnyHead:
    """Properties of all heads; the fields that frame the body are valid."""

    @given(st.integers(200, 599), values, field_lists, st.booleans())
    def test_valid_head_is_accepted(self, code, reason, fields, is_split):
        """Guards against a refusal of a head that is only unusual."""
        status_line = b"HTTP/1.1 %d %b\r\n" % (code, reason)
        lines = b"".join(b"%b: %b\r\n" % field for field in fields)
        body = b"" if code in (204, 304) else b"ok"
        framing = b"\r\n" if code in (204, 304) else FRAMED_BODY
        data = status_line + lines + framing
        head, received = read_response(*(split_bytes(data) if is_split else [data]))
        assert (head.status, received) == (code, body)
        found = [field for field in head.headers if field[0] != b"Content-Length"]
        assert [name for name, _ in found] == [name for name, _ in fields]
        assert [v.strip(b" \t") for _, v in found] == [
            v.strip(b" \t") for _, v in fields
        ]

    @given(
        st.integers(0, 40),
        st.binary(min_size=1, max_size=3),
        st.booleans(),
        st.booleans(),
    )
    @example(13, b"A\x01", True, False)
    @example(9, b"000", True, False)
    def test_accepted_head_is_valid(self, position, data, is_replaced, is_split):
        """Guards against a head that callers get although it is not valid."""
        head = b"HTTP/1.1 200 OK\r\nX-First: b\r\nX-Second: c d\r\n"
        end = position + len(data) if is_replaced else position
        response = head[:position] + data + head[end:] + FRAMED_BODY
        parts = split_bytes(response) if is_split else [response]
        try:
            received, _ = read_response(*parts)
        except HttpError:
            return
        assert 200 <= received.status <= 599
        assert re.fullmatch(rb"[%b]*" % re.escape(VALUE_BYTES), received.reason)
        for name, value in received.headers:
            assert re.fullmatch(rb"[%b]+" % re.escape(TOKEN_BYTES), name)
            assert re.fullmatch(rb"[%b]*" % re.escape(VALUE_BYTES), value)
