"""Expected queue waits of stage shards, and the choice of a shard.

Load pattern: results of megabytes should be produced in the zone that uses them, but a
burst in one zone fills its replicas while those of other zones are idle. Shard owners
report their wait with each reply. A remote shard is chosen once the wait at the nearest
shard exceeds the remote one by more than the transfer is worth, or by more time than
the request can spare.

While an owner divides its calls among client accounts, the wait that it reports is that
of one account. An account without a report of its own takes the last wait of one within
its share.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

# Seconds by which a reported wait shrinks for each second of its age, because the queue
# drains in the meantime.
FORECAST_DECAY_PER_SECOND = 0.7
# Waits of single accounts that are kept for each shard; the oldest is removed first.
MAX_ACCOUNT_WAITS = 1024


@dataclass(frozen=True, slots=True)
class _Report:
    """Reported wait in seconds, and when it was reported."""

    wait_s: float
    seen_at: float
    over_share: bool = False

    def left_s(self, now: float) -> float:
        """Return what is left of the wait; may be negative."""
        return self.wait_s - (now - self.seen_at) * FORECAST_DECAY_PER_SECOND


_NO_REPORT = _Report(0.0, -math.inf)


@dataclass(slots=True)
class _ShardReports:
    """Reports of one shard.

    ``latest`` are by result size and priority, ``common`` without accounts over their
    share, ``by_account`` also by account, the last one at the end. ``is_divided`` tells
    whether the last report was that of one account.
    """

    latest: dict[tuple[int, int], _Report] = field(default_factory=dict)
    common: dict[tuple[int, int], _Report] = field(default_factory=dict)
    by_account: OrderedDict[tuple[int, int, str], _Report] = field(
        default_factory=OrderedDict
    )
    is_divided: bool = False

    def find(self, size: int, priority: int, account: str, now: float) -> _Report:
        """Return the report that counts for an account."""
        common = self.common.get((size, priority), _NO_REPORT)
        own = self.by_account.get((size, priority, account))
        if own is None or (own.seen_at < common.seen_at and own.left_s(now) <= 0.0):
            return common
        return own


class WaitForecasts:
    """Last reported waits by service, shard, result size, priority and account.

    Examples
    --------
    >>> waits = WaitForecasts()
    >>> waits.record("s", "a", 10, 1, 0.9, now=0.0)
    >>> waits.wait_s("s", "a", 10, 1, now=0.0), waits.wait_s("s", "a", 10, 0, now=0.0)
    (0.9, 0.0)
    >>> waits.best_shard("s", {"a": 0.0, "b": 0.3}, 10, 1, now=0.0)
    'b'
    >>> waits.best_shard("s", {"a": 0.0, "b": 0.3}, 10, 1, now=1.3)
    'a'
    """

    __slots__ = ("_waits",)

    def __init__(self):
        self._waits: dict[tuple[str, str], _ShardReports] = {}

    def record(
        self,
        service: str,
        shard: str,
        result_bytes: int,
        priority: int,
        wait_s: float,
        *,
        now: float,
        account: str = "",
        by_account: bool = False,
        over_share: bool = False,
    ) -> None:
        """Store the wait that the owner of a shard reported.

        Parameters
        ----------
        service, shard : str
            Stage service and its shard.
        result_bytes, priority : int
            Result size in bytes and rank of the pieces that wait.
        wait_s : float
            Queueing delay in seconds.
        now : float
            Current time in seconds of the timer service.
        account : str
            Client account of the pieces.
        by_account : bool
            Whether the wait is that of the account only.
        over_share : bool
            Whether the account is over its share; other accounts do not wait as long.
        """
        reports = self._waits.setdefault((service, shard), _ShardReports())
        report = _Report(wait_s, now, over_share)
        reports.is_divided = by_account
        reports.by_account.pop((result_bytes, priority, account), None)
        if by_account:
            reports.by_account[result_bytes, priority, account] = report
            if len(reports.by_account) > MAX_ACCOUNT_WAITS:
                reports.by_account.popitem(last=False)
        reports.latest[result_bytes, priority] = report
        if not over_share:
            reports.common[result_bytes, priority] = report

    def age_s(
        self,
        service: str,
        shard: str,
        result_bytes: int,
        priority: int,
        *,
        now: float,
        account: str = "",
    ) -> float:
        """Return the age of the last reported wait; infinite if there is none.

        While the calls are divided among accounts, only reports of the account count.
        """
        reports = self._waits.get((service, shard), _ShardReports())
        if reports.is_divided:
            key = result_bytes, priority, account
            return now - reports.by_account.get(key, _NO_REPORT).seen_at
        return now - reports.common.get((result_bytes, priority), _NO_REPORT).seen_at

    def wait_s(
        self,
        service: str,
        shard: str,
        result_bytes: int,
        priority: int,
        *,
        now: float,
        account: str = "",
    ) -> float:
        """Return the expected wait; waits of less urgent requests do not count."""
        report = self._determining(
            service, shard, result_bytes, priority, account=account, now=now
        )
        return max(0.0, report.left_s(now))

    def wait_and_age_s(
        self,
        service: str,
        shard: str,
        result_bytes: int,
        priority: int,
        *,
        now: float,
        account: str = "",
    ) -> tuple[float, float]:
        """Return the expected wait and the age of the report that determines it.

        The age is infinite if no wait was reported that counts.
        """
        report = self._determining(
            service, shard, result_bytes, priority, account=account, now=now
        )
        return max(0.0, report.left_s(now)), now - report.seen_at

    def _determining(
        self,
        service: str,
        shard: str,
        result_bytes: int,
        priority: int,
        *,
        now: float,
        account: str,
    ) -> _Report:
        """Return the report that determines the wait of an account."""
        reports = self._waits.get((service, shard), _ShardReports())
        own = reports.find(result_bytes, priority, account, now)
        # All accounts of more urgent priorities go first.
        urgent = (
            report
            for (size, known_priority), report in reports.latest.items()
            if size == result_bytes and known_priority < priority
        )
        return max((own, *urgent), key=lambda report: report.left_s(now))

    def is_over_share(
        self,
        service: str,
        result_bytes: int,
        priority: int,
        account: str,
        *,
        now: float,
    ) -> bool:
        """Return whether an account is over its share at a shard by its last report."""
        own_reports = (
            reports.by_account.get((result_bytes, priority, account), _NO_REPORT)
            for (known_service, _), reports in self._waits.items()
            if known_service == service
        )
        return any(r.over_share and r.left_s(now) > 0.0 for r in own_reports)

    def best_shard(
        self,
        service: str,
        shards: Mapping[str, float],
        result_bytes: int,
        priority: int,
        *,
        now: float,
        account: str = "",
    ) -> str:
        """Return the shard with the least sum of wait and penalty.

        ``shards`` maps each candidate to its penalty in seconds, which is 0 for the
        nearest shard.
        """

        def cost_s(shard: str) -> tuple[float, str]:
            wait_s = self.wait_s(
                service, shard, result_bytes, priority, now=now, account=account
            )
            return wait_s + shards[shard], shard

        return min(shards, key=cost_s)
