"""Decides whether a request whose stages take long is started at all.

Load pattern: a burst of one kind of request fills the queues of its stages. Requests
that will be late anyway would spend the same stage calls as those that can still be in
time, and so make these late too. They are refused before anything is spent, and told
to come back when the backlog will have gone.
"""

from .controller import DEADLINE_UNREACHABLE, OVERLOADED, Refused

# A request is started if it would miss its objective by up to this share of it, because
# forecasts are uncertain.
ACCEPTED_OVERRUN = 0.05
# Below this wait the stages are not overloaded, whatever the objective is.
LEAST_WAIT_SECONDS = 0.1
MIN_RETRY_AFTER_SECONDS = 0.3
# A deadline below this share of the longest one is that of a repeat; callers of the
# users' platform send first tries with 0.87 to 1.0 of it.
RETURN_SHARE = 0.86


def judge_start(
    predicted_s: float,
    wait_s: float,
    *,
    objective_left_s: float,
    left_s: float,
    returned: bool,
) -> Refused | None:
    """Return why a request is not started, or None if it is.

    Parameters
    ----------
    predicted_s : float
        Predicted time to the answer, waits included.
    wait_s : float
        Part of it that is waiting.
    objective_left_s, left_s : float
        Time until the objective and until the deadline.
    returned : bool
        Whether the caller comes back after a refusal.

    Examples
    --------
    >>> judge_start(1.0, 0.5, objective_left_s=2, left_s=8, returned=False) is None
    True
    >>> judge_start(3.0, 1.5, objective_left_s=2, left_s=8, returned=False).code
    'overloaded'
    """
    retry_after_s = max(MIN_RETRY_AFTER_SECONDS, wait_s)
    if predicted_s > left_s:
        return Refused(DEADLINE_UNREACHABLE, retry_after_s)
    if returned or wait_s < LEAST_WAIT_SECONDS:
        return None
    if predicted_s > objective_left_s * (1.0 + ACCEPTED_OVERRUN):
        return Refused(OVERLOADED, retry_after_s)
    return None


class ReturnDetector:
    """Recognises repeats: their deadline is what is left of that of the first try.

    Examples
    --------
    >>> detector = ReturnDetector()
    >>> detector.is_return("route", 8.0), detector.is_return("route", 5.5)
    (False, True)
    """

    __slots__ = ("_longest",)

    def __init__(self):
        self._longest: dict[str, float] = {}

    def is_return(self, route: str, deadline_s: float) -> bool:
        """Return whether a request with this deadline repeats an earlier one."""
        longest_s = max(deadline_s, self._longest.get(route, 0.0))
        self._longest[route] = longest_s
        return deadline_s < longest_s * RETURN_SHARE
