"""The ``explain`` command, which prints the timeline of a request from logs."""

import sys
from argparse import Namespace
from collections.abc import Iterator
from pathlib import Path

from ..core import build_request_timelines, render_request_timeline
from .exit_codes import EXIT_FAILED, EXIT_OK, EXIT_USAGE


def add_explain(commands) -> None:
    """Add the ``explain`` command to the parser."""
    text = "print the decisions of gateways on one request from their logs"
    parser = commands.add_parser("explain", help=text, description=text)
    parser.add_argument("request", help="identifier of the caller's attempt")
    parser.add_argument(
        "logs", nargs="*", type=Path, help="log files; default: standard input"
    )


def run_explain(args: Namespace) -> int:
    """Print the timeline of a request and return the exit code."""
    try:
        timelines = build_request_timelines(args.request, _read_lines(args.logs))
    except OSError as exc:
        print(f"explain: {exc}", file=sys.stderr)
        return EXIT_USAGE
    if not timelines:
        print(
            f"explain: the logs contain no decision on request {args.request}",
            file=sys.stderr,
        )
        return EXIT_FAILED
    print(render_request_timeline(args.request, timelines))
    return EXIT_OK


def _read_lines(paths: list[Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
