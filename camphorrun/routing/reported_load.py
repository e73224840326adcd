"""Load and speed that a replica reported, weighted by the age of the report.

Load pattern: the speed of a host changes several times a second, because other work
runs on it. The times of earlier calls tell of it only afterwards; a report tells of it
when the last answer was sent, and is wrong soon after.
"""

import math

from ..catalog import ReplicaLoad

# The speed of a host changes about every 600 ms, so that half of the reports of this
# age are out of date.
SPEED_HALF_LIFE_SECONDS = 0.3
# Half-life of the observed slowdown of a replica that reports its speed. An idle
# replica has no calls that could correct it.
OBSERVED_HALF_LIFE_SECONDS = 2.0
# Bounds within which a reported slowdown counts, so that the effect of a single wrong
# report ends within a second.
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 10.0
# Smoothing factor of the mean reported slowdown.
MEAN_SLOWDOWN_WEIGHT = 0.2


class ReportedLoad:
    """Latest report of one start of a replica.

    Attributes
    ----------
    latest : ReplicaLoad or None
        The latest report, None before the first one.
    received_at : float
        When it arrived.

    Examples
    --------
    >>> reported = ReportedLoad()
    >>> reported.slowdown(1.5, 0.0, now=9.0)
    1.5
    >>> reported.record(ReplicaLoad(1, 0, 1, 4.0, reports_speed=True), now=9.0)
    >>> round(reported.slowdown(1.0, 9.0, now=9.3), 3)
    2.0
    """

    __slots__ = ("_mean_slowdown", "_speed", "_speed_at", "latest", "received_at")

    def __init__(self):
        self.latest: ReplicaLoad | None = None
        self.received_at = -math.inf
        self._speed: float | None = None
        self._speed_at = -math.inf
        self._mean_slowdown = 1.0

    @property
    def has_speed(self) -> bool:
        """Whether the replica has ever reported its speed."""
        return self._speed is not None

    def record(self, load: ReplicaLoad, now: float) -> None:
        """Store a report that arrived now."""
        self.latest = load
        self.received_at = now
        if not load.reports_speed:
            return
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, load.slowdown))
        if self._speed is None:
            self._mean_slowdown = slowdown
        self._mean_slowdown *= (slowdown / self._mean_slowdown) ** MEAN_SLOWDOWN_WEIGHT
        self._speed = slowdown
        self._speed_at = now

    def age_s(self, now: float) -> float:
        """Return the age of the latest report; infinite if there is none."""
        return now - self.received_at

    def speed_weight(self, now: float) -> float:
        """Return the weight of the reported speed, from 1 when it arrives to 0."""
        if self._speed is None:
            return 0.0
        return _halved(now - self._speed_at, SPEED_HALF_LIFE_SECONDS)

    def slowdown(self, observed: float, observed_at: float, now: float) -> float:
        """Return the present slowdown; ``observed`` if none was ever reported.

        Parameters
        ----------
        observed : float
            Moving average of the call times, as a multiple of the nominal one.
        observed_at : float
            When the last call time was observed.
        now : float
            Current time in seconds of the timer service.
        """
        if self._speed is None:
            return observed
        observed_weight = _halved(now - observed_at, OBSERVED_HALF_LIFE_SECONDS)
        underlying = max(MIN_SLOWDOWN, observed) ** observed_weight
        weight = self.speed_weight(now)
        return self._speed**weight * underlying ** (1.0 - weight)

    def relative_slowdown(self, now: float) -> float:
        """Return the present slowdown as a multiple of the replica's own mean.

        It is 1 if the speed is not reported or the report is old. Observed latencies
        are multiplied by it, because they contain the mean slowdown already.
        """
        if self._speed is None:
            return 1.0
        return (self._speed / self._mean_slowdown) ** self.speed_weight(now)


def _halved(age_s: float, half_life_s: float) -> float:
    return 0.5 ** (max(0.0, age_s) / half_life_s)
