"""Base class of the daemons: log access, HTTP server, supervision and drain."""

import asyncio
from abc import ABC, abstractmethod

import aiohttp
from aiohttp import web

from ..clients import HostEntry, LogClient, create_session
from ..core import Lifecycle, LoopTimerService, Supervisor, TimerService, new_identifier
from ..metrics import Metrics
from ..settings import AgentSettings, EntrySettings, key_ring
from .claims import ClaimMetrics, build_claim_participant
from .configuration_sync import ConfigurationSync
from .relay_node import RelayNode
from .server import start_server

DRAIN_POLL_SECONDS = 0.05
FLEET_STREAM = "fleet"
ACCOUNTS_STREAM = "accounts"


class Daemon(ABC):
    """Base class of the entry and agent daemons.

    Parameters
    ----------
    settings : EntrySettings or AgentSettings
        Validated settings.
    timers : TimerService, optional
        Clock.

    Attributes
    ----------
    role : str
        ``entry`` or ``agent``.
    streams : tuple of str
        Configuration streams that the daemon follows.
    """

    role = ""
    streams: tuple[str, ...] = (FLEET_STREAM,)

    def __init__(
        self,
        settings: EntrySettings | AgentSettings,
        timers: TimerService | None = None,
    ):
        self.settings = settings
        self.incarnation = new_identifier(self.role)
        self.timers = timers or LoopTimerService()
        self.metrics = Metrics()
        self.lifecycle = Lifecycle(settings.host.name, self.incarnation)
        self._key_ring = key_ring(settings.keys)
        self._supervisor = Supervisor(settings.host.name, self.timers)

    async def run(self) -> None:
        """Serve until a drain has finished.

        Raises
        ------
        OSError
            If the listening address can't be bound.
        SupervisionError
            If a background task exceeded its restarts.
        """
        connector = aiohttp.TCPConnector(limit=0)
        async with create_session(connector=connector) as session:
            self._build_log_components(session)
            self._build(session)
            runner = await start_server(self._application(), self.settings.host.listen)
            supervised = asyncio.ensure_future(self._supervisor.run())
            try:
                self.lifecycle.serve()
                await self._serve_until_drained(supervised)
            finally:
                await self._supervisor.stop()
                await self._stop_serving(runner)
                await self._claims.close()

    def drain(self, reason: str) -> None:
        """Start the graceful shutdown."""
        self.lifecycle.drain(reason)

    @abstractmethod
    def _build(self, session: aiohttp.ClientSession) -> None:
        """Build the components of the role, after those that use the log."""

    @abstractmethod
    def _application(self) -> web.Application:
        """Return the HTTP application of the role."""

    @abstractmethod
    async def _stop_serving(self, runner: web.AppRunner) -> None:
        """Close the HTTP server and the links to other daemons."""

    @abstractmethod
    async def _finish_drain(self) -> None:
        """Wait until a drain has started and the work in flight has ended."""

    def _build_log_components(self, session: aiohttp.ClientSession) -> None:
        """Build the log client, claims, relay and configuration reader.

        The relay provides the configuration while the log service is unavailable.
        """
        settings = self.settings
        self._log = LogClient(session, settings.platform.log_url)
        self._claims = build_claim_participant(
            self._log, self.timers, settings, self.incarnation
        )
        ClaimMetrics(self._claims, self.metrics, self.timers)
        self._relay = RelayNode(
            session, settings.host, self._key_ring, self.timers, self.metrics
        )
        self._sync = ConfigurationSync(
            self._log,
            self.streams,
            self._claims.follower,
            self._relay.peers,
            timers=self.timers,
            metrics=self.metrics,
        )

    def _drain_if_leaving(self, hosts: tuple[HostEntry, ...]) -> None:
        """Start a drain if the host list marks this host as leaving."""
        name = self.settings.host.name
        if any(entry.host == name and entry.state == "leaving" for entry in hosts):
            self.lifecycle.drain("host list marks the host as leaving")

    async def _serve_until_drained(self, supervised: asyncio.Future) -> None:
        drained = asyncio.ensure_future(self._finish_drain())
        done, _ = await asyncio.wait(
            {drained, supervised}, return_when=asyncio.FIRST_COMPLETED
        )
        drained.cancel()
        for task in done:
            task.result()
