"""Budget that bounds retries and hedges as a share of first attempts."""

import math

# Time constant with which unused budget expires; a quiet hour buys no later storm.
BALANCE_DECAY_SECONDS = 10.0


class RetryBudget:
    """Allows retries up to a share of the recent first attempts.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt.
    minimum_per_s : float
        Retries a second that are allowed at low traffic.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.1, minimum_per_s=0.0)
    >>> for _ in range(11):
    ...     budget.deposit(0.0)
    >>> budget.try_withdraw(0.0), budget.try_withdraw(0.0)
    (True, False)
    """

    __slots__ = ("_balance", "_minimum_per_s", "_ratio", "_updated_at")

    def __init__(self, ratio: float = 0.1, minimum_per_s: float = 1.0):
        if ratio < 0 or minimum_per_s < 0:
            raise ValueError("ratio and minimum_per_s: expected 0 or more")
        self._ratio = ratio
        self._minimum_per_s = minimum_per_s
        self._balance = minimum_per_s
        self._updated_at: float | None = None

    def deposit(self, now: float) -> None:
        """Count one first attempt."""
        self._refill(now)
        self._balance += self._ratio

    def try_withdraw(self, now: float) -> bool:
        """Take one retry from the budget, or return False."""
        self._refill(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed_s = now - self._updated_at if self._updated_at is not None else 0.0
        self._updated_at = now
        if elapsed_s <= 0:
            return
        retained = math.exp(-elapsed_s / BALANCE_DECAY_SECONDS)
        equilibrium = self._minimum_per_s * BALANCE_DECAY_SECONDS
        self._balance = self._balance * retained + equilibrium * (1.0 - retained)


class UnlimitedRetries:
    """Allows every retry (baseline)."""

    __slots__ = ()

    def deposit(self, now: float) -> None:
        """Do nothing."""

    def try_withdraw(self, now: float) -> bool:
        """Return True."""
        return True


def retry_budget_by_name(name: str) -> RetryBudget | UnlimitedRetries:
    """Return a new budget for a settings value, ``budgeted`` or ``unbounded``.

    Raises
    ------
    ValueError
        If the name is unknown.
    """
    kinds = {"budgeted": RetryBudget, "unbounded": UnlimitedRetries}
    if name not in kinds:
        raise ValueError(f"retries: expected budgeted or unbounded, got {name!r}")
    return kinds[name]()
