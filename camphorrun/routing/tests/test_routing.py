"""Tests of endpoint selection, ejection, prefixes and estimates."""

from collections import Counter
from random import Random

import pytest

from ...messages import LoadReport
from .. import (
    EjectionState,
    EndpointState,
    NoEndpoint,
    OutlierDetector,
    PrefixIndex,
    Router,
    StageEstimator,
    StageRequest,
    routing_policy_by_name,
)

REQUEST = StageRequest("generate", prefix="poem")


def fleet(count=9, zones=("a",)):
    return [
        EndpointState(f"h{i}", zones[i % len(zones)], "generate") for i in range(count)
    ]


def feed(states, now, latency_s=0.1, ok=True, results=10):
    for state in states:
        for _ in range(results):
            state.on_dispatch()
            state.on_result(ok, latency_s, now)


class TestRouter:
    """Choice by predicted time without herding."""

    def test_stale_reports_do_not_cause_herding(self):
        """Guards against sending all work to what looked idle seconds ago."""
        states = fleet()
        for state in states:
            state.on_report(LoadReport(8, 8, 8, 0.1, 0.1), 0.0)
        states[0].on_report(LoadReport(0, 8, 0, 0.0, 0.1), 0.0)
        router = Router(routing_policy_by_name("balanced"), "a", seed=1)
        counts = Counter()
        for step in range(90):
            choice = router.choose(states, REQUEST, step * 0.02)
            choice.endpoint.on_dispatch()
            counts[choice.endpoint.host] += 1
        assert counts["h0"] <= 30

    def test_own_dispatches_count_before_the_next_report(self):
        """Guards against comparing two endpoints by their reports alone."""
        states = fleet(2)
        states[0].on_report(LoadReport(0, 8, 0, 0.0, 0.1), 0.0)
        states[1].on_report(LoadReport(8, 8, 2, 0.1, 0.1), 0.0)
        router = Router(routing_policy_by_name("balanced"), "a", seed=1)
        for _ in range(40):
            router.choose(states, REQUEST, 0.0).endpoint.on_dispatch()
        # Ten calls of lead are used up first, the rest is divided evenly.
        assert abs(states[0].in_flight - 25) <= 1

    def test_near_zone_is_preferred_and_spills_over(self):
        """Guards against needless zone crossing, and against a saturated near zone."""
        states = fleet(9, ("a", "b", "c"))
        router = Router(routing_policy_by_name("balanced"), "a", seed=1)
        assert router.choose(states, REQUEST, 0.0).endpoint.availability_zone == "a"
        for state in states[::3]:
            state.in_flight = 7
        assert router.choose(states, REQUEST, 0.0).endpoint.availability_zone != "a"

    def test_prefix_never_beats_a_hot_endpoint(self):
        """Guards against cache locality that overloads one endpoint."""
        states = fleet()
        policy = routing_policy_by_name("balanced")
        policy.prefixes.on_event("h4", 1, "poem", stored=True)
        router = Router(policy, "a", seed=1)
        assert router.choose(states, REQUEST, 0.0).endpoint.host == "h4"
        for state in states:
            state.in_flight = 7
        states[4].in_flight = 8
        assert router.choose(states, REQUEST, 0.0).endpoint.host != "h4"

    @pytest.mark.parametrize(
        "name", ["balanced", "random", "round_robin", "least_reported_load"]
    )
    def test_unusable_endpoints_get_no_work(self, name):
        """Guards against work sent to a draining, lost, ejected or tried endpoint."""
        states = fleet(5)
        states[0].set_draining(True)
        states[1].on_link(False, 0.0)
        states[2].ejection = EjectionState.EJECTED
        request = StageRequest("generate", exclude=frozenset({"h3"}))
        router = Router(routing_policy_by_name(name), "a", seed=1)
        hosts = {router.choose(states, request, 0.0).endpoint.host for _ in range(50)}
        assert hosts == {"h4"}

    def test_reason_is_stated_when_nothing_is_usable(self):
        """Guards against a refusal without an accurate reason."""
        states = fleet(1)
        router = Router()
        assert router.choose([], REQUEST, 0.0).reason == "no_endpoint"
        states[0].set_draining(True)
        assert isinstance(router.choose(states, REQUEST, 0.0), NoEndpoint)


