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
        "_updated_at",
    )

    def __init__(self, rate_limit: float, now: float):
        self._rate_limit = rate_limit
        self._balance = 0.0
        self._updated_at = now
        # By lender, the end of the lease and the number of senders it knows.
        self._leases: dict[str, tuple[float, int]] = {}
        # No lease ends before this time. Finding the earliest end visits all leases, so
        # it is not done at each request.
        self._next_expiry = math.inf
        # Senders may know different numbers of senders; the largest is the safe one.
        self._group_size = 1

    def set_rate_limit(self, rate_limit: float, now: float) -> None:
        """Apply a changed limit from now on."""
        self._update(now)
        self._rate_limit = rate_limit

    def renew(self, lender: str, group_size: int, lease_s: float, now: float) -> None:
        """Add the share of a sender that knows ``group_size`` senders, for a lease."""
        self._update(now)
        self._leases[lender] = (now + lease_s, group_size)
        self._next_expiry = min(self._next_expiry, now + lease_s)
        self._group_size = max(self._group_size, group_size)

    def rate_per_s(self, now: float) -> float:
        """Return the rate of the shares that are lent, in requests per second."""
        return max(self._rate_limit, MIN_RATE_PER_SECOND) * self._lent_share(now)

    def _lent_share(self, now: float) -> float:
        """Return the part of the limit that is lent to this pool, 0 to 1."""
        self._expire(now)
        return min(1.0, len(self._leases) / self._group_size)

    def unused_s(self, now: float) -> float:
        """Return the time since the last lease or request, 0 while there is a lease."""
        self._expire(now)
        return 0.0 if self._leases else now - self._updated_at

    def request(self, lender: str, max_wait_s: float, now: float) -> PermitAnswer:
        """Grant or refuse a permit that a sender uses within ``max_wait_s``.

        A permit never outlasts the sender's lease, because the sender may lend its
        share to another pool afterwards.
        """
        self._update(now)
        rate = self.rate_per_s(now)
        lease_end, _ = self._leases.get(lender, (now, 0))
        lease_left_s = lease_end - now
        if rate <= 0.0 or lease_left_s <= 0.0:
            return PermitAnswer(False, max(0.0, lease_left_s))
        wait_s = max(0.0, (1.0 - self._balance) / rate)
        if wait_s > min(max_wait_s, lease_left_s):
            return PermitAnswer(False, wait_s)
        self._balance -= 1.0
        return PermitAnswer(True, wait_s)

    def _update(self, now: float) -> None:
        """Add the permits since the last update, at the rate of the leases left."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        rate = self.rate_per_s(now)
        common = COMMON_PERMITS * self._lent_share(now)
        burst = 1.0 + common + BURST_SECONDS * rate if rate else 0.0
        self._balance = min(burst, self._balance + elapsed_s * rate)

    def _expire(self, now: float) -> None:
        if now < self._next_expiry:
            return
        self._leases = {
            lender: lease for lender, lease in self._leases.items() if lease[0] > now
        }
        leases = self._leases.values()
        self._next_expiry = min((end for end, _ in leases), default=math.inf)
        self._group_size = max((size for _, size in leases), default=1)
