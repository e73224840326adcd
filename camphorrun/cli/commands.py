"""Dispatch of all commands except ``gateway``."""

from argparse import Namespace
from collections.abc import Callable

from .arguments import build_parser
from .ctl import run_ctl
from .daemons import run_daemon
from .explain import run_explain
from .replay import run_demo_command, run_replay
from .route import run_route
from .standins import run_standin

_COMMANDS: dict[str, Callable[[Namespace], int]] = {
    "entry": run_daemon,
    "agent": run_daemon,
    "demo": run_demo_command,
    "replay": run_replay,
    "standin": run_standin,
    "ctl": run_ctl,
    "explain": run_explain,
    "route": run_route,
}


def run_command(argv: list[str] | None) -> int:
    """Parse the arguments, run the command and return its exit code."""
    args = build_parser().parse_args(argv)
    return _COMMANDS[args.command](args)
