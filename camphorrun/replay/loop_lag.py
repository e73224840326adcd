"""Measures how late the event loop runs its timers."""

from ..core import TimerService

INTERVAL_SECONDS = 0.02


class LoopLag:
    """Samples the lag of the event loop while it is started.

    A large lag means that a result says more about this process than about the
    policies, so every report states it.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._due_at = 0.0
        self._subscription = None
        self.samples_s: list[float] = []

    def start(self) -> None:
        """Start sampling."""
        self._schedule()

    def stop(self) -> None:
        """Stop sampling."""
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None

    def _schedule(self) -> None:
        self._due_at = self._timers.now() + INTERVAL_SECONDS
        self._subscription = self._timers.call_after(INTERVAL_SECONDS, self._sample)

    def _sample(self) -> None:
        self.samples_s.append(max(0.0, self._timers.now() - self._due_at))
        self._schedule()
