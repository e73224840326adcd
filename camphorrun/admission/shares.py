"""Fair shares of the capacity by client account, within one priority."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# Time constant of the exponentially decaying demand estimate.
DEMAND_DECAY_SECONDS = 1.0
# Depth of the token bucket in seconds of the account's share, so that short random
# bursts are not refused.
BURST_SECONDS = 1.0
# An account without requests for this long is removed.
IDLE_TIMEOUT_SECONDS = 5.0


@dataclass(slots=True)
class AccountDemand:
    """Demand estimate and token bucket of one client account at one priority.

    ``rate`` is in cost per second. ``credit`` is in cost; it is infinite while the
    account is not limited.
    """

    weight: float
    rate: float = 0.0
    updated_at: float = -math.inf
    credit: float = math.inf
    credit_at: float = -math.inf

    def add(self, cost: float, now: float) -> None:
        """Add the cost of an offered request to the demand estimate."""
        self.rate = self.rate_at(now) + cost / DEMAND_DECAY_SECONDS
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the demand estimate in cost per second, decayed to ``now``."""
        return self.rate * math.exp(-(now - self.updated_at) / DEMAND_DECAY_SECONDS)

    def try_charge(self, rate_per_weight: float, cost: float, now: float) -> bool:
        """Take ``cost`` from the credit, which accrues at the account's share.

        Return False, and take nothing, if there is no credit left.
        """
        rate = rate_per_weight * self.weight
        max_credit = rate * BURST_SECONDS
        if math.isinf(self.credit):
            self.credit = max_credit
        else:
            accrued = rate * (now - self.credit_at)
            self.credit = min(max_credit, self.credit + accrued)
        self.credit_at = now
        # Credit may become negative, so that an account whose bucket holds less than
        # the cost of one request is still admitted from time to time.
        if self.credit <= 0.0:
            return False
        self.credit -= cost
        return True


@dataclass(slots=True)
class PriorityDemand:
    """Demand of one priority, in total and by client account.

    ``rate_per_weight`` is the cost per second that an account may use for each unit of
    its weight; it is infinite while the capacity covers the total demand.
    """

    # Ordered by the last request, so that idle accounts are at the front.
    accounts: OrderedDict[str, AccountDemand] = field(default_factory=OrderedDict)
    total: AccountDemand = field(default_factory=lambda: AccountDemand(1.0))
    rate_per_weight: float = math.inf

    def add(self, account: str, weight: float, cost: float, now: float) -> None:
        """Add the cost of an offered request of a client account."""
        demand = self.accounts.get(account)
        if demand is None:
            demand = self.accounts[account] = AccountDemand(weight)
        self.accounts.move_to_end(account)
        demand.weight = weight
        demand.add(cost, now)
        self.total.add(cost, now)

    def remove_idle_accounts(self, now: float) -> None:
        """Remove client accounts without requests for ``IDLE_TIMEOUT_SECONDS``."""
        while self.accounts:
            name, demand = next(iter(self.accounts.items()))
            if now - demand.updated_at <= IDLE_TIMEOUT_SECONDS:
                return
            del self.accounts[name]

    def allocate(self, capacity: float, now: float) -> float:
        """Set the rate per weight for a capacity and return the unused capacity.

        The accounts are examined one by one only if the capacity does not cover the
        total demand.
        """
        unallocated = capacity - self.total.rate_at(now)
        if unallocated >= 0:
            self.rate_per_weight = math.inf
            return unallocated
        rates = [
            (demand.rate_at(now), demand.weight) for demand in self.accounts.values()
        ]
        self.rate_per_weight = fair_rate_per_weight(rates, capacity)
        return 0.0

    def refund(self, account: str, cost: float) -> None:
        """Give back the credit of a request that another service refused."""
        demand = self.accounts.get(account)
        if demand is not None and math.isfinite(demand.credit):
            demand.credit += cost

    def try_admit(self, account: str, cost: float, now: float) -> bool:
        """Return whether a request is within the share, and charge its cost if so.

        The request must have been counted by ``add``.
        """
        if math.isinf(self.rate_per_weight):
            self.accounts[account].credit = math.inf
            return True
        return self.accounts[account].try_charge(self.rate_per_weight, cost, now)


def fair_rate_per_weight(
    rates: Iterable[tuple[float, float]], capacity: float
) -> float:
    """Return the weighted max-min fair rate for each unit of weight.

    The part of its share that an account does not use is divided among the others. The
    result is infinite if the capacity covers the demand of all accounts.

    Parameters
    ----------
    rates : iterable of (float, float)
        Demand in cost per second, and weight, of each client account.
    capacity : float
        Capacity to divide, in cost per second.

    Examples
    --------
    >>> fair_rate_per_weight([(1.0, 1.0), (9.0, 1.0), (9.0, 1.0)], 9.0)
    4.0
    """
    ordered = sorted(rates, key=lambda pair: pair[0] / pair[1])
    remaining_weight = sum(weight for _, weight in ordered)
    unallocated = capacity
    for rate, weight in ordered:
        rate_per_weight = unallocated / remaining_weight
        if rate / weight > rate_per_weight:
            return rate_per_weight
        unallocated -= rate
        remaining_weight -= weight
    return math.inf
