"""Tests of the configuration of a daemon during log outages and process pauses."""

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

# Time within which a change must be in effect on every host.
CHANGE_DEADLINE_SECONDS = 3.0
LONG_PAUSE_SECONDS = 600.0


def _change(name):
    body = encode_document(Drain(name, "r"))
    return encode_record(ConfigurationChange(f"c-{name}", "drain", name, 0, body))


class _Peer:
    """Snapshot source that serves the configuration of another daemon."""

    def __init__(self):
        self.view = ConfigurationView("fleet")
        self.requester = None
        self.reachable = True

    async def snapshot(self, stream, position):
        if not self.reachable:
            return None
        self.requester.note_peer_answer(stream, self.view.position)
        return self.view.export() if self.view.position > position else None

    async def records(self, stream, offset):
        return ()


class _DaemonWithPeer:
    """Configuration of a daemon, the log service, and a peer that can read the log."""

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
        self.peer.requester = self.sync
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
            await run_ready_tasks()

    def pause(self):
        """Advance the time without running ticks, as if the process was suspended."""
        self.timers._now += LONG_PAUSE_SECONDS
        self.timers.advance(0.0)

    async def run(self, scenario):
        self.sync.start(self.supervisor)
        running = asyncio.ensure_future(self.supervisor.run())
        await run_ready_tasks()
        try:
            await scenario()
        finally:
            async with asyncio.timeout(10):
                await self.supervisor.stop()
                await running


async def run_ready_tasks():
    for _ in range(30):
        await asyncio.sleep(0)


class TestLogFailure:
    """Configuration from peers while the log service is unavailable."""

    def test_empty_daemon_becomes_ready_from_a_peer(self):
        """Guards against a new host that can't become ready during a log outage."""
        daemon = _DaemonWithPeer()
        daemon.log.available = False

        async def scenario():
            await daemon.publish("h1")
            await daemon.advance(CHANGE_DEADLINE_SECONDS)
            assert daemon.sync.synchronised
            assert daemon.sync.view("fleet").get("drain", "h1") is not None

        asyncio.run(daemon.run(scenario))

    def test_change_arrives_through_a_peer_in_time(self):
        """Guards against a change that takes effect only after a log outage."""
        daemon = _DaemonWithPeer()

        async def scenario():
            await daemon.publish("h1")
            await daemon.advance(1.0)
            daemon.log.available = False
            # By now the back-off of the reader has reached its longest delay.
            await daemon.advance(60.0)
            await daemon.publish("h2")
            await daemon.advance(CHANGE_DEADLINE_SECONDS)
            assert daemon.sync.view("fleet").get("drain", "h2") is not None

        asyncio.run(daemon.run(scenario))

    def test_lower_snapshot_does_not_revert(self):
        """Guards against a snapshot of a lagging peer that reverts a change."""
        daemon = _DaemonWithPeer()

        async def scenario():
            await daemon.publish("h1")
            await daemon.publish("h2", seen_by_peer=False)
            await daemon.advance(1.0)
            view = daemon.sync.view("fleet")
            assert view.position == 2
            old = daemon.peer.view.export()

            async def snapshot(stream, position):
                return old

            daemon.peer.snapshot = snapshot
            daemon.log.available = False
            await daemon.advance(10.0)
            assert view.position == 2
            assert view.get("drain", "h2") is not None

        asyncio.run(daemon.run(scenario))


class TestPause:
    """A resumed process isn't ready before it has read the current state."""

    def test_paused_daemon_waits_for_a_read_to_the_end(self):
        """Guards against work with a configuration from before a long pause."""
        daemon = _DaemonWithPeer()
        states = []
        daemon.sync.subscribe_state(lambda: states.append(daemon.sync.synchronised))

        async def scenario():
            await daemon.publish("h1")
            await daemon.advance(1.0)
            assert daemon.sync.synchronised
            daemon.log.delay_s = 0.5
            daemon.pause()
            assert not daemon.sync.synchronised
            await daemon.advance(CHANGE_DEADLINE_SECONDS)
            assert daemon.sync.synchronised
            assert states == [True, False, True]

        asyncio.run(daemon.run(scenario))

    def test_hanging_read_from_before_the_pause_does_not_delay(self):
        """Guards against waiting for a long poll that began before the pause.

        Its connection may be dead, so that it would end only at its timeout.
        """
        daemon = _DaemonWithPeer()

        async def wait_forever(_kept, _wait_s):
            await asyncio.get_running_loop().create_future()

        async def scenario():
            await daemon.publish("h1")
            daemon.log._wait_for_append = wait_forever
            await daemon.advance(1.0)
            daemon.pause()
            assert not daemon.sync.synchronised
            await daemon.advance(CHANGE_DEADLINE_SECONDS)
            assert daemon.sync.synchronised

        asyncio.run(daemon.run(scenario))

    def test_peer_position_ends_the_pause_while_the_log_is_down(self):
        """Guards against readiness with an old configuration during a log outage.

        Also guards against a host that never becomes ready during the outage although
        a peer has the current configuration.
        """
        daemon = _DaemonWithPeer()

        async def scenario():
            await daemon.publish("h1")
            await daemon.advance(1.0)
            daemon.log.available = False
            daemon.peer.reachable = False
            await daemon.publish("h2")
            daemon.pause()
            await daemon.advance(10.0)
            # A heartbeat from before the pause, which was buffered in a socket.
            daemon.sync.note_peer_positions({"fleet": 1})
            await daemon.advance(10.0)
            assert not daemon.sync.synchronised
            daemon.peer.reachable = True
            await daemon.advance(CHANGE_DEADLINE_SECONDS)
            assert daemon.sync.synchronised
            assert daemon.sync.view("fleet").get("drain", "h2") is not None

        asyncio.run(daemon.run(scenario))
