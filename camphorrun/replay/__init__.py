"""Replay of recorded traces: traces, scenarios, driver and report."""

from .driver import TraceDriver
from .expectations import Expectation, expect
from .generation import generate_trace
from .loop_lag import LoopLag
from .policies import PLAIN, RECOMMENDED, policy_from_text
from .records import ANSWERED, NO_RESPONSE, NOT_RUN, OUTCOME_UNKNOWN, RequestRecord
from .report import StageTotals, Summary, group, percentiles_ms, summarise
from .requests import (
    TraceError,
    TraceRequest,
    decode_trace,
    encode_trace,
    load_trace,
    request_input,
)
from .results import (
    BoundCheck,
    EndpointWork,
    ReplayResult,
    check_bounds,
    compare,
    describe,
    duplicate_effects,
    false_refusals,
)
from .scenarios import (
    TRACES,
    Arrivals,
    Bound,
    Fault,
    Scenario,
    ScenarioAccount,
    ScenarioService,
    load_scenario,
    read_scenario,
    scenario_names,
)
from .tables import render_ratios, render_result

__all__ = [
    "ANSWERED",
    "NOT_RUN",
    "NO_RESPONSE",
    "OUTCOME_UNKNOWN",
    "PLAIN",
    "RECOMMENDED",
    "TRACES",
    "Arrivals",
    "Bound",
    "BoundCheck",
    "EndpointWork",
    "Expectation",
    "Fault",
    "LoopLag",
    "ReplayResult",
    "RequestRecord",
    "Scenario",
    "ScenarioAccount",
    "ScenarioService",
    "StageTotals",
    "Summary",
    "TraceDriver",
    "TraceError",
    "TraceRequest",
    "check_bounds",
    "compare",
    "decode_trace",
    "describe",
    "duplicate_effects",
    "encode_trace",
    "expect",
    "false_refusals",
    "generate_trace",
    "group",
    "load_scenario",
    "load_trace",
    "percentiles_ms",
    "policy_from_text",
    "read_scenario",
    "render_ratios",
    "render_result",
    "request_input",
    "scenario_names",
    "summarise",
]
