"""The ``replay`` and ``demo`` commands."""

import asyncio
import dataclasses
import gc
import json
import sys
from argparse import Namespace
from pathlib import Path

from absl import logging

from ..core import CamphorrunError
from ..demo import run_demo, run_local, run_remote
from ..replay import (
    ReplayResult,
    Scenario,
    TraceError,
    TraceRequest,
    check_bounds,
    compare,
    encode_trace,
    generate_trace,
    load_scenario,
    policy_from_text,
    read_scenario,
    render_ratios,
    render_result,
    scenario_names,
)
from .exit_codes import EXIT_FAILED, EXIT_OK, EXIT_USAGE

_POLICY_HELP = (
    "field=value,... of routing, queue, admission, retries; or the values alone"
)


def add_replay(commands) -> None:
    """Add the ``replay`` command to the parser."""
    text = "replay a trace of requests and report the results"
    parser = commands.add_parser("replay", help=text, description=text)
    parser.add_argument(
        "--scenario",
        required=True,
        help=f"file, or one of: {', '.join(_scenario_choices())}",
    )
    parser.add_argument(
        "--urls", nargs="+", help="URLs of entries; default: start a local system"
    )
    parser.add_argument("--policy", default="recommended", help=_POLICY_HELP)
    parser.add_argument(
        "--baseline",
        action="append",
        default=[],
        help="policy to run and compare with; may be repeated",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--plots", type=Path, help="directory in which to write plots")
    parser.add_argument(
        "--speed",
        type=float,
        default=1.0,
        help="factor by which arrivals are faster than in the trace",
    )
    parser.add_argument(
        "--limit-s",
        type=float,
        help="replay only arrivals before this time, in seconds",
    )
    parser.add_argument(
        "--generate",
        action="store_true",
        help="generate the trace beside the scenario file and exit",
    )


def _scenario_choices() -> list[str]:
    return scenario_names()


def run_demo_command(args: Namespace) -> int:
    """Run the ``demo`` command and return the exit code."""
    logging.set_verbosity(logging.WARNING)
    logging.use_absl_handler()
    try:
        succeeded = run_demo(args.trace, as_json=args.json)
    except CamphorrunError as exc:
        print(f"camphorrun: {exc}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK if succeeded else EXIT_FAILED


def run_replay(args: Namespace) -> int:
    """Run the ``replay`` command and return the exit code."""
    logging.set_verbosity(logging.ERROR)
    logging.use_absl_handler()
    try:
        if args.generate:
            return _write_trace(args.scenario)
        scenario, trace = load_scenario(args.scenario)
        if args.limit_s is not None:
            trace = [req for req in trace if req.at_s < args.limit_s]
            duration_s = min(scenario.duration_s, args.limit_s)
            scenario = dataclasses.replace(scenario, duration_s=duration_s)
        return _replay_and_report(args, scenario, trace)
    except TraceError as exc:
        print(f"camphorrun: {exc}", file=sys.stderr)
        return EXIT_USAGE
    except CamphorrunError as exc:
        print(f"camphorrun: {exc}", file=sys.stderr)
        return EXIT_FAILED


def _write_trace(path: str) -> int:
    scenario = read_scenario(Path(path))
    trace = generate_trace(scenario)
    Path(path).with_suffix(".jsonl").write_bytes(encode_trace(trace))
    print(f"{len(trace)} requests")
    return EXIT_OK


def _replay_and_report(
    args: Namespace, scenario: Scenario, trace: list[TraceRequest]
) -> int:
    results = _run_all(args, scenario, trace)
    ratios = {other.policy: compare(results[0], other) for other in results[1:]}
    if args.json:
        body = {"runs": [item.to_json() for item in results], "ratios": ratios}
        print(json.dumps(body, indent=2))
    else:
        for result in results:
            print(render_result(result) + "\n")
        for name, pairs in ratios.items():
            print(render_ratios(name, pairs))
    if args.plots is not None:
        from ..replay.plots import write_plots

        write_plots(results, args.plots)
    return EXIT_OK if _succeeded(results[0]) else EXIT_FAILED


def _run_all(
    args: Namespace, scenario: Scenario, trace: list[TraceRequest]
) -> list[ReplayResult]:
    """Replay the trace with the policy and then with each baseline.

    Each run has its own event loop: in a shared loop, timers left over from a stopped
    system slowed down later runs, which favoured the first policy.
    """
    if args.urls:
        return [asyncio.run(run_remote(scenario, trace, args.urls, args.speed))]
    results = []
    for name in [args.policy, *args.baseline]:
        policy = policy_from_text(name, scenario.seed)
        run = run_local(scenario, trace, policy, name, args.speed)
        results.append(asyncio.run(run))
        gc.collect()
    return results


def _succeeded(result: ReplayResult) -> bool:
    return result.is_correct() and all(
        check.holds is not False for check in check_bounds(result)
    )
