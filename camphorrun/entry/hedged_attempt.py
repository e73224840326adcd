"""Two attempts of one idempotent stage, of which the first whole result counts."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..core import TimerService
from ..messages import ResultEnd
from .agent_peer import AttemptResult
from .errors import AttemptLostError

Result = AttemptResult | AttemptLostError
Attempt = Coroutine[Any, Any, Result]


class HedgedAttempt:
    """Runs a first attempt and, after a delay, a second one beside it.

    Parameters
    ----------
    timers : TimerService
        Clock.
    delay_s : float
        Time after which a second attempt is asked for.
    second : callable
        Returns the second attempt, or None if there is to be none.
    """

    def __init__(
        self,
        timers: TimerService,
        delay_s: float,
        second: Callable[[], Attempt | None],
    ):
        self._timers = timers
        self._delay_s = delay_s
        self._second = second

    async def run(self, first: Attempt) -> Result:
        """Return the first whole result, or the last one if both failed.

        The other attempt is cancelled, also when the caller is cancelled.
        """
        tasks = [asyncio.ensure_future(first)]
        timer = asyncio.ensure_future(self._timers.sleep(self._delay_s))
        try:
            await asyncio.wait({tasks[0], timer}, return_when=asyncio.FIRST_COMPLETED)
            if not tasks[0].done():
                second = self._second()
                if second is not None:
                    tasks.append(asyncio.ensure_future(second))
            return await _first_whole(tasks)
        finally:
            for task in (timer, *tasks):
                task.cancel()
            # The cancelled attempt tells its agent before the stage goes on.
            await asyncio.gather(timer, *tasks, return_exceptions=True)


async def _first_whole(tasks: list[asyncio.Task]) -> Result:
    waiting = set(tasks)
    while True:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        results = [task.result() for task in done]
        whole = [item for item in results if isinstance(item, ResultEnd) and item.ok]
        if whole:
            return whole[0]
        if not waiting:
            return results[0]
