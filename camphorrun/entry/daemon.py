"""The entry daemon: HTTP for callers, admission, execution, links to agents."""

import random

import aiohttp
from aiohttp import web

from ..admission import AdmissionGroup, admission_policy_by_name
from ..clients import HostEntry, HostListClient
from ..configuration import CarryForwarder, PlacementIndex
from ..core import TimerService
from ..daemon import (
    ACCOUNTS_STREAM,
    DRAIN_POLL_SECONDS,
    FLEET_STREAM,
    AdminRoutes,
    Daemon,
    HostWatcher,
)
from ..messages import Hello
from ..pipeline import PipelineExecutor
from ..retries import Backoff, hedging_policy_by_name, retry_budget_by_name
from ..routing import (
    Router,
    StageEstimator,
    load_share,
    routing_policy_by_name,
    service_capacity,
)
from ..settings import EntrySettings
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

CAPACITY_SECONDS = 0.5
# The observed share of the load counts from this multiple of an equal share on.
CLEAR_SHARE_FACTOR = 1.5


class EntryDaemon(Daemon):
    """Builds and runs the parts of an entry.

    See Also
    --------
    camphorrun.daemon.Daemon : parameters and the course of a daemon's life.
    """

    role = "entry"
    streams = (FLEET_STREAM, ACCOUNTS_STREAM)

    def __init__(self, settings: EntrySettings, timers: TimerService | None = None):
        super().__init__(settings, timers)
        self._rng = random.Random(settings.policy.seed or None)
        self._live_entries = 1
        self._closed_to_callers = False

    # Construction.

    def _build(self, session: aiohttp.ClientSession) -> None:
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
                self._log, follower.view, self.timers, metrics=self.metrics
            )
            self._supervisor.add(f"carry-{stream}", carrier.run)
        hosts = HostListClient(session, self.settings.platform.host_list_url)
        watcher = HostWatcher(hosts, self.timers, self._on_hosts)
        self._supervisor.add("host-list", watcher.run)
        self.timers.subscribe(CAPACITY_SECONDS, self._note_capacity)
        OutlierMonitor(self._pool, self.timers, self.metrics).start()

    def _build_pool(self, session: aiohttp.ClientSession) -> PeerPool:
        host = self.settings.host
        local = Hello(host.name, host.availability_zone, "entry", self.incarnation, b"")
        return PeerPool(
            session,
            self._key_ring,
            local,
            self.timers,
            self.metrics,
            positions=self._sync.positions,
            on_positions=self._sync.note_peer_positions,
        )

    def _build_service(self) -> None:
        ring = self._key_ring
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
        self._key_service = KeyService(ring, self._claims.follower, resolver)

    def _build_runner(self, resolver: LogClaimResolver) -> StageRunner:
        policy = self.settings.policy
        router = Router(
            routing_policy_by_name(policy.routing),
            self.settings.host.availability_zone,
            self._rng.getrandbits(32),
        )
        budget = retry_budget_by_name(policy.retries)
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
            hedges=hedging_policy_by_name(policy.hedges, budget),
            holds=PlacementIndex(self._sync.view(FLEET_STREAM)).serves,
        )

    def _application(self) -> web.Application:
        self._routes = CallerRoutes(
            self._planner,
            self._service,
            self._cache,
            self._key_service,
            is_open=lambda: not self._closed_to_callers,
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
        admin.register_routes(app)
        self._relay.register_routes(app)
        ExplainRoute(self._service, admin.is_operator).register_routes(app)
        self._routes.register_routes(app)
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
        self._drain_if_leaving(hosts)
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

    async def _stop_serving(self, runner: web.AppRunner) -> None:
        # Requests that still run, which is so only without a drain, need the links.
        await runner.cleanup()
        await self._pool.close()

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
        self.lifecycle.mark_stopped()
