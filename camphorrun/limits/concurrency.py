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
LATENCY_TOLERANCE = 1.5
UPDATE_INTERVAL_SECONDS = 0.25
MAX_UPDATE_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 8.0
PROBE_MAX_SECONDS = 1.0
PROBE_SAMPLES = 6
# Time constant of the present latency.
LATENCY_DECAY_SECONDS = 0.5
# At low rates at least this many earlier calls count, because a single one is noise.
MIN_RECENT_CALLS = 3.0
# Size of the calls at the full limit, in calls of the mix, that decide about growth.
MIN_LOADED_CALLS = 1.0
# Sizes and baseline are noise before this many calls, so the limit does not follow yet.
WARM_UP_CALLS = 16
# Weight that earlier calls keep at most, so that a burst at one time counts too.
MAX_RETAINED_WEIGHT = 0.95
# Least factor for each update interval, and for an update after a longer time.
MIN_GRADIENT_PER_INTERVAL = 0.7
MIN_GRADIENT_PER_UPDATE = 0.5
BASELINE_WEIGHT = 0.2
FAILURE_DECREASE_FACTOR = 0.9
MIN_USED_SHARE = 0.8
# A limit that fell to this share since the last probe asks for an early one.
EARLY_PROBE_SHARE = 0.75


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
        self._limit_value = float(initial)
        # Latencies are converted to calls of the usual mix.
        self._sizes = CallSizes()
        self._latency_s = 0.0
        self._call_count = 0
        self._loaded_s = 0.0
        self._loaded_size = 0.0
        self._recent_s = 0.0
        self._recent_size = 0.0
        self._latency_at: float | None = None
        self._baseline_s = 0.0
        self._limit_at_probe = 0.0
        self._updated_at = 0.0
        self._failed_since_update = False
        self._next_probe_at: float | None = None
        self._probe_until: float | None = None
        self._probe_samples: list[tuple[float, float]] = []

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
        return max(self._minimum, int(self._limit_value))

    def service_time_s(
        self, units: float, output_units: float = 0.0, kind: str = ""
    ) -> float:
        """Return the present estimate for a call; 0 if nothing is known."""
        return self._latency_s * self._sizes.relative_size(kind, units, output_units)

    @property
    def mean_service_time_s(self) -> float:
        """Present service time of a call of the usual mix; 0 if unknown."""
        return self._latency_s

    def observe(self, sample: LatencySample) -> None:
        """Add a finished call and adapt the limit."""
        if sample.ok:
            self._add_latency(sample)
        else:
            self._failed_since_update = True
        # A change shows only in calls that started after it.
        interval_s = max(
            UPDATE_INTERVAL_SECONDS, min(self._latency_s, MAX_UPDATE_SECONDS)
        )
        if sample.now - self._updated_at >= interval_s:
            self._update_limit(sample.now, sample.now - self._updated_at)

    def _add_latency(self, sample: LatencySample) -> None:
        self._call_count += 1
        call = (sample.kind, sample.units, sample.output_units)
        self._sizes.observe(*call, sample.service_time_s)
        size = self._sizes.relative_size(*call)
        is_used = sample.in_flight >= self.limit * MIN_USED_SHARE
        if is_used and self._probe_until is None:
            self._loaded_s += sample.service_time_s
            self._loaded_size += size
        self._update_latency(sample.service_time_s, size, sample.now)
        if self._probe_until is not None and sample.in_flight <= self.limit:
            self._probe_samples.append((sample.service_time_s, size))

    def _update_latency(self, seconds: float, size: float, now: float) -> None:
        """Relate recent time to recent size.

        A short call that waited for a long one inside the endpoint would dominate a
        mean of ratios; in a ratio of sums it counts by its size.
        """
        if self._latency_at is None:
            self._baseline_s = seconds / size
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS / 4
        else:
            retained = math.exp(
                -max(0.0, now - self._latency_at) / LATENCY_DECAY_SECONDS
            )
            min_retained = min(1.0, MIN_RECENT_CALLS / self._recent_size)
            retained = min(MAX_RETAINED_WEIGHT, max(min_retained, retained))
            self._recent_s *= retained
            self._recent_size *= retained
        self._recent_s += seconds
        self._recent_size += size
        self._latency_s = self._recent_s / self._recent_size
        self._latency_at = now

    def _update_limit(self, now: float, elapsed_s: float) -> None:
        self._updated_at = now
        if self._failed_since_update:
            self._limit_value = max(
                self._minimum, self._limit_value * FAILURE_DECREASE_FACTOR
            )
        elif self._probe_until is not None:
            self._finish_probe(now)
        elif self._baseline_s > 0:
            self._follow_gradient(elapsed_s)
        self._failed_since_update = False
        if self._is_probe_due(now):
            self._start_probe(now)

    def _is_probe_due(self, now: float) -> bool:
        """Return whether the baseline is old, or the endpoint changed its speed."""
        if self._next_probe_at is None:
            return False
        has_fallen = self._limit_value <= self._limit_at_probe * EARLY_PROBE_SHARE
        early_at = self._next_probe_at - PROBE_INTERVAL_SECONDS * 0.75
        return now >= (early_at if has_fallen else self._next_probe_at)

    def _follow_gradient(self, elapsed_s: float) -> None:
        if self._call_count < WARM_UP_CALLS:
            self._baseline_s = self._latency_s
        if self._latency_s < self._baseline_s:
            # Not at once, because a few lucky calls are no baseline.
            self._baseline_s += BASELINE_WEIGHT * (self._latency_s - self._baseline_s)
        accepted_s = (LATENCY_TOLERANCE + 1.0 / self._limit_value) * self._baseline_s
        gradient = accepted_s / self._latency_s
        # Unused concurrency proves nothing, so the limit grows only on calls that were
        # started while it was used.
        is_used = self._loaded_size >= MIN_LOADED_CALLS
        if is_used:
            loaded_latency_s = self._loaded_s / self._loaded_size
            gradient = min(gradient, accepted_s / loaded_latency_s)
            self._loaded_s = self._loaded_size = 0.0
        steps = elapsed_s / UPDATE_INTERVAL_SECONDS
        bounded_gradient = min(
            1.0,
            max(MIN_GRADIENT_PER_UPDATE, MIN_GRADIENT_PER_INTERVAL**steps, gradient),
        )
        target_limit = self._limit_value * bounded_gradient
        if is_used and gradient >= 1.0:
            target_limit += math.sqrt(self._limit_value) / 2
        self._limit_value = min(self._maximum, max(self._minimum, target_limit))

    def _start_probe(self, now: float) -> None:
        self._next_probe_at = None
        self._probe_until = now + PROBE_MAX_SECONDS
        self._probe_samples = []
        relative_size = self._sizes.mix_relative_size()
        self._latency_s *= relative_size
        self._baseline_s *= relative_size
        self._recent_size /= relative_size
        self._sizes.rebase()

    def _finish_probe(self, now: float) -> None:
        if len(self._probe_samples) < PROBE_SAMPLES and now < self._probe_until:
            return
        if self._probe_samples:
            seconds = sum(spent_s for spent_s, _ in self._probe_samples)
            size = sum(size for _, size in self._probe_samples)
            # A probe with few calls moves the baseline in proportion.
            weight = min(1.0, size / MIN_RECENT_CALLS)
            self._baseline_s += weight * (seconds / size - self._baseline_s)
        self._probe_until = None
        self._loaded_s = self._loaded_size = 0.0
        self._limit_at_probe = self._limit_value
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
