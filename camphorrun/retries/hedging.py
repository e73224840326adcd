"""Decision whether and when to send a second attempt of an idempotent stage."""

from collections import deque

from .budgets import RetryBudget, UnlimitedRetries

HEDGE_PERCENTILE = 0.95
MIN_SAMPLES = 20
WINDOW_SAMPLES = 200
# The percentile is computed again after this many samples.
REFRESH_SAMPLES = 10
# A hedge adds load, so none is sent while work waits longer than this share of the
# median latency.
MAX_QUEUE_SHARE = 0.5


class _RecentLatency:
    """Latencies of one service in a sliding window."""

    __slots__ = ("_samples_since_refresh", "_window", "hedge_after_s", "median_s")

    def __init__(self):
        self._window: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._samples_since_refresh = 0
        self.hedge_after_s: float | None = None
        self.median_s = 0.0

    def add(self, latency_s: float) -> None:
        self._window.append(latency_s)
        self._samples_since_refresh += 1
        if (
            len(self._window) < MIN_SAMPLES
            or self._samples_since_refresh < REFRESH_SAMPLES
        ):
            return
        self._samples_since_refresh = 0
        ordered = sorted(self._window)
        self.median_s = ordered[len(ordered) // 2]
        self.hedge_after_s = ordered[int(len(ordered) * HEDGE_PERCENTILE)]


class HedgePolicy:
    """Allows hedges after the recent 95th percentile of a service, from a budget.

    Parameters
    ----------
    budget : RetryBudget or UnlimitedRetries
        The budget that retries are taken from as well.
    """

    def __init__(self, budget: RetryBudget | UnlimitedRetries):
        self._budget = budget
        self._latencies: dict[str, _RecentLatency] = {}

    def observe(self, service: str, latency_s: float) -> None:
        """Add the latency of a successful attempt."""
        self._latencies.setdefault(service, _RecentLatency()).add(latency_s)

    def delay_s(self, service: str, idempotent: bool) -> float | None:
        """Return the time after which to ask ``try_hedge``; None for never."""
        recent = self._latencies.get(service)
        if not idempotent or recent is None:
            return None
        return recent.hedge_after_s

    def try_hedge(
        self,
        service: str,
        *,
        idempotent: bool,
        waited_s: float,
        queue_wait_s: float,
        remaining_s: float,
        now: float,
    ) -> bool:
        """Decide on a hedge and take it from the budget.

        ``waited_s`` is the time since the first attempt was sent, ``queue_wait_s`` the
        predicted queue wait of the service and ``remaining_s`` the time left until
        the deadline.
        """
        delay_s = self.delay_s(service, idempotent)
        if delay_s is None or waited_s < delay_s:
            return False
        median_s = self._latencies[service].median_s
        if queue_wait_s > median_s * MAX_QUEUE_SHARE:
            return False
        if remaining_s < median_s + queue_wait_s:
            return False
        return self._budget.try_withdraw(now)


class NoHedging:
    """Sends no hedge (baseline)."""

    __slots__ = ()

    def observe(self, service: str, latency_s: float) -> None:
        """Do nothing."""

    def delay_s(self, service: str, idempotent: bool) -> None:
        """Return None, for never."""


def hedging_policy_by_name(
    name: str, budget: RetryBudget | UnlimitedRetries | None = None
) -> HedgePolicy | NoHedging:
    """Return a new policy for a settings value, ``hedged`` or ``unhedged``.

    Raises
    ------
    ValueError
        If the name is unknown.
    """
    if name not in ("hedged", "unhedged"):
        raise ValueError(f"hedges: expected hedged or unhedged, got {name!r}")
    if name == "unhedged":
        return NoHedging()
    return HedgePolicy(RetryBudget() if budget is None else budget)
