"""Outcomes by client account, for the largest client accounts only.

There are too many client accounts for one label value each (49,000 at the target
scale), so all but the largest share one remainder.
"""

from collections import Counter as MultisetCounter

from prometheus_client import Counter

MAX_NAMED_ACCOUNTS = 20
# Requests after which the largest client accounts are determined anew; it also bounds
# the names that are remembered in between.
WINDOW_REQUESTS = 5000
OTHER_ACCOUNTS = "*"


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
        self._window_requests: MultisetCounter[str] = MultisetCounter()
        self._window_total = 0
        # Named client accounts with the statuses that have a series.
        self._statuses_by_account: dict[str, set[str]] = {}

    def add(self, account: str, status: str) -> None:
        """Count one outcome."""
        self._window_requests[account] += 1
        self._window_total += 1
        if (
            account not in self._statuses_by_account
            and len(self._statuses_by_account) < MAX_NAMED_ACCOUNTS
        ):
            self._statuses_by_account[account] = set()
        if account in self._statuses_by_account:
            self._statuses_by_account[account].add(status)
            self._counter.labels(account, status).inc()
        else:
            self._counter.labels(OTHER_ACCOUNTS, status).inc()
        if self._window_total >= WINDOW_REQUESTS:
            self._update_named_accounts()

    def _update_named_accounts(self) -> None:
        """Name the largest client accounts of the window."""
        largest = {
            name for name, _ in self._window_requests.most_common(MAX_NAMED_ACCOUNTS)
        }
        for name in set(self._statuses_by_account) - largest:
            for status in self._statuses_by_account.pop(name):
                self._counter.remove(name, status)
        for name in largest - set(self._statuses_by_account):
            self._statuses_by_account[name] = set()
        self._window_requests.clear()
        self._window_total = 0
