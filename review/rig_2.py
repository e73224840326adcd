"""Stand-ins of the platform, its replicas and its clients for the scripts 6 to 10.

Only the standard library is used. The gateways are the project's own program, started
as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
HOST = "a.example"
HEARTBEAT_SECONDS = 1.2
BROKEN, HELD, NOT_RUN = 1, 0, 2


def free_ports(count: int) -> list[int]:
    """Return free loopback ports, all different."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """Lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line with the time since the start."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:9.3f} s  {text}\n")
        self._file.flush()


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method: str, target: str, fields: dict[str, str], body: bytes):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def attempt(self) -> str:
        """Identifier of the client's attempt."""
        return self.fields.get("x-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a channel, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, fields, body)


def response(status: int, body: bytes = b"", fields: str = "") -> bytes:
    """Return the bytes of a response; ``fields`` has lines that end with CRLF."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
    return head.encode() + body


class Server:
    """HTTP server on a loopback port; one request at a time on a channel."""

    def __init__(self):
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> str:
        """Listen and return ``ip:port``."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port, limit=2**20
        )
        number = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{number}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and reset all channels."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if not await self.answer(req, reader, writer):
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def answer(self, req: Request, reader, writer) -> bool:
        """Answer one request; return whether the channel stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: a log with topics, and one group."""

    def __init__(self, era: int = 1):
        super().__init__()
        self.era = era
        self.logs: dict[str, list[bytes]] = {}
        self.is_down = False
        self._written_at: dict[str, list[float]] = {}
        self._members: dict[str, float] = {}
        self._topics: dict[str, list[str]] = {}
        self._generation = 0
        self._changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: object) -> None:
        """Append a record of a keyed topic; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        await self._append(topic, [bytes([len(key)]) + key.encode() + data])

    def restore(self, copied_at: float) -> None:
        """Come back from a copy of that time; what was written since is gone."""
        for topic, log in self.logs.items():
            kept = sum(at <= copied_at for at in self._written_at[topic])
            del log[kept:], self._written_at[topic][kept:]
        self._members.clear()
        self._generation = 0
        self.era += 1

    async def _append(self, topic: str, contents: list[bytes]) -> int:
        log = self.logs.setdefault(topic, [])
        log.extend(contents)
        times = self._written_at.setdefault(topic, [])
        times.extend([time.monotonic()] * len(contents))
        async with self._changed:
            self._changed.notify_all()
        return len(log) - len(contents)

    async def answer(self, req: Request, reader, writer) -> bool:
        """Answer one call, with 503 while the store is down."""
        if self.is_down:
            writer.write(response(503, b"", f"Store-Era: {self.era}\r\n"))
            await writer.drain()
            return True
        path, _, query = req.target.partition("?")
        args = {name: values[0] for name, values in parse_qs(query).items()}
        calls = {
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/log-append": self._on_append,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._owners,
        }
        if path in calls:
            status, body = await calls[path](args, req.body)
        else:
            status, body = 404, b""
        writer.write(response(status, body, f"Store-Era: {self.era}\r\n"))
        await writer.drain()
        return True

    async def _read(self, args: dict, _: bytes) -> tuple[int, bytes]:
        offset = int(args["From"])
        log = self.logs.setdefault(args["Topic"], [])
        wait_s = int(args.get("WaitMs", 0)) / 1000
        if offset > len(log):
            return 410, b'{"First": 0}'
        if offset == len(log) and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: len(log) > offset)
        records = (struct.pack(">I", len(c)) + c for c in log[offset:])
        return 200, struct.pack(">QQ", len(log), 0) + b"".join(records)

    async def _newest(self, args: dict, _: bytes) -> tuple[int, bytes]:
        log = self.logs.get(args["Topic"], [])
        newest = {}
        for offset, content in enumerate(log):
            size = content[0]
            newest[content[1 : 1 + size].decode()] = content[1 + size :], offset
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (value, offset) in newest.items()
            if value
        ]
        answer = {"Items": items, "HasMore": False, "End": len(log)}
        return 200, json.dumps(answer).encode()

    async def _on_append(self, args: dict, body: bytes) -> tuple[int, bytes]:
        contents, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            contents.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        offset = await self._append(args["Topic"], contents)
        answer = {"Offset": offset, "End": len(self.logs[args["Topic"]])}
        return 200, json.dumps(answer).encode()

    def _alive(self) -> list[str]:
        now = time.monotonic()
        return sorted(name for name, until in self._members.items() if until > now)

    def _rows(self) -> list[list]:
        members = self._alive()
        by_topic: dict[str, list[str]] = {}
        for member in members:
            for topic in self._topics[member]:
                by_topic.setdefault(topic, []).append(member)
        return [
            [topic, part, names[part % len(names)], 0]
            for topic, names in by_topic.items()
            for part in range(24)
        ]

    async def _join(self, _: dict, body: bytes) -> tuple[int, bytes]:
        call = json.loads(body)
        before = self._alive()
        self._members[call["Member"]] = time.monotonic() + call["TtlMs"] / 1000
        changed = self._topics.get(call["Member"]) != call["Topics"]
        self._topics[call["Member"]] = call["Topics"]
        if changed or set(before) != set(self._alive()):
            self._generation += 1
        parts = [[r[0], r[1], 0] for r in self._rows() if r[2] == call["Member"]]
        answer = {"Generation": self._generation, "parts": parts}
        return 200, json.dumps(answer).encode()

    async def _leave(self, _: dict, body: bytes) -> tuple[int, bytes]:
        self._members.pop(json.loads(body)["Member"], None)
        self._generation += 1
        return 200, b"{}"

    async def _owners(self, *_) -> tuple[int, bytes]:
        return 200, json.dumps({"parts": self._rows()}).encode()


class Replica(Server):
    """A sound replica: registers itself and answers each request with its target."""

    def __init__(self, identifier: str, service: str, zone: str, record: Record):
        super().__init__()
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.record = record
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.runs: dict[str, int] = {}

    async def register(self, store: Store) -> None:
        """Write the entry of the replica once."""
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        await store.put("keyed.servers", self.identifier, entry)

    async def keep_registered(self, store: Store) -> None:
        """Write the entry of the replica at each heartbeat."""
        while True:
            await self.register(store)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def own_fields(self, req: Request) -> str:
        """Return the fields by which a replica signs its answer."""
        return (
            f"X-Attempt-Id: {req.attempt}\r\n"
            f"X-Replica-Stamp: {self.identifier}.{req.attempt}\r\n"
        )

    async def answer(self, req: Request, reader, writer) -> bool:
        """Answer a report, a request for another replica, or a request."""
        if req.target == "/report":
            report = {"Busy": False, "Queued": 0, "Active": 0, "FreeMb": 8}
            report["born"] = self.born
            writer.write(response(200, json.dumps(report).encode()))
        elif req.fields.get("x-expect-replica", self.identifier) != self.identifier:
            writer.write(response(421, b"", f"X-Replica-Id: {self.identifier}\r\n"))
        else:
            self.runs[req.attempt] = self.runs.get(req.attempt, 0) + 1
            self.record.add(f"{self.identifier} runs {req.attempt} {req.target}")
            return await self.run(req, reader, writer)
        await writer.drain()
        return True

    async def run(self, req: Request, reader, writer) -> bool:
        """Run a request; return whether the channel stays open."""
        writer.write(response(200, req.target.encode(), self.own_fields(req)))
        await writer.drain()
        return True


class Gateway:
    """A process of the project's gateway."""

    def __init__(self, name: str, zone: str, store: Store, folder: Path):
        ports = free_ports(5)
        self.name = name
        self.callers, self.readiness, self.peers, self.control, self.metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.zone = zone
        self._store = store
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def settings(self, seeds: list[str]) -> dict:
        """Return the settings that the template of the deploy file gives."""
        return {
            "host": {
                "name": self.name,
                "address": "127.0.0.1",
                "availability_zone": self.zone,
                "region": "r1",
                "callers": self.callers,
                "readiness": self.readiness,
                "peers": self.peers,
                "control": self.control,
                "metrics": self.metrics,
            },
            "store": {"address": self._store.address},
            "seeds": seeds,
            "bounds": {
                "stop_s": 8,
                "retry_ratio": 0.2,
                "retry_extra": 56,
                "retry_window_s": 10,
            },
            "limits": {
                "cpu_share": "0.817",
                "cores": "1",
                "memory_mb": "300",
                "link_mbps": "1000.0",
            },
            "zones": {self.zone: "r1"},
        }

    async def start(self, seeds: list[str]) -> None:
        """Start the process; its output goes to a file in the temporary folder."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(seeds)))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CAMPHORRUN_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                *("-m", "camphorrun", "gateway"),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def log_lines(self) -> list[str]:
        """Return the lines that the process has written."""
        return (self._folder / f"{self.name}.log").read_text().splitlines()

    async def wait_until_ready(self, seconds: float = 20.0) -> bool:
        """Ask the readiness address as the platform does; return whether it is 200."""
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await connect(self.readiness)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head.split(b"\r\n")[0]:
                    return True
            await asyncio.sleep(0.1)
        return False

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


async def connect(address: str, receive_bytes: int = 0):
    """Open a channel; ``receive_bytes`` is the size of its receive buffer."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    limit = receive_bytes or 2**16
    return await asyncio.open_connection(sock=sock, limit=limit)


def request_bytes(
    method: str, path: str, attempt: str, deadline_ms: int, fields: str = "", body=b""
) -> bytes:
    """Return the bytes of a client's request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def route(name: str, prefix: str, kind: str, service: str, **fields) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Stages": [],
        "Public": True,
        "Sticky": False,
        "Resumable": False,
        "GapTargetMs": 400,
        **fields,
    }


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return the operator's configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "t1", "ApiKeys": ["key-1"], "Priority": 1}],
    }


def run_case(main, folder: str) -> None:
    """Run ``main(record, temporary folder, has trouble)`` and exit with its result."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as path:
        try:
            result = asyncio.run(main(record, Path(path), has_trouble))
        except Exception as exc:  # noqa: BLE001
            record.add(f"the case could not run: {exc!r}")
            result = NOT_RUN
    record.add(f"result {result}")
    sys.exit(result)
