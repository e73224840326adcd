"""Tests of the concurrency limit, linear fit, call sizes and stage queue."""

from hypothesis import given, settings
from hypothesis import strategies as st

from .. import (
    ConcurrencyLimit,
    EarliestDeadline,
    LatencySample,
    LeastLaxity,
    LinearFit,
    QueueItem,
    StageQueue,
)


def drive(limit, start_s, seconds, slots, base_s):
    """Load an endpoint that saturates at ``slots`` calls; return the end time."""
    now = start_s
    while now < start_s + seconds:
        in_flight = limit.limit
        latency_s = base_s * max(1.0, in_flight / slots)
        for _ in range(in_flight):
            limit.observe(LatencySample(latency_s, 1, in_flight, True, now))
        now += latency_s
    return now


def item(token, priority=0, deadline_at=10.0, downstream_s=0.0, **fields):
    values = {
        "enqueued_at": 0.0,
        "estimate_s": 0.1,
        "tolerates_latency": False,
        **fields,
    }
    return QueueItem(
        token,
        priority,
        values["enqueued_at"],
        deadline_at,
        downstream_s,
        values["estimate_s"],
        values["tolerates_latency"],
    )


class TestConcurrencyLimit:
    """The limit follows the concurrency at which the endpoint saturates."""

    def test_limit_finds_the_saturation_point(self):
        """Guards against a limit that under-uses or overloads the endpoint."""
        limit = ConcurrencyLimit(4)
        drive(limit, 0.0, 60.0, slots=32, base_s=0.1)
        assert 32 * 0.9 <= limit.steady_limit <= 32 * 2

    def test_slowdown_lowers_the_limit_within_seconds(self):
        """Guards against reacting to an overheated endpoint only by its reports."""
        limit = ConcurrencyLimit(4)
        now = drive(limit, 0.0, 60.0, slots=32, base_s=0.1)
        drive(limit, now, 5.0, slots=8, base_s=0.1)
        assert limit.limit <= 32 * 0.6

    def test_limit_recovers_with_the_endpoint(self):
        """Guards against a limit that stays low after the endpoint has cooled down."""
        limit = ConcurrencyLimit(4)
        now = drive(limit, 0.0, 60.0, slots=32, base_s=0.1)
        now = drive(limit, now, 30.0, slots=8, base_s=0.1)
        drive(limit, now, 30.0, slots=32, base_s=0.1)
        assert limit.steady_limit >= 32 * 0.9

    def test_slower_endpoint_keeps_the_concurrency_that_it_can_use(self):
        """Guards against a limit that collapses because the baseline is outdated."""
        limit = ConcurrencyLimit(4)
        now = drive(limit, 0.0, 60.0, slots=32, base_s=0.1)
        drive(limit, now, 60.0, slots=32, base_s=0.4)
        assert limit.steady_limit >= 32 * 0.9

    def test_failures_lower_the_limit(self):
        """Guards against taking fast errors for low latency."""
        limit = ConcurrencyLimit(32)
        for step in range(20):
            limit.observe(LatencySample(0.001, 1, 32, False, step * 0.3))
        assert limit.limit <= 8

    def test_limit_of_one_can_grow(self):
        """Guards against a limit that stays at 1 because growth is rounded down."""
        limit = ConcurrencyLimit(2)
        limit.observe(LatencySample(0.1, 1, 1, False, 1.0))
        assert limit.limit == 1
        for step in range(100):
            limit.observe(LatencySample(0.1, 1, limit.limit, True, 2.0 + step * 0.1))
        assert limit.steady_limit >= 2

    def test_large_calls_do_not_lower_the_limit(self):
        """Guards against mistaking larger requests for a slower endpoint."""
        limit = ConcurrencyLimit(16)
        for step in range(2000):
            units = 1 if step % 400 < 200 else 50
            sample = LatencySample(0.01 + 0.01 * units, units, 16, True, step * 0.02)
            limit.observe(sample)
        assert limit.steady_limit >= 16


class TestLinearFit:
    """The fit is robust to outliers and follows lasting changes."""

    def test_one_outlier_has_little_effect(self):
        """Guards against wrong estimates after one stalled call."""
        fit = LinearFit(1)
        for x in range(100):
            fit.observe((x % 10,), 1.0 + x % 10)
        fit.observe((5,), 600.0)
        assert abs(fit.predict((5,)) - 6.0) < 0.6


