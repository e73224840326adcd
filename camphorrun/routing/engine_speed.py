"""Speed of an engine in comparison with the others of its service.

Load pattern: engines of one service differ in speed, permanently or for parts of a
second. One late event says little, because another prompt may have been read before it.
One of many gateways sees an engine too rarely to tell a slow one from a busy one, while
all of them together see it often.

All times are seconds of one clock, which the caller passes as ``now``.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

# Relative change of a running quantile by one observation.
QUANTILE_STEP = 0.03
# Weight of one sample of an engine's speed, and of the samples that follow several
# others on the same side of the estimate.
SAMPLE_WEIGHT = 0.1
RUN_WEIGHT = 0.4
RUN_SAMPLES = 3
# Samples closer to the estimate than this ratio are no deviation.
DEVIATION_RATIO = 1.2
# Bound of the influence of one sample.
MAX_RATIO = 4.0
# Time constant with which the speed returns to 1 without samples.
SPEED_DECAY_SECONDS = 20.0
# Weight of the assumption that an engine has the usual speed, against that of samples.
PRIOR_WEIGHT = 0.3
# The multiple is computed again after this time without new samples. Its decay within
# it is far below the noise, and a choice among hundreds of engines needs all of them.
CACHE_SECONDS = 1.0
# Gateways whose reports on the speed of an engine are kept.
MAX_REPORTS = 32


class RunningQuantile:
    """Quantile of a series of positive values, in constant memory.

    Examples
    --------
    >>> typical = RunningQuantile(1.0)
    >>> for value in [2.0, 2.1, 500.0] * 40:
    ...     typical.observe(value)
    >>> 1.9 < typical.value < 2.3
    True
    """

    __slots__ = ("_quantile", "_samples", "value")

    def __init__(self, value: float, quantile: float = 0.5):
        self._quantile = quantile
        self._samples = 0
        self.value = value

    def observe(self, sample: float) -> None:
        """Move the estimate towards a sample, by a step that does not depend on it."""
        self._samples += 1
        if self._samples == 1:
            self.value = sample
            return
        step = max(QUANTILE_STEP, 1.0 / self._samples)
        is_above = sample > self.value
        share = self._quantile if is_above else self._quantile - 1.0
        self.value *= math.exp(2.0 * step * share)


@dataclass(frozen=True, slots=True)
class SpeedReport:
    """Samples of an engine's speed that one gateway has seen.

    Attributes
    ----------
    log_sum : float
        Weighted sum of the logarithms of the samples.
    weight : float
        Sum of the weights, at most 1.
    sampled_at : float
        Time of the last sample.
    """

    log_sum: float
    weight: float
    sampled_at: float

    @staticmethod
    def max_log_sum(weight: float) -> float:
        """Return the largest possible sum of samples with a weight."""
        # Sums are rounded when they are sent.
        return weight * math.log(MAX_RATIO) + 0.01

    def at(self, now: float) -> tuple[float, float]:
        """Return sum and weight as they count at a later time."""
        factor = math.exp(-max(0.0, now - self.sampled_at) / SPEED_DECAY_SECONDS)
        return self.log_sum * factor, self.weight * factor


class ObservedSpeed:
    """Duration of the work of one engine as a multiple of the usual duration.

    One sample has little influence, several on the same side have much, and without
    samples the multiple returns to 1. Reports of other gateways count like own samples,
    except those from before a run of own samples that differ: they describe the engine
    as it was.

    Examples
    --------
    >>> speed = ObservedSpeed()
    >>> speed.observe(3.0, now=0.0)
    >>> round(speed.multiple(0.0), 2)
    1.32
    >>> for _ in range(6):
    ...     speed.observe(3.0, now=0.0)
    >>> round(speed.multiple(0.0), 1)
    2.3
    """

    __slots__ = ("_cached", "_cached_until", "_own", "_reports", "_run", "_run_at")

    def __init__(self):
        self._own = SpeedReport(0.0, 0.0, -math.inf)
        # Latest report of each of the gateways that were heard last.
        self._reports: OrderedDict[str, SpeedReport] = OrderedDict()
        # Successive samples above (positive) or below (negative) the estimate.
        self._run = 0
        self._run_at = -math.inf
        self._cached = 1.0
        self._cached_until = -math.inf

    @property
    def own(self) -> SpeedReport:
        """The samples of this gateway, without those of others."""
        return self._own

    def observe(self, ratio: float, now: float) -> None:
        """Add the ratio of an observed duration to the usual one of the service."""
        bound = math.log(MAX_RATIO)
        sample = min(bound, max(-bound, math.log(max(ratio, 1e-6))))
        self._count_run(sample - math.log(self.multiple(now)), now)
        weight = RUN_WEIGHT if abs(self._run) >= RUN_SAMPLES else SAMPLE_WEIGHT
        log_sum, total = self._own.at(now)
        self._own = SpeedReport(
            (1.0 - weight) * log_sum + weight * sample,
            (1.0 - weight) * total + weight,
            now,
        )
        self._cached_until = -math.inf

    def add_report(self, source: str, report: SpeedReport) -> None:
        """Replace the report of another gateway."""
        self._reports[source] = report
        self._reports.move_to_end(source)
        self._cached_until = -math.inf
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)

    def multiple(self, now: float) -> float:
        """Return the multiple; above 1 the engine is slower than usual."""
        if now >= self._cached_until:
            self._cached = self._compute(now)
            self._cached_until = now + CACHE_SECONDS
        return self._cached

    def _compute(self, now: float) -> float:
        log_sum, weight = self._own.at(now)
        is_run = abs(self._run) >= RUN_SAMPLES
        for report in self._reports.values():
            if is_run and report.sampled_at < self._run_at:
                continue
            other_sum, other_weight = report.at(now)
            log_sum += other_sum
            weight += other_weight
        return math.exp(log_sum / (weight + PRIOR_WEIGHT))

    def _count_run(self, deviation: float, now: float) -> None:
        side = (deviation > 0) - (deviation < 0)
        if abs(deviation) < math.log(DEVIATION_RATIO):
            self._run = 0
        elif self._run * side > 0:
            self._run += side
        else:
            self._run = side
            self._run_at = now
