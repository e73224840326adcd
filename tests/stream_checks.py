"""What callers of the stream rig send, and what they check in the answers."""

import asyncio
import collections
import re
from dataclasses import dataclass, field

from camphorrun.gateway.tests.cluster import HOST, KEY

DEADLINE_MS = 8000
EVENT = re.compile(
    r"id: (?P<number>\d+)\ndata: (?P<version>\S+) (?P<run>\S+) (?P<label>\d+)"
)
PIECES = ("X-Model: m", "X-Pieces: 1", "X-Piece-Key: k", "X-Prefix-Hash: 5c:200,77:9")


@dataclass(slots=True)
class StreamReport:
    """What callers have seen.

    Attributes
    ----------
    begun, finished : int
        Streams that had a first event, and those that were complete.
    take_ups, went_on : int
        Requests that take a stream up, and those that brought a further event.
    reasons : Counter of str
        Why take-ups were refused.
    faults : Counter of str
        Disruptions by kind.
    violations : list of str
        Streams whose events don't belong together.
    """

    begun: int = 0
    finished: int = 0
    take_ups: int = 0
    went_on: int = 0
    reasons: collections.Counter = field(default_factory=collections.Counter)
    faults: collections.Counter = field(default_factory=collections.Counter)
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Stream:
    """Events of one stream, over all attempts of its caller."""

    last: int
    resumable: bool
    first_attempt: str = ""
    attempts: list[str] = field(default_factory=list)
    number: int = 0
    versions: set[str] = field(default_factory=set)
    runs: set[str] = field(default_factory=set)
    is_complete: bool = False
    fault: str = ""

    def add(self, event: str) -> None:
        """Add an event and check that it belongs to the stream."""
        found = EVENT.fullmatch(event)
        if found is None:
            self.fault = f"event {event!r} follows {self.number}"
            return
        number = int(found["number"])
        version, run, label = found["version"], found["run"], found["label"]
        if number != self.number + 1 or int(label) != number:
            self.fault = f"event {number} follows {self.number}"
        self.number = number
        self.versions.add(version)
        self.runs.add(run)
        if len(self.versions) > 1:
            self.fault = f"versions {sorted(self.versions)}"
        if len(self.runs) > 1 and not self.resumable:
            self.fault = f"runs {sorted(self.runs)}"

    def end(self) -> None:
        """Check that a stream which looks complete is complete."""
        self.is_complete = True
        if self.number != self.last:
            self.fault = f"complete after event {self.number} of {self.last}"


def encode_attempt(path: str, stream: Stream, attempt: str) -> bytes:
    """Return the bytes of an attempt, which takes the stream up if it has begun."""
    lines = [
        f"POST {path}{stream.last} HTTP/1.1",
        f"Host: {HOST}",
        f"Api-Key: {KEY}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        "Content-Length: 0",
        *PIECES,
    ]
    if stream.number:
        lines.append(f"Resumes: {stream.first_attempt}")
        lines.append(f"Last-Event-Id: {stream.number}")
    return "\r\n".join([*lines, "", ""]).encode()


async def body_parts(reader: asyncio.StreamReader, is_chunked: bool):
    """Yield the parts of a body; end only if it is complete."""
    if not is_chunked:
        while part := await reader.read(65536):
            yield part
        return
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        part = await reader.readexactly(size + 2)
        yield part[:-2]
