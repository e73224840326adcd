"""Requests that arrive before this gateway can serve them.

Load pattern: all gateways are killed and start again at the same time. Callers connect
at once, while configuration and registrations are still being read, which takes up to
two seconds over a narrow link. A refusal then costs a caller one of its few retries
although the gateway is about to be ready.

A request that arrives after a pause of the process does not wait: if the store does not
confirm the known records in time, they are used although they may be outdated, and a
refusal lets the caller turn to another gateway.
"""

import asyncio
from collections.abc import Callable

from ..core import Subscription, TimerService, with_timeout

# Share of a request's time for which it waits. Enough is left to run it, or for the
# caller to return after a refusal.
MAX_WAIT_SHARE = 0.4
# Start-up takes less time unless the store is unavailable, which may last for long.
MAX_WAIT_SECONDS = 2.0
POLL_SECONDS = 0.02
# Bounds the memory of a gateway that can't become ready.
MAX_WAITING_REQUESTS = 512


class ReadinessGate:
    """Lets requests wait for a limited time until the gateway is ready.

    Parameters
    ----------
    is_ready : callable
        Returns whether requests can be served now.

    Attributes
    ----------
    waiting : int
        Number of requests that wait.
    """

    __slots__ = ("_is_ready", "_poll", "_ready", "_timers", "waiting")

    def __init__(self, is_ready: Callable[[], bool], timers: TimerService):
        self._is_ready = is_ready
        self._timers = timers
        self._ready = asyncio.Event()
        self._poll: Subscription | None = None
        self.waiting = 0

    async def wait(self, left_s: float) -> bool:
        """Wait until the gateway is ready; return whether it is.

        Parameters
        ----------
        left_s : float
            Time in seconds until the deadline of the request.
        """
        if self._is_ready():
            return True
        wait_s = min(MAX_WAIT_SECONDS, left_s * MAX_WAIT_SHARE)
        if wait_s <= 0.0 or self.waiting >= MAX_WAITING_REQUESTS:
            return False
        self.waiting += 1
        if self._poll is None:
            self._ready.clear()
            self._poll = self._timers.subscribe(POLL_SECONDS, self._check)
        try:
            await with_timeout(self._timers, self._ready.wait(), wait_s)
        except TimeoutError:
            pass
        finally:
            self.waiting -= 1
            if not self.waiting:
                self._stop_polling()
        return self._is_ready()

    def _check(self) -> None:
        if self._is_ready():
            self._stop_polling()
            self._ready.set()

    def _stop_polling(self) -> None:
        if self._poll is not None:
            self._poll.cancel()
            self._poll = None
