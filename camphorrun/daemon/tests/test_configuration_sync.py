"""Tests of a daemon's configuration while the log fails or the process pauses."""

import asyncio

from ...claims import ClaimFollower, ClaimLedger
from ...configuration import (
    ConfigurationChange,
    ConfigurationView,
    Drain,
    encode_document,
    encode_record,
)
from ...core import ManualTimerService, MemoryLog, Supervisor
from ...metrics import Metrics
from .. import ConfigurationSync

# A change must be in effect everywhere within this time.
TARGET_SECONDS = 3.0
LONG_PAUSE_SECONDS = 600.0


def _change(name):
    body = encode_document(Drain(name, "r"))
    return encode_record(ConfigurationChange(f"c-{name}", "drain", name, 0, body))


class _Peer:
    """Snapshot source over the followers of another daemon."""

    def __init__(self):
        self.view = ConfigurationView("fleet")
        self.asker = None
        self.reachable = True

    async def snapshot(self, stream, position):
        if not self.reachable:
            return None
        self.asker.note_peer_answer(stream, self.view.position)
        return self.view.export() if self.view.position > position else None

    async def records(self, stream, offset):
        return ()


class _World:
    """A daemon's configuration, the log, and one peer that always reads the log."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.log = MemoryLog(self.timers)
        self.peer_log = MemoryLog(self.timers)
        self.peer = _Peer()
        self.metrics = Metrics()
        claims = ClaimFollower(self.log, ClaimLedger(), self.timers)
        self.sync = ConfigurationSync(
            self.log,
            ("fleet",),
            claims,
            self.peer,
            timers=self.timers,
            metrics=self.metrics,
        )
        self.peer.asker = self.sync
        self.supervisor = Supervisor("test", self.timers)

    async def publish(self, name, *, seen_by_peer=True):
        for log in (self.log, self.peer_log):
            available, log.available = log.available, True
            await log.append("fleet", [_change(name)])
            log.available = available
        if seen_by_peer:
            await self.peer_reads()

    async def peer_reads(self):
        offset = self.peer.view.position + 1
        self.peer.view.apply_page(await self.peer_log.read("fleet", offset))

    async def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.timers.advance(0.1)
            await settle()

    def pause(self):
        """Let time pass while no tick runs, as for a process that was stopped."""
        self.timers._now += LONG_PAUSE_SECONDS
        self.timers.advance(0.0)

    async def run(self, scenario):
        self.sync.start(self.supervisor)
        running = asyncio.ensure_future(self.supervisor.run())
        await settle()
        try:
            await scenario()
        finally:
            async with asyncio.timeout(10):
                await self.supervisor.stop()
                await running


async def settle():
    for _ in range(30):
        await asyncio.sleep(0)


class TestLogFailure:
    """Peers stand in for a log that does not answer."""

    def test_empty_daemon_becomes_ready_from_a_peer(self):
        """Guards against a host that can't be replaced during a log outage."""
        world = _World()
        world.log.available = False

        async def scenario():
            await world.publish("h1")
            await world.advance(TARGET_SECONDS)
            assert world.sync.synchronised
            assert world.sync.view("fleet").get("drain", "h1") is not None

        asyncio.run(world.run(scenario))

    def test_change_arrives_through_a_peer_in_time(self):
        """Guards against a change that waits for the end of a log outage."""
        world = _World()

        async def scenario():
            await world.publish("h1")
            await world.advance(1.0)
            world.log.available = False
            # The reader has backed off to its longest delay by now.
            await world.advance(60.0)
            await world.publish("h2")
            await world.advance(TARGET_SECONDS)
            assert world.sync.view("fleet").get("drain", "h2") is not None

        asyncio.run(world.run(scenario))

    def test_lower_snapshot_does_not_revert(self):
        """Guards against a change that a peer which is behind takes back."""
        world = _World()

        async def scenario():
            await world.publish("h1")
            await world.publish("h2", seen_by_peer=False)
            await world.advance(1.0)
            view = world.sync.view("fleet")
            assert view.position == 2
            old = world.peer.view.export()

            async def snapshot(stream, position):
                return old

            world.peer.snapshot = snapshot
            world.log.available = False
            await world.advance(10.0)
            assert view.position == 2
            assert view.get("drain", "h2") is not None

        asyncio.run(world.run(scenario))


class TestPause:
    """A process that was stopped takes no work before it knows the present state."""

    def test_paused_daemon_waits_for_a_read_to_the_end(self):
        """Guards against work on a view from before a long pause."""
        world = _World()
        states = []
        world.sync.subscribe_state(lambda: states.append(world.sync.synchronised))

        async def scenario():
            await world.publish("h1")
            await world.advance(1.0)
            assert world.sync.synchronised
            world.log.delay_s = 0.5
            world.pause()
            assert not world.sync.synchronised
            await world.advance(TARGET_SECONDS)
            assert world.sync.synchronised
            assert states == [True, False, True]

        asyncio.run(world.run(scenario))

    def test_half_open_read_from_before_the_pause_delays_nothing(self):
        """Guards against a host that is unready for the rest of its long poll."""
        world = _World()

        async def never(_kept, _wait_s):
            await asyncio.get_running_loop().create_future()

        async def scenario():
            await world.publish("h1")
            world.log._wait = never
            await world.advance(1.0)
            world.pause()
            assert not world.sync.synchronised
            await world.advance(TARGET_SECONDS)
            assert world.sync.synchronised

        asyncio.run(world.run(scenario))

    def test_peer_position_ends_the_pause_while_the_log_is_down(self):
        """Guards against readiness on an old view, and against none in an outage."""
        world = _World()

        async def scenario():
            await world.publish("h1")
            await world.advance(1.0)
            world.log.available = False
            world.peer.reachable = False
            await world.publish("h2")
            world.pause()
            await world.advance(10.0)
            # A heartbeat that waited in a socket since before the pause.
            world.sync.note_peer_positions({"fleet": 1})
            await world.advance(10.0)
            assert not world.sync.synchronised
            world.peer.reachable = True
            await world.advance(TARGET_SECONDS)
            assert world.sync.synchronised
            assert world.sync.view("fleet").get("drain", "h2") is not None

        asyncio.run(world.run(scenario))
