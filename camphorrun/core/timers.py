"""Timer services: clock, delayed callbacks and periodic callbacks.

All components take their time from a timer service. Daemons use ``LoopTimerService``;
tests use ``ManualTimerService``, whose time advances only on request.
"""

import asyncio
import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

Callback = Callable[[], None]

PAUSE_TICK_SECONDS = 0.25
# An interval between two ticks of at least this length means that the process was
# suspended.
PAUSE_THRESHOLD_SECONDS = 2.0


class TimerHandle:
    """A delayed callback that can be cancelled.

    A timer service sets ``on_cancel`` to remove the callback from its own queue on
    cancellation.
    """

    __slots__ = ("_callback", "cancelled", "on_cancel", "when")

    def __init__(self, when: float, callback: Callback):
        self.when = when
        self._callback = callback
        self.cancelled = False
        self.on_cancel: Callback | None = None

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.cancelled = True
        if self.on_cancel is not None:
            self.on_cancel()

    def fire(self) -> None:
        """Run the callback unless it was cancelled."""
        if not self.cancelled:
            self._callback()


class Subscription:
    """A periodic callback of a timer service."""

    __slots__ = ("_callback", "_handle", "_interval_s", "_timers")

    def __init__(self, timers: "TimerService", interval_s: float, callback: Callback):
        self._timers = timers
        self._interval_s = interval_s
        self._callback = callback
        self._handle: TimerHandle | None = None
        self._schedule()

    def _schedule(self) -> None:
        self._handle = self._timers.call_after(self._interval_s, self._run)

    def _run(self) -> None:
        self._schedule()
        self._callback()

    def cancel(self) -> None:
        """Stop the periodic callback."""
        if self._handle is not None:
            self._handle.cancel()


class TimerService(ABC):
    """Interface of a clock with delayed and periodic callbacks."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""

    @abstractmethod
    def call_after(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Run ``callback`` once after ``delay_s`` seconds."""

    @abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for ``delay_s`` seconds."""

    def subscribe(self, interval_s: float, callback: Callback) -> Subscription:
        """Run ``callback`` every ``interval_s`` seconds until cancelled.

        Raises
        ------
        ValueError
            If ``interval_s`` is not positive.
        """
        if interval_s <= 0:
            raise ValueError(
                f"interval_s: expected a positive number, got {interval_s}"
            )
        return Subscription(self, interval_s, callback)


class LoopTimerService(TimerService):
    """Timer service on the running asyncio event loop."""

    def now(self) -> float:
        """Return the monotonic clock of the host in seconds."""
        return time.monotonic()

    def call_after(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Run ``callback`` on the event loop after ``delay_s`` seconds."""
        handle = TimerHandle(self.now() + delay_s, callback)
        loop = asyncio.get_running_loop()
        scheduled = loop.call_later(max(0.0, delay_s), handle.fire)
        # Cancel the loop's timer too; it would keep the callback until its due time.
        handle.on_cancel = scheduled.cancel
        return handle

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for ``delay_s`` seconds."""
        await asyncio.sleep(max(0.0, delay_s))


class ManualTimerService(TimerService):
    """Timer service whose time changes only by ``advance``.

    Examples
    --------
    >>> timers = ManualTimerService()
    >>> fired = []
    >>> handle = timers.call_after(2.0, lambda: fired.append(timers.now()))
    >>> timers.advance(3.0)
    >>> fired, timers.now()
    ([2.0], 3.0)
    """

    def __init__(self, start_s: float = 0.0):
        self._now = start_s
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, TimerHandle]] = []

    def now(self) -> float:
        """Return the manual time in seconds."""
        return self._now

    def call_after(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Run ``callback`` when the manual time has advanced by ``delay_s``."""
        handle = TimerHandle(self._now + max(0.0, delay_s), callback)
        heapq.heappush(self._queue, (handle.when, next(self._sequence), handle))
        return handle

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task until the time has advanced by ``delay_s``."""
        fut = asyncio.get_running_loop().create_future()
        self.call_after(delay_s, lambda: fut.done() or fut.set_result(None))
        await fut

    def advance(self, seconds: float) -> None:
        """Advance the time and run the callbacks due until then, in time order."""
        target = self._now + seconds
        while self._queue and self._queue[0][0] <= target:
            when, _, handle = heapq.heappop(self._queue)
            self._now = max(self._now, when)
            handle.fire()
        self._now = target


class PauseDetector:
    """Detects that the process was suspended, by a gap between periodic ticks.

    Parameters
    ----------
    timers : TimerService
        Source of ticks.
    on_pause : callable
        Called with the time between the two ticks in seconds.
    """

    def __init__(self, timers: TimerService, on_pause: Callable[[float], None]):
        self._timers = timers
        self._on_pause = on_pause
        self._last_tick_at = timers.now()
        self._subscription = timers.subscribe(PAUSE_TICK_SECONDS, self.check)

    def check(self) -> None:
        """Record a tick, and report a pause if the last one is too long ago."""
        now = self._timers.now()
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap >= PAUSE_THRESHOLD_SECONDS:
            self._on_pause(gap)

    def cancel(self) -> None:
        """Stop the periodic ticks."""
        self._subscription.cancel()
