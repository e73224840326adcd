"""Tests of the follower and of publication."""

import asyncio

import pytest

from ...core import AppendFault, LogError, ManualTimerService, MemoryLog
from .. import (
    ConfigurationChange,
    ConfigurationView,
    DocumentError,
    Drain,
    PublishStatus,
    Stage,
    StreamFollower,
    Template,
    encode_document,
    publish,
)


class _Peer:
    """Snapshot source over another follower."""

    def __init__(self, follower):
        self.follower = follower

    async def snapshot(self, stream, position):
        return self.follower.view.export()

    async def records(self, stream, offset):
        return self.follower.recent.since(offset)


def _change(change_id, expected=0, name="h"):
    body = encode_document(Drain(name, change_id))
    return ConfigurationChange(change_id, "drain", name, expected, body)


def _follower(log, timers, source=None):
    return StreamFollower(log, ConfigurationView("fleet"), timers, source=source)


async def _run_ready_tasks():
    for _ in range(20):
        await asyncio.sleep(0)


class TestFollower:
    """A follower knows when it is at the end of its stream."""

    def test_synchronised_after_a_pause(self):
        """Guards against a paused daemon that works on an outdated view."""
        timers = ManualTimerService()
        log = MemoryLog(timers)
        follower = _follower(log, timers)
        changed = []
        follower.subscribe(changed.append)

        async def scenario():
            assert not follower.synchronised
            await publish(log, ConfigurationView("fleet"), _change("c1"))
            await follower.read_once()
            assert follower.synchronised
            timers.advance(3.0)
            assert follower.read_age_s() == 3.0
            waiting = asyncio.ensure_future(follower.read_once())
            await asyncio.sleep(0)
            follower.mark_paused()
            timers.advance(10.0)
            await waiting
            # The read began before the pause.
            assert not follower.synchronised
            assert follower.read_age_s() == float("inf")
            await follower.read_once()
            assert follower.synchronised

        asyncio.run(scenario())
        assert changed == [{("drain", "h")}]

    def test_log_unavailable_at_startup(self):
        """Guards against a daemon that cannot start while the log is unavailable."""
        timers = ManualTimerService()
        log = MemoryLog(timers)
        peer = _follower(log, timers)

        async def scenario():
            await publish(log, peer, _change("c1"))
            log.available = False
            follower = _follower(log, timers, _Peer(peer))
            task = asyncio.ensure_future(follower.run())
            await _run_ready_tasks()
            assert follower.synchronised and follower.position == 1
            log.available = True
            await publish(log, peer, _change("c2", 1))
            timers.advance(10.0)
            await _run_ready_tasks()
            task.cancel()
            return follower.position

        assert asyncio.run(scenario()) == 2

    def test_behind_a_peer(self):
        """Guards against a change that waits for a slow log."""
        timers = ManualTimerService()
        log = MemoryLog(timers)
        peer = _follower(log, timers)

        async def scenario():
            await publish(log, peer, _change("c1"))
            follower = _follower(log, timers, _Peer(peer))
            await follower.read_once()
            await publish(log, peer, _change("c2", 1))
            task = asyncio.ensure_future(follower.run_catch_up())
            follower.note_peer_position(peer.position)
            await _run_ready_tasks()
            timers.advance(1.0)
            await _run_ready_tasks()
            task.cancel()
            return follower.view.version("drain", "h")

        assert asyncio.run(scenario()) == 2


class TestPublish:
    """The publisher learns the result of its change."""

    @pytest.mark.parametrize(
        ("fault", "status"),
        [
            (None, PublishStatus.ACCEPTED),
            (AppendFault.REPLY_LOST, PublishStatus.ACCEPTED),
            (AppendFault.LOST_BEFORE_EFFECT, PublishStatus.ACCEPTED),
            (AppendFault.REFUSED, PublishStatus.UNAVAILABLE),
        ],
    )
    def test_append_faults(self, fault, status):
        """Guards against a lost acknowledgement that is reported as a failure."""
        log = MemoryLog(ManualTimerService())
        log.append_faults = [fault]
        view = ConfigurationView("fleet")
        result = asyncio.run(publish(log, view, _change("c1")))
        assert result.status is status
        assert log.append_count == (status is PublishStatus.ACCEPTED)

    def test_conflict_names_the_winner(self):
        """Guards against two operators who both believe that they won."""
        log = MemoryLog(ManualTimerService())

        async def scenario():
            await publish(log, ConfigurationView("fleet"), _change("c1"))
            return await publish(log, ConfigurationView("fleet"), _change("c2"))

        result = asyncio.run(scenario())
        assert (result.status, result.version) == (PublishStatus.CONFLICT, 1)

    def test_unreadable_log_is_uncertain(self):
        """Guards against a claim about a change that nobody has read."""

        class _WriteOnly(MemoryLog):
            async def read(self, *args, **options):
                raise LogError("log service is down")

        log = _WriteOnly(ManualTimerService())
        result = asyncio.run(publish(log, ConfigurationView("fleet"), _change("c")))
        assert result.status is PublishStatus.UNCERTAIN

    def test_invalid_document(self):
        """Guards against an invalid template that reaches the log."""
        log = MemoryLog(ManualTimerService())
        body = encode_document(Template("t", (Stage("a", "unknown", "op"),)))
        change = ConfigurationChange("c", "template", "t", 0, body)
        with pytest.raises(DocumentError):
            asyncio.run(publish(log, ConfigurationView("fleet"), change))
        assert log.append_count == 0
