"""Processes that share one log in memory, for the tests of claims."""

import asyncio

from ...core import LogError, ManualTimerService, MemoryLog
from .. import ClaimKey, ClaimParticipant

LIFETIME_MS = 60_000
BODY = b"b" * 16
OTHER_BODY = b"o" * 16


class LateLog(MemoryLog):
    """Memory log whose next append may take effect after its reply was lost."""

    late_s = 0.0

    async def append(self, stream, values):
        if not self.late_s:
            return await super().append(stream, values)
        self._timers.call_after(
            self.late_s, lambda: self._append_records(stream, values)
        )
        self.late_s = 0.0
        raise LogError("no reply to append", code="append_uncertain")


class World:
    """Event loop, manual clock, log and processes; every step settles the loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.timers = ManualTimerService(1000.0)
        self.log = LateLog(self.timers, retention_s=120.0)
        self.processes = {}

    def process(self, name):
        process = ClaimParticipant(
            self.log,
            self.timers,
            host=name,
            incarnation=name,
            lifetime_ms=LIFETIME_MS,
            margin_ms=5_000,
        )
        self.processes[process] = self.start(process.run())
        return process

    def key(self, number):
        return ClaimKey(bytes([number]) * 16, int(self.timers.now() * 1000))

    def settle(self, turns=40):
        async def run_turns():
            for _ in range(turns):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_turns())

    def start(self, coroutine, settles=True):
        task = self.loop.create_task(coroutine)
        if settles:
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

    def claim(self, key):
        return self.run(self.agent.starts.acquire(key, BODY, "attempt"))

    def kill(self, process):
        self.processes.pop(process).cancel()
        self.loop.run_until_complete(process.close())

    def close(self):
        for process in list(self.processes):
            self.kill(process)
        self.settle()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()
