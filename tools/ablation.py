"""Switches decisions off one by one and plays the panel against the tree as it is.

Each decision is switched off in a clone below ``--out``, by a change of text as in
``tools.mutations``. The clones are compared with the commit that is checked out::

    python -m tools.ablation --bench FLEETBENCH --site SITE.toml --why "reason"
"""

import argparse
import asyncio
import subprocess
import sys
from pathlib import Path

from . import panel
from .mutations_fleet import Mutation

BATCHES = "camphorrun/pipeline/batches.py"
WAITS = "camphorrun/gateway/stage_waits.py"
OWNER = "camphorrun/gateway/stage_owner.py"
RUNNER = "camphorrun/gateway/stage_runner.py"
REQUEST_HANDLER = "camphorrun/gateway/request_handler.py"

DECISIONS = (
    Mutation(
        "transfer waits",
        BATCHES,
        "        if max_transfer_wait_s < MIN_TRANSFER_WAIT_SECONDS:",
        "        if True:",
        "",
    ),
    Mutation(
        "whole requests",
        BATCHES,
        "            if chosen and fit_count < piece_count <= self.capacity.batch:",
        "            if False:",
        "",
    ),
    Mutation(
        "even intervals",
        OWNER,
        "            if self._call_delay_s(workers, now) > 0.0:",
        "            if False:",
        "",
    ),
    Mutation(
        "wait to fill",
        OWNER,
        "        if now - worker.idle_since >= MAX_FILL_WAIT_SECONDS:",
        "        if True:",
        "",
    ),
    Mutation(
        "refusals by owners",
        BATCHES,
        "        return bool(self._groups) and now + wait_s > latest_at",
        "        return False",
        "",
    ),
    Mutation(
        "expiry of late groups",
        BATCHES,
        "            return backlog_is_long and group.latest_start(call_s) < now",
        "            return False",
        "",
    ),
    Mutation(
        "priority in a long backlog",
        BATCHES,
        "return start_at < now, group.priority if backlog_is_long else 0, start_at",
        "return start_at < now, 0, start_at",
        "",
    ),
    Mutation(
        "questions for waits",
        WAITS,
        "        if age_s < MAX_WAIT_AGE_SECONDS:",
        "        if True:",
        "",
    ),
    Mutation(
        "forecasts at the start",
        REQUEST_HANDLER,
        "        if verdict is None:",
        "        if True:",
        "",
    ),
    Mutation(
        "prefix affinity",
        "camphorrun/routing/affinity.py",
        "        + (0 if has_prefix else request.prefix_tokens)",
        "        + request.prefix_tokens",
        "",
    ),
)


def make_tree(decision: Mutation, out: Path) -> Path:
    """Return a clone of the checked out commit with a decision switched off."""
    path = out / decision.mechanism.replace(" ", "-")
    subprocess.run(["rm", "-rf", str(path)], check=True)
    subprocess.run(["git", "clone", "-q", ".", str(path)], check=True)
    source = path / decision.path
    text = source.read_text()
    if text.count(decision.old) != 1:
        found = text.count(decision.old)
        raise SystemExit(f"{decision.mechanism}: text found {found} times")
    source.write_text(text.replace(decision.old, decision.new))
    message = f"Ablation: without {decision.mechanism}"
    subprocess.run(["git", "-C", str(path), "commit", "-qam", message], check=True)
    return path


def main() -> int:
    """Run from the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--only", default="", help="part of a decision's name")
    panel.add_arguments(parser)
    args = parser.parse_args()
    args.out = args.out.parent / "ablation"
    args.out.mkdir(parents=True, exist_ok=True)
    args.tree = ["all=."]
    for decision in DECISIONS:
        if args.only in decision.mechanism:
            args.tree.append(f"{decision.mechanism}={make_tree(decision, args.out)}")
    asyncio.run(panel.play(args))
    return 0


if __name__ == "__main__":
    sys.exit(main())
