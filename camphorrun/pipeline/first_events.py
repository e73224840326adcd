"""Observed time from sending a prompt to the first event of its answer.

Load pattern: one service gets prompts of a few hundred and of many thousand tokens.
With one estimate for both, short prompts look late and are refused or given up although
they would be in time, and long prompts are admitted and end late.
"""

# Smoothing factor of the moving average.
OBSERVATION_WEIGHT = 0.1
# Estimate before the first observation of a service and size.
DEFAULT_FIRST_EVENT_SECONDS = 0.25


class FirstEventTimes:
    """Moving average of the time to first event, by service and prompt size.

    Prompt sizes are grouped by powers of two.

    Examples
    --------
    >>> times = FirstEventTimes()
    >>> times.observe("s", 700, 0.05)
    >>> times.expected_s("s", 900), times.expected_s("s", 9000)
    (0.05, 0.25)
    """

    __slots__ = ("_mean_seconds",)

    def __init__(self):
        self._mean_seconds: dict[tuple[str, int], float] = {}

    def observe(self, service: str, tokens: int, seconds: float) -> None:
        """Add an observation for a prompt of ``tokens`` tokens."""
        key = service, tokens.bit_length()
        mean_s = self._mean_seconds.get(key, seconds)
        self._mean_seconds[key] = mean_s + OBSERVATION_WEIGHT * (seconds - mean_s)

    def expected_s(self, service: str, tokens: int) -> float:
        """Return the expected time to first event in seconds."""
        return self._mean_seconds.get(
            (service, tokens.bit_length()), DEFAULT_FIRST_EVENT_SECONDS
        )