class TestStageQueue:
    """Order, capacity and expiry of the queue."""

    def test_downstream_time_decides_within_a_priority(self):
        """Guards against ordering by deadline without the time of later stages."""
        queue = StageQueue(LeastLaxity(), 8)
        queue.push(item("early", deadline_at=5.0), 0.0)
        queue.push(item("long", deadline_at=6.0, downstream_s=4.0), 0.0)
        assert queue.pop(0.0).token == "long"

    def test_priority_comes_first(self):
        """Guards against early deadlines of low priority that delay higher priority."""
        queue = StageQueue(LeastLaxity(), 8)
        queue.push(item("low", priority=3, deadline_at=1.0), 0.0)
        queue.push(item("high", priority=0, deadline_at=9.0), 0.0)
        assert queue.pop(0.0).token == "high"

    def test_work_that_would_be_late_is_refused_or_expired(self):
        """Guards against running work that will miss its deadline."""
        queue = StageQueue(LeastLaxity(), 8)
        late = queue.push(item("late", deadline_at=1.0, downstream_s=2.0), 0.0)
        assert (late.accepted, late.reason) == (False, "deadline_unreachable")
        queue.push(item("soon", deadline_at=3.0, downstream_s=2.0), 0.0)
        assert queue.pop(1.5) is None
        assert [expired.token for expired in queue.expire(1.5)] == ["soon"]

    def test_full_queue_displaces_only_lower_priority(self):
        """Guards against an unbounded queue, and items dropped without notice."""
        queue = StageQueue(EarliestDeadline(), 1)
        queue.push(item("low", priority=1), 0.0)
        assert queue.push(item("equal", priority=1), 0.0).reason == "queue_full"
        assert queue.push(item("high", priority=0), 0.0).displaced.token == "low"
        assert len(queue) == 1

    def test_latency_tolerant_item_is_not_starved(self):
        """Guards against starvation of background work by urgent work."""
        queue = StageQueue(LeastLaxity(), 64)
        queue.push(item("tolerant", 1, deadline_at=900.0, tolerates_latency=True), 0.0)
        served = []
        for step in range(200):
            now = step * 0.1
            queue.push(item(step, 0, now + 2.0, enqueued_at=now), now)
            served.append(queue.pop(now).token)
        assert "tolerant" in served

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.2, 9)), max_size=40))
    def test_every_item_leaves_once(self, work):
        """Guards against items that are lost or returned twice."""
        queue = StageQueue(LeastLaxity(), 10)
        left = []
        for token, (priority, deadline_at) in enumerate(work):
            push = queue.push(item(token, priority, deadline_at), 0.0)
            if not push.accepted:
                left.append(token)
            if push.displaced:
                left.append(push.displaced.token)
        left += [expired.token for expired in queue.expire(1.0)]
        while (popped := queue.pop(1.0)) is not None:
            left.append(popped.token)
        assert sorted(left) == list(range(len(work)))


class TestCallSizes:
    """Latencies of calls of different kinds are made comparable."""

    def test_mixed_kinds_do_not_lower_the_limit(self):
        """Guards against lowering the limit because calls differ in size."""
        limit = ConcurrencyLimit(4)
        for step in range(4000):
            kind, seconds = ("encode", 0.04) if step % 4 else ("generate", 0.64)
            sample = LatencySample(seconds, 100, 4, True, step * 0.02, 0.0, kind)
            limit.observe(sample)
        assert limit.steady_limit >= 4
        assert abs(limit.service_time_s(100, 0.0, "encode") - 0.04) < 0.01

    def test_change_of_speed_is_seen_with_mixed_kinds(self):
        """Guards against relative sizes that hide a slowdown of the endpoint."""
        limit = ConcurrencyLimit(16)
        for step in range(950):
            slow = 1.0 if step < 700 else 6.0
            kind, seconds = ("encode", 0.04) if step % 4 else ("generate", 0.64)
            sample = LatencySample(
                seconds * slow, 100, 16, True, step * 0.02, 0.0, kind
            )
            limit.observe(sample)
            if step == 699:
                before = limit.steady_limit
        assert limit.steady_limit < before * 0.5
