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

    A coroutine runs in the calling task, not in one of its own. So a result can't be
    lost between two tasks: a cancellation either arrives inside the coroutine, which
    then still owns what it has acquired, or after the caller has the result. A result
    that is there at the timeout is returned.

    Raises
    ------
    TimeoutError
        If there is no result in time.
    """
    current = asyncio.current_task()
    cancellations = current.cancelling()
    timed_out = False

    def expire() -> None:
        nonlocal timed_out
        if not (asyncio.isfuture(awaitable) and awaitable.done()):
            timed_out = True
            current.cancel()

    handle = timers.call_after(timeout_s, expire)
    try:
        result = await awaitable
    except asyncio.CancelledError:
        # If the calling task was itself cancelled, raise CancelledError; a caller that
        # handles TimeoutError would otherwise ignore its cancellation.
        if timed_out and current.uncancel() <= cancellations:
            raise TimeoutError(f"no result within {timeout_s} s") from None
        raise
    except BaseException:
        if timed_out:
            current.uncancel()
        raise
    finally:
        handle.cancel()
    if timed_out:
        current.uncancel()
    return result
