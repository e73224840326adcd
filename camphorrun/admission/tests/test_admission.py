"""Tests of admission by deadline, priority and fair share."""

from random import Random

import pytest

from .. import (
    AdmissionController,
    AdmissionRequest,
    AdmitAll,
    Admitted,
    Refused,
)


def request(account="a", priority=0, predicted_s=0.5, weight=1.0, cost=1.0):
    return AdmissionRequest(account, weight, priority, 4.0, predicted_s, cost)


def offer(controller, sources, seconds, seed=1):
    """Offer Poisson arrivals; return the admitted share by source after 5 s."""
    rng = Random(seed)
    offered = dict.fromkeys(sources, 0)
    admitted = dict.fromkeys(sources, 0)
    events = []
    for source, rate in sources.items():
        now = rng.expovariate(rate)
        while now < seconds:
            events.append((now, source))
            now += rng.expovariate(rate)
    for now, source in sorted(events):
        account, priority = source
        req = request(account, priority)
        if isinstance(controller.admit(req, now), Admitted):
            controller.release(account, req.cost, now)
            admitted[source] += now > 5.0
        offered[source] += now > 5.0
    return {source: admitted[source] / offered[source] for source in sources}


class TestAdmissionController:
    """Refusals come before work, by deadline, priority and share."""

    def test_request_that_would_miss_is_refused(self):
        """Guards against work spent on a request that cannot make its deadline."""
        controller = AdmissionController()
        answer = controller.admit(request(predicted_s=4.5), 0.0)
        assert answer.code == "deadline_unreachable"
        assert answer.retry_after_s > 0

    def test_highest_priority_is_kept_at_twice_the_capacity(self):
        """Guards against overload that reaches the highest priority (99%)."""
        controller = AdmissionController()
        controller.on_capacity(100.0, 0.0)
        shares = offer(
            controller, {("a", 0): 40.0, ("b", 1): 80.0, ("c", 2): 80.0}, 60.0
        )
        assert shares["a", 0] >= 0.99
        assert shares["c", 2] < 0.1

    def test_one_account_at_ten_times_its_share(self):
        """Guards against a flood of one account: others lose under one point."""
        sources = {(f"n{index}", 0): 7.0 for index in range(9)}
        controller = AdmissionController()
        controller.on_capacity(100.0, 0.0)
        shares = offer(controller, {**sources, ("flood", 0): 100.0}, 120.0)
        lost = [1.0 - share for source, share in shares.items() if source in sources]
        assert sum(lost) / len(lost) < 0.01
        # The unused share of the others is lent to the flooding account.
        assert shares["flood", 0] > 0.25

    def test_weights_divide_the_capacity(self):
        """Guards against shares that ignore the weights."""
        controller = AdmissionController()
        controller.on_capacity(40.0, 0.0)
        admitted = {"light": 0, "heavy": 0}
        for step in range(6000):
            for account, weight in (("light", 1.0), ("heavy", 3.0)):
                answer = controller.admit(request(account, weight=weight), step / 100)
                admitted[account] += isinstance(answer, Admitted)
        assert 2.6 < admitted["heavy"] / admitted["light"] < 3.4

    def test_requests_in_flight_are_bounded(self):
        """Guards against memory that grows with the load."""
        controller = AdmissionController(max_requests=2)
        controller.admit(request(), 0.0)
        controller.admit(request(), 0.0)
        assert controller.admit(request(), 0.0).code == "overloaded"
        controller.release("a", 1.0, 0.1)
        assert isinstance(controller.admit(request(), 0.1), Admitted)

    def test_idle_accounts_are_forgotten(self):
        """Guards against memory for each of 49,000 client accounts."""
        controller = AdmissionController(max_requests=10**6)
        controller.on_capacity(10.0**6, 0.0)
        for number in range(49_000):
            controller.admit(request(f"a{number}"), number / 1000)
        assert controller.tracked_accounts() < 6000

    def test_missed_deadlines_lower_what_is_admitted(self):
        """Guards against trust in a capacity that is no longer there."""
        controller = AdmissionController()
        controller.on_capacity(100.0, 0.0)
        for step in range(400):
            controller.on_outcome(False, step * 0.02)
        shares = offer(controller, {("a", 0): 100.0}, 30.0)
        assert shares["a", 0] < 0.9

    def test_backlog_stays_short_when_the_reported_capacity_is_double(self):
        """Guards against a capacity report that lags behind a heated room."""
        controller = AdmissionController()
        controller.on_capacity(200.0, 0.0)
        waiting = completed = 0
        for step in range(3000):
            now = step / 100
            for _ in range(2):
                waiting += isinstance(controller.admit(request(), now), Admitted)
            if waiting:
                waiting -= 1
                completed += now > 5.0
                controller.release("a", 1.0, now)
        assert completed >= 0.9 * 2500
        # Half of the deadline of 4 s at 100 completions a second.
        assert waiting < 200

    def test_baseline_admits_everything(self):
        """Guards against a baseline that is better than none."""
        controller = AdmissionController(AdmitAll(), max_requests=1)
        answers = [controller.admit(request(predicted_s=9.0), 0.0) for _ in range(9)]
        assert not any(isinstance(answer, Refused) for answer in answers)

    def test_invalid_weight_is_rejected(self):
        """Guards against a division by a weight of zero."""
        with pytest.raises(ValueError, match="weight"):
            request(weight=0.0)
