"""Measure the decision logic against its baselines under manual time.

Each case offers the same arrivals (same seed) to every setup and prints the figures
and the ratios to each baseline.
"""

import argparse
import json
from dataclasses import asdict, replace
from pathlib import Path
from sys import path as module_path

ROOT = Path(__file__).resolve().parent
module_path[:0] = [str(ROOT.parent), str(ROOT)]

from decision_fakes import (  # noqa: E402
    BASE_SECONDS,
    SLOTS,
    STAGES,
    Case,
    Entry,
    Setup,
    arrivals,
    inject,
)

from camphorrun.core import ManualTimerService  # noqa: E402

FAULT_SECONDS = 10.0
SETTLE_SECONDS = 5.0
DEFAULT = Setup()
ADMIT_ALL = replace(DEFAULT, admission="admit_all")
NO_CONTROL = Setup("random", "first_come", "admit_all", "unbounded", outliers=False)
PRIORITIES = {("a", 0): 0.2, ("b", 1): 0.4, ("c", 2): 0.4}
FLOOD = {(f"n{index}", 0): 0.07 for index in range(9)} | {("flood", 0): 1.0}
BY_ROUTING = {
    name: replace(DEFAULT, routing=name)
    for name in ("random", "round_robin", "least_reported_load")
}
OUTLIERS_OFF = {"no_ejection": replace(DEFAULT, outliers=False)}
QUEUES = {
    "earliest_deadline": replace(DEFAULT, queue="earliest_deadline"),
    "first_come": replace(DEFAULT, queue="first_come"),
}
QUEUES_ADMIT_ALL = {
    f"{name}_admit_all": replace(setup, admission="admit_all")
    for name, setup in QUEUES.items()
} | {"least_laxity_admit_all": ADMIT_ALL}

CASES = {
    "steady": Case(0.7, {"no_control": NO_CONTROL, **BY_ROUTING}),
    "twice_capacity": Case(
        2.0, {"admit_all": ADMIT_ALL, "no_control": NO_CONTROL}, mix=PRIORITIES
    ),
    "capacity_less_a_third": Case(
        0.9, {"admit_all": ADMIT_ALL, "no_control": NO_CONTROL}, fault="heat"
    ),
    "one_slow": Case(0.7, {**OUTLIERS_OFF, "no_control": NO_CONTROL}, fault="slow_one"),
    "one_failing_fast": Case(
        0.7, {**OUTLIERS_OFF, "no_control": NO_CONTROL}, fault="fail_one"
    ),
    "flooding_account": Case(
        1.63, {"admit_all": ADMIT_ALL, "no_control": NO_CONTROL}, mix=FLOOD
    ),
    "stale_reports": Case(0.85, BY_ROUTING, report_s=2.0),
    "retry_storm": Case(
        0.8,
        {
            "unbounded": replace(DEFAULT, retries="unbounded"),
            "no_control": NO_CONTROL,
        },
        fault="stall",
    ),
    "four_stages": Case(
        1.1, {**QUEUES, **QUEUES_ADMIT_ALL}, replicas=3, stages=STAGES, deadline_s=2.5
    ),
}


def run(case: Case, setup: Setup, seed: int) -> dict:
    """Run one setup and return its figures."""
    timers = ManualTimerService()
    entry = Entry(timers, case, setup, seed)
    requests = list(arrivals(case, seed))
    for req in requests:
        timers.call_after(req.at, lambda req=req: entry.arrive(req))
    timers.subscribe(0.25, entry.control)
    for endpoints in entry.endpoints.values():
        for endpoint in endpoints:
            timers.subscribe(case.report_s, endpoint.publish)
    # A stall ends after ten seconds; other faults stay until the end.
    timers.call_after(case.fault_at, lambda: inject(case, entry, True))
    if case.fault == "stall":
        end_s = case.fault_at + FAULT_SECONDS
        timers.call_after(end_s, lambda: inject(case, entry, False))
    timers.advance(case.seconds + 2 * case.deadline_s)
    return figures(case, entry, requests)


def figures(case: Case, entry: Entry, requests: list) -> dict:
    """Return attainment, goodput, waste and amplification."""
    settled_at = case.fault_at + SETTLE_SECONDS
    if case.fault == "stall":
        settled_at += FAULT_SECONDS
    late = [req for req in requests if req.at >= settled_at]
    met = [req for req in late if req.met]
    work_s = sum(req.work_s for req in late)
    top = min(req.priority for req in requests)
    others = [req for req in late if req.account != "flood"]
    return {
        "attainment": attainment(late),
        "top_priority": attainment([r for r in late if r.priority == top]),
        "others": attainment(others),
        "goodput_of_capacity": goodput(case, settled_at, met),
        "wasted_work": sum(r.work_s for r in late if not r.met) / max(work_s, 1e-9),
        "work_s_per_answer": work_s / max(1, len(met)),
        "amplification": entry.sent / max(1, entry.first),
    }


def goodput(case: Case, settled_at: float, met: list) -> float:
    """Return requests answered in time as a share of what the endpoints can do."""
    seconds = case.seconds - settled_at
    heat = 1.5 if case.fault == "heat" else 1.0
    capacity = case.replicas * SLOTS / BASE_SECONDS / heat
    return len(met) / seconds / capacity


def attainment(requests: list) -> float:
    """Return the share of requests answered within their deadline."""
    return sum(req.met for req in requests) / max(1, len(requests))


def measure(names: list[str], seed: int) -> dict:
    """Run the named cases with every setup."""
    results = {}
    for name in names:
        case = CASES[name]
        setups = {"default": DEFAULT, **case.baselines}
        results[name] = {key: run(case, setup, seed) for key, setup in setups.items()}
    return results


def print_table(results: dict) -> None:
    """Print figures, and the ratio of the default to each baseline in attainment."""
    for name, rows in results.items():
        print(f"\n{name}")
        for key, row in rows.items():
            cells = " ".join(f"{field}={value:.3f}" for field, value in row.items())
            own = rows["default"]["attainment"]
            ratio = own / row["attainment"] if row["attainment"] else float("inf")
            print(f"  {key:26} {cells} default/this={ratio:.3f}")


def main() -> None:
    """Parse arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", action="append", choices=sorted(CASES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print JSON, no table")
    args = parser.parse_args()
    results = measure(args.case or list(CASES), args.seed)
    if args.json:
        cases = {name: asdict(CASES[name])["load"] for name in results}
        print(json.dumps({"seed": args.seed, "load": cases, "results": results}))
    else:
        print_table(results)


if __name__ == "__main__":
    main()
