"""Tests of the counter of outcomes by client account."""

from .. import Metrics
from ..accounts import MAX_NAMED_ACCOUNTS, OTHER_ACCOUNTS, WINDOW_REQUESTS

ACCOUNTS = 49_000


def series(metrics: Metrics) -> dict[str, float]:
    """Return the exported count of each client account."""
    found = {}
    for family in metrics.registry.collect():
        for sample in family.samples:
            if sample.name == "camphorrun_account_outcomes_total":
                found[sample.labels["account"]] = sample.value
    return found


class TestAccountOutcomes:
    """Only the largest client accounts have series of their own."""

    def test_names_are_bounded_and_the_largest_is_named(self):
        """Guards against a series for each of 49,000 client accounts."""
        metrics = Metrics()
        for number in range(ACCOUNTS):
            metrics.account_outcomes.add(f"account-{number}", "answered")
            if number % 3 == 0:
                metrics.account_outcomes.add("large", "answered")
        found = series(metrics)
        assert len(found) <= MAX_NAMED_ACCOUNTS + 1
        assert found["large"] >= ACCOUNTS // 3 - WINDOW_REQUESTS

    def test_every_outcome_is_counted_once(self):
        """Guards against uncounted outcomes while the named accounts don't change."""
        metrics = Metrics()
        for number in range(1000):
            metrics.account_outcomes.add(f"account-{number % 50}", "answered")
        found = series(metrics)
        assert sum(found.values()) == 1000
        assert found[OTHER_ACCOUNTS] == 600
