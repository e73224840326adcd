"""Entry point of the ``camphorrun`` program."""

from argparse import Namespace
from collections.abc import Callable

from .arguments import build_parser
from .daemons import run_daemon
from .operate import run_ctl
from .replaying import run_demo_command, run_replay
from .standins import run_standin

_COMMANDS: dict[str, Callable[[Namespace], int]] = {
    "entry": run_daemon,
    "agent": run_daemon,
    "demo": run_demo_command,
    "replay": run_replay,
    "standin": run_standin,
    "ctl": run_ctl,
}


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program name; defaults to those of the process.
    """
    args = build_parser().parse_args(argv)
    return _COMMANDS[args.command](args)
