"""Stand-ins of the platform and its parties, and gateways as processes.

The review cases share this module. All addresses are loopback addresses with free
ports, and `Rig` ends everything that it started.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Ports below the range from which the kernel takes those of outgoing connections.
PORT_RANGE = (20_000, 32_000)
START_SECONDS = 20.0
POLL_SECONDS = 0.02
CONFIG_TOPIC = "keyed.op"
REPLICA_TOPIC = "keyed.servers"
PARTITIONS = 24
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_FAILED = 2

# Ports that were given out, on which nothing may listen yet.
_given_ports: set[int] = set()

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request"}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


@dataclass(slots=True)
class Request:
    """A request as a stand-in received it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Answer:
    """An answer as a caller received it; status 0 stands for a closed connection."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Channel:
    """Server side of one connection to a stand-in."""

    def __init__(self, writer: asyncio.StreamWriter):
        self._writer = writer
        # Answer that is written again while the next request is in progress.
        self.late_copy = b""

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if not self._writer.is_closing():
            self._writer.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()


Handler = Callable[[Request, Channel], Awaitable[None]]


def encode_answer(
    status: int, body: bytes = b"", fields: tuple[str, ...] = ()
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", *fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def encode_json(status: int, value: object, fields: tuple[str, ...] = ()) -> bytes:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    return encode_answer(status, body, ("Content-Type: application/json", *fields))


def parse_fields(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the header fields of a head."""
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    rows = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in rows}


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    while True:
        port = random.randint(*PORT_RANGE)
        if port in _given_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return f"127.0.0.1:{port}"


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class StandIn:
    """HTTP/1.1 server that handles one request at a time on a connection."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.address = free_address()
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        channel = Channel(writer)
        errors = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        try:
            with contextlib.suppress(*errors):
                while True:
                    await self._handler(await self._read(reader), channel)
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> Request:
        first, headers = parse_fields(await reader.readuntil(b"\r\n\r\n"))
        method, target, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Request(method, target, headers, body)


class Store:
    """The platform's store: keyed topics and one group."""

    def __init__(self):
        self._logs: dict[str, list[tuple[str, bytes]]] = {}
        self._members: dict[str, tuple[float, list[str]]] = {}
        self._generation = 0
        self._server = StandIn(self._handle)

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop."""
        await self._server.stop()

    @property
    def address(self) -> str:
        """Address of the store."""
        return self._server.address

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._logs.setdefault(topic, []).append((key, data))

    async def _handle(self, req: Request, channel: Channel) -> None:
        path, _, query = req.target.partition("?")
        args = dict(item.split("=", 1) for item in query.split("&") if item)
        channel.write(await self._answer(path, args, req.body))

    async def _answer(self, path: str, args: dict[str, str], body: bytes) -> bytes:
        era = ("Store-Era: 1",)
        if path == "/log-read":
            return await self._read(args)
        if path == "/log-newest":
            return encode_json(200, self._newest(args["Topic"]), era)
        if path == "/log-append":
            return encode_json(200, self._append(args["Topic"], body), era)
        if path == "/log-join":
            return encode_json(200, self._join(json.loads(body)), era)
        if path == "/log-leave":
            self._members.pop(json.loads(body)["Member"], None)
            self._generation += 1
            return encode_json(200, {}, era)
        if path == "/log-owners":
            return encode_json(200, {"parts": self._rows()}, era)
        return encode_answer(404, b"", era)

    async def _read(self, args: dict[str, str]) -> bytes:
        log = self._logs.setdefault(args["Topic"], [])
        offset = int(args["From"])
        end_at = time.monotonic() + int(args.get("WaitMs", 0)) / 1000
        while offset >= len(log) and time.monotonic() < end_at:
            await asyncio.sleep(POLL_SECONDS)
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return encode_answer(200, body, ("Store-Era: 1",))

    def _newest(self, topic: str) -> dict:
        log = self._logs.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(log)}
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (value, offset) in newest.items()
            if value
        ]
        return {"Items": items, "HasMore": False, "End": len(log)}

    def _append(self, topic: str, body: bytes) -> dict:
        log = self._logs.setdefault(topic, [])
        offset = len(log)
        while body:
            (size,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + size], body[4 + size :]
            key = content[1 : 1 + content[0]].decode()
            log.append((key, content[1 + content[0] :]))
        return {"Offset": offset, "End": len(log)}

    def _join(self, order: dict) -> dict:
        now = time.monotonic()
        alive = {n: m for n, m in self._members.items() if m[0] > now}
        known = alive.get(order["Member"])
        is_changed = known is None or known[1] != order["Topics"]
        if is_changed or len(alive) != len(self._members):
            self._generation += 1
        alive[order["Member"]] = (now + order["TtlMs"] / 1000, order["Topics"])
        self._members = alive
        rows = [row[:2] + [0] for row in self._rows() if row[2] == order["Member"]]
        return {"Generation": self._generation, "TtlMs": order["TtlMs"], "parts": rows}

    def _rows(self) -> list[list]:
        by_topic: dict[str, list[str]] = {}
        for member, (_, topics) in sorted(self._members.items()):
            for topic in topics:
                by_topic.setdefault(topic, []).append(member)
        return [
            [topic, part, members[part % len(members)], 0]
            for topic, members in by_topic.items()
            for part in range(PARTITIONS)
        ]


class Gateway:
    """A gateway that runs as a process, with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, store: str, zone: str = "z1"):
        names = ("callers", "readiness", "peers", "control", "metrics")
        addresses = {name: free_address() for name in names}
        self.callers = addresses["callers"]
        self._readiness = addresses["readiness"]
        self.control = addresses["control"]
        self._host = {"name": name, "address": "127.0.0.1", "availability_zone": zone}
        self._host |= addresses
        self._store = store
        self._settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, seeds: list[str]) -> None:
        """Start the process without waiting until it is ready."""
        settings = {
            "host": self._host,
            "store": {"address": self._store},
            "seeds": seeds,
            "bounds": {
                "stop_s": 8,
                "retry_ratio": 0.2,
                "retry_extra": 56,
                "retry_window_s": 10,
            },
        }
        self._settings.write_text(json.dumps(settings))
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "camphorrun", "gateway"),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CAMPHORRUN_CONFIG": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        data = b"GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n"
        async with asyncio.timeout(START_SECONDS):
            while (await send(self._readiness, data, 1.0)).status != 200:
                await asyncio.sleep(0.05)

    async def kill(self) -> None:
        """End the process, if it runs, and wait for its end."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


async def send(address: str, data: bytes, timeout_s: float) -> Answer:
    """Send a request on a new connection and return its answer."""
    answer = Answer(0)
    writer = None
    errors = (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError)
    with contextlib.suppress(*errors):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            writer.write(data)
            await read_answer(reader, answer)
    if writer is not None:
        writer.transport.abort()
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer with a length or in chunks."""
    first, answer.headers = parse_fields(await reader.readuntil(b"\r\n\r\n"))
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding") != "chunked":
        size = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(size)
        answer.is_complete = True
        return
    while size := int(await reader.readline(), 16):
        answer.body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    answer.is_complete = True


