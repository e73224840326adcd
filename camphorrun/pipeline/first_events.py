"""How long endpoints take to the first event of a prompt, as observed.

Load pattern: one service reads prompts of a few hundred and of many thousand tokens. A
common guess makes short ones look late, which are refused or given up in time, and
long ones in time, which then end late.
"""

# Weight of the last observation.
OBSERVATION_WEIGHT = 0.1
# Assumed before the first observation.
DEFAULT_FIRST_EVENT_SECONDS = 0.25


class FirstEventTimes:
    """Mean time to the first event by service and size of the prompt.

    Sizes are told apart by powers of two.

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
        """Take over an observation."""
        key = service, tokens.bit_length()
        mean_s = self._mean_seconds.get(key, seconds)
        self._mean_seconds[key] = mean_s + OBSERVATION_WEIGHT * (seconds - mean_s)

    def expected_s(self, service: str, tokens: int) -> float:
        """Return the time to expect for a prompt."""
        return self._mean_seconds.get(
            (service, tokens.bit_length()), DEFAULT_FIRST_EVENT_SECONDS
        )
