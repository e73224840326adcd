"""Tests of admission by deadline, priority and fair share."""

from random import Random

import pytest

from .. import (
    AdmissionController,
    AdmissionGroup,
    AdmissionRequest,
    AdmitAll,
    Admitted,
    GroupRequest,
    Refused,
)


def request(account="a", priority=0, predicted_s=0.5, weight=1.0, cost=1.0):
    return AdmissionRequest(account, weight, priority, 4.0, predicted_s, cost)


def offer(controller, sources, seconds, seed=1):
    """Offer Poisson arrivals and return the share admitted after 5 s, by source."""
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
    """Requests are refused before they run, by deadline, priority and fair share."""

    def test_request_that_would_miss_its_deadline_is_refused(self):
        """Guards against running a request that cannot meet its deadline."""
        controller = AdmissionController()
        answer = controller.admit(request(predicted_s=4.5), 0.0)
        assert answer.code == "deadline_unreachable"
        assert answer.retry_after_s > 0

    def test_highest_priority_is_admitted_at_twice_the_capacity(self):
        """Guards against overload that affects the highest priority (99% admitted)."""
        controller = AdmissionController()
        controller.on_capacity(100.0, 0.0)
        shares = offer(
            controller, {("a", 0): 40.0, ("b", 1): 80.0, ("c", 2): 80.0}, 60.0
        )
        assert shares["a", 0] >= 0.99
        assert shares["c", 2] < 0.1

    def test_account_at_ten_times_its_share_does_not_affect_others(self):
        """Guards against a flood of one account; the others lose less than 1%."""
        sources = {(f"n{index}", 0): 7.0 for index in range(9)}
        controller = AdmissionController()
        controller.on_capacity(100.0, 0.0)
        shares = offer(controller, {**sources, ("flood", 0): 100.0}, 120.0)
        lost = [1.0 - share for source, share in shares.items() if source in sources]
        assert sum(lost) / len(lost) < 0.01
        # The flooding account may use what the others leave of their shares.
        assert shares["flood", 0] > 0.25

    def test_weights_divide_the_capacity(self):
        """Guards against dividing the capacity without regard to account weights."""
        controller = AdmissionController()
        controller.on_capacity(40.0, 0.0)
        admitted = {"light": 0, "heavy": 0}
        for step in range(6000):
            for account, weight in (("light", 1.0), ("heavy", 3.0)):
                answer = controller.admit(request(account, weight=weight), step / 100)
                admitted[account] += isinstance(answer, Admitted)
        assert 2.6 < admitted["heavy"] / admitted["light"] < 3.4

    def test_requests_in_flight_are_bounded(self):
        """Guards against memory use that grows with the load."""
        controller = AdmissionController(max_requests=2)
        controller.admit(request(), 0.0)
        controller.admit(request(), 0.0)
        assert controller.admit(request(), 0.0).code == "overloaded"
        controller.release("a", 1.0, 0.1)
        assert isinstance(controller.admit(request(), 0.1), Admitted)

    def test_idle_accounts_are_removed(self):
        """Guards against keeping state for each of 49,000 client accounts."""
        controller = AdmissionController(max_requests=10**6)
        controller.on_capacity(10.0**6, 0.0)
        for number in range(49_000):
            controller.admit(request(f"a{number}"), number / 1000)
        assert controller.tracked_accounts() < 6000

    def test_missed_deadlines_lower_the_admitted_rate(self):
        """Guards against relying on a reported capacity that no longer exists."""
        controller = AdmissionController()
        controller.on_capacity(100.0, 0.0)
        for step in range(400):
            controller.on_outcome(False, step * 0.02)
        shares = offer(controller, {("a", 0): 100.0}, 30.0)
        assert shares["a", 0] < 0.9

    def test_backlog_stays_short_when_the_reported_capacity_is_double(self):
        """Guards against a capacity report that lags behind overheated endpoints."""
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
        """Guards against a baseline policy that refuses anything."""
        controller = AdmissionController(AdmitAll(), max_requests=1)
        answers = [controller.admit(request(predicted_s=9.0), 0.0) for _ in range(9)]
        assert not any(isinstance(answer, Refused) for answer in answers)

    def test_invalid_weight_is_rejected(self):
        """Guards against a division by a weight of zero."""
        with pytest.raises(ValueError, match="weight"):
            request(weight=0.0)


def group_request(needs, account="a", priority=0):
    return GroupRequest(account, 1.0, priority, 4.0, 0.5, needs)


class TestAdmissionGroup:
    """Each service is admitted by its own capacity."""

    def admitted_share(self, capacities, seconds=40.0):
        """Offer two pipelines at 20 requests a second each; return admitted shares."""
        rng = Random(1)
        group = AdmissionGroup()
        both, one = {"x": 1.0, "y": 1.0}, {"x": 1.0}
        counts = {"both": 0, "one": 0}
        now = 0.0
        while now < seconds:
            group.on_capacity(capacities, now)
            for name, needs in (("both", both), ("one", one)):
                ticket = group.admit(group_request(needs), now)
                if isinstance(ticket, Refused):
                    continue
                counts[name] += now > 10.0
                for service, cost in needs.items():
                    group.finish_stage(ticket, service, cost, cost, now)
                group.finish(ticket, True, now)
            now += rng.expovariate(20.0)
        offered = 20.0 * (seconds - 10.0)
        return {name: count / offered for name, count in counts.items()}

    def test_spare_capacity_elsewhere_does_not_hide_a_bottleneck(self):
        """Guards against one total capacity, where an idle service hides a busy one."""
        shares = self.admitted_share({"x": 100.0, "y": 10.0})
        assert shares["both"] < 0.65

    def test_refusal_at_one_service_uses_no_share_of_another(self):
        """Guards against refusals at x caused by demand that y refuses anyway."""
        shares = self.admitted_share({"x": 28.0, "y": 10.0})
        assert shares["both"] > 0.4
        assert shares["one"] > 0.95

    def test_outstanding_cost_is_cleared_when_the_request_ends(self):
        """Guards against leaked cost that blocks admission permanently."""
        group = AdmissionGroup(max_requests=1)
        ticket = group.admit(group_request({"x": 1.0, "y": 1.0}), 0.0)
        assert group.admit(group_request({"x": 1.0}), 0.0).code == "overloaded"
        group.finish_stage(ticket, "x", 1.0, 0.1, 0.1)
        group.finish(ticket, None, 0.2)
        assert group.in_flight == 0
        for controller in group._controllers.values():
            assert (controller.in_flight, controller.outstanding_cost) == (0, 0.0)

    def test_miss_is_attributed_to_the_service_that_caused_it(self):
        """Guards against throttling a healthy service because of a slow one."""
        group = AdmissionGroup()
        for needs, spent in (
            ({"x": 1.0, "y": 0.1}, {"x": 2.0, "y": 1.9}),
            ({"x": 0.1, "y": 1.0}, {"x": 0.1, "y": 1.9}),
        ):
            ticket = group.admit(group_request(needs), 0.0)
            for service, spent_s in spent.items():
                group.finish_stage(ticket, service, needs[service], spent_s, 1.0)
            assert ticket.slowest_service() == "y"
