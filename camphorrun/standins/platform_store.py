"""Stand-in of the users' platform: its store, in memory, over HTTP."""

import asyncio
import base64
import struct
from collections import Counter
from urllib.parse import parse_qs

import msgspec

from ..core import TimerService
from ..http1 import Headers, HttpServer, ServerRequest, ServerResponder

PARTITIONS = 24
POLL_SECONDS = 0.01


class PlatformStore:
    """Keyed topics and one group, with faults that tests switch on.

    Attributes
    ----------
    fault : str
        Empty, ``busy`` (503), ``reset`` (the connection is closed) or ``silent``.
    partitions : int
        Partitions of each topic of the group; a member may have none.
    calls : dict of str to int
        Calls by path.
    era : int
        Returns of the store from an older copy.
    era_field : str or None
        Sent in place of the era; None for the era itself.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._server = HttpServer(self._handle, timers)
        self._logs: dict[str, list[tuple[str, bytes]]] = {}
        self._written_at: dict[str, list[float]] = {}
        self._first: dict[str, int] = {}
        self._members: dict[str, float] = {}
        self._topics: dict[str, list[str]] = {}
        self._generation = 0
        self.partitions = PARTITIONS
        self.fault = ""
        self.era = 1
        self.era_field: str | None = None
        self.calls: dict[str, int] = {}
        # Reads that wait for records, by topic.
        self.waiting_reads: Counter[str] = Counter()
        self.address = ""

    async def start(self) -> str:
        """Listen on loopback and return ``ip:port``."""
        port = await self._server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        return self.address

    def close(self) -> None:
        """Stop."""
        self._server.close()

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record and return its offset; None removes the key."""
        data = b"" if value is None else _encode(value)
        log = self._logs.setdefault(topic, [])
        log.append((key, data))
        self._written_at.setdefault(topic, []).append(self._timers.now())
        return len(log) - 1

    def appended(self, topic: str) -> int:
        """Return the number of records of a topic."""
        return len(self._logs.get(topic, ()))

    def restore(self, copied_at: float) -> list[tuple[str, str, bytes]]:
        """Come back from a copy; return what it lacks, in order of topics and offsets.

        ``copied_at`` is the time of the copy on the timer service. The group
        and its members are lost, and offsets are given out again.
        """
        lost = []
        for topic, log in self._logs.items():
            times = self._written_at[topic]
            kept = sum(at <= copied_at for at in times)
            lost.extend((topic, key, value) for key, value in log[kept:])
            del log[kept:], times[kept:]
            self._first[topic] = min(self._first.get(topic, 0), kept)
        self._members.clear()
        self._generation = 0
        self.era += 1
        return lost

    def drop_history(self, topic: str) -> None:
        """Delete all records but the newest of each key."""
        self._first[topic] = len(self._logs.get(topic, ()))

    async def _handle(self, req: ServerRequest, responder: ServerResponder) -> None:
        path, _, query = req.target.decode().partition("?")
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.fault == "silent":
            await asyncio.Event().wait()
        if self.fault == "reset":
            responder.abort()
            return
        if self.fault == "busy":
            responder.respond(503, self._headers())
            return
        args = {name: values[0] for name, values in parse_qs(query).items()}
        status, body = await self._answer(path, args, req.body)
        responder.respond(status, self._headers(), body)

    def _headers(self) -> Headers:
        text = str(self.era) if self.era_field is None else self.era_field
        return Headers([(b"Store-Era", text.encode())] if text else [])

    async def _answer(self, path: str, args: dict, body: bytes) -> tuple[int, bytes]:
        if path == "/log-read":
            return await self._read(args)
        if path == "/log-newest":
            return 200, self._newest(args["Topic"])
        if path == "/log-append":
            return 200, self._append(args["Topic"], body)
        if path == "/log-join":
            return 200, self._join(msgspec.json.decode(body))
        if path == "/log-leave":
            self._members.pop(msgspec.json.decode(body)["Member"], None)
            self._generation += 1
            return 200, b"{}"
        if path == "/log-owners":
            return 200, self._owners()
        return 404, b""

    async def _read(self, args: dict) -> tuple[int, bytes]:
        topic, offset = args["Topic"], int(args["From"])
        log = self._logs.setdefault(topic, [])
        wait_s = int(args.get("WaitMs", 0)) / 1000
        end_at = self._timers.now() + wait_s
        self.waiting_reads[topic] += 1
        try:
            while offset >= len(log) and self._timers.now() < end_at:
                await self._timers.sleep(POLL_SECONDS)
        finally:
            self.waiting_reads[topic] -= 1
        first = self._first.get(topic, 0)
        if offset < first or offset > len(log):
            return 410, _encode({"First": first})
        records = b"".join(_record(key, value) for key, value in log[offset:])
        return 200, struct.pack(">QQ", len(log), first) + records

    def _newest(self, topic: str) -> bytes:
        log = self._logs.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(log)}
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (value, offset) in newest.items()
            if value
        ]
        return _encode({"Items": items, "HasMore": False, "End": len(log)})

    def _append(self, topic: str, body: bytes) -> bytes:
        offset = len(self._logs.get(topic, ()))
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
            self.put(topic, key.decode(), value)
            position += 4 + size
        return _encode({"Offset": offset, "End": len(self._logs[topic])})

    def _join(self, body: dict) -> bytes:
        now = self._timers.now()
        alive = {name for name, until in self._members.items() if until > now}
        if body["Member"] not in alive or len(alive) != len(self._members):
            self._generation += 1
        self._members = {name: self._members[name] for name in alive}
        self._members[body["Member"]] = now + body["TtlMs"] / 1000
        if self._topics.get(body["Member"]) != body["Topics"]:
            self._generation += 1
            self._topics[body["Member"]] = body["Topics"]
        owned = [row for row in self._rows() if row[2] == body["Member"]]
        answer = {"Generation": self._generation, "TtlMs": body["TtlMs"]}
        return _encode({**answer, "parts": [[row[0], row[1], 0] for row in owned]})

    def _rows(self) -> list[list]:
        """Return topic, partition, member and offset of all partitions."""
        by_topic: dict[str, list[str]] = {}
        for member in sorted(self._members):
            for topic in self._topics[member]:
                by_topic.setdefault(topic, []).append(member)
        return [
            [topic, part, members[part % len(members)], 0]
            for topic, members in by_topic.items()
            for part in range(self.partitions)
        ]

    def _owners(self) -> bytes:
        return _encode({"parts": self._rows()})


def _encode(value: object) -> bytes:
    return value if isinstance(value, bytes) else msgspec.json.encode(value)


def _record(key: str, value: bytes) -> bytes:
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content
