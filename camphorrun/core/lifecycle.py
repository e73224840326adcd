"""Lifecycle states of a daemon: starting, serving, draining, stopped."""

import asyncio
from collections.abc import Callable

from absl import logging
from transitions import Machine


class Lifecycle:
    """State machine of a daemon, with the reason for its drain.

    A drain can't be cancelled: to serve again, the daemon must be restarted or its host
    replaced.

    Parameters
    ----------
    host : str
        Name of the host, used in log messages.
    incarnation : str
        Identifier of the process, added to log messages so that they can be matched
        with those of its peers on links to this process.

    Attributes
    ----------
    drain_reason : str
        Reason given for the drain; empty before it.
    """

    # Adds `state` and the methods `serve`, `begin_drain` and `finish`.
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
        """Whether the daemon accepts new work."""
        return self.state == "serving"

    def on_enter_serving(self) -> None:
        """Log the transition to serving."""
        logging.info("%s: serving", self._host)

    def subscribe_drain(self, callback: Callable[[str], None]) -> None:
        """Register a callback that receives the reason when a drain starts."""
        self._drain_listeners.append(callback)

    def drain(self, reason: str) -> None:
        """Start the graceful shutdown; ignored if it has already started."""
        if self.state not in ("starting", "serving"):
            return
        self.drain_reason = reason
        self.begin_drain()
        logging.info("%s: draining: %s", self._host, reason)
        for callback in self._drain_listeners:
            callback(reason)
        self._drain_started.set()

    async def wait_for_drain(self) -> None:
        """Wait until a drain has started."""
        await self._drain_started.wait()

    def mark_stopped(self) -> None:
        """Enter the stopped state, after the last work in flight has ended."""
        self.finish()
        logging.info("%s: stopped", self._host)
