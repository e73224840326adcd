"""Replicas that answer with predefined bytes, and a caller that parses strictly."""

import asyncio
import contextlib
import itertools
import re
import socket
import struct
from dataclasses import dataclass

from ...standins.stream_peers import StreamServer, open_stream
from .cluster import LocalCluster, event_bytes

# Grammar of RFC 9112, sections 4 and 5.
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2}) [\t\x20-\x7e\x80-\xff]*")
FIELD_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)"
)
ATTEMPT_FIELDS = b"X-Attempt-Id: %ID\r\nX-Replica-Stamp: raw\r\n"
SOUND_BODY = b"the whole answer"
EVENTS = event_bytes(1, 2, 3, 4, 5)
STAGED = ("X-Model: m", "X-Pieces: 1,1", "X-Piece-Key: k")
# Kinds of requests that may run once: path and further header fields.
ONCE = {
    "unsafe": ("/unsafe/x", ()),
    "stream": ("/stream/x", ("X-Model: m",)),
    "staged": ("/staged/x", STAGED),
}
REPEATABLE = {
    "safe": ("/safe/x", ()),
    "resumable": ("/resume/x", ("X-Model: m",)),
    "resumed": ("/resume/x", ("X-Model: m", "Last-Event-Id: 2")),
}
KINDS = {**ONCE, **REPEATABLE}
# Pause between the parts of an answer, so that they arrive one by one.
STEP_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 6.0
RECEIVE_BUFFER_BYTES = 64 * 1024


def framed_answer(body: bytes, status_line: bytes = b"HTTP/1.1 200 OK") -> bytes:
    """Return a valid response whose length is given."""
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return status_line + b"\r\n" + ATTEMPT_FIELDS + length + body


def unframed_answer(body: bytes) -> bytes:
    """Return a valid response that ends with its connection."""
    return b"HTTP/1.1 200 OK\r\n" + ATTEMPT_FIELDS + b"\r\n" + body


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """Bytes that a replica sends for a request, and what it does then.

    Attributes
    ----------
    data : bytes
        The answer; ``%ID`` is replaced by the attempt identifier.
    end : str
        ``keep`` (the connection stays open), ``close`` (closed with both directions),
        ``reset``, ``half_close`` (the sending direction is closed, and both at once
        after it), ``half_close_reset`` (the same with a pause and a reset), or
        ``linger`` (the sending direction is closed, and the rest of the request is read
        before the connection is closed).
    body_share : float
        Share of the request's body that is read before the answer.
    is_split : bool
        Whether the answer is sent byte by byte.
    """

    data: bytes
    end: str = "keep"
    body_share: float = 1.0
    is_split: bool = False


