"""The ``entry`` and ``agent`` commands."""

import asyncio
import logging as standard_logging
import signal
import sys
from argparse import Namespace

from absl import logging

from ..agent import AgentDaemon
from ..core import SupervisionError
from ..daemon import check_policies
from ..entry import EntryDaemon
from ..settings import (
    AgentSettings,
    EntrySettings,
    SettingsError,
    check_settings,
    load_settings,
)
from .exit_codes import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS

_ROLES = {
    "entry": (EntrySettings, EntryDaemon),
    "agent": (AgentSettings, AgentDaemon),
}


def run_daemon(args: Namespace) -> int:
    """Run a daemon until its shutdown, or check its settings; return the exit code."""
    settings_kind, daemon_kind = _ROLES[args.command]
    try:
        settings = load_settings(args.settings, settings_kind)
        check_settings(settings)
        check_policies(settings.policy)
    except SettingsError as exc:
        print(f"camphorrun: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    if args.check:
        print("settings are valid")
        return EXIT_OK
    _set_up_logging(args.verbosity)
    try:
        asyncio.run(_serve(daemon_kind(settings)))
    except (OSError, SupervisionError) as exc:
        logging.error("%s: %s", args.command, exc)
        return EXIT_FAILED
    return EXIT_OK


def _set_up_logging(verbosity: int) -> None:
    logging.set_verbosity(verbosity)
    logging.use_absl_handler()
    # The transitions library logs several lines for each transition; the state machines
    # themselves log the state changes that are relevant to operators.
    standard_logging.getLogger("transitions").setLevel(standard_logging.WARNING)


async def _serve(daemon: EntryDaemon | AgentDaemon) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        name = signal.Signals(signal_number).name
        loop.add_signal_handler(signal_number, daemon.drain, name)
    await daemon.run()
