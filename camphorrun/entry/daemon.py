"""The entry daemon: HTTP for callers, admission, execution, links to agents."""

import asyncio
import random

import aiohttp
from aiohttp import web

from ..admission import AdmissionGroup
from ..admission import policy_by_name as admission_policy_by_name
from ..configuration import CarryForwarder, PlacementIndex
from ..core import LoopTimerService, Supervisor, TimerService, new_identifier
from ..daemon import (
    AdminRoutes,
    ClaimMetrics,
    ConfigurationSync,
    HostWatcher,
    Lifecycle,
    RelayNode,
    claim_participant,
    start_server,
)
from ..messages import Hello
from ..metrics import Metrics
from ..pipeline import PipelineExecutor
from ..platform import HostEntry, HostListClient, LogClient
from ..retries import Backoff, budget_by_name, hedges_by_name
from ..routing import (
    Router,
    StageEstimator,
    load_share,
    policy_by_name,
    service_capacity,
)
from ..settings import EntrySettings, key_ring
from .api import CallerRoutes
from .claim_resolver import LogClaimResolver
from .explain_route import ExplainRoute
from .key_service import KeyService
from .outcome_cache import OutcomeCache
from .outlier_monitor import OutlierMonitor
from .peer_pool import PeerPool
from .planner import Planner
from .request_service import RequestService
from .stage_runner import (
    FIRST_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    StageRunner,
)

DRAIN_POLL_SECONDS = 0.05
CAPACITY_SECONDS = 0.5
# The observed share of the load counts from this multiple of an equal share on.
CLEAR_SHARE_FACTOR = 1.5
FLEET_STREAM = "fleet"
ACCOUNTS_STREAM = "accounts"


