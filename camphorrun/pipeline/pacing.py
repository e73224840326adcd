"""Pacing of batched calls: when an idle replica waits for more pieces.

Load pattern: requests arrive one by one at a service whose calls have a high fixed
cost. If every idle replica starts a call for the first request that arrives, all
replicas are busy with one request each while the next requests queue, and then one
replica takes the whole queue. Calls started at even intervals are fuller, and no
request waits longer than one interval.
"""

from ..catalog import StageCapacity

# Smoothing factor of the mean time between requests.
INTERVAL_WEIGHT = 0.1
# Longer gaps count as this much, because they say nothing about the load in a burst.
MAX_INTERVAL_SECONDS = 1.0
# Share of the even interval that must pass between two calls.
PACING_SHARE = 0.9


class CallPacer:
    """Spreads the start times of the calls of one service evenly.

    Examples
    --------
    >>> pacer = CallPacer()
    >>> for number in range(100):
    ...     pacer.on_arrival(number * 0.05)
    >>> pacer.on_call(5.0)
    >>> capacity = StageCapacity(1, 2, 30, 0.2, 0.005, 1000, 4.0)
    >>> round(pacer.call_delay_s(capacity, 3, pieces=6, now=5.0), 3)
    0.069
    >>> pacer.call_delay_s(capacity, 3, pieces=30, now=5.0), pacer.call_delay_s(
    ...     capacity, 3, pieces=6, now=5.2
    ... )
    (0.0, 0.0)
    """

    __slots__ = ("_last_arrival_at", "_last_call_at", "_mean_interval_s")

    def __init__(self):
        self._last_arrival_at: float | None = None
        self._last_call_at = float("-inf")
        self._mean_interval_s = MAX_INTERVAL_SECONDS

    def on_arrival(self, now: float) -> None:
        """Record that the pieces of a request arrived."""
        if self._last_arrival_at is not None:
            gap_s = min(MAX_INTERVAL_SECONDS, now - self._last_arrival_at)
            self._mean_interval_s += INTERVAL_WEIGHT * (gap_s - self._mean_interval_s)
        self._last_arrival_at = now

    def on_call(self, now: float) -> None:
        """Record that a call starts."""
        self._last_call_at = now

    def call_delay_s(
        self, capacity: StageCapacity, replicas: float, *, pieces: int, now: float
    ) -> float:
        """Return how long to delay the next call; 0 if it may start now.

        Parameters
        ----------
        capacity : StageCapacity
            Capacity of one replica.
        replicas : float
            Sum of the relative speeds of the working replicas.
        pieces : int
            Number of queued pieces.
        now : float
            Current time in seconds of the timer service.
        """
        if pieces >= capacity.batch or replicas <= 0.0:
            return 0.0
        call_s = capacity.call_time_s(pieces)
        # Share of the replicas that would be busy if each request got its own call.
        load = call_s / max(self._mean_interval_s, 0.001) / replicas
        pace_s = PACING_SHARE * call_s / replicas * min(1.0, load)
        return max(0.0, self._last_call_at + pace_s - now)
