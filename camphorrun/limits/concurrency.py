"""Adaptive concurrency limit of one endpoint.

The limit compares the latency at the full limit with the latency at half of it, which a
short probe measures every few seconds. Below saturation both are nearly equal; above it
they differ by up to a factor of two, whatever the speed of the endpoint is. A slowdown
raises the latency over the last baseline at once, so the limit falls within a second,
and the next probe measures the baseline of the slower endpoint.
"""

import math
from dataclasses import dataclass

from .sizes import CallSizes

# Accepted ratio of the latency at the limit to the latency at half the limit, for a
# large limit. At a small one a single waiting call already adds its share.
TOLERANCE = 1.5
UPDATE_INTERVAL_SECONDS = 0.25
MAX_UPDATE_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 8.0
PROBE_MAX_SECONDS = 1.0
PROBE_SAMPLES = 6
# Time constant of the present latency.
SHORT_SECONDS = 0.5
# At low rates at least this many earlier calls count, because a single one is noise.
MIN_RECENT_CALLS = 3.0
# Size of the calls at the full limit, in calls of the mix, that decide about growth.
MIN_LOADED_CALLS = 1.0
# Sizes and baseline are noise before this many calls, so the limit does not follow yet.
WARM_UP_CALLS = 16
# Weight that earlier calls keep at most, so that a burst at one time counts too.
MAX_KEEP = 0.95
# Least factor for each update interval, and for an update after a longer time.
MIN_GRADIENT = 0.7
LEAST_GRADIENT = 0.5
BASELINE_WEIGHT = 0.2
FAILURE_FACTOR = 0.9
USED_SHARE = 0.8
# A limit that fell to this share since the last probe asks for an early one.
FALLEN_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class LatencySample:
    """One finished call; ``in_flight`` is the concurrency when it started.

    ``kind`` names calls whose service time follows one line over ``units`` of input
    and ``output_units``, for instance an operation with its model.
    """

    service_time_s: float
    units: float
    in_flight: int
    ok: bool
    now: float
    output_units: float = 0.0
    kind: str = ""