class TestOutlierDetector:
    """Ejection relative to the service, bounded, with a way back."""

    def test_slow_and_fast_failing_endpoints_are_ejected(self):
        """Guards against a fast error that is taken for low latency."""
        states = fleet()
        feed(states, 0.0)
        feed(states[:1], 0.0, latency_s=1.0)
        feed(states[1:2], 0.0, latency_s=0.001, ok=False)
        OutlierDetector().evaluate(states, 1.0)
        ejected = [s.host for s in states if s.ejection is EjectionState.EJECTED]
        assert ejected == ["h0", "h1"]

    def test_at_most_a_third_is_ejected(self):
        """Guards against an ejection that empties a service."""
        for count in range(1, 12):
            states = fleet(count)
            feed(states, 0.0)
            feed(states[: count // 2], 0.0, ok=False)
            OutlierDetector().evaluate(states, 1.0)
            out = [s for s in states if s.ejection is EjectionState.EJECTED]
            assert len(out) <= count // 3

    def test_service_that_is_slow_as_a_whole_is_kept(self):
        """Guards against ejecting endpoints because the room is hot."""
        states = fleet()
        feed(states, 0.0)
        feed(states, 1.0, latency_s=2.0, results=30)
        assert OutlierDetector().evaluate(states, 2.0) == []

    def test_failures_of_the_whole_service_eject_nothing(self):
        """Guards against ejecting a third of a service while it is in overload."""
        states = fleet()
        for state in states:
            state.failure_rate, state.samples = 0.55, 50
        states[0].failure_rate = 0.95
        assert OutlierDetector().evaluate(states, 1.0) == []

    def test_lost_zone_does_not_use_up_the_share(self):
        """Guards against a failing endpoint kept because a zone is lost."""
        states = fleet(9, ("a", "b", "c"))
        feed(states, 0.0)
        feed(states[::3], 0.5, ok=False, results=20)
        for state in states[::3]:
            state.on_link(False, 1.0)
        feed(states[1:2], 1.0, ok=False)
        OutlierDetector().evaluate(states, 2.0)
        assert states[1].ejection is EjectionState.EJECTED

    def test_return_through_probes_with_growing_ejections(self):
        """Guards against full traffic to an endpoint that has not recovered."""
        states = fleet()
        feed(states, 0.0)
        feed(states[:1], 0.0, ok=False)
        detector, router = OutlierDetector(), Router(seed=1)
        detector.evaluate(states, 0.0)
        detector.evaluate(states, 5.0)
        choice = router.choose(states, REQUEST, 5.0)
        assert (choice.probe, choice.endpoint.host) == (True, "h0")
        choice.endpoint.on_dispatch()
        assert not router.choose(states, REQUEST, 5.0).probe
        choice.endpoint.on_result(False, 0.001, 5.1)
        detector.evaluate(states, 5.2)
        assert states[0].ejected_until - 5.2 > 9.0
        detector.evaluate(states, 16.0)
        feed(states[:1], 16.0, results=3)
        detector.evaluate(states, 16.1)
        assert states[0].ejection is EjectionState.ACTIVE


class TestPrefixIndex:
    """Cache events are late, incomplete and bounded."""

    def test_memory_is_bounded_and_gaps_are_noticed(self):
        """Guards against unbounded growth and against trusting lost events."""
        index = PrefixIndex(capacity=100)
        for number in range(1, 1000):
            index.on_event("h1", number, f"p{number}", stored=True)
        assert len(index) == 100
        index.on_event("h1", 1, "late", stored=True)
        assert index.hosts("late") == ()
        index.on_event("h1", 2000, "new", stored=True)
        assert (index.hosts("p999"), index.hosts("new")) == ((), ("h1",))


class TestStageEstimator:
    """Seconds are learned by input and output units."""

    def test_estimate_follows_both_kinds_of_units(self):
        """Guards against one average for short and long generations."""
        estimator = StageEstimator()
        rng = Random(5)
        for _ in range(300):
            into, out = rng.randint(1, 900), rng.randint(1, 300)
            time_s = (0.02 + 0.0005 * into + 0.01 * out) * rng.uniform(0.9, 1.1)
            estimator.observe("g", "m", into, out, time_s)
        assert abs(estimator.estimate_s("g", "m", 400, 200) - 2.22) < 0.25

    def test_queue_wait_ignores_unusable_endpoints(self):
        """Guards against a predicted wait from an endpoint that gets no work."""
        states = fleet(3)
        states[0].set_draining(True)
        for state in states[1:]:
            state.in_flight = 80
        estimator = StageEstimator()
        assert estimator.queue_wait_s("generate", states, 0.0) > 0.5
        assert estimator.queue_wait_s("other", states, 0.0) == float("inf")
