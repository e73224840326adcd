"""Permits for a rate limit that several senders share.

Load pattern: a server names the requests per second that it accepts from all senders
together. At a few requests per second the bursts of the senders, not their rates,
decide how many requests arrive in a window, so dividing the rate among them is not
enough. The senders therefore lend their shares to one of them, the owner, which grants
permits.
"""

import math
from dataclasses import dataclass

# Time in which unused permits accumulate, besides the one that any pool needs and the
# one that the pools have together. Requests come at random times, so permits would be
# lost at a low limit otherwise.
BURST_SECONDS = 0.25
COMMON_PERMITS = 1.0
# Lowest rate that is granted. Only an answer can withdraw a limit, so a server that
# accepts fewer requests, or none, still gets this many.
MIN_RATE_PER_SECOND = 0.2
# A permit that was not used within this time, counted from the start of its request
# and the wait that the owner named, has expired. The process may have been paused, or
# the connection may have taken long.
PERMIT_LIFETIME_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class PoolRules:
    """How a pool divides and accumulates the permits of a limit.

    Attributes
    ----------
    needs_majority : bool
        Whether the pool grants the whole rate while more than half of the senders lend
        to it, and nothing otherwise. Without it, the pool grants the shares lent.
    min_rate_per_s : float
        Lowest rate of the whole limit.
    max_burst : float
        Upper bound of the permits that accumulate.
    """

    needs_majority: bool = False
    min_rate_per_s: float = MIN_RATE_PER_SECOND
    max_burst: float = math.inf


SHARED_RULES = PoolRules()


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """Answer to a request for a permit.

    Attributes
    ----------
    granted : bool
        Whether one request may be sent.
    wait_s : float
        Time until it may be sent; if refused, until a permit is expected.
    """

    granted: bool
    wait_s: float


