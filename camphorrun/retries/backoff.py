"""Delay before a retry."""

from random import Random

MAX_DOUBLINGS = 32


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    first_s, maximum_s : float
        Bound of the first delay, and of every delay.
    rng : random.Random
        Source of jitter.

    Examples
    --------
    >>> backoff = Backoff(0.1, 1.0, Random(1))
    >>> all(0 <= backoff.delay_s(attempt) <= 1.0 for attempt in range(50))
    True
    """

    __slots__ = ("_first_s", "_maximum_s", "_rng")

    def __init__(self, first_s: float, maximum_s: float, rng: Random):
        if not 0 < first_s <= maximum_s:
            raise ValueError(
                f"expected 0 < first_s <= maximum_s, got {first_s}, {maximum_s}"
            )
        self._first_s = first_s
        self._maximum_s = maximum_s
        self._rng = rng

    def delay_s(self, attempt: int) -> float:
        """Return the delay before retry number ``attempt``, counted from 0."""
        doublings = min(max(0, attempt), MAX_DOUBLINGS)
        bound_s = min(self._maximum_s, self._first_s * 2**doublings)
        return self._rng.uniform(0.0, bound_s)
