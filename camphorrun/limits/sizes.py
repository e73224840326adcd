"""Relative size of calls of different kinds at one endpoint."""

from collections import OrderedDict
from dataclasses import dataclass, field

from .fit import LinearFit

# Kinds are operations with their models, which configuration bounds; the bound is for
# a faulty configuration.
MAX_KINDS = 64
FIT_MEMORY_SAMPLES = 400.0
# Weight of one call in the mean call of its kind and in the mix of kinds.
MEAN_WEIGHT = 0.02
# Below this many calls of a kind a line through them is noise; their mean is used.
MIN_FIT_SAMPLES = 12


@dataclass(slots=True)
class _KindStatistics:
    """Fit of one kind, its mean call, and its share of all calls."""

    fit: LinearFit = field(default_factory=lambda: LinearFit(2, FIT_MEMORY_SAMPLES))
    mean: tuple[float, float] = (0.0, 0.0)
    share: float = 0.0
    mean_s: float = 0.0

    def add(self, units: tuple[float, float], seconds: float) -> None:
        """Add a call."""
        self.share += MEAN_WEIGHT
        self.mean = tuple(
            old + MEAN_WEIGHT * (new - old)
            for old, new in zip(self.mean, units, strict=True)
        )
        self.fit.observe(units, seconds)
        if self.fit.samples <= MIN_FIT_SAMPLES:
            self.mean_s += (seconds - self.mean_s) / self.fit.samples

    def predict(self, units: tuple[float, float]) -> float:
        """Return the service time of a call of the kind."""
        if self.fit.samples < MIN_FIT_SAMPLES:
            return self.mean_s
        return self.fit.predict(units)


class CallSizes:
    """Learns the size of a call relative to the mix of calls.

    An endpoint that encodes in 0.04 s and generates in 0.6 s has no single latency.
    Dividing each latency by the size of its call makes them comparable. The present
    speed of the endpoint cancels out of the size, because the call and the mix are
    predicted by the same fits.

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
        """Relate sizes to the present mix of calls from now on."""
        self._base_mix = {
            name: (statistics.share, statistics.mean)
            for name, statistics in self._kinds.items()
        }

    def relative_size(
        self, kind: str, input_units: float, output_units: float
    ) -> float:
        """Return the size of a call in calls of the mix; 1 if it is unknown."""
        statistics = self._kinds.get(kind)
        if statistics is None:
            return 1.0
        return self._relative_to_base(statistics.predict((input_units, output_units)))

    def mix_relative_size(self) -> float:
        """Return the size of a call of the present mix, relative to the last base."""
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
        """Return the service time of a call of the base mix by the present fits."""
        total = seconds = 0.0
        for name, (share, mean) in self._base_mix.items():
            statistics = self._kinds.get(name)
            if statistics is not None:
                total += share
                seconds += share * statistics.predict(mean)
        return seconds / total if total > 0 else 0.0
