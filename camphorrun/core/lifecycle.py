"""Lifecycle of a daemon: starting, serving, draining, stopped."""

import asyncio
from collections.abc import Callable

from absl import logging
from transitions import Machine


class Lifecycle:
    """State machine of a daemon's life, with the reasons for a drain.

    A drain starts once and is never taken back: the host is replaced or restarted.

    Parameters
    ----------
    host : str
        Name used in logs.
    incarnation : str
        Identifier of the process; it joins the log lines of one process with those of
        the links to it.
    """

    _machine = Machine(
        model=None,
        states=["starting", "serving", "draining", "stopped"],
        transitions=[
            ["serve", "starting", "serving"],
            ["begin_drain", ["starting", "serving"], "draining"],
            ["finish", "draining", "stopped"],
        ],
        initial="starting",
    )

    def __init__(self, host: str, incarnation: str = ""):
        self._host = f"{host} ({incarnation})" if incarnation else host
        self._drain_listeners: list[Callable[[str], None]] = []
        self._drain_started = asyncio.Event()
        self.drain_reason = ""
        self._machine.add_model(self)

    @property
    def accepts_work(self) -> bool:
        """Whether new work may start."""
        return self.state == "serving"

    def on_enter_serving(self) -> None:
        """Record that the daemon accepts work."""
        logging.info("%s: serving", self._host)

    def subscribe_drain(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with the reason when the drain starts."""
        self._drain_listeners.append(callback)

    def drain(self, reason: str) -> None:
        """Start the graceful shutdown; later calls change nothing."""
        if self.state not in ("starting", "serving"):
            return
        self.drain_reason = reason
        self.begin_drain()
        logging.info("%s: draining: %s", self._host, reason)
        for callback in self._drain_listeners:
            callback(reason)
        self._drain_started.set()

    async def wait_for_drain(self) -> None:
        """Return once a drain has started."""
        await self._drain_started.wait()

    def stopped(self) -> None:
        """Record that the last work in flight has ended."""
        self.finish()
        logging.info("%s: stopped", self._host)