class Rig:
    """Store, replicas and gateways of one case, and its record.

    An asynchronous context manager: at its exit everything has ended, and the record
    is in ``record.txt`` in the folder of the case.
    """

    def __init__(self, case: Path):
        self._record = case / "record.txt"
        self._lines: list[str] = []
        self._began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="camphorrun-review-"))
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.stand_ins: list[StandIn] = []

    async def __aenter__(self) -> "Rig":
        await self.store.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for gateway in self.gateways:
            await gateway.kill()
        for stand_in in self.stand_ins:
            await stand_in.stop()
        await self.store.stop()
        self._record.write_text("\n".join([*self._lines, ""]))
        shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str) -> None:
        """Add a line with the time to the record."""
        self._lines.append(f"{time.monotonic() - self._began:9.3f} {text}")

    async def add_stand_in(self, handler: Handler) -> StandIn:
        """Start a server on a free port."""
        stand_in = StandIn(handler)
        await stand_in.start()
        self.stand_ins.append(stand_in)
        return stand_in

    async def add_replica(
        self, identifier: str, service: str, handler: Handler, **fields: object
    ) -> StandIn:
        """Start a replica and register it."""
        stand_in = await self.add_stand_in(handler)
        entry = {
            "Service": service,
            "Address": stand_in.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 64,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put(REPLICA_TOPIC, identifier, entry | fields)
        return stand_in

    async def add_gateways(self, count: int, zone: str = "z1") -> None:
        """Start gateways and wait until all of them are ready."""
        for number in range(count):
            name = f"edge-{number + 1}"
            gateway = Gateway(name, self.folder, self.store.address, zone)
            self.gateways.append(gateway)
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            await gateway.start(seeds)
        for gateway in self.gateways:
            await gateway.wait_until_ready()


def run_case(case: Path, scenario: Callable[[Rig, bool], Awaitable[bool]]) -> int:
    """Run a scenario and return the exit code of its script.

    The scenario gets the rig and whether the disruption is on (``TROUBLE`` is not 0),
    and returns whether the rule held.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        async with Rig(case) as rig:
            rig.note(f"start, disruption {'on' if is_troubled else 'off'}")
            return await asyncio.wait_for(scenario(rig, is_troubled), 110)

    try:
        held = asyncio.run(run())
    except Exception as exc:
        # An uncaught exception would end with the exit code of a broken rule.
        print(f"the case could not run: {exc!r}")
        return EXIT_FAILED
    print("the rule held" if held else "the rule was broken")
    return EXIT_HELD if held else EXIT_BROKEN
