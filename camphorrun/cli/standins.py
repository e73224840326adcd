"""The ``standin`` command, which runs one stand-in of an external system."""

import asyncio
import signal
import sys
from argparse import Namespace
from collections.abc import Callable
from typing import Any

import msgspec
from absl import logging
from aiohttp import web

from ..core import LoopTimerService, TimerService
from ..daemon import start_server
from ..settings import SettingsError, check_address
from ..standins import (
    EndpointProfile,
    EndpointServer,
    HostListServer,
    LogServer,
    WeightServer,
)
from .exit_codes import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS

ApplicationFactory = Callable[[TimerService, bytes], web.Application]


def add_standin(commands) -> None:
    """Add the ``standin`` command to the parser."""
    text = "run a stand-in of a platform service or of an endpoint"
    parser = commands.add_parser("standin", help=text, description=text)
    parser.add_argument("kind", choices=sorted(_APPLICATION_FACTORIES))
    parser.add_argument("--listen", required=True, help="ip:port")
    parser.add_argument(
        "--profile", default="{}", help="JSON object with parameters of the stand-in"
    )


def run_standin(args: Namespace) -> int:
    """Run a stand-in until SIGTERM or SIGINT and return the exit code."""
    logging.use_absl_handler()
    try:
        check_address(args.listen, "listen")
        asyncio.run(_serve(args))
    except (SettingsError, msgspec.DecodeError, TypeError) as exc:
        print(f"camphorrun: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as exc:
        logging.error("standin: %s", exc)
        return EXIT_FAILED
    return EXIT_OK


async def _serve(args: Namespace) -> None:
    app = _APPLICATION_FACTORIES[args.kind](LoopTimerService(), args.profile.encode())
    runner = await start_server(app, args.listen)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    await runner.cleanup()


def _build_log_server(timers: TimerService, profile: bytes) -> web.Application:
    fields = msgspec.json.decode(profile, type=dict[str, float])
    return LogServer(timers, **fields).application()


def _build_host_list_server(timers: TimerService, profile: bytes) -> web.Application:
    fields = msgspec.json.decode(profile, type=dict[str, float])
    return HostListServer(timers, **fields).application()


def _build_endpoint_server(timers: TimerService, profile: bytes) -> web.Application:
    fields = msgspec.json.decode(profile, type=dict[str, Any])
    # The constructor rejects unknown names with a TypeError, and the conversion rejects
    # wrong types.
    EndpointProfile(**fields)
    decoded = msgspec.convert(fields, EndpointProfile)
    return EndpointServer(timers, decoded).application()


def _build_weight_server(timers: TimerService, profile: bytes) -> web.Application:
    fields = msgspec.json.decode(profile, type=dict[str, float])
    return WeightServer(timers, **fields).application()


_APPLICATION_FACTORIES: dict[str, ApplicationFactory] = {
    "endpoint": _build_endpoint_server,
    "hosts": _build_host_list_server,
    "log": _build_log_server,
    "weights": _build_weight_server,
}
