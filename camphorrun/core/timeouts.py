"""Timeouts that are measured by a timer service."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from .timers import TimerService

T = TypeVar("T")


async def with_timeout(
    timers: TimerService, awaitable: Awaitable[T], timeout_s: float
) -> T:
    """Return the result of ``awaitable``; cancel it if it takes longer.

    Raises
    ------
    TimeoutError
        If there is no result in time.
    """
    current = asyncio.current_task()
    cancellations = current.cancelling()
    task = asyncio.ensure_future(awaitable)
    timed_out = False

    def expire() -> None:
        nonlocal timed_out
        timed_out = not task.done()
        task.cancel()

    handle = timers.call_after(timeout_s, expire)
    try:
        return await task
    except asyncio.CancelledError:
        # If the calling task was itself cancelled, raise CancelledError; a caller that
        # handles TimeoutError would otherwise ignore its cancellation.
        if timed_out and current.cancelling() == cancellations:
            raise TimeoutError(f"no result within {timeout_s} s") from None
        raise
    finally:
        handle.cancel()
