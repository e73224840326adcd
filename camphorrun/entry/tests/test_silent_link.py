"""Test of the time until an attempt on a silent link is given up."""

import asyncio

import pytest

from ...core import ManualTimerService
from ...messages import Hello, KeyRing, SharedKey
from ...metrics import Metrics
from ...transport import LinkDialer, LinkEvents
from ..agent_peer import LINK_LOSS_GRACE_SECONDS

DEADLINE_SECONDS = 4.0
# Time that a retry needs.
RETRY_SECONDS = 1.0


class _Busy(LinkEvents):
    def is_busy(self):
        return True


class _SilentLink:
    """Link that takes messages and never answers."""

    def __init__(self, timers):
        self._timers = timers
        self.aborted_at = None

    def send(self, _message):
        """Lose the message."""

    def abort(self):
        if self.aborted_at is None:
            self.aborted_at = self._timers.now()

    async def close(self):
        """Close nothing."""


class TestSilentLink:
    """A silent link leaves time for a retry elsewhere."""

    @pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.2, 0.24])
    def test_attempt_is_given_up_in_time(self, phase_s):
        """Guards against an attempt whose deadline passes on a half-open link."""
        timers = ManualTimerService()
        ring = KeyRing((SharedKey(1, b"k" * 16),))
        local = Hello("e", "a", "entry", "i", b"")
        dialer = LinkDialer(
            None,
            "127.0.0.1:9",
            ring,
            local,
            timers,
            Metrics(),
            events=_Busy(),
            handler=lambda _link, _message: None,
        )
        link = _SilentLink(timers)

        async def connect():
            timers.advance(phase_s)
            dialer.dial()
            dialer._become_up(link, local)
            await asyncio.get_running_loop().create_future()

        dialer._run_once = connect

        async def scenario():
            running = asyncio.ensure_future(dialer.run())
            await asyncio.sleep(0)
            started_at = timers.now()
            timers.advance(2 * DEADLINE_SECONDS)
            running.cancel()
            await asyncio.wait([running])
            lost_s = link.aborted_at - started_at + LINK_LOSS_GRACE_SECONDS
            assert lost_s <= DEADLINE_SECONDS - RETRY_SECONDS

        asyncio.run(scenario())
