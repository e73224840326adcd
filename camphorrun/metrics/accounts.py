"""Counter of outcomes by client account, with a bounded number of series.

With up to 49,000 client accounts at the target scale, one label value for each would
be too many. The accounts with the most requests have their own label value; all others
share one.
"""

from collections import Counter as MultisetCounter

from prometheus_client import Counter

MAX_NAMED_ACCOUNTS = 20
# The largest client accounts are determined again after this number of requests, which
# also limits the number of account names that are counted in the meantime.
WINDOW_REQUESTS = 5000
OTHER_ACCOUNTS = "*"


class AccountOutcomes:
    """Counts outcomes of at most ``MAX_NAMED_ACCOUNTS`` accounts under their names.

    The outcomes of all other client accounts are counted under ``OTHER_ACCOUNTS``. The
    series of a client account that is no longer among the largest are removed, and its
    further outcomes are counted with the others.

    Parameters
    ----------
    counter : prometheus_client.Counter
        Counter with the labels ``account`` and ``status``.
    """

    def __init__(self, counter: Counter):
        self._counter = counter
        self._window_requests: MultisetCounter[str] = MultisetCounter()
        self._window_total = 0
        # For each named client account, the statuses for which a series exists.
        self._statuses_by_account: dict[str, set[str]] = {}

    def add(self, account: str, status: str) -> None:
        """Count one outcome of a client account."""
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
        """Replace the named client accounts by the largest ones of the window."""
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
