"""Requests that crash replicas, and sound ones beside them, for tests of gateways."""

import asyncio
from collections import Counter

from ...http1 import HttpError
from ...quarantine import Block, part_fingerprint
from .cluster import LocalCluster

# The platform's rule: at most this many requests reach replicas after the settling
# time, which starts at the crash from which on the rule holds. The real one is longer.
MAX_LATE_ARRIVALS = 3
SETTLE_SECONDS = 1.0
PART_CRASHES = 5
# Sound requests that share parts with deadly ones are served at least this often.
MIN_SERVED_SHARE = 0.9
# Status of a request whose answer broke off.
BROKEN_OFF = 0
DEADLY_PART = "dead"
REQUEST_CRASHES = 3
DEADLY_BODY = b"deadly"
MODEL = "X-Model: m"


def prompt(*parts: str) -> str:
    return "X-Prefix-Hash: " + ",".join(f"{part}:100" for part in parts)


def crash_times(cluster: LocalCluster) -> list[float]:
    return sorted(at for replica in cluster.replicas for at in replica.crashes)


def is_settled(cluster: LocalCluster, crash: int) -> bool:
    """Return whether the settling time after the crash of this number has passed."""
    times = crash_times(cluster)
    settled_s = cluster.timers.now() - SETTLE_SECONDS
    return len(times) >= crash and times[crash - 1] < settled_s


def late_arrivals(cluster: LocalCluster, crash: int) -> list[float]:
    """Return the arrivals of deadly requests that the platform's rule counts."""
    settled_at = crash_times(cluster)[crash - 1] + SETTLE_SECONDS
    return [
        at
        for replica in cluster.replicas
        for at in replica.deadly_arrivals
        if at > settled_at
    ]


class Traffic:
    """Requests to the gateways of a cluster, and their statuses by kind."""

    def __init__(self, cluster: LocalCluster):
        self._cluster = cluster
        self._tasks: list[asyncio.Task] = []
        self.statuses: Counter[tuple[str, int]] = Counter()

    def send(self, kind: str, path: str, *lines: str, **options) -> None:
        """Start a request; its status is counted under ``kind``."""
        task = self._send(kind, path, *lines, **options)
        self._tasks.append(asyncio.ensure_future(task))

    async def _send(self, kind: str, path: str, *lines: str, **options) -> None:
        try:
            answer = await self._cluster.send_request(path, *lines, **options)
            self.statuses[kind, answer.status] += 1
        except HttpError:
            self.statuses[kind, BROKEN_OFF] += 1

    async def finish(self) -> None:
        """Wait for all requests."""
        await asyncio.gather(*self._tasks)

    def served_share(self, kind: str) -> float:
        """Return the share of the requests of a kind that were answered with 200."""
        total = sum(n for (name, _), n in self.statuses.items() if name == kind)
        return self.statuses[kind, 200] / total


async def send_parts(cluster: LocalCluster, seconds: float, gap_s: float) -> Traffic:
    """Send sound requests, and every third time one with the deadly part."""
    traffic = Traffic(cluster)
    end_at = cluster.timers.now() + seconds
    number = 0
    while cluster.timers.now() < end_at:
        gateway = number % cluster.gateways
        number += 1
        sound = prompt("system", f"{number}s")
        kind = "sound, settled" if is_settled(cluster, PART_CRASHES) else "sound"
        traffic.send(kind, "/resume/x", MODEL, sound, gateway=gateway)
        if number % 3 == 0:
            deadly = prompt("system", DEADLY_PART, f"{number}d")
            gateway = number // 3 % cluster.gateways
            traffic.send("deadly", "/resume/x", MODEL, deadly, gateway=gateway)
        await asyncio.sleep(gap_s)
    await traffic.finish()
    return traffic


async def send_bodies(
    cluster: LocalCluster, path: str, *lines: str, seconds: float
) -> Traffic:
    """Send requests with different bodies, and every third time the deadly one."""
    traffic = Traffic(cluster)
    end_at = cluster.timers.now() + seconds
    number = 0
    while cluster.timers.now() < end_at:
        gateway = number % cluster.gateways
        number += 1
        settled = is_settled(cluster, REQUEST_CRASHES)
        kind = "sound, settled" if settled else "sound"
        body = f"body {number}".encode()
        traffic.send(kind, path, *lines, gateway=gateway, body=body)
        if number % 3 == 0:
            gateway = number // 3 % cluster.gateways
            traffic.send("deadly", path, *lines, gateway=gateway, body=DEADLY_BODY)
        await asyncio.sleep(0.05)
    await traffic.finish()
    return traffic


CAUSE = frozenset({part_fingerprint(DEADLY_PART)})
DEADLY_LINES = MODEL, prompt("system", DEADLY_PART, "own")


def block(cluster: LocalCluster, *gateways: int, age_s: float = 0.0) -> None:
    """Block the deadly part at some gateways, as if that had happened earlier."""
    at = cluster.timers.now() - age_s
    for gateway in gateways:
        cluster.daemons[gateway].state.quarantine.block(CAUSE, Block(at, at))


def crashes_known_to(cluster: LocalCluster, gateway: int) -> int:
    evidence = cluster.daemons[gateway].state.quarantine.evidence
    return len(evidence.crashes_since(float("-inf")))
