"""Tests of hedged attempts."""

import asyncio

from ...core import LoopTimerService
from ...messages import AttemptId, NotStarted, ResultEnd
from ..hedged_attempt import HedgedAttempt

_FIRST = AttemptId("req", 0, 1)
_SECOND = AttemptId("req", 0, 2)


class _Attempt:
    """An attempt with a given result after a given time."""

    def __init__(self, seconds: float, result: object):
        self._seconds = seconds
        self._result = result
        self.cancelled = False

    async def run(self) -> object:
        try:
            await asyncio.sleep(self._seconds)
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        return self._result


def _run(first: _Attempt, second: _Attempt | None) -> object:
    async def scenario() -> object:
        hedged = HedgedAttempt(
            LoopTimerService(), 0.01, lambda: second and second.run()
        )
        return await asyncio.wait_for(hedged.run(first.run()), 20)

    return asyncio.run(scenario())


class TestHedgedAttempt:
    """The first whole result counts and the other attempt is cancelled."""

    def test_second_wins_and_first_is_cancelled(self):
        """Guards against a loser that keeps its endpoint busy."""
        first = _Attempt(10.0, ResultEnd(_FIRST, True))
        second = _Attempt(0.0, ResultEnd(_SECOND, True))
        assert _run(first, second).attempt == _SECOND
        assert first.cancelled

    def test_failure_of_one_waits_for_the_other(self):
        """Guards against a quick refusal that hides a whole result."""
        first = _Attempt(0.1, ResultEnd(_FIRST, True))
        second = _Attempt(0.0, NotStarted(_SECOND, "queue_full"))
        assert _run(first, second).attempt == _FIRST

    def test_without_budget_the_first_goes_on(self):
        """Guards against a refused hedge that ends the attempt."""
        assert _run(_Attempt(0.05, ResultEnd(_FIRST, True)), None).attempt == _FIRST

    def test_cancellation_reaches_both(self):
        """Guards against attempts that outlive a caller who disconnected."""
        attempts = [_Attempt(10.0, None), _Attempt(10.0, None)]

        async def scenario() -> None:
            hedged = HedgedAttempt(LoopTimerService(), 0.0, attempts[1].run)
            task = asyncio.ensure_future(hedged.run(attempts[0].run()))
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.wait({task}, timeout=20)

        asyncio.run(scenario())
        assert [attempt.cancelled for attempt in attempts] == [True, True]
