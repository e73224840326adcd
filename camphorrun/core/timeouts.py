"""Timeouts that are measured by a timer service."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from .timers import TimerService

T = TypeVar("T")


async def with_timeout(
    timers: TimerService, awaitable: Awaitable[T], timeout_s: float
) -> T:
    """Return the result of ``awaitable``, cancelled after ``timeout_s`` seconds.

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
        # If the calling task is cancelled at the moment of the timeout, its own
        # cancellation takes precedence; otherwise the task would go on.
        if timed_out and current.cancelling() == cancellations:
            raise TimeoutError(f"no result within {timeout_s} s") from None
        raise
    finally:
        handle.cancel()
