"""The ``gateway`` command.

It has its own argument parser, so that a gateway doesn't load the libraries that only
other commands need; the hosts of gateways have little memory.
"""

import argparse
import asyncio
import logging as standard_logging
import os
import signal
import sys

from absl import logging

from ..core import SupervisionError
from ..gateway import GatewayDaemon
from ..settings import GatewaySettings, SettingsError, load_settings
from .exit_codes import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS

SETTINGS_VARIABLE = "CAMPHORRUN_CONFIG"


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of ``camphorrun gateway``."""
    text = "serve requests of callers on an entry host of the users' platform"
    parser = argparse.ArgumentParser(prog="camphorrun gateway", description=text)
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"JSON settings file; defaults to the value of {SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--verbosity", type=int, default=-1, help="log level: -1 warning, 0 info"
    )
    return parser


def run_gateway(argv: list[str]) -> int:
    """Run a gateway until its shutdown, or check its settings; return the exit code."""
    args = build_parser().parse_args(argv)
    try:
        settings = load_settings(args.settings, GatewaySettings)
    except SettingsError as exc:
        print(f"camphorrun: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    if args.check:
        print("settings are valid")
        return EXIT_OK
    logging.set_verbosity(args.verbosity)
    logging.use_absl_handler()
    standard_logging.getLogger("transitions").setLevel(standard_logging.WARNING)
    try:
        asyncio.run(_serve(GatewayDaemon(settings)))
    except (OSError, SupervisionError) as exc:
        logging.error("gateway: %s", exc)
        return EXIT_FAILED
    return EXIT_OK


async def _serve(daemon: GatewayDaemon) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        name = signal.Signals(signal_number).name
        loop.add_signal_handler(signal_number, daemon.drain, name)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await daemon.run()
