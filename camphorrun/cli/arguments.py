"""Argument parser of all commands of the ``camphorrun`` program."""

import argparse

from .. import __version__
from .ctl import add_ctl
from .explain import add_explain
from .replay import add_replay
from .route import add_route
from .standins import add_standin

EXIT_CODES = """\
exit codes:
  0  success, or graceful shutdown of a daemon
  1  the operation failed, or a response was wrong or missing
  2  invalid command line
  3  invalid settings
  4  an external system is unavailable
  5  a published change conflicts with another one
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="camphorrun",
        description="Serves multi-stage model pipelines.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_daemon(commands, "entry", "serve requests of callers on an entry host")
    _add_daemon(commands, "agent", "run the agent of one endpoint")
    _add_gateway(commands)
    _add_demo(commands)
    add_replay(commands)
    add_standin(commands)
    add_ctl(commands)
    add_explain(commands)
    add_route(commands)
    return parser


def _add_daemon(commands, name: str, text: str) -> None:
    parser = commands.add_parser(name, help=text, description=text)
    parser.add_argument("--settings", required=True, help="JSON settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--verbosity", type=int, default=0, help="log level: -1 warning, 0 info"
    )


def _add_gateway(commands) -> None:
    """Add the command to the help; its arguments are in ``gateway.build_parser``."""
    text = "serve requests of callers on an entry host of the users' platform"
    commands.add_parser("gateway", help=text, description=text, add_help=False)


def _add_demo(commands) -> None:
    text = "run a complete system on loopback with stand-ins"
    parser = commands.add_parser("demo", help=text, description=text)
    parser.add_argument("--trace", default="mixed", help="name of an included trace")
    parser.add_argument("--json", action="store_true", help="print JSON")
