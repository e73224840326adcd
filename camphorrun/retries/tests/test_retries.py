"""Tests of retry budget, back-off and hedging."""

from random import Random

from .. import Backoff, HedgePolicy, RetryBudget, UnlimitedRetries


class TestRetryBudget:
    """Retries are limited to a share of first attempts."""

    def test_amplification_is_bounded_when_all_attempts_fail(self):
        """Guards against a retry storm; attempts stay below 1.2 for each request."""
        budget = RetryBudget()
        first = retries = 0
        for step in range(20_000):
            now = step / 100
            first += 1
            budget.deposit(now)
            while budget.try_withdraw(now):
                retries += 1
        assert (first + retries) / first < 1.2

    def test_unused_budget_does_not_accumulate(self):
        """Guards against an idle hour that pays for a later retry storm."""
        budget = RetryBudget()
        budget.deposit(0.0)
        budget.deposit(3600.0)
        assert sum(budget.try_withdraw(3600.0) for _ in range(1000)) <= 11


class TestBackoff:
    """Delays are bounded and randomised."""

    def test_delays_are_bounded_and_spread(self):
        """Guards against synchronised retries, and delays above the bound."""
        backoff = Backoff(0.1, 2.0, Random(3))
        delays = [backoff.delay_s(40) for _ in range(200)]
        assert max(delays) <= 2.0
        assert max(backoff.delay_s(0) for _ in range(200)) <= 0.1
        assert len({round(delay, 2) for delay in delays}) > 50


class TestHedgePolicy:
    """Hedges are sent only for late attempts, within the budget, and without queue."""

    def make(self, budget):
        hedges = HedgePolicy(budget)
        for step in range(200):
            hedges.observe("s", 1.0 if step % 10 == 0 else 0.1)
        return hedges

    def ask(self, hedges, **changes):
        values = {
            "idempotent": True,
            "waited_s": 1.0,
            "queue_wait_s": 0.0,
            "remaining_s": 5.0,
            "now": 0.0,
            **changes,
        }
        return hedges.try_hedge("s", **values)

    def test_hedge_only_for_late_idempotent_attempt_without_queue(self):
        """Guards against early hedges, of non-idempotent calls, and under load."""
        hedges = self.make(UnlimitedRetries())
        assert self.ask(hedges)
        assert not self.ask(hedges, idempotent=False)
        assert not self.ask(hedges, waited_s=0.1)
        assert not self.ask(hedges, queue_wait_s=0.1)
        assert not self.ask(hedges, remaining_s=0.05)

    def test_hedges_come_from_the_budget(self):
        """Guards against hedges that bypass the retry budget."""
        hedges = self.make(RetryBudget(minimum_per_s=0.0))
        assert not self.ask(hedges)
