"""Tests of endpoint selection, outlier ejection, prefix index and estimates."""

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
    """Selection by predicted time, without herding."""

    def test_stale_reports_do_not_cause_herding(self):
        """Guards against herding to an endpoint whose old report shows no load."""
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
        """Guards against comparing endpoints by their reports alone."""
        states = fleet(2)
        states[0].on_report(LoadReport(0, 8, 0, 0.0, 0.1), 0.0)
        states[1].on_report(LoadReport(8, 8, 2, 0.1, 0.1), 0.0)
        router = Router(routing_policy_by_name("balanced"), "a", seed=1)
        for _ in range(40):
            router.choose(states, REQUEST, 0.0).endpoint.on_dispatch()
        # The first ten calls make up the reported difference, the other 30 are divided
        # evenly.
        assert abs(states[0].in_flight - 25) <= 1

    def test_local_zone_is_preferred_until_it_is_saturated(self):
        """Guards against needless calls to other zones, and a saturated local zone."""
        states = fleet(9, ("a", "b", "c"))
        router = Router(routing_policy_by_name("balanced"), "a", seed=1)
        assert router.choose(states, REQUEST, 0.0).endpoint.availability_zone == "a"
        for state in states[::3]:
            state.in_flight = 7
        assert router.choose(states, REQUEST, 0.0).endpoint.availability_zone != "a"

    def test_cached_prefix_does_not_attract_work_to_a_busy_endpoint(self):
        """Guards against overloading an endpoint because it has a prefix cached."""
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
        """Guards against work for a draining, lost, ejected or excluded endpoint."""
        states = fleet(5)
        states[0].set_draining(True)
        states[1].on_link(False, 0.0)
        states[2].ejection = EjectionState.EJECTED
        request = StageRequest("generate", exclude=frozenset({"h3"}))
        router = Router(routing_policy_by_name(name), "a", seed=1)
        hosts = {router.choose(states, request, 0.0).endpoint.host for _ in range(50)}
        assert hosts == {"h4"}

    def test_reason_is_returned_when_no_endpoint_is_usable(self):
        """Guards against a refusal without a reason."""
        states = fleet(1)
        router = Router()
        assert router.choose([], REQUEST, 0.0).reason == "no_endpoint"
        states[0].set_draining(True)
        assert isinstance(router.choose(states, REQUEST, 0.0), NoEndpoint)


class TestOutlierDetector:
    """Ejection relative to the service, its bounds, and reinstatement."""

    def test_slow_and_fast_failing_endpoints_are_ejected(self):
        """Guards against taking fast errors for low latency."""
        states = fleet()
        feed(states, 0.0)
        feed(states[:1], 0.0, latency_s=1.0)
        feed(states[1:2], 0.0, latency_s=0.001, ok=False)
        OutlierDetector().evaluate(states, 1.0)
        ejected = [s.host for s in states if s.ejection is EjectionState.EJECTED]
        assert ejected == ["h0", "h1"]

    def test_at_most_a_third_is_ejected(self):
        """Guards against ejecting so many endpoints that the others are overloaded."""
        for count in range(1, 12):
            states = fleet(count)
            feed(states, 0.0)
            feed(states[: count // 2], 0.0, ok=False)
            OutlierDetector().evaluate(states, 1.0)
            out = [s for s in states if s.ejection is EjectionState.EJECTED]
            assert len(out) <= count // 3

    def test_uniformly_slow_service_ejects_nothing(self):
        """Guards against ejections when heat slows all endpoints down."""
        states = fleet()
        feed(states, 0.0)
        feed(states, 1.0, latency_s=2.0, results=30)
        assert OutlierDetector().evaluate(states, 2.0) == []

    def test_failures_of_the_whole_service_eject_nothing(self):
        """Guards against ejecting a third of an overloaded service."""
        states = fleet()
        for state in states:
            state.failure_rate, state.samples = 0.55, 50
        states[0].failure_rate = 0.95
        assert OutlierDetector().evaluate(states, 1.0) == []

    def test_lost_zone_does_not_count_as_ejected(self):
        """Guards against keeping a failing endpoint because a zone was lost."""
        states = fleet(9, ("a", "b", "c"))
        feed(states, 0.0)
        feed(states[::3], 0.5, ok=False, results=20)
        for state in states[::3]:
            state.on_link(False, 1.0)
        feed(states[1:2], 1.0, ok=False)
        OutlierDetector().evaluate(states, 2.0)
        assert states[1].ejection is EjectionState.EJECTED

    def test_probes_reinstate_and_failed_probes_lengthen_the_ejection(self):
        """Guards against sending full load to an endpoint that has not recovered."""
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
    """The index is bounded and copes with late and lost cache events."""

    def test_size_is_bounded_and_gaps_remove_the_host(self):
        """Guards against unbounded memory, and stale entries after lost events."""
        index = PrefixIndex(capacity=100)
        for number in range(1, 1000):
            index.on_event("h1", number, f"p{number}", stored=True)
        assert len(index) == 100
        index.on_event("h1", 1, "late", stored=True)
        assert index.hosts("late") == ()
        index.on_event("h1", 2000, "new", stored=True)
        assert (index.hosts("p999"), index.hosts("new")) == ((), ("h1",))


class TestStageEstimator:
    """Service times are predicted from input and output units."""

    def test_estimate_follows_both_kinds_of_units(self):
        """Guards against one estimate for short and long generations."""
        estimator = StageEstimator()
        rng = Random(5)
        for _ in range(300):
            into, out = rng.randint(1, 900), rng.randint(1, 300)
            time_s = (0.02 + 0.0005 * into + 0.01 * out) * rng.uniform(0.9, 1.1)
            estimator.observe("g", "m", into, out, time_s)
        assert abs(estimator.estimate_s("g", "m", 400, 200) - 2.22) < 0.25

    def test_queue_wait_ignores_unusable_endpoints(self):
        """Guards against predicting the wait from endpoints that get no work."""
        states = fleet(3)
        states[0].set_draining(True)
        for state in states[1:]:
            state.in_flight = 80
        estimator = StageEstimator()
        assert estimator.queue_wait_s("generate", states, 0.0) > 0.5
        assert estimator.queue_wait_s("other", states, 0.0) == float("inf")
