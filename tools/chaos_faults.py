"""Faults of a chaos run: kills, pauses, graceful stops, and a failing log service."""

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter

import aiohttp

from .chaos_system import System

RESTART_SECONDS = 0.5
TERMINATE_SECONDS = 60.0


class Injector:
    """Injects faults at random until the end of a run.

    Two faults may be active at the same time, since ``run`` is started twice.
    """

    KINDS = (
        "kill",
        "kill",
        "pause",
        "pause",
        "terminate",
        "pause_log",
        "log_down",
        "log_slow",
        "lose_replies",
        "stall_endpoint",
    )

    def __init__(
        self, system: System, session: aiohttp.ClientSession, counts: Counter, seed: int
    ):
        self.system = system
        self.session = session
        self.counts = counts
        self.rng = random.Random(seed)
        self.busy: set[str] = set()

    async def run(self, until: float) -> None:
        """Inject one fault after another."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            kind = self.rng.choice(self.KINDS)
            self.counts[f"fault_{kind}"] += 1
            await getattr(self, kind)()

    @contextlib.contextmanager
    def daemon(self):
        """Reserve a random daemon, so that no two faults hit the same process."""
        candidates = [*self.system.agents, *self.system.entries]
        idle = [each for each in candidates if each.name not in self.busy]
        process = self.rng.choice(idle)
        self.busy.add(process.name)
        try:
            yield process
        finally:
            self.busy.discard(process.name)

    async def kill(self) -> None:
        """Kill a daemon and start it again."""
        with self.daemon() as process:
            process.stop()
            await asyncio.sleep(RESTART_SECONDS)
            process.start()

    async def pause(self) -> None:
        """Stop a daemon for a while."""
        with self.daemon() as process:
            process.send(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            process.send(signal.SIGCONT)

    async def terminate(self) -> None:
        """Stop a daemon gracefully and start it again; it must exit with 0."""
        with self.daemon() as process:
            process.send(signal.SIGTERM)
            deadline = time.monotonic() + TERMINATE_SECONDS
            while process.popen.poll() is None and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            if process.popen.poll() != 0:
                self.counts["bad_exit"] += 1
            process.stop()
            process.start()

    async def pause_log(self) -> None:
        """Stop the log service for a while."""
        process = self.system.platform[0]
        if process.name in self.busy:
            return
        self.busy.add(process.name)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        process.send(signal.SIGCONT)
        self.busy.discard(process.name)

    async def log_down(self) -> None:
        """Let the log service refuse every call for a while."""
        await self.log_fault({"available": False}, self.rng.uniform(1.0, 6.0))

    async def log_slow(self) -> None:
        """Let the log service answer slowly for a while."""
        await self.log_fault({"delay_s": 1.0}, self.rng.uniform(1.0, 6.0))

    async def lose_replies(self) -> None:
        """Let replies to appends be lost, some after the append took effect."""
        kinds = ("reply_lost", "lost_before_effect")
        faults = [self.rng.choice(kinds) for _ in range(10)]
        await self.log_fault({"appends": faults}, 2.0)

    async def log_fault(self, faults: dict, seconds: float) -> None:
        """Set faults of the log service and clear them after a while."""
        url = f"{self.system.log_url}/v1/faults"
        for body in (faults, {}):
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(url, json=body):
                    pass
            if body:
                await asyncio.sleep(seconds)

    async def stall_endpoint(self) -> None:
        """Let an endpoint stop answering for a while."""
        url = f"{self.rng.choice(self.system.endpoint_urls)}/v1/profile"
        for stalled in (True, False):
            async with self.session.post(url, json={"stalled": stalled}):
                pass
            if stalled:
                await asyncio.sleep(self.rng.uniform(1.0, 5.0))