class ConcurrencyLimit:
    """Concurrency that the endpoint can bear now, learned from latency alone.

    Parameters
    ----------
    initial : int
        First limit.
    minimum, maximum : int
        Bounds of the limit.
    """

    def __init__(self, initial: int, minimum: int = 1, maximum: int = 1024):
        if not 1 <= minimum <= initial <= maximum:
            raise ValueError(
                f"expected 1 <= minimum <= initial <= maximum, "
                f"got {minimum}, {initial}, {maximum}"
            )
        self._minimum = minimum
        self._maximum = maximum
        self._value = float(initial)
        # Latencies are converted to calls of the usual mix.
        self._sizes = CallSizes()
        self._short = 0.0
        self._calls = 0
        self._loaded_s = 0.0
        self._loaded_size = 0.0
        self._recent_s = 0.0
        self._recent_size = 0.0
        self._short_at: float | None = None
        self._baseline = 0.0
        self._probed_value = 0.0
        self._updated_at = 0.0
        self._failed = False
        self._next_probe_at: float | None = None
        self._probe_until: float | None = None
        self._probe: list[tuple[float, float]] = []

    @property
    def limit(self) -> int:
        """Calls that may be in flight now."""
        if self._probe_until is None:
            return self.steady_limit
        # Rounded up: half of three would leave one of two slots idle.
        return max(self._minimum, math.ceil(self.steady_limit / 2))

    @property
    def steady_limit(self) -> int:
        """The limit without the reduction of a probe, for load reports."""
        return max(self._minimum, int(self._value))

    def service_time_s(
        self, units: float, output_units: float = 0.0, kind: str = ""
    ) -> float:
        """Return the present estimate for a call; 0 if nothing is known."""
        return self._short * self._sizes.factor(kind, units, output_units)

    @property
    def mean_service_time_s(self) -> float:
        """Present service time of a call of the usual mix; 0 if unknown."""
        return self._short

    def observe(self, sample: LatencySample) -> None:
        """Add a finished call and adapt the limit."""
        if sample.ok:
            self._add_latency(sample)
        else:
            self._failed = True
        # A change shows only in calls that started after it.
        interval_s = max(UPDATE_INTERVAL_SECONDS, min(self._short, MAX_UPDATE_SECONDS))
        if sample.now - self._updated_at >= interval_s:
            self._update(sample.now, sample.now - self._updated_at)

    def _add_latency(self, sample: LatencySample) -> None:
        self._calls += 1
        call = (sample.kind, sample.units, sample.output_units)
        self._sizes.observe(*call, sample.service_time_s)
        size = self._sizes.factor(*call)
        is_used = sample.in_flight >= self.limit * USED_SHARE
        if is_used and self._probe_until is None:
            self._loaded_s += sample.service_time_s
            self._loaded_size += size
        self._smooth(sample.service_time_s, size, sample.now)
        if self._probe_until is not None and sample.in_flight <= self.limit:
            self._probe.append((sample.service_time_s, size))

    def _smooth(self, seconds: float, size: float, now: float) -> None:
        """Relate recent time to recent size.

        A short call that waited for a long one inside the endpoint would dominate a
        mean of ratios; in a ratio of sums it counts by its size.
        """
        if self._short_at is None:
            self._baseline = seconds / size
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS / 4
        else:
            keep = math.exp(-max(0.0, now - self._short_at) / SHORT_SECONDS)
            least = min(1.0, MIN_RECENT_CALLS / self._recent_size)
            keep = min(MAX_KEEP, max(least, keep))
            self._recent_s *= keep
            self._recent_size *= keep
        self._recent_s += seconds
        self._recent_size += size
        self._short = self._recent_s / self._recent_size
        self._short_at = now

    def _update(self, now: float, elapsed_s: float) -> None:
        self._updated_at = now
        if self._failed:
            self._value = max(self._minimum, self._value * FAILURE_FACTOR)
        elif self._probe_until is not None:
            self._finish_probe(now)
        elif self._baseline > 0:
            self._follow_gradient(elapsed_s)
        self._failed = False
        if self._probe_due(now):
            self._start_probe(now)

    def _probe_due(self, now: float) -> bool:
        """Return whether the baseline is old, or the endpoint changed its speed."""
        if self._next_probe_at is None:
            return False
        fallen = self._value <= self._probed_value * FALLEN_SHARE
        early_at = self._next_probe_at - PROBE_INTERVAL_SECONDS * 0.75
        return now >= (early_at if fallen else self._next_probe_at)

    def _follow_gradient(self, elapsed_s: float) -> None:
        if self._calls < WARM_UP_CALLS:
            self._baseline = self._short
        if self._short < self._baseline:
            # Not at once, because a few lucky calls are no baseline.
            self._baseline += BASELINE_WEIGHT * (self._short - self._baseline)
        accepted = (TOLERANCE + 1.0 / self._value) * self._baseline
        gradient = accepted / self._short
        # Unused concurrency proves nothing, so the limit grows only on calls that were
        # started while it was used.
        is_used = self._loaded_size >= MIN_LOADED_CALLS
        if is_used:
            loaded = self._loaded_s / self._loaded_size
            gradient = min(gradient, accepted / loaded)
            self._loaded_s = self._loaded_size = 0.0
        steps = elapsed_s / UPDATE_INTERVAL_SECONDS
        bounded = min(1.0, max(LEAST_GRADIENT, MIN_GRADIENT**steps, gradient))
        target = self._value * bounded
        if is_used and gradient >= 1.0:
            target += math.sqrt(self._value) / 2
        self._value = min(self._maximum, max(self._minimum, target))

    def _start_probe(self, now: float) -> None:
        self._next_probe_at = None
        self._probe_until = now + PROBE_MAX_SECONDS
        self._probe = []
        factor = self._sizes.mix_factor()
        self._short *= factor
        self._baseline *= factor
        self._recent_size /= factor
        self._sizes.rebase()

    def _finish_probe(self, now: float) -> None:
        if len(self._probe) < PROBE_SAMPLES and now < self._probe_until:
            return
        if self._probe:
            seconds = sum(spent_s for spent_s, _ in self._probe)
            size = sum(size for _, size in self._probe)
            # A probe with few calls moves the baseline in proportion.
            weight = min(1.0, size / MIN_RECENT_CALLS)
            self._baseline += weight * (seconds / size - self._baseline)
        self._probe_until = None
        self._loaded_s = self._loaded_size = 0.0
        self._probed_value = self._value
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
