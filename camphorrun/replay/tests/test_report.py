"""Tests of the report arithmetic and the stated outcomes."""

import pytest

from .. import (
    Bound,
    EndpointWork,
    ReplayResult,
    RequestRecord,
    Scenario,
    check_bounds,
    compare,
    duplicate_effects,
    false_refusals,
    group,
    percentiles_ms,
    render_result,
    summarise,
)
from ..results import missed_work_share


def record(index=0, latency_s=1.0, status="answered", **fields):
    fields.setdefault("whole", status == "answered")
    fields.setdefault("account", "a")
    return RequestRecord(
        index,
        at_s=float(index),
        template="t",
        priority=fields.pop("priority", 1),
        deadline_s=2.0,
        latency_s=latency_s,
        status=status,
        code=fields.pop("code", "ok"),
        **fields,
    )


def result_of(records, bounds=(), **fields):
    scenario = Scenario("s", duration_s=10.0, bounds=tuple(bounds))
    return ReplayResult("p", scenario, records, **fields)


class TestSummary:
    """Counts, attainment and costs of a group."""

    def test_attainment_counts_whole_answers_in_time_of_all_offered(self):
        """Guards against late, wrong or refused requests that count as met."""
        records = [
            record(0),
            record(1, latency_s=2.5),
            record(2, whole=False, fault="other"),
            record(3, status="not_run", code="overloaded"),
        ]
        summary = summarise(records)
        assert summary.attainment == 0.25
        assert (summary.answered, summary.refused, summary.wrong) == (2, 1, 1)
        assert summary.codes == {"not_run:overloaded": 1}

    def test_cost_of_missed_requests_is_separate(self):
        """Guards against wasted work that disappears in the total."""
        cost = {"generate": {"busy_s": 3.0, "queue_s": 1.0, "output_units": 5}}
        late = record(1, latency_s=9.0, cost={"generate": {"busy_s": 1.0}})
        summary = summarise([record(0, cost=cost), late])
        stage = summary.stages["generate"]
        assert (stage.requests, stage.busy_s, stage.missed_busy_s) == (2, 4.0, 1.0)
        assert summary.missed_work_share == 0.25

    def test_groups_partition_the_requests(self):
        """Guards against requests that are counted twice or not at all."""
        records = [record(0), record(1, account="b"), record(2, account="b")]
        groups = group(records, "account")
        assert {name: item.offered for name, item in groups.items()} == {"a": 1, "b": 2}

    def test_percentiles_are_within_the_precision(self):
        """Guards against a wrong unit or rank."""
        found = percentiles_ms(n / 1000 for n in range(1, 101))
        assert found["p50"] == pytest.approx(50, rel=0.01)
        assert found["p99"] == pytest.approx(99, rel=0.01)


class TestBounds:
    """Stated outcomes are compared with exactly the requests in their scope."""

    def test_scope_restricts_the_requests(self):
        """Guards against a bound that others' requests make true."""
        records = [record(0, priority=0, latency_s=5.0), record(1), record(6)]
        bounds = [
            Bound("attainment", at_least=0.5, priority=0),
            Bound("attainment", at_least=0.5),
            Bound("attainment", at_least=1.0, from_s=5.0),
        ]
        checks = check_bounds(result_of(records, bounds))
        assert [check.holds for check in checks] == [False, True, True]

    def test_goodput_counts_answers_that_end_in_the_window(self):
        """Guards against goodput that includes work done elsewhere in time."""
        records = [record(1), record(2), record(4, latency_s=3.0), record(8)]
        bound = Bound("goodput_per_s", at_least=1.0, from_s=2.0, until_s=4.0)
        (check,) = check_bounds(result_of(records, [bound]))
        assert check.value == 1.0 and check.holds
        assert "holds" in render_result(result_of(records, [bound]))

    def test_figure_that_only_stand_ins_know_is_unknown_without_them(self):
        """Guards against a remote run that claims what it cannot see."""
        bounds = [Bound("duplicate_effects", at_most=0)]
        assert check_bounds(result_of([record(0)], bounds))[0].holds is None
        work = EndpointWork()
        assert check_bounds(result_of([record(0)], bounds, work=work))[0].holds is True

    def test_bound_without_requests_is_unknown(self):
        """Guards against a shortened run that claims an outcome of its missing end."""
        bounds = [Bound("attainment", at_least=0.9, from_s=5.0)]
        assert check_bounds(result_of([record(0)], bounds))[0].holds is None

    def test_missed_bound_is_reported(self):
        """Guards against a report that hides a missed outcome."""
        result = result_of([record(0, latency_s=9.0)], [Bound("attainment", 0.99)])
        assert not check_bounds(result)[0].holds
        assert "MISSED" in render_result(result)


class TestPromises:
    """What the stand-ins executed is held against what callers were told."""

    def test_second_effect_of_a_key_is_counted(self):
        """Guards against a duplicate charge that goes unnoticed."""
        work = EndpointWork(effects={"k1": 1, "k2": 3})
        assert duplicate_effects(result_of([], work=work)) == 2

    def test_refusal_of_executed_work_is_false(self):
        """Guards against ``not_run`` for something that ran."""
        refused = [
            record(0, status="not_run", fingerprints={"s": "f0"}),
            record(1, status="not_run", fingerprints={"s": "f1"}),
        ]
        work = EndpointWork(executions={"f1": 1})
        assert false_refusals(result_of(refused, work=work)) == [refused[1]]

    def test_refused_duplicate_of_an_answer_is_accurate(self):
        """Guards against a false alarm for requests that share a key."""
        records = [
            record(0, fingerprints={"s": "f"}),
            record(1, status="not_run", fingerprints={"s": "f"}),
        ]
        work = EndpointWork(executions={"f": 1})
        assert false_refusals(result_of(records, work=work)) == []

    def test_cut_off_calls_count_as_missed_work(self):
        """Guards against waste that no outcome states, because its call was cut."""
        records = [
            record(0, fingerprints={"s": "f0"}),
            record(1, status="outcome_unknown", fingerprints={"s": "f1"}),
        ]
        work = EndpointWork(busy_s={"f0": 3.0, "f1": 1.0})
        assert missed_work_share(result_of(records, work=work), records) == 0.25


class TestComparison:
    """Ratios of paired runs."""

    def test_ratio_is_ours_over_the_baseline(self):
        """Guards against a ratio that is upside down."""
        ours = result_of([record(0), record(1)])
        theirs = result_of([record(0), record(1, latency_s=9.0)])
        assert compare(ours, theirs)["attainment"] == 2.0
