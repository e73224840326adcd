"""The whole path over sockets: promises to callers, no durations."""

import asyncio
from collections import Counter

from ...configuration import Stage, Template, TemplateParameters
from ...replay import (
    Fault,
    Scenario,
    ScenarioAccount,
    ScenarioService,
    TraceRequest,
    duplicate_effects,
    false_refusals,
    summarise,
)
from ...settings import PolicySettings
from ..scenario_run import run_local

PATIENT = TemplateParameters(deadline_ms=6_000)


def scenario_of(faults=(), **profile):
    profile = {"base_s": 0.005, "output_unit_s": 0.002, **profile}
    return Scenario(
        "test",
        services=(
            ScenarioService("engine", 3, profile=profile),
            ScenarioService("ledger", 2, profile={"base_s": 0.005}),
        ),
        templates=(
            Template(
                "draft",
                (
                    Stage("encode", "engine", "encode"),
                    Stage(
                        "generate", "engine", "generate", after=("encode",), stream=True
                    ),
                ),
            ),
            Template(
                "charge", (Stage("charge", "ledger", "charge", idempotent=False),)
            ),
        ),
        accounts=(
            ScenarioAccount("one", "s1", 1.0, {"draft": PATIENT, "charge": PATIENT}),
            ScenarioAccount("two", "s2", 1.0, {"draft": PATIENT}),
        ),
        faults=tuple(faults),
    )


def trace_of(count=24):
    """Return drafts, charges with own keys, and pairs of charges with one key.

    The requests of a pair are sent at the same time through different entries.
    """
    trace = []
    for number in range(count):
        at_s = number * 0.03
        account = "one" if number % 2 else "two"
        trace.append(
            TraceRequest(at_s, "draft", account, stream=number % 3 == 0, words=5)
        )
        trace.append(TraceRequest(at_s, "charge", "one"))
        if number % 4 == 0:
            pair = TraceRequest(at_s, "charge", "one", key=f"pair-{number}")
            trace += [pair, pair]
    return trace


def run(scenario, trace):
    async def bounded():
        async with asyncio.timeout(60):
            return await run_local(scenario, trace, PolicySettings(seed=3), "test")

    return asyncio.run(bounded())


def check_promises(result, trace):
    """Check what must hold whatever fails; return the statuses."""
    assert [record.fault for record in result.records if record.fault] == []
    assert duplicate_effects(result) == 0
    assert false_refusals(result) == []
    assert len(result.records) == len(trace)
    for record in result.records:
        assert record.status != "answered" or record.whole
    return Counter(record.status for record in result.records)


class TestWholePath:
    """Callers get whole answers to their own requests, and accurate refusals."""

    def test_every_answer_is_whole_and_effects_are_single(self):
        """Guards against lost, swapped and duplicate results without faults."""
        trace = trace_of()
        result = run(scenario_of(), trace)
        assert check_promises(result, trace) == {"answered": len(trace)}
        # 24 keys of their own and six that are shared by two requests.
        assert sum(result.work.effects.values()) == 30

    def test_cut_streams_are_resumed_without_a_gap(self):
        """Guards against an answer that lacks or repeats tokens after a cut."""
        trace = [r for r in trace_of() if r.template == "draft"]
        result = run(scenario_of(cut_share=0.5), trace)
        check_promises(result, trace)
        assert summarise(result.records).answered == len(trace)

    def test_promises_hold_while_endpoints_and_log_fail(self):
        """Guards against duplicate effects and false refusals under faults."""
        faults = (
            Fault(0.1, "profile", "engine", (0,), fields={"fail_share": 1.0}),
            Fault(0.2, "log", fields={"appends": ["reply_lost", "lost_before_effect"]}),
            Fault(0.3, "drain", "ledger", (0,), replace=True),
            Fault(0.4, "log", fields={"available": False}),
            Fault(0.6, "log", fields={}),
        )
        trace = trace_of()
        result = run(scenario_of(faults), trace)
        statuses = check_promises(result, trace)
        assert statuses["no_response"] == 0

    def test_lost_zone_gets_answers_through_other_entries(self):
        """Guards against callers that lose their request with their entry."""
        trace = trace_of()
        result = run(scenario_of([Fault(0.3, "zone_lost", zone="zone-b")]), trace)
        statuses = check_promises(result, trace)
        assert statuses["no_response"] == 0
