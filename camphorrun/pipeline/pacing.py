"""When a replica that could begin a call waits for more pieces.

Load pattern: requests arrive one by one at a service whose calls have a long fixed
time. If every idle replica begins a call for the first request that comes, all are busy
with one request each while the next ones queue, and then one replica takes the whole
queue. Calls that begin at even intervals are fuller and make nobody wait longer than
one interval.
"""

from ..catalog import StageCapacity

# Weight of the last interval in the mean time between requests.
INTERVAL_WEIGHT = 0.1
# Gaps above this say nothing about the load of a burst.
MAX_INTERVAL_SECONDS = 1.0
# Share of the even interval that is kept between calls.
PACING_SHARE = 0.9


class CallPacer:
    """Spreads the beginnings of the calls of one service.

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
        """Note that the pieces of a request came."""
        if self._last_arrival_at is not None:
            gap_s = min(MAX_INTERVAL_SECONDS, now - self._last_arrival_at)
            self._mean_interval_s += INTERVAL_WEIGHT * (gap_s - self._mean_interval_s)
        self._last_arrival_at = now

    def on_call(self, now: float) -> None:
        """Note that a call begins."""
        self._last_call_at = now

    def call_delay_s(
        self, capacity: StageCapacity, replicas: float, *, pieces: int, now: float
    ) -> float:
        """Return how long the next call is held back.

        Parameters
        ----------
        capacity : StageCapacity
            Capacity of one replica.
        replicas : float
            Replicas that work, each counted by its speed.
        pieces : int
            Pieces that wait.
        now : float
            Present time.
        """
        if pieces >= capacity.batch or replicas <= 0.0:
            return 0.0
        call_s = capacity.call_time_s(pieces)
        # Replicas that requests would keep busy if each got a call of its own.
        load = call_s / max(self._mean_interval_s, 0.001) / replicas
        pace_s = PACING_SHARE * call_s / replicas * min(1.0, load)
        return max(0.0, self._last_call_at + pace_s - now)
