"""Adaptive concurrency limit of one endpoint.

The limit is adapted by comparing the latency at the full limit with a baseline. The
baseline is the latency at half the limit, measured by a short probe every few seconds.
Below saturation both are nearly equal. Above it they differ by up to a factor of two,
at any speed of the endpoint. If the endpoint slows down, its latency exceeds the last
baseline at once and the limit falls within a second; the next probe then measures the
baseline of the slower endpoint.
"""

import math
from dataclasses import dataclass

from .sizes import CallSizes

# Accepted ratio of the latency at the limit to the baseline, for a large limit. At a
# small limit a single queued call already raises the latency noticeably, so the inverse
# of the limit is added.
LATENCY_TOLERANCE = 1.5
UPDATE_INTERVAL_SECONDS = 0.25
MAX_UPDATE_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 8.0
PROBE_MAX_SECONDS = 1.0
PROBE_SAMPLES = 6
# Time constant of the recent mean latency.
LATENCY_DECAY_SECONDS = 0.5
# At low rates the recent mean covers at least this many calls of mean size, because a
# single call is noise.
MIN_RECENT_CALLS = 3.0
# The limit may grow once calls started near the full limit add up to this size, in
# calls of mean size.
MIN_LOADED_CALLS = 1.0
# Before this many calls, sizes and baseline are noise, and the baseline follows the
# latency so that the limit is not lowered.
WARM_UP_CALLS = 16
# Upper bound of the weight that earlier calls keep, so that many calls that end at the
# same time still change the mean.
MAX_RETAINED_WEIGHT = 0.95
# Lower bounds of the factor by which the limit changes: for each update interval that
# has passed, and for one update after a longer time.
MIN_GRADIENT_PER_INTERVAL = 0.7
MIN_GRADIENT_PER_UPDATE = 0.5
BASELINE_WEIGHT = 0.2
FAILURE_DECREASE_FACTOR = 0.9
MIN_USED_SHARE = 0.8
# A limit that has fallen to this share since the last probe starts an early probe.
EARLY_PROBE_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class LatencySample:
    """One finished call; ``in_flight`` is the concurrency when it started.

    ``kind`` identifies calls whose service time is a linear function of the input
    ``units`` and ``output_units``, for instance an operation with its model.
    """

    service_time_s: float
    units: float
    in_flight: int
    ok: bool
    now: float
    output_units: float = 0.0
    kind: str = ""


class ConcurrencyLimit:
    """Concurrency limit of an endpoint, adapted by the latency of its calls.

    Parameters
    ----------
    initial : int
        Initial limit.
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
        # Latencies are divided by the size of the call relative to the mix of calls.
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
        """Number of calls that may be in flight now; half of it during a probe."""
        if self._probe_until is None:
            return self.steady_limit
        # Rounded up: rounding half of three down would leave one of two slots idle.
        return max(self._minimum, math.ceil(self.steady_limit / 2))

    @property
    def steady_limit(self) -> int:
        """Limit without the reduction during a probe, for load reports."""
        return max(self._minimum, int(self._limit_value))

    def service_time_s(
        self, units: float, output_units: float = 0.0, kind: str = ""
    ) -> float:
        """Return the estimated service time of a call; 0 before the first call."""
        return self._latency_s * self._sizes.relative_size(kind, units, output_units)

    @property
    def mean_service_time_s(self) -> float:
        """Recent mean service time of a call of the mix; 0 before the first call."""
        return self._latency_s

    def observe(self, sample: LatencySample) -> None:
        """Add a finished call and adapt the limit."""
        if sample.ok:
            self._add_latency(sample)
        else:
            self._failed_since_update = True
        # The effect of a change shows only in calls that started after it.
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
        """Update the recent mean latency, as a ratio of sums of time and size.

        A short call that waited behind a long one inside the endpoint would dominate a
        mean of ratios. In a ratio of sums it is weighted by its size.
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
        """Return whether the baseline is old, or the limit has fallen since."""
        if self._next_probe_at is None:
            return False
        has_fallen = self._limit_value <= self._limit_at_probe * EARLY_PROBE_SHARE
        early_at = self._next_probe_at - PROBE_INTERVAL_SECONDS * 0.75
        return now >= (early_at if has_fallen else self._next_probe_at)

    def _follow_gradient(self, elapsed_s: float) -> None:
        if self._call_count < WARM_UP_CALLS:
            self._baseline_s = self._latency_s
        if self._latency_s < self._baseline_s:
            # The baseline follows gradually, because a few fast calls may be chance.
            self._baseline_s += BASELINE_WEIGHT * (self._latency_s - self._baseline_s)
        accepted_s = (LATENCY_TOLERANCE + 1.0 / self._limit_value) * self._baseline_s
        gradient = accepted_s / self._latency_s
        # Latency below the limit says nothing about a higher limit. The limit therefore
        # grows only by calls that were started while it was used.
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
            # A probe with few calls changes the baseline in proportion to their size.
            weight = min(1.0, size / MIN_RECENT_CALLS)
            self._baseline_s += weight * (seconds / size - self._baseline_s)
        self._probe_until = None
        self._loaded_s = self._loaded_size = 0.0
        self._limit_at_probe = self._limit_value
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