class RawReplica:
    """Registered replica that sends raw answers.

    Parameters
    ----------
    answer : RawAnswer
        Answer to each request.
    sound_requests : int
        Number of requests on each connection that get a valid answer before.

    Attributes
    ----------
    requests : list of str
        Attempt identifiers of the requests that got ``answer``; empty strings for
        requests without one.
    received_bytes : int
        Size of the bodies that were read from them before the answer.
    connections : int
        Number of accepted connections.
    """

    def __init__(
        self,
        answer: RawAnswer,
        *,
        service: str = "plain",
        identifier: str = "i-raw",
        sound_requests: int = 0,
    ):
        self.identifier = identifier
        self.requests: list[str] = []
        self.received_bytes = 0
        self.connections = 0
        self._answer = answer
        self._service = service
        self._sound_requests = sound_requests
        self._server = StreamServer(self._serve)

    def next_answer(self, head: str) -> RawAnswer:
        """Return the answer to the request with this head."""
        return self._answer

    async def register(self, cluster: LocalCluster) -> None:
        """Listen, and wait until the gateways know this replica.

        The registration tells no start, so that no report is requested.
        """
        cluster.stream_servers.append(self._server)
        port = await self._server.start()
        entry = {
            "Service": self._service,
            "Address": f"127.0.0.1:{port}",
            "Zone": "z1",
            "Version": "v1",
            "Slots": 4,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }
        cluster.store.put("keyed.servers", self.identifier, entry)
        for daemon in cluster.daemons:
            await cluster.wait_until(
                lambda d=daemon: self.identifier in d.state.replicas
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        # Without a fixed size, the kernel would buffer much of an upload.
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sound = RawAnswer(framed_answer(SOUND_BODY))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for number in itertools.count():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                is_sound = number < self._sound_requests
                answer = sound if is_sound else self.next_answer(head)
                size = int(
                    int(request_field(head, "content-length") or 0) * answer.body_share
                )
                await reader.readexactly(size)
                attempt_id = request_field(head, "x-attempt-id")
                if not is_sound:
                    self.requests.append(attempt_id)
                    self.received_bytes += size
                await _send(answer, attempt_id, writer)
                if answer.end != "keep":
                    await _end(answer.end, reader, writer)
                    return


def request_field(head: str, name: str) -> str:
    """Return the value of a field in a request head, empty if it is missing."""
    match = re.search(rf"(?im)^{name}:[ \t]*(.*?)\r$", head)
    return match[1] if match else ""


async def _send(
    answer: RawAnswer, attempt_id: str, writer: asyncio.StreamWriter
) -> None:
    data = answer.data.replace(b"%ID", attempt_id.encode())
    if not answer.is_split:
        writer.write(data)
        await writer.drain()
        return
    for index in range(len(data)):
        writer.write(data[index : index + 1])
        await writer.drain()
        await asyncio.sleep(0)


async def _end(
    end: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    if end in ("half_close", "linger", "half_close_reset"):
        writer.write_eof()
    if end in ("close", "half_close"):
        writer.close()
        return
    await asyncio.sleep(STEP_SECONDS)
    if end == "linger":
        while await reader.read(65536):
            pass
        writer.close()
        return
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """What a caller received for one request on a connection of its own.

    ``status`` is 0 if the connection ended without a response, and ``is_complete``
    tells whether the framing of the body shows its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def call(
    cluster: LocalCluster, path: str, *lines: str, body: bytes = b""
) -> ReceivedResponse:
    """Send a request to the first gateway and parse the response strictly.

    Raises
    ------
    ValueError
        If the received bytes are not a valid response.
    """
    host, _, port = cluster.daemons[0].settings.host.callers.rpartition(":")
    data = cluster.encode_request(path, "Connection: close", *lines, body=body)
    received = b""
    async with (
        asyncio.timeout(CALL_TIMEOUT_SECONDS),
        open_stream(host, port) as (reader, writer),
    ):
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(65536):
                received += part
    return parse_response(received)


async def call_until_reached(
    cluster: LocalCluster, raw: RawReplica, path: str, *lines: str, body: bytes = b""
) -> list[ReceivedResponse]:
    """Send pairs of requests until one has reached ``raw``; return all responses.

    Of two requests at the same time, each replica gets one.
    """
    for replica in cluster.replicas:
        replica.script.work_s = 0.05
    responses = []
    while not raw.requests:
        pair = (call(cluster, path, *lines, body=body) for _ in range(2))
        responses += await asyncio.gather(*pair)
    return responses


def parse_response(received: bytes) -> ReceivedResponse:
    """Return the one response in the bytes of a connection.

    Raises
    ------
    ValueError
        If the bytes are not a valid response, or go on after it.
    """
    if not received:
        return ReceivedResponse(0, {}, b"", False)
    head, separator, rest = received.partition(b"\r\n\r\n")
    line, *field_lines = head.split(b"\r\n")
    status = STATUS_LINE.fullmatch(line)
    fields = [FIELD_LINE.fullmatch(field) for field in field_lines]
    if not separator or status is None or not all(fields):
        raise ValueError(f"invalid head: {head!r}")
    headers = {f[1].decode().lower(): f[2].decode("latin-1") for f in fields}
    if "content-length" in headers:
        length = int(headers["content-length"])
        body, is_complete = rest[:length], len(rest) >= length
        if len(rest) > length:
            raise ValueError(f"bytes after the response: {rest[length:]!r}")
    else:
        body, is_complete = _join_chunks(rest)
    return ReceivedResponse(int(status[1]), headers, body, is_complete)


def _join_chunks(rest: bytes) -> tuple[bytes, bool]:
    """Return a chunked body, and whether its last chunk was received."""
    body = b""
    while True:
        line, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return body, False
        size = int(line, 16)
        if size == 0:
            if rest not in (b"", b"\r\n"):
                raise ValueError(f"bytes after the last chunk: {rest!r}")
            return body, rest == b"\r\n"
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False
        rest = rest[size + 2 :]
