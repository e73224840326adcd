"""A read whose result serves all callers that wait for it."""

import asyncio
from collections.abc import Awaitable, Callable


class SharedRead:
    """Runs one read at a time for all callers.

    A caller needs what holds when it calls, so only a read that begins later will do. A
    read that fails raises for the caller that has begun it; the next one reads again.

    Parameters
    ----------
    read : callable
        Coroutine function that reads.
    """

    def __init__(self, read: Callable[[], Awaitable[None]]):
        self._read = read
        self._lock = asyncio.Lock()
        # Number of reads that have begun, and of the last one that was complete.
        self._begun = 0
        self._last_complete = 0

    async def run(self) -> None:
        """Return once a read is complete that began after this call."""
        begun = self._begun
        async with self._lock:
            if self._last_complete > begun:
                return
            self._begun += 1
            number = self._begun
            await self._read()
            self._last_complete = number
