"""The ``route`` command, which asks a gateway where a request would be routed."""

import asyncio
import sys
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from pathlib import Path

import msgspec

from ..core import LoopTimerService, with_timeout
from ..gateway.preview_messages import (
    ROUTE_PREVIEW_PATH,
    PreviewError,
    PromptPartMessage,
    RoutePreview,
    RouteQuery,
)
from ..http1 import HttpError, connect
from ..settings import SettingsError, check_address
from .exit_codes import EXIT_FAILED, EXIT_OK, EXIT_UNAVAILABLE, EXIT_USAGE
from .route_text import render_preview

DEFAULT_TIMEOUT_SECONDS = 5.0
# A gateway answers with about 500 bytes for each replica of the service.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
DESCRIPTION = """\
Ask a running gateway where a request would be routed now, and why. Nothing is sent to a
replica, and nothing changes at the gateway."""


def add_route(commands) -> None:
    """Add the ``route`` command to the parser."""
    text = "show where a gateway would route a request now, without sending it"
    parser: ArgumentParser = commands.add_parser(
        "route", help=text, description=DESCRIPTION
    )
    parser.add_argument(
        "--gateway",
        required=True,
        type=_address,
        metavar="IP:PORT",
        help="peers address of the gateway",
    )
    parser.add_argument("--host", required=True, help="host name of the request")
    parser.add_argument("--path", required=True, help="path of the request")
    who = parser.add_mutually_exclusive_group()
    who.add_argument("--account", default="", help="name of the client account")
    who.add_argument(
        "--key-file",
        type=Path,
        metavar="FILE",
        help="file with the API key of the client account; - for standard input",
    )
    parser.add_argument(
        "--prompt",
        type=_prompt_part,
        action="append",
        default=[],
        metavar="ID:TOKENS",
        help="part of the prompt, in order; may be repeated",
    )
    parser.add_argument(
        "--tokens",
        type=_token_counts,
        default=[],
        metavar="IN[,OUT]",
        help="token counts of prompt and output as the caller states them",
    )
    parser.add_argument(
        "--pieces",
        type=_counts,
        default=[],
        metavar="N,...",
        help="pieces of each stage; default: one",
    )
    parser.add_argument(
        "--deadline",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="time until the caller's deadline",
    )
    parser.add_argument(
        "--attempt",
        default="route-preview",
        metavar="ID",
        help="attempt identifier; it decides between several services of a route",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_SECONDS,
        metavar="SECONDS",
        help=f"maximum time to wait (default {DEFAULT_TIMEOUT_SECONDS:g})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def run_route(args: Namespace) -> int:
    """Print the preview of a request and return the exit code.

    It is 0 for a preview, also of a request that would be refused, 1 if the gateway is
    not ready or its answer can't be used, 2 for an invalid query, and 4 if the gateway
    is unreachable.
    """
    try:
        query = _query(args)
        status, data = asyncio.run(_ask(args.gateway, query, args.timeout))
    except (OSError, UnicodeDecodeError) as exc:
        return _fail(f"cannot read the API key: {exc}", EXIT_USAGE)
    except TimeoutError:
        text = f"{args.gateway}: expected an answer within {args.timeout:g} s"
        return _fail(text, EXIT_UNAVAILABLE)
    except HttpError as exc:
        text = f"expected a gateway at its peers address {args.gateway}: {exc}"
        return _fail(text, EXIT_UNAVAILABLE)
    try:
        if status != 200:
            return _report_error(args.gateway, status, data)
        preview = msgspec.json.decode(data, type=RoutePreview)
    except msgspec.DecodeError as exc:
        text = f"{args.gateway}: expected the answer of a gateway, status {status}"
        return _fail(f"{text}: {exc}", EXIT_FAILED)
    print(data.decode() if args.json else render_preview(preview))
    return EXIT_OK


def _query(args: Namespace) -> RouteQuery:
    return RouteQuery(
        args.host,
        args.path,
        args.account,
        _read_key(args.key_file),
        args.attempt,
        args.prompt,
        *(args.tokens + [0, 0])[:2],
        args.pieces,
        args.deadline,
    )


def _read_key(path: Path | None) -> str:
    if path is None:
        return ""
    text = sys.stdin.read() if str(path) == "-" else path.read_text(encoding="utf-8")
    return text.strip()


async def _ask(address: str, query: RouteQuery, timeout_s: float) -> tuple[int, bytes]:
    """Return status and body of the gateway's answer.

    Raises
    ------
    HttpError
        If the gateway is unreachable, or the connection breaks.
    TimeoutError
        If there is no complete answer within ``timeout_s``.
    """
    timers = LoopTimerService()
    return await with_timeout(timers, _exchange(address, query, timers), timeout_s)


async def _exchange(
    address: str, query: RouteQuery, timers: LoopTimerService
) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    conn = await connect(host.strip("[]"), int(port), timers, DEFAULT_TIMEOUT_SECONDS)
    try:
        body = msgspec.json.encode(query)
        head = (
            f"POST {ROUTE_PREVIEW_PATH} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        answer = await conn.request(head.encode() + body)
        return answer.status, await conn.read_all(MAX_ANSWER_BYTES)
    finally:
        conn.abort()


def _report_error(address: str, status: int, data: bytes) -> int:
    """Print why there is no preview, and return the exit code."""
    if status == 404:
        text = f"{address}: expected a gateway that answers {ROUTE_PREVIEW_PATH}"
        return _fail(f"{text}; this one is of an earlier release", EXIT_FAILED)
    error = msgspec.json.decode(data, type=PreviewError)
    code = EXIT_USAGE if status == 400 else EXIT_FAILED
    return _fail(f"{address}: {error.code}: {error.error}", code)


def _fail(text: str, exit_code: int) -> int:
    print(f"route: {text}", file=sys.stderr)
    return exit_code


def _address(text: str) -> str:
    try:
        return check_address(text, "gateway")
    except SettingsError as exc:
        raise ArgumentTypeError(str(exc)) from None


def _prompt_part(text: str) -> PromptPartMessage:
    identifier, _, tokens = text.rpartition(":")
    if not identifier or not (tokens.isascii() and tokens.isdigit()):
        raise ArgumentTypeError(f"expected ID:TOKENS, got {text!r}")
    return PromptPartMessage(identifier, int(tokens))


def _token_counts(text: str) -> list[int]:
    counts = _counts(text)
    if len(counts) > 2:
        raise ArgumentTypeError(f"expected IN or IN,OUT, got {text!r}")
    return counts


def _counts(text: str) -> list[int]:
    parts = text.split(",")
    if not all(part.isascii() and part.isdigit() for part in parts):
        raise ArgumentTypeError(
            f"expected comma-separated integers of 0 or more, got {text!r}"
        )
    return [int(part) for part in parts]
