"""Outcomes by client account, for the largest client accounts only.

There are too many client accounts for one label value each (49,000 at the target
scale), so all but the largest share one remainder.
"""

from collections import Counter as Tally

from prometheus_client import Counter

MAX_NAMED_ACCOUNTS = 20
# Requests after which the largest client accounts are determined anew; it also bounds
# the names that are remembered in between.
WINDOW_REQUESTS = 5000
REMAINDER = "*"


class AccountOutcomes:
    """Counts outcomes with at most ``MAX_NAMED_ACCOUNTS`` names and a remainder.

    A client account that is no longer among the largest loses its series; from then on
    it counts in the remainder.

    Parameters
    ----------
    counter : prometheus_client.Counter
        Counter with the labels ``account`` and ``status``.
    """

    def __init__(self, counter: Counter):
        self._counter = counter
        self._recent: Tally[str] = Tally()
        self._seen = 0
        # Named client accounts with the statuses that have a series.
        self._named: dict[str, set[str]] = {}

    def add(self, account: str, status: str) -> None:
        """Count one outcome."""
        self._recent[account] += 1
        self._seen += 1
        if account not in self._named and len(self._named) < MAX_NAMED_ACCOUNTS:
            self._named[account] = set()
        if account in self._named:
            self._named[account].add(status)
            self._counter.labels(account, status).inc()
        else:
            self._counter.labels(REMAINDER, status).inc()
        if self._seen >= WINDOW_REQUESTS:
            self._choose_names()

    def _choose_names(self) -> None:
        """Name the largest client accounts of the window."""
        largest = {name for name, _ in self._recent.most_common(MAX_NAMED_ACCOUNTS)}
        for name in set(self._named) - largest:
            for status in self._named.pop(name):
                self._counter.remove(name, status)
        for name in largest - set(self._named):
            self._named[name] = set()
        self._recent.clear()
        self._seen = 0
