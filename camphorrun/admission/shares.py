"""Fair shares of the capacity, by priority and then by client account."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# Time constant of the demand estimate of a client account.
DEMAND_DECAY_SECONDS = 1.0
# Share that an account may use at once, so that random bursts are not refused.
BURST_SECONDS = 1.0
# An account that sent nothing for this long is forgotten.
IDLE_TIMEOUT_SECONDS = 5.0


@dataclass(slots=True)
class AccountDemand:
    """Recent demand of one client account at one priority, in cost per second."""

    weight: float
    rate: float = 0.0
    updated_at: float = -math.inf
    credit: float = math.inf
    credit_at: float = -math.inf

    def add(self, cost: float, now: float) -> None:
        """Count offered cost."""
        self.rate = self.rate_at(now) + cost / DEMAND_DECAY_SECONDS
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the demand, decayed to ``now``."""
        return self.rate * math.exp(-(now - self.updated_at) / DEMAND_DECAY_SECONDS)

    def try_charge(self, rate_per_weight: float, cost: float, now: float) -> bool:
        """Take ``cost`` from the credit that accrues at the account's share."""
        rate = rate_per_weight * self.weight
        max_credit = rate * BURST_SECONDS
        if math.isinf(self.credit):
            self.credit = max_credit
        else:
            accrued = rate * (now - self.credit_at)
            self.credit = min(max_credit, self.credit + accrued)
        self.credit_at = now
        # Credit may become negative, so that a share below one request still works.
        if self.credit <= 0.0:
            return False
        self.credit -= cost
        return True


@dataclass(slots=True)
class PriorityDemand:
    """Demand of one priority; ``level`` is the rate that each weight unit may use."""

    # Ordered by the last request, so that idle accounts are found at the front.
    accounts: OrderedDict[str, AccountDemand] = field(default_factory=OrderedDict)
    total: AccountDemand = field(default_factory=lambda: AccountDemand(1.0))
    rate_per_weight: float = math.inf

    def add(self, account: str, weight: float, cost: float, now: float) -> None:
        """Count offered cost of a client account."""
        demand = self.accounts.get(account)
        if demand is None:
            demand = self.accounts[account] = AccountDemand(weight)
        self.accounts.move_to_end(account)
        demand.weight = weight
        demand.add(cost, now)
        self.total.add(cost, now)

    def remove_idle_accounts(self, now: float) -> None:
        """Remove client accounts that sent nothing for a while."""
        while self.accounts:
            name, demand = next(iter(self.accounts.items()))
            if now - demand.updated_at <= IDLE_TIMEOUT_SECONDS:
                return
            del self.accounts[name]

    def allocate(self, capacity: float, now: float) -> float:
        """Set the level for the capacity and return what is left of it.

        The accounts are looked at one by one only while the capacity is short.
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
        """Give back the credit of a request that was refused elsewhere."""
        demand = self.accounts.get(account)
        if demand is not None and math.isfinite(demand.credit):
            demand.credit += cost

    def try_admit(self, account: str, cost: float, now: float) -> bool:
        """Decide on one request, already counted by ``add``, and charge its cost."""
        if math.isinf(self.rate_per_weight):
            self.accounts[account].credit = math.inf
            return True
        return self.accounts[account].try_charge(self.rate_per_weight, cost, now)


def fair_rate_per_weight(
    rates: Iterable[tuple[float, float]], capacity: float
) -> float:
    """Return the rate for each weight unit that uses the capacity up.

    What an account leaves unused of its share is lent to the others. The result is
    infinite if the capacity is enough for all.

    Parameters
    ----------
    rates : iterable of (float, float)
        Demand and weight of each client account.
    capacity : float
        Capacity to divide.

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
