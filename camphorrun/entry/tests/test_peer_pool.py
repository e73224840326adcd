"""Tests of announcements: they add agents and never replace a live link."""

import asyncio
from dataclasses import replace

from ...clients import HostEntry
from ...core import ManualTimerService
from ...messages import Hello, KeyRing, SharedKey
from ...metrics import Metrics
from ...relay import Announce
from .. import peer_pool
from ..peer_pool import UNLISTED_GRACE_SECONDS, PeerPool

_OLD = Announce("h", "127.0.0.1:1001", "agent", "echo", "a", "inc-old")
_NEW = replace(_OLD, address="127.0.0.1:1002", incarnation="inc-new")


class _Dialer:
    """Dialer whose links the test raises and cuts."""

    def __init__(self, _session, address, *_args, events, **_options):
        self.address = address
        self.events = events

    async def run(self):
        await asyncio.Event().wait()

    def up(self, incarnation):
        self.events.link_up(None, Hello("h", "a", "agent", incarnation, b""))


def run(monkeypatch, case):
    monkeypatch.setattr(peer_pool, "LinkDialer", _Dialer)

    async def scenario():
        timers = ManualTimerService()
        metrics = Metrics()
        ring = KeyRing((SharedKey(1, b"k" * 16),))
        local = Hello("e", "a", "entry", "inc-e", b"")
        pool = PeerPool(None, ring, local, timers, metrics, positions=dict)
        try:
            case(pool, timers, metrics)
        finally:
            await pool.close()

    asyncio.run(scenario())


def addresses(pool):
    return [peer.listed.address for peer in pool.of_service("echo")]


class TestAnnouncement:
    """Links decide; the host list and announcements only propose addresses."""

    def test_replay_does_not_replace_a_live_link(self, monkeypatch):
        """Guards against a replayed announcement that cuts off a live agent."""

        def case(pool, _timers, metrics):
            assert pool.announce(_OLD)
            pool.all()[0].dialer.up("inc-old")
            pool.all()[0].link_down("closed")
            assert pool.announce(_NEW)
            pool.all()[0].dialer.up("inc-new")
            assert not pool.announce(_OLD)
            assert not pool.announce(replace(_OLD, incarnation="inc-older"))
            pool.all()[0].link_down("closed")
            assert not pool.announce(_OLD)
            assert addresses(pool) == [_NEW.address]
            dropped = metrics.drops.labels("announce_outdated")._value.get()
            assert dropped == 2

        run(monkeypatch, case)

    def test_unlisted_agent_stays_while_its_link_is_up(self, monkeypatch):
        """Guards against a list that lags for long and removes a live agent."""

        def case(pool, timers, _metrics):
            pool.announce(_NEW)
            pool.update(())
            assert addresses(pool) == [_NEW.address]
            pool.all()[0].dialer.up("inc-new")
            timers.advance(10 * UNLISTED_GRACE_SECONDS)
            pool.update(())
            assert addresses(pool) == [_NEW.address]
            pool.all()[0].link_down("closed")
            timers.advance(UNLISTED_GRACE_SECONDS)
            pool.update(())
            assert addresses(pool) == []

        run(monkeypatch, case)

    def test_live_link_outlasts_an_outdated_listed_address(self, monkeypatch):
        """Guards against a list with an old address that cuts off a live agent."""
        listed = HostEntry("h", _OLD.address, "agent", "a", service="echo")

        def case(pool, timers, _metrics):
            pool.update((listed,))
            assert pool.announce(_NEW)
            pool.all()[0].dialer.up("inc-new")
            pool.update((listed,))
            assert addresses(pool) == [_NEW.address]
            pool.all()[0].link_down("closed")
            timers.advance(UNLISTED_GRACE_SECONDS)
            pool.update((listed,))
            assert addresses(pool) == [_OLD.address]

        run(monkeypatch, case)

    def test_invalid_announcement_is_refused(self, monkeypatch):
        """Guards against a link to something that is no address."""

        def case(pool, _timers, _metrics):
            assert not pool.announce(replace(_OLD, address="nowhere"))
            assert not pool.announce(replace(_OLD, role="entry"))
            assert pool.all() == []

        run(monkeypatch, case)
