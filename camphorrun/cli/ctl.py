"""The ``ctl`` command for operators."""

import asyncio
import sys
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from collections.abc import Awaitable, Callable

from ..operators import (
    CommandResult,
    CommandStatus,
    OperatorContext,
    delete_document,
    drain_host,
    explain_request,
    get_document,
    open_context,
    publish_file,
    show_history,
    show_status,
    wait_for_version,
)
from ..operators.console import OperatorError
from ..settings import OperatorSettings, SettingsError, check_settings, load_settings
from .exit_codes import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_SETTINGS,
    EXIT_UNAVAILABLE,
)

DEFAULT_TIMEOUT_SECONDS = 60.0
MAX_TIMEOUT_SECONDS = 24 * 3600.0

_EXIT_CODES = {
    CommandStatus.OK: EXIT_OK,
    CommandStatus.FAILED: EXIT_FAILED,
    CommandStatus.UNAVAILABLE: EXIT_UNAVAILABLE,
    CommandStatus.CONFLICT: EXIT_CONFLICT,
}

_Action = Callable[[OperatorContext, Namespace], Awaitable[CommandResult]]
_ACTIONS: dict[str, _Action] = {
    "publish": lambda ctx, args: publish_file(ctx, args.file, args.expected),
    "delete": lambda ctx, args: delete_document(
        ctx, args.kind, args.name, args.expected
    ),
    "history": lambda ctx, args: show_history(ctx, args.kind, args.name),
    "get": lambda ctx, args: get_document(ctx, args.kind, args.name),
    "status": lambda ctx, _args: show_status(ctx),
    "wait": lambda ctx, args: wait_for_version(ctx, args.version, args.timeout),
    "drain": lambda ctx, args: drain_host(
        ctx, args.host, args.reason, args.timeout if args.wait else 0.0
    ),
    "explain": lambda ctx, args: explain_request(ctx, args.request_id),
}


def add_ctl(commands) -> None:
    """Add the ``ctl`` command and its actions to the parser."""
    text = "publish changes, show the state of hosts and drain them"
    parser = commands.add_parser("ctl", help=text, description=text)
    parser.add_argument("--settings", required=True, help="JSON settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    actions = parser.add_subparsers(dest="action", metavar="ACTION")
    publish = actions.add_parser("publish", help="publish the document in a file")
    publish.add_argument("file", help="JSON file with kind and document")
    _add_expected(publish)
    delete = _add_document(actions, "delete", "delete a document")
    _add_expected(delete)
    _add_document(actions, "history", "list the retained changes of a document")
    _add_document(actions, "get", "print the document in effect")
    actions.add_parser("status", help="show the state of each host in the host list")
    wait = actions.add_parser("wait", help="wait until the hosts have read a version")
    wait.add_argument("--version", required=True, metavar="STREAM:OFFSET")
    _add_timeout(wait)
    drain = actions.add_parser("drain", help="drain a host")
    drain.add_argument("host")
    drain.add_argument("--reason", default="operator request")
    drain.add_argument(
        "--wait", action="store_true", help="wait until the host has stopped"
    )
    _add_timeout(drain)
    explain = actions.add_parser("explain", help="show the outcome of a recent request")
    explain.add_argument("request_id")


def run_ctl(args: Namespace) -> int:
    """Run one action, or check the settings; return the exit code."""
    try:
        settings = load_settings(args.settings, OperatorSettings)
        check_settings(settings)
    except SettingsError as exc:
        print(f"camphorrun: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    if args.check or args.action is None:
        print("settings are valid")
        return EXIT_OK
    try:
        result = asyncio.run(_run(settings, args))
    except OperatorError as exc:
        print(f"camphorrun: {exc.code}: {exc}", file=sys.stderr)
        return _EXIT_CODES[exc.status]
    print(result.render(args.json))
    return _EXIT_CODES[result.status]


async def _run(settings: OperatorSettings, args: Namespace) -> CommandResult:
    async with open_context(settings) as ctx:
        return await _ACTIONS[args.action](ctx, args)


def _add_document(actions, name: str, text: str) -> ArgumentParser:
    parser = actions.add_parser(name, help=text)
    parser.add_argument("kind")
    parser.add_argument("name")
    return parser


def _add_expected(parser: ArgumentParser) -> None:
    parser.add_argument(
        "--expected",
        type=int,
        metavar="VERSION",
        help="offset of the version to replace; default: the latest one in the log",
    )


def _add_timeout(parser: ArgumentParser) -> None:
    parser.add_argument(
        "--timeout",
        type=_seconds,
        default=DEFAULT_TIMEOUT_SECONDS,
        help=f"maximum time to wait in seconds (default {DEFAULT_TIMEOUT_SECONDS:g})",
    )


def _seconds(text: str) -> float:
    """Parse a timeout in seconds.

    Raises
    ------
    ArgumentTypeError
        If it is not a number in the permitted range; ``argparse`` reports the error.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        bound = f"{MAX_TIMEOUT_SECONDS:g}"
        raise ArgumentTypeError(
            f"expected a number of seconds above 0 and up to {bound}, got {text!r}"
        )
    return seconds