class PermitPool:
    """Grants permits at the rate of the shares that senders have lent.

    Each sender owns an equal share of the rate and lends it to one pool at a time, for
    the duration of a lease. Pools of different owners, which exist while the senders
    disagree on the owner, therefore never grant more than the whole rate together.

    Parameters
    ----------
    rate_limit : float
        Requests per second that the server accepts from all senders together.
    now : float
        Time of the timer service. A new pool has no permits, because a previous owner
        may just have granted some.
    rules : PoolRules, optional
        By default, the pool grants the shares that it has been lent.

    Attributes
    ----------
    used : int
        Permits that were granted and not returned.
    offered : float
        Permits that the rate has allowed since the pool was created.

    Examples
    --------
    >>> pool = PermitPool(2.0, now=0.0)
    >>> pool.renew("a", group_size=2, lease_s=9.0, now=0.0)
    >>> pool.rate_per_s(0.0)
    1.0
    >>> pool.request("a", max_wait_s=0.0, now=0.5)
    PermitAnswer(granted=False, wait_s=0.5)
    >>> pool.request("a", max_wait_s=0.0, now=1.0).granted
    True
    """

    __slots__ = (
        "_balance",
        "_group_size",
        "_leases",
        "_next_expiry",
        "_rate_limit",
        "_rules",
        "_updated_at",
        "offered",
        "used",
    )

    def __init__(self, rate_limit: float, now: float, rules: PoolRules = SHARED_RULES):
        self._rate_limit = rate_limit
        self._rules = rules
        self.used = 0
        self.offered = 0.0
        self._balance = 0.0
        self._updated_at = now
        # By lender, the end of the lease and the number of senders it knows.
        self._leases: dict[str, tuple[float, int]] = {}
        # No lease ends before this time. Finding the earliest end visits all leases, so
        # it is not done at each request.
        self._next_expiry = math.inf
        # Senders may know different numbers of senders; the largest is the safe one.
        self._group_size = 1

    def set_rate_limit(
        self, rate_limit: float, now: float, rules: PoolRules = SHARED_RULES
    ) -> None:
        """Apply a changed limit from now on."""
        if (rate_limit, rules) == (self._rate_limit, self._rules):
            return
        self._update(now)
        if rules.needs_majority and not self._rules.needs_majority:
            # The senders did not lend under the conditions of these rules.
            self._leases.clear()
            self._expire(math.inf)
        self._rate_limit, self._rules = rate_limit, rules
        # Permits that accumulated by other rules may exceed the burst of these.
        self._update(now)

    def renew(self, lender: str, group_size: int, lease_s: float, now: float) -> None:
        """Add the share of a sender that knows ``group_size`` senders, for a lease."""
        self._update(now)
        self._leases[lender] = (now + lease_s, group_size)
        self._next_expiry = min(self._next_expiry, now + lease_s)
        self._group_size = max(self._group_size, group_size)

    def rate_per_s(self, now: float) -> float:
        """Return the rate of the shares that are lent, in requests per second."""
        rate_limit = max(self._rate_limit, self._rules.min_rate_per_s)
        return rate_limit * self._lent_share(now)

    def _lent_share(self, now: float) -> float:
        """Return the part of the limit that this pool may grant, 0 to 1."""
        self._expire(now)
        if self._rules.needs_majority:
            return float(2 * len(self._leases) > self._group_size)
        return min(1.0, len(self._leases) / self._group_size)

    def _permit_time_left_s(self, lender: str, now: float) -> float:
        """Return how long a permit may wait: the lease or the majority ends then."""
        if self._rules.needs_majority:
            ends = sorted((end for end, _ in self._leases.values()), reverse=True)
            majority = self._group_size // 2
            return ends[majority] - now if majority < len(ends) else 0.0
        lease_end, _ = self._leases.get(lender, (now, 0))
        return lease_end - now

    def unused_s(self, now: float) -> float:
        """Return the time since the last lease or request, 0 while there is a lease."""
        self._expire(now)
        return 0.0 if self._leases else now - self._updated_at

    def request(self, lender: str, max_wait_s: float, now: float) -> PermitAnswer:
        """Grant or refuse a permit that a sender uses within ``max_wait_s``.

        A permit never outlasts the sender's lease, because the sender may lend its
        share to another pool afterwards. A pool that needs a majority grants permits
        also to senders that lend nothing, while it has the majority.
        """
        self._update(now)
        rate = self.rate_per_s(now)
        lease_left_s = self._permit_time_left_s(lender, now)
        if rate <= 0.0 or lease_left_s <= 0.0:
            return PermitAnswer(False, max(0.0, lease_left_s))
        wait_s = max(0.0, (1.0 - self._balance) / rate)
        if wait_s > min(max_wait_s, lease_left_s):
            return PermitAnswer(False, wait_s)
        self._balance -= 1.0
        self.used += 1
        return PermitAnswer(True, wait_s)

    def give_back(self, now: float) -> None:
        """Take back one permit that this pool granted and that will not be used."""
        self._update(now)
        if self.used and self._lent_share(now):
            self.used -= 1
            self._balance = min(self._burst(now), self._balance + 1.0)

    def _update(self, now: float) -> None:
        """Add the permits since the last update, at the rate of the leases left."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        permits = elapsed_s * self.rate_per_s(now)
        self.offered += permits
        self._balance = min(self._burst(now), self._balance + permits)

    def _burst(self, now: float) -> float:
        """Return the largest number of permits that accumulate."""
        rate = self.rate_per_s(now)
        if not rate:
            return 0.0
        common = COMMON_PERMITS * self._lent_share(now)
        return min(self._rules.max_burst, 1.0 + common + BURST_SECONDS * rate)

    def _expire(self, now: float) -> None:
        if now < self._next_expiry:
            return
        self._leases = {
            lender: lease for lender, lease in self._leases.items() if lease[0] > now
        }
        leases = self._leases.values()
        self._next_expiry = min((end for end, _ in leases), default=math.inf)
        self._group_size = max((size for _, size in leases), default=1)
