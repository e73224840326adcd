"""Relative sizes of calls of different kinds at one endpoint."""

from collections import OrderedDict
from dataclasses import dataclass, field

from .fit import LinearFit

# Kinds are operations with their models, whose number the configuration limits. This
# bound protects against a faulty configuration.
MAX_KINDS = 64
FIT_MEMORY_SAMPLES = 400.0
# Smoothing factor of the mean call of a kind and of the shares of kinds.
MEAN_WEIGHT = 0.02
# Below this number of calls of a kind a linear fit is noise, and their mean is used.
MIN_FIT_SAMPLES = 12


@dataclass(slots=True)
class _KindStatistics:
    """Linear fit of the calls of one kind, its mean call, and its share of all calls.

    ``mean`` holds the mean input and output units, and ``mean_s`` the mean service time
    of the first calls.
    """

    fit: LinearFit = field(default_factory=lambda: LinearFit(2, FIT_MEMORY_SAMPLES))
    mean: tuple[float, float] = (0.0, 0.0)
    share: float = 0.0
    mean_s: float = 0.0

    def add(self, units: tuple[float, float], seconds: float) -> None:
        """Add a call with its input and output units and its service time."""
        self.share += MEAN_WEIGHT
        self.mean = tuple(
            old + MEAN_WEIGHT * (new - old)
            for old, new in zip(self.mean, units, strict=True)
        )
        self.fit.observe(units, seconds)
        if self.fit.samples <= MIN_FIT_SAMPLES:
            self.mean_s += (seconds - self.mean_s) / self.fit.samples

    def predict(self, units: tuple[float, float]) -> float:
        """Return the predicted service time of a call of this kind."""
        if self.fit.samples < MIN_FIT_SAMPLES:
            return self.mean_s
        return self.fit.predict(units)


class CallSizes:
    """Predicts the size of a call relative to the mean call of the mix.

    An endpoint that encodes in 0.04 s and generates in 0.6 s has no single latency.
    Latencies become comparable when each is divided by the size of its call. The
    present speed of the endpoint cancels out of the size, because the call and the mix
    are predicted by the same fits.

    Examples
    --------
    >>> sizes = CallSizes()
    >>> for _ in range(20):
    ...     sizes.observe("encode", 10, 0, 0.05)
    ...     sizes.observe("generate", 10, 0, 0.15)
    >>> sizes.rebase()
    >>> round(sizes.relative_size("encode", 10, 0), 1)
    0.5
    """

    __slots__ = ("_base_mix", "_kinds")

    def __init__(self):
        self._kinds: OrderedDict[str, _KindStatistics] = OrderedDict()
        self._base_mix: dict[str, tuple[float, tuple[float, float]]] = {}

    def observe(
        self, kind: str, input_units: float, output_units: float, seconds: float
    ) -> None:
        """Add the service time of a successful call."""
        units = (float(input_units), float(output_units))
        statistics = self._kinds.get(kind)
        if statistics is None:
            statistics = self._kinds[kind] = _KindStatistics(mean=units)
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        for other in self._kinds.values():
            other.share *= 1.0 - MEAN_WEIGHT
        statistics.add(units, seconds)
        if not self._base_mix:
            self.rebase()

    def rebase(self) -> None:
        """Use the present mix of calls as the base of sizes from now on."""
        self._base_mix = {
            name: (statistics.share, statistics.mean)
            for name, statistics in self._kinds.items()
        }

    def relative_size(
        self, kind: str, input_units: float, output_units: float
    ) -> float:
        """Return the size of a call in mean calls of the base mix; 1 if unknown."""
        statistics = self._kinds.get(kind)
        if statistics is None:
            return 1.0
        return self._relative_to_base(statistics.predict((input_units, output_units)))

    def mix_relative_size(self) -> float:
        """Return the size of a mean call of the present mix, relative to the base."""
        total = sum(statistics.share for statistics in self._kinds.values())
        seconds = sum(
            statistics.share * statistics.predict(statistics.mean)
            for statistics in self._kinds.values()
        )
        return self._relative_to_base(seconds / total) if total > 0 else 1.0

    def _relative_to_base(self, seconds: float) -> float:
        base_s = self._base_mix_seconds()
        if base_s <= 0 or seconds <= 0:
            return 1.0
        return seconds / base_s

    def _base_mix_seconds(self) -> float:
        """Return the service time of a mean base call, by the present fits."""
        total = seconds = 0.0
        for name, (share, mean) in self._base_mix.items():
            statistics = self._kinds.get(name)
            if statistics is not None:
                total += share
                seconds += share * statistics.predict(mean)
        return seconds / total if total > 0 else 0.0
