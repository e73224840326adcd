"""Runs the demonstration: a committed trace on a local system, with a summary."""

import asyncio
import json
from typing import Any

from ..replay import (
    ReplayResult,
    RequestRecord,
    check_bounds,
    load_scenario,
    render_result,
    summarise,
)
from ..settings import PolicySettings
from .scenario_run import run_local

POLICY_NAME = "recommended"


def run_demo(trace_name: str, *, as_json: bool = False) -> bool:
    """Run a trace, print the outcomes, and return whether every answer is right.

    Parameters
    ----------
    trace_name : str
        Name of a committed scenario, or a scenario file.
    as_json : bool
        Print JSON instead of text.
    """
    scenario, trace = load_scenario(trace_name)
    policy = PolicySettings(seed=scenario.seed)
    result = asyncio.run(run_local(scenario, trace, policy, POLICY_NAME))
    if as_json:
        body = result.to_json()
        body["requests"] = [_line_json(record) for record in result.records]
        print(json.dumps(body, indent=2))
    else:
        for record in result.records:
            print(_line(record))
        print()
        print(render_result(result))
        print(f"\n{_verdict(result)}")
    return is_success(result)


def is_success(result: ReplayResult) -> bool:
    """Return whether all answers are right and all stated outcomes hold."""
    if not result.is_correct() or summarise(result.records).no_response:
        return False
    return all(check.holds is not False for check in check_bounds(result))


def _verdict(result: ReplayResult) -> str:
    summary = summarise(result.records)
    if not is_success(result):
        return "FAILED: an answer was wrong or missing, or an outcome was missed"
    return (
        f"{summary.offered} offered, {summary.answered} answered whole, "
        f"{summary.in_time} within the deadline, {summary.refused} refused; "
        "every answer is whole and belongs to its request"
    )


def _line(record: RequestRecord) -> str:
    text = (
        f"{record.at_s:7.2f} s  {record.account:<18}{record.template:<22}"
        f"p{record.priority}  {record.status:<16}{record.latency_s * 1000:7.0f} ms"
    )
    if record.first_token_s >= 0:
        text += f"  first token {record.first_token_s * 1000:.0f} ms"
    if record.status != "answered":
        text += f"  {record.code}"
    if record.fault:
        text += f"  WRONG: {record.fault}"
    return text


def _line_json(record: RequestRecord) -> dict[str, Any]:
    names = ("at_s", "account", "template", "priority", "status", "code")
    body = {name: getattr(record, name) for name in names}
    body["latency_ms"] = round(record.latency_s * 1000, 1)
    body["whole"] = record.whole
    body["fault"] = record.fault
    return body
