"""Processes, settings and samples of processor time, memory and traffic.

Processor time is the run time of all threads in ``/proc/<pid>/task/*/schedstat``, which
other load on the machine does not change. Traffic is read from ``TCP_INFO`` of the
sockets of a process, grouped by the port of the other side; bytes are those of the TCP
payload.
"""

import asyncio
import ctypes
import json
import os
import signal
import socket
import statistics
import struct
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import numpy

from camphorrun.clients import LogClient
from camphorrun.configuration import (
    ConfigurationChange,
    Document,
    document_name,
    encode_document,
    encode_record,
)
from camphorrun.core import new_identifier
from tools.chaos_system import OPERATOR, SECRET, Process, free_port

APPEND_BATCH = 500
READY_SECONDS = 120.0
# Repetitions of each point.
WINDOWS = 3
# Linux numbers of the calls on every architecture that has them.
_PIDFD_OPEN, _PIDFD_GETFD = 434, 438
_TCP_INFO_BYTES = 208
_LIBC = ctypes.CDLL(None, use_errno=True)

Result = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Traffic:
    """Payload bytes and segments with payload, of one process with one port."""

    sent: int = 0
    received: int = 0
    segments_sent: int = 0
    segments_received: int = 0

    def __add__(self, other: "Traffic") -> "Traffic":
        return Traffic(
            self.sent + other.sent,
            self.received + other.received,
            self.segments_sent + other.segments_sent,
            self.segments_received + other.segments_received,
        )


def processor_seconds(pid: int) -> float:
    """Return the run time of all threads of a process."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_mb(pid: int) -> float:
    """Return VmRSS in MB (10^6 bytes)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def traffic_by_port(pid: int) -> dict[str, Traffic]:
    """Return the traffic of the open TCP sockets of a process.

    Connections that the process accepted count under ``accepted``.
    """
    found: dict[str, Traffic] = {}
    pidfd = _LIBC.syscall(_PIDFD_OPEN, pid, 0)
    if pidfd < 0:
        raise OSError(ctypes.get_errno(), "pidfd_open")
    try:
        sockets = [_copy_socket(pidfd, int(name)) for name in _socket_numbers(pid)]
    finally:
        os.close(pidfd)
    connections = [sock for sock in sockets if sock is not None]
    listening = {sock.getsockname()[1] for sock in connections if not _peer(sock)}
    for sock in connections:
        peer = _peer(sock)
        if peer:
            accepted = sock.getsockname()[1] in listening
            name = "accepted" if accepted else str(peer[1])
            found[name] = found.get(name, Traffic()) + _traffic(sock)
        sock.close()
    return found


def _socket_numbers(pid: int) -> list[str]:
    directory = Path(f"/proc/{pid}/fd")
    found = []
    for link in directory.iterdir():
        try:
            if os.readlink(link).startswith("socket:"):
                found.append(link.name)
        except FileNotFoundError:
            continue
    return found


def _copy_socket(pidfd: int, number: int) -> socket.socket | None:
    copy = _LIBC.syscall(_PIDFD_GETFD, pidfd, number, 0)
    if copy < 0:
        return None
    sock = socket.socket(fileno=copy)
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        sock.close()
        return None
    return sock


def _peer(sock: socket.socket) -> tuple[str, int] | None:
    try:
        return sock.getpeername()
    except OSError:
        return None


def _traffic(sock: socket.socket) -> Traffic:
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    acked, received = struct.unpack_from("=QQ", info, 120)
    segments_received, segments_sent = struct.unpack_from("=II", info, 152)
    return Traffic(acked, received, segments_sent, segments_received)


@dataclass(frozen=True, slots=True)
class Window:
    """What a process used in one window of time."""

    seconds: float
    processor_s: float
    traffic: dict[str, Traffic]

    def bytes_per_s(self, name: str) -> float:
        """Return payload bytes a second, both directions, with one port."""
        each = self.traffic.get(name, Traffic())
        return (each.sent + each.received) / self.seconds

    def sent_per_s(self, name: str) -> float:
        """Return segments with payload sent a second to one port."""
        return self.traffic.get(name, Traffic()).segments_sent / self.seconds


async def watch(pid: int, seconds: float) -> Window:
    """Return what a process uses during some seconds."""
    loop = asyncio.get_running_loop()
    begun_at, used = loop.time(), processor_seconds(pid)
    before = traffic_by_port(pid)
    await asyncio.sleep(seconds)
    after = traffic_by_port(pid)
    elapsed, spent = loop.time() - begun_at, processor_seconds(pid) - used
    moved = {name: _minus(after[name], before.get(name, Traffic())) for name in after}
    return Window(elapsed, spent, moved)


def _minus(one: Traffic, other: Traffic) -> Traffic:
    return Traffic(
        one.sent - other.sent,
        one.received - other.received,
        one.segments_sent - other.segments_sent,
        one.segments_received - other.segments_received,
    )


