"""Decides whether a request whose stages take long is started at all.

Load pattern: a burst of one kind of request fills the queues of its stages. Requests
that will be late anyway would spend the same stage calls as those that can still be in
time, and so make these late too. They are refused before anything is spent, and told
to come back when the backlog will have gone.
"""

from collections import deque

from .controller import DEADLINE_UNREACHABLE, OVERLOADED, Refused

# A request is started if it would miss its objective by up to this share of it, because
# forecasts are uncertain.
MAX_OVERRUN_SHARE = 0.05
# Below this wait the stages are not overloaded, whatever the objective is.
MIN_OVERLOAD_WAIT_SECONDS = 0.1
MIN_RETRY_AFTER_SECONDS = 0.3
# A deadline below this share of the longest one is that of a repeat; callers of the
# users' platform send first tries with 0.87 to 1.0 of it.
RETRY_DEADLINE_SHARE = 0.86
# Callers of a route that may be expected back at one gateway.
MAX_EXPECTED_RETRIES = 4096


def check_feasibility(
    predicted_s: float,
    wait_s: float,
    *,
    objective_left_s: float,
    deadline_left_s: float,
    is_retry: bool,
) -> Refused | None:
    """Return why a request is not started, or None if it is.

    Parameters
    ----------
    predicted_s : float
        Predicted time to the answer, waits included.
    wait_s : float
        Part of it that is waiting.
    objective_left_s, deadline_left_s : float
        Time until the objective and until the deadline.
    is_retry : bool
        Whether the caller comes back after a refusal.

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
    """Recognises repeats: their deadline is what is left of that of the first try.

    Load pattern: callers of one route wait for different times. A short deadline alone
    would let the callers with the shortest one pass as repeats for ever, so there are
    no more repeats than callers who were turned away lately. They come back at other
    gateways, which turn as many away.

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
        # Times at which callers were turned away, by route.
        self._expected_retries: dict[str, deque[float]] = {}

    def expect_retry(self, route: str, now: float) -> None:
        """Note that a caller was turned away and may come back."""
        times = self._expected_retries.setdefault(
            route, deque(maxlen=MAX_EXPECTED_RETRIES)
        )
        times.append(now)

    def is_retry(self, route: str, deadline_s: float, now: float) -> bool:
        """Return whether a request with this deadline repeats an earlier one."""
        longest_s = max(deadline_s, self._longest_deadline_s.get(route, 0.0))
        self._longest_deadline_s[route] = longest_s
        if deadline_s >= longest_s * RETRY_DEADLINE_SHARE:
            return False
        expected_times = self._expected_retries.get(route, ())
        # Nobody comes back after the longest deadline.
        while expected_times and expected_times[0] < now - longest_s:
            expected_times.popleft()
        if not expected_times:
            return False
        expected_times.popleft()
        return True
