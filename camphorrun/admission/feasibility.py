"""Feasibility check of multi-stage requests before their first stage starts.

Load pattern: a burst of one kind of request fills the queues of its stages. Requests
that will miss their objective would use the same stage calls as requests that can still
meet it, and make those late too. They are refused before any stage runs, with a
retry-after time at which the backlog is expected to have drained.
"""

from collections import deque

from .controller import DEADLINE_UNREACHABLE, OVERLOADED, Refused

# A request is still started if its predicted time exceeds the time to its objective by
# up to this share, because forecasts are uncertain.
MAX_OVERRUN_SHARE = 0.05
# Below this predicted wait the stages count as not overloaded, whatever the objective.
MIN_OVERLOAD_WAIT_SECONDS = 0.1
MIN_RETRY_AFTER_SECONDS = 0.3
# A request whose deadline is below this share of the longest one of its route may count
# as a retry. Callers on the users' platform send first attempts with 0.87 to 1.0 of it.
RETRY_DEADLINE_SHARE = 0.86
# Most refused callers of a route that one gateway keeps track of.
MAX_EXPECTED_RETRIES = 4096


def check_feasibility(
    predicted_s: float,
    wait_s: float,
    *,
    objective_left_s: float,
    deadline_left_s: float,
    is_retry: bool,
) -> Refused | None:
    """Return the refusal of a request that cannot end in time, or None to start it.

    Parameters
    ----------
    predicted_s : float
        Predicted time to the answer, including queue waits.
    wait_s : float
        Queue waits in that time.
    objective_left_s, deadline_left_s : float
        Time until the objective and until the deadline.
    is_retry : bool
        Whether the caller retries after a refusal. A retry is refused only if its
        deadline is unreachable.

    Examples
    --------
    >>> check_feasibility(
    ...     1.0, 0.5, objective_left_s=2, deadline_left_s=8, is_retry=False
    ... ) is None
    True
    >>> check_feasibility(
    ...     3.0, 1.5, objective_left_s=2, deadline_left_s=8, is_retry=False
    ... ).code
    'overloaded'
    """
    retry_after_s = max(MIN_RETRY_AFTER_SECONDS, wait_s)
    if predicted_s > deadline_left_s:
        return Refused(DEADLINE_UNREACHABLE, retry_after_s)
    if is_retry or wait_s < MIN_OVERLOAD_WAIT_SECONDS:
        return None
    if predicted_s > objective_left_s * (1.0 + MAX_OVERRUN_SHARE):
        return Refused(OVERLOADED, retry_after_s)
    return None


class RetryDetector:
    """Recognises retries by their deadline, which is what the first attempt left over.

    Load pattern: callers of one route set different deadlines. If a short deadline were
    enough, callers that always set a short one would always pass as retries. The number
    of retries is therefore bounded by the number of callers refused recently. Callers
    may retry at another gateway; as gateways refuse about equally many, the bound still
    fits.

    Examples
    --------
    >>> detector = RetryDetector()
    >>> detector.is_retry("route", 8.0, 0.0), detector.is_retry("route", 5.5, 0.0)
    (False, False)
    >>> detector.expect_retry("route", 0.0)
    >>> detector.is_retry("route", 5.5, 0.5), detector.is_retry("route", 5.5, 0.5)
    (True, False)
    """

    __slots__ = ("_expected_retries", "_longest_deadline_s")

    def __init__(self):
        self._longest_deadline_s: dict[str, float] = {}
        # Times at which callers were refused, by route.
        self._expected_retries: dict[str, deque[float]] = {}

    def expect_retry(self, route: str, now: float) -> None:
        """Record that a caller was refused and may retry."""
        times = self._expected_retries.setdefault(
            route, deque(maxlen=MAX_EXPECTED_RETRIES)
        )
        times.append(now)

    def is_retry(self, route: str, deadline_s: float, now: float) -> bool:
        """Return whether a request with this deadline counts as a retry.

        Each recorded refusal accounts for one retry at most.
        """
        is_expected = self.expects(route, deadline_s, now)
        longest_s = self._longest_s(route, deadline_s)
        self._longest_deadline_s[route] = longest_s
        if deadline_s >= longest_s * RETRY_DEADLINE_SHARE:
            return False
        expected_times = self._expected_retries.get(route, ())
        # A refused caller does not retry after the longest deadline has passed.
        while expected_times and expected_times[0] < now - longest_s:
            expected_times.popleft()
        if not is_expected:
            return False
        expected_times.popleft()
        return True

    def expects(self, route: str, deadline_s: float, now: float) -> bool:
        """Return what ``is_retry`` would return, without recording anything."""
        longest_s = self._longest_s(route, deadline_s)
        if deadline_s >= longest_s * RETRY_DEADLINE_SHARE:
            return False
        expected_times = self._expected_retries.get(route)
        return bool(expected_times) and expected_times[-1] >= now - longest_s

    def _longest_s(self, route: str, deadline_s: float) -> float:
        return max(deadline_s, self._longest_deadline_s.get(route, 0.0))