class Bench:
    """Stand-ins and daemons as processes of their own, stopped at the end."""

    def __init__(self, directory: Path, session: aiohttp.ClientSession):
        self.session = session
        self.processes: list[Process] = []
        self._directory = directory
        self.log_port, self.hosts_port = free_port(), free_port()
        self.log_url = f"http://127.0.0.1:{self.log_port}"
        self.hosts_url = f"http://127.0.0.1:{self.hosts_port}"

    async def start_platform(self) -> None:
        """Start the log service and the host list."""
        for kind, port in (("log", self.log_port), ("hosts", self.hosts_port)):
            self.start("standin", kind, "--listen", f"127.0.0.1:{port}")
        await self._answers(f"{self.log_url}/v1/streams/fleet/records?offset=1")
        await self._answers(f"{self.hosts_url}/v1/hosts")

    def start(self, *arguments: str) -> Process:
        """Start ``python -m camphorrun`` with arguments."""
        name = f"{arguments[0]}-{len(self.processes)}"
        process = Process(name, list(arguments), self._directory / f"{name}.log")
        process.start()
        self.processes.append(process)
        return process

    def start_entry(self) -> tuple[Process, str]:
        """Start an entry; return it and its URL."""
        return self._start_daemon("entry", {"max_requests": 5000, "drain_grace_s": 0})

    def start_agent(self, service: str, endpoint_url: str) -> tuple[Process, str]:
        """Start an agent; return it and its URL."""
        endpoint = {"url": endpoint_url, "service": service}
        fields = {"endpoint": endpoint, "initial_limit": 64, "max_queue": 1000}
        return self._start_daemon("agent", fields)

    async def start_endpoint(self, **profile: object) -> str:
        """Start a stand-in endpoint and return its URL."""
        address = f"127.0.0.1:{free_port()}"
        text = json.dumps(profile)
        self.start("standin", "endpoint", "--listen", address, "--profile", text)
        await self._answers(f"http://{address}/v1/load")
        return f"http://{address}"

    def _start_daemon(self, role: str, fields: dict) -> tuple[Process, str]:
        listen = f"127.0.0.1:{free_port()}"
        name = f"{role}-{len(self.processes)}"
        host = {"name": name, "availability_zone": "zone-a", "region": "r"}
        settings = {
            "host": host | {"listen": listen},
            "platform": {"log_url": self.log_url, "host_list_url": self.hosts_url},
            "keys": [{"key_id": 1, "secret": SECRET}],
            "operator_credential": OPERATOR,
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings | fields))
        return self.start(role, "--settings", str(path)), f"http://{listen}"

    async def append(self, stream: str, values: list[bytes]) -> None:
        """Append values to a stream in batches."""
        client = LogClient(self.session, self.log_url)
        for start in range(0, len(values), APPEND_BATCH):
            await client.append(stream, values[start : start + APPEND_BATCH])

    async def list_host(self, host: str, address: str, role: str, service: str) -> None:
        """Put a host on the host list."""
        body = {"host": host, "address": address, "role": role, "service": service}
        body |= {"availability_zone": "zone-a", "region": "region-1"}
        async with self.session.put(f"{self.hosts_url}/v1/hosts", json=body) as resp:
            resp.raise_for_status()

    async def wait_status(self, url: str, is_reached) -> float:
        """Wait until the status of a daemon satisfies a check; return the seconds."""
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        async with asyncio.timeout(READY_SECONDS):
            while True:
                try:
                    async with self.session.get(f"{url}/v1/status") as resp:
                        if is_reached(await resp.json()):
                            return loop.time() - begun_at
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def _answers(self, url: str) -> None:
        async with asyncio.timeout(READY_SECONDS):
            while True:
                try:
                    async with self.session.get(url) as resp:
                        if resp.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Stop every process that this object started."""
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                process.send(signal.SIGKILL)
                process.popen.wait()


def document_value(kind: str, document: Document, expected: int = 0) -> bytes:
    """Return the configuration record of a document."""
    name = document_name(document)
    body = encode_document(document)
    change_id = new_identifier("chg")
    return encode_record(
        ConfigurationChange(change_id, kind, name, expected, body, "capacity")
    )


def fit(points: list[tuple[float, float]]) -> dict[str, object]:
    """Return the least-squares line through points, with the error of its slope."""
    x, y = numpy.array(points, dtype=float).T
    matrix = numpy.vstack([x, numpy.ones(len(x))]).T
    (slope, intercept), *_ = numpy.linalg.lstsq(matrix, y, rcond=None)
    residuals = y - (slope * x + intercept)
    spread = float(((x - x.mean()) ** 2).sum())
    error = float("nan")
    if len(x) > 2 and spread > 0:
        error = float((residuals @ residuals / (len(x) - 2) / spread) ** 0.5)
    return {
        "slope": _significant(slope),
        "standard_error": _significant(error),
        "intercept": _significant(intercept),
        "points": [[_significant(a), _significant(b)] for a, b in points],
    }


def fits(rows: list[Result], size: str, names: tuple[str, ...]) -> Result:
    """Fit a line to each named figure over a size."""
    return {
        name: fit([(row[size], row[name]) for row in rows])
        for name in names
        if all(name in row for row in rows)
    }


def _significant(value: float) -> float:
    return float(f"{value:.4g}")


def linked_agents(status: dict) -> int:
    """Return how many links to agents the status of an entry shows as up."""
    return sum(agent["link_up"] for agent in status["agents"].values())


def quantiles(values: list[float]) -> dict[str, float]:
    """Return median and 95th percentile."""
    ordered = sorted(values)
    return {
        "p50": _significant(statistics.median(ordered)),
        "p95": _significant(ordered[int(len(ordered) * 0.95)]),
    }
