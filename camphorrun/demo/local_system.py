"""The whole path in one process on loopback: stand-ins, agents and entries."""

import asyncio
import contextlib
import socket
from collections.abc import Coroutine
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from ..agent import AgentDaemon
from ..clients import HostEntry, LogClient, create_session
from ..configuration import ACCOUNTS_STREAM, FLEET_STREAM
from ..core import LoopTimerService, TimerService
from ..daemon import start_server
from ..entry import EntryDaemon
from ..replay import Scenario
from ..settings import (
    AgentSettings,
    EndpointSettings,
    EntrySettings,
    HostSettings,
    KeySettings,
    PlatformSettings,
    PolicySettings,
)
from ..standins import EndpointProfile, EndpointServer, HostListServer, LogServer

LOOPBACK = "127.0.0.1"
OPERATOR_CREDENTIAL = "demo-operator"
SHARED_KEYS = (KeySettings(1, "0f" * 32),)
REGION = "local"


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service of the local system and its replicas."""

    name: str
    replicas: int
    profile: EndpointProfile = field(default_factory=EndpointProfile)
    kind: str = "plain"
    initial_limit: int = 8


@dataclass(slots=True)
class LocalEndpoint:
    """One endpoint with its agent."""

    host: str
    zone: str
    spec: ServiceSpec
    server: EndpointServer
    agent: AgentDaemon
    agent_task: asyncio.Task
    runner: web.AppRunner


class LocalSystem:
    """Starts and stops everything.

    Parameters
    ----------
    services : tuple of ServiceSpec
        Services with their stand-in endpoints.
    zones : tuple of str
        Availability zones; hosts are spread over them in turn.
    entries : int
        Number of entry daemons.
    policy : PolicySettings
        Policies of entries and agents.

    Attributes
    ----------
    entry_urls : list of str
        Base URLs of the entries.
    endpoints : dict of str to list of LocalEndpoint
        Endpoints by service.
    """

    def __init__(
        self,
        services: tuple[ServiceSpec, ...],
        zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c"),
        entries: int = 2,
        policy: PolicySettings | None = None,
    ):
        self._services = services
        self._zones = zones
        self._entry_count = entries
        self._policy = policy or PolicySettings()
        self.timers: TimerService = LoopTimerService()
        self.log_server = LogServer(self.timers)
        self.host_list = HostListServer(self.timers)
        self.entry_urls: list[str] = []
        self.entries: list[EntryDaemon] = []
        self.endpoints: dict[str, list[LocalEndpoint]] = {}
        self._entry_tasks: list[asyncio.Task] = []
        self._entry_zones: list[str] = []
        self._runners: list[web.AppRunner] = []
        self._background: set[asyncio.Task] = set()
        self._host_numbers = iter(range(1, 10_000))

    async def start(self) -> None:
        """Start stand-ins, agents and entries."""
        log_url = await self._serve(self.log_server.application())
        hosts_url = await self._serve(self.host_list.application())
        self.platform = PlatformSettings(log_url, hosts_url)
        for spec in self._services:
            for _ in range(spec.replicas):
                await self.add_endpoint(spec)
        for _ in range(self._entry_count):
            self.add_entry()

    async def stop(self) -> None:
        """Stop everything, entries first, so that no link breaks under them."""
        agents = [e.agent_task for group in self.endpoints.values() for e in group]
        for tasks in (self._entry_tasks, agents, list(self._background)):
            await _cancel(tasks)
        for group in self.endpoints.values():
            for endpoint in group:
                await endpoint.runner.cleanup()
        for runner in self._runners:
            await runner.cleanup()

    async def add_endpoint(
        self, spec: ServiceSpec, *, listed: bool = True
    ) -> LocalEndpoint:
        """Start an endpoint with its agent and list its host unless told not to."""
        number = next(self._host_numbers)
        host = f"{spec.name}-{number}"
        zone = self._zones[number % len(self._zones)]
        server = EndpointServer(self.timers, spec.profile)
        address = f"{LOOPBACK}:{free_port()}"
        runner = await start_server(server.application(), address)
        listen = f"{LOOPBACK}:{free_port()}"
        settings = AgentSettings(
            host=HostSettings(host, zone, REGION, listen),
            platform=self.platform,
            endpoint=EndpointSettings(f"http://{address}", spec.name, spec.kind),
            keys=SHARED_KEYS,
            operator_credential=OPERATOR_CREDENTIAL,
            policy=self._policy,
            initial_limit=spec.initial_limit,
        )
        agent = AgentDaemon(settings, self.timers)
        task = asyncio.ensure_future(agent.run())
        endpoint = LocalEndpoint(host, zone, spec, server, agent, task, runner)
        self.endpoints.setdefault(spec.name, []).append(endpoint)
        if listed:
            self.host_list.put(
                HostEntry(host, listen, "agent", zone, REGION, spec.name)
            )
        return endpoint

    def add_entry(self) -> str:
        """Start an entry, list its host and return its base URL."""
        number = next(self._host_numbers)
        host = f"entry-{number}"
        zone = self._zones[number % len(self._zones)]
        listen = f"{LOOPBACK}:{free_port()}"
        settings = EntrySettings(
            host=HostSettings(host, zone, REGION, listen),
            platform=self.platform,
            keys=SHARED_KEYS,
            operator_credential=OPERATOR_CREDENTIAL,
            policy=self._policy,
        )
        entry = EntryDaemon(settings, self.timers)
        self.entries.append(entry)
        self._entry_zones.append(zone)
        self._entry_tasks.append(asyncio.ensure_future(entry.run()))
        self.entry_urls.append(f"http://{listen}")
        self.host_list.put(HostEntry(host, listen, "entry", zone, REGION))
        return self.entry_urls[-1]

    async def wait_ready(self, timeout_s: float = 10.0) -> None:
        """Wait until every entry is ready and linked to every agent.

        Raises
        ------
        TimeoutError
            If that takes longer than ``timeout_s``.
        """
        expected = sum(len(group) for group in self.endpoints.values())
        async with (
            asyncio.timeout(timeout_s),
            create_session() as session,
        ):
            for url in self.entry_urls:
                while not await _is_linked(session, url, expected):
                    await self.timers.sleep(0.05)

    async def wait_published(self, scenario: Scenario, timeout_s: float) -> None:
        """Wait until every entry has read the documents of a scenario.

        Raises
        ------
        TimeoutError
            If that takes longer than ``timeout_s``.
        """
        # A position is the last offset read, and offsets start at 1.
        wanted = {
            FLEET_STREAM: len(scenario.services) + len(scenario.templates),
            ACCOUNTS_STREAM: len(scenario.accounts),
        }
        async with (
            asyncio.timeout(timeout_s),
            create_session() as session,
        ):
            for url in self.entry_urls:
                while not await _has_read(session, url, wanted):
                    await self.timers.sleep(0.05)

    def lose_zone(self, zone: str) -> None:
        """Stop every process in an availability zone without a shutdown."""
        for group in self.endpoints.values():
            for endpoint in group:
                if endpoint.zone == zone:
                    endpoint.agent_task.cancel()
                    endpoint.server.change(stalled=True)
        for task, entry_zone in zip(self._entry_tasks, self._entry_zones, strict=True):
            if entry_zone == zone:
                task.cancel()

    def drain_endpoint(self, endpoint: LocalEndpoint, *, replace: bool) -> None:
        """Retire the host of an endpoint gracefully, replacing it if asked to."""
        endpoint.agent.drain("planned maintenance")
        self._spawn(self._retire(endpoint, replace))

    async def _retire(self, endpoint: LocalEndpoint, replace: bool) -> None:
        await endpoint.agent_task
        self.host_list.remove(endpoint.host)
        if replace:
            await self.add_endpoint(endpoint.spec)

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def log_client(self, session: aiohttp.ClientSession) -> LogClient:
        """Return a client of the log service."""
        return LogClient(session, self.platform.log_url)

    async def _serve(self, app: web.Application) -> str:
        address = f"{LOOPBACK}:{free_port()}"
        self._runners.append(await start_server(app, address))
        return f"http://{address}"


async def _cancel(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task


async def _has_read(
    session: aiohttp.ClientSession, url: str, wanted: dict[str, int]
) -> bool:
    async with session.get(f"{url}/v1/status") as resp:
        positions = (await resp.json())["positions"]
    return all(positions.get(name, 0) >= wanted[name] for name in wanted)


async def _is_linked(session: aiohttp.ClientSession, url: str, expected: int) -> bool:
    try:
        async with session.get(f"{url}/v1/status") as resp:
            status = await resp.json()
    except aiohttp.ClientError:
        return False
    linked = sum(agent["link_up"] for agent in status["agents"].values())
    return status["synchronised"] and linked >= expected


def free_port() -> int:
    """Return a TCP port on loopback that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]
