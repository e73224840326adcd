"""Processes that share one log in memory, for the tests of claims."""

import asyncio

from ...core import LogError, ManualTimerService, MemoryLog
from .. import (
    ClaimAppender,
    ClaimFollower,
    ClaimKey,
    ClaimLedger,
    StartCoordinator,
    VoidCoordinator,
)

LIFETIME_MS = 60_000
BODY = b"b" * 16
OTHER_BODY = b"o" * 16


class LateLog(MemoryLog):
    """Memory log whose next append may take effect after its reply was lost."""

    late_s = 0.0

    async def append(self, stream, values):
        if not self.late_s:
            return await super().append(stream, values)
        self._timers.call_after(self.late_s, lambda: self._store(stream, values))
        self.late_s = 0.0
        raise LogError("no reply to append", code="append_uncertain")


class Process:
    """One daemon: appender, follower, ledger and both coordinators."""

    def __init__(self, world, name):
        timers, log = world.timers, world.log
        self.ledger = ClaimLedger(LIFETIME_MS, margin_ms=5_000)
        self.appender = ClaimAppender(log, timers)
        self.follower = ClaimFollower(log, self.ledger, timers)
        self.task = world.loop.create_task(self.follower.run())
        parts = (self.appender, self.follower, timers)
        self.starts = StartCoordinator(*parts, host=name, incarnation=name)
        self.voids = VoidCoordinator(*parts, host=name)

    async def kill(self):
        """End all work of the process at once."""
        self.task.cancel()
        await self.appender.close()
        await self.starts.close()


class World:
    """Event loop, manual clock, log and processes; every step settles the loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.timers = ManualTimerService(1000.0)
        self.log = LateLog(self.timers, retention_s=120.0)
        self.processes = []

    def process(self, name):
        self.processes.append(Process(self, name))
        self.settle()
        return self.processes[-1]

    def key(self, number):
        return ClaimKey(bytes([number]) * 16, int(self.timers.now() * 1000))

    def settle(self):
        async def turns():
            for _ in range(40):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turns())

    def start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.settle()
        return task

    def call(self, function, *args):
        async def inside():
            return function(*args)

        reply = self.loop.run_until_complete(inside())
        self.settle()
        return reply

    def advance(self, seconds, steps=8):
        for _ in range(steps):
            self.timers.advance(seconds / steps)
            self.settle()

    def run(self, coroutine, seconds=4.0):
        """Return the result of a coroutine that ends within ``seconds``."""
        task = self.start(coroutine)
        if not task.done():
            self.advance(seconds, steps=int(seconds * 10))
        return task.result()

    def kill(self, process):
        self.processes.remove(process)
        self.loop.run_until_complete(process.kill())

    def close(self):
        for process in list(self.processes):
            self.kill(process)
        self.settle()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()