class EntryDaemon:
    """Builds and runs the parts of an entry.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    timers : TimerService, optional
        Clock.
    """

    def __init__(self, settings: EntrySettings, timers: TimerService | None = None):
        self.settings = settings
        self.incarnation = new_identifier("entry")
        self.timers = timers or LoopTimerService()
        self.metrics = Metrics()
        self.lifecycle = Lifecycle(settings.host.name, self.incarnation)
        self._supervisor = Supervisor(settings.host.name, self.timers)
        self._rng = random.Random(settings.policy.seed or None)
        self._live_entries = 1

    async def run(self) -> None:
        """Serve until a drain has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._build(session)
            runner = await start_server(self._application(), self.settings.host.listen)
            supervised = asyncio.ensure_future(self._supervisor.run())
            try:
                self.lifecycle.serve()
                await self._serve_until_drained(supervised)
            finally:
                await self._supervisor.stop()
                await self._pool.close()
                await self._claims.close()
                await runner.cleanup()

    def drain(self, reason: str) -> None:
        """Start the graceful shutdown."""
        self.lifecycle.drain(reason)

    # Construction.

    def _build(self, session: aiohttp.ClientSession) -> None:
        platform = self.settings.platform
        log = LogClient(session, platform.log_url)
        self._claims = claim_participant(
            log, self.timers, self.settings, self.incarnation
        )
        ClaimMetrics(self._claims, self.metrics, self.timers)
        self._relay = RelayNode(
            session,
            self.settings.host,
            key_ring(self.settings.keys),
            self.timers,
            self.metrics,
        )
        self._sync = ConfigurationSync(
            log,
            (FLEET_STREAM, ACCOUNTS_STREAM),
            self._claims.follower,
            self._relay.peers,
            timers=self.timers,
            metrics=self.metrics,
        )
        self._pool = self._build_pool(session)
        self._admission = AdmissionGroup(
            admission_policy_by_name(self.settings.policy.admission),
            self.settings.max_requests,
        )
        self._build_service()
        self._sync.subscribe(self._apply_drains)
        self._sync.start(self._supervisor)
        self._relay.start(self._sync, self._pool.announce)
        for stream, follower in self._sync.followers.items():
            carrier = CarryForwarder(
                log, follower.view, self.timers, metrics=self.metrics
            )
            self._supervisor.add(f"carry-{stream}", carrier.run)
        hosts = HostListClient(session, platform.host_list_url)
        watcher = HostWatcher(hosts, self.timers, self._on_hosts)
        self._supervisor.add("host-list", watcher.run)
        self.timers.subscribe(CAPACITY_SECONDS, self._note_capacity)
        OutlierMonitor(self._pool, self.timers, self.metrics).start()

    def _build_pool(self, session: aiohttp.ClientSession) -> PeerPool:
        host = self.settings.host
        local = Hello(host.name, host.availability_zone, "entry", self.incarnation, b"")
        return PeerPool(
            session,
            key_ring(self.settings.keys),
            local,
            self.timers,
            self.metrics,
            positions=self._sync.positions,
            on_positions=self._sync.note_peer_positions,
        )

    def _build_service(self) -> None:
        ring = key_ring(self.settings.keys)
        resolver = LogClaimResolver(
            ring,
            self._claims.voids,
            self._claims.ledger,
            self.timers,
            self.metrics,
            is_gone=self._pool.is_gone,
        )
        executor = PipelineExecutor(self._build_runner(resolver), self.timers)
        self._cache = OutcomeCache(self._pool, self.timers)
        self._service = RequestService(
            executor,
            self._admission,
            self._cache,
            resolver,
            timers=self.timers,
            metrics=self.metrics,
        )
        self._planner = Planner(
            self._sync.view(FLEET_STREAM), self._sync.view(ACCOUNTS_STREAM), ring
        )
        self._keys = KeyService(ring, self._claims.follower, resolver)

    def _build_runner(self, resolver: LogClaimResolver) -> StageRunner:
        policy = self.settings.policy
        router = Router(
            policy_by_name(policy.routing),
            self.settings.host.availability_zone,
            self._rng.getrandbits(32),
        )
        budget = budget_by_name(policy.retries)
        backoff = Backoff(FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self._rng)
        return StageRunner(
            self._pool.of_service,
            router,
            StageEstimator(),
            budget,
            backoff,
            claims=resolver,
            timers=self.timers,
            metrics=self.metrics,
            hedges=hedges_by_name(policy.hedges, budget),
            holds=PlacementIndex(self._sync.view(FLEET_STREAM)).holds,
        )

    def _application(self) -> web.Application:
        self._routes = CallerRoutes(
            self._planner,
            self._service,
            self._cache,
            self._keys,
            is_open=lambda: self._is_open,
            is_ready=lambda: self._sync.synchronised,
            timers=self.timers,
            metrics=self.metrics,
        )
        app = web.Application(
            client_max_size=self.settings.max_body_bytes,
            middlewares=[self._routes.errors],
        )
        admin = AdminRoutes(
            self.lifecycle,
            self.metrics,
            self.settings.operator_credential,
            is_ready=lambda: self._sync.synchronised,
            status=self._status,
        )
        admin.add_to(app)
        self._relay.add_to(app)
        ExplainRoute(self._service, admin.is_operator).add_to(app)
        self._routes.add_to(app)
        return app

    # State of the daemon.

    def _status(self) -> dict[str, object]:
        return {
            "host": self.settings.host.name,
            "role": "entry",
            "state": self.lifecycle.state,
            "drain_reason": self.lifecycle.drain_reason,
            "incarnation": self.incarnation,
            "synchronised": self._sync.synchronised,
            "positions": self._sync.positions(),
            "not_current": self._sync.not_current(),
            "relay_refused": self._relay.refused(),
            "in_flight": self._service.in_flight,
            "oldest_request": self._service.running(),
            "agents": {
                peer.listed.host: {
                    "service": peer.listed.service,
                    "link_up": peer.state.link_up,
                    "draining": peer.state.draining,
                    "in_flight": peer.state.in_flight,
                }
                for peer in self._pool.all()
            },
        }

    def _note_capacity(self) -> None:
        """Tell admission how much work each service can do a second for this entry."""
        capacities = {}
        for service in self._pool.services():
            states = [peer.state for peer in self._pool.of_service(service)]
            share = 1.0 / self._live_entries
            # The host list lags, so entries that were lost may still be listed.
            observed = load_share(states)
            if observed > share * CLEAR_SHARE_FACTOR:
                share = observed
            capacities[service] = service_capacity(states) * share
        self._admission.on_capacity(capacities, self.timers.now())

    def _on_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        name = self.settings.host.name
        if any(entry.host == name and entry.state == "leaving" for entry in hosts):
            self.lifecycle.drain("host list marks the host as leaving")
        self._relay.update(hosts)
        live = sum(entry.role == "entry" and entry.state == "live" for entry in hosts)
        self._live_entries = max(1, live)
        self._pool.update(hosts)
        self._apply_drains()

    # Drain.

    def _apply_drains(self) -> None:
        """Stop routing to drained hosts, and drain this one if it is listed."""
        view = self._sync.view(FLEET_STREAM)
        for host in view.names("drain"):
            self._pool.drain(host)
            if host == self.settings.host.name:
                self.lifecycle.drain("configuration")

    @property
    def _is_open(self) -> bool:
        return not self._closed_to_callers

    _closed_to_callers = False

    async def _serve_until_drained(self, supervised: asyncio.Future) -> None:
        drained = asyncio.ensure_future(self._finish_drain())
        done, _ = await asyncio.wait(
            {drained, supervised}, return_when=asyncio.FIRST_COMPLETED
        )
        drained.cancel()
        for task in done:
            task.result()

    async def _finish_drain(self) -> None:
        """Wait for the drain, then until no request is in flight.

        Requests are still accepted for ``drain_grace_s``, while the balancer learns
        from the readiness check that it must send no more.
        """
        await self.lifecycle.wait_for_drain()
        await self.timers.sleep(self.settings.drain_grace_s)
        self._closed_to_callers = True
        while self._service.in_flight:
            await self.timers.sleep(DRAIN_POLL_SECONDS)
        self.lifecycle.stopped()
