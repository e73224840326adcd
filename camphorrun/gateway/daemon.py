"""Construction, start-up and graceful shutdown of a gateway process."""

import asyncio
import random

from ..core import (
    EventLog,
    Lifecycle,
    LoopTimerService,
    PauseDetector,
    Supervisor,
    TimerService,
    new_identifier,
)
from ..http1 import Headers, HttpServer, ServerLimits, ServerRequest, ServerResponder
from ..limits import ColdBounds
from ..metrics import Metrics
from ..platform import StoreClient
from ..retries import RetryBudget
from ..routing import host_weight
from ..settings import GatewaySettings
from .attempts import Attempts
from .home_regions import HomeRegions
from .memory_guard import MemoryGuard
from .peers import Peers, PeerService, member_name
from .permit_owner import PermitOwner
from .permits import Permits
from .quarantine_guard import QuarantineGuard
from .quarantine_store import QuarantineStore
from .replica_selection import ReplicaSelector
from .replicas import ReplicaPool
from .request_handler import RequestHandler
from .route_preview import RoutePreviews, RoutePreviewService
from .stage_runner import StageRunner
from .state import GatewayState
from .store_sync import StoreSync
from .stream_records import StreamRecords
from .take_ups import TakeUps
from .zone_readers import ZoneReaders

# The load balancer sends new connections for about this long after a drain has started.
BALANCER_UPDATE_SECONDS = 3.0
# Requests that arrive later than this after the start of a drain are refused, because
# they might not finish before the process exits. In a short drain it is a share.
DRAIN_ACCEPT_SECONDS = 2.5
MAX_DRAIN_ACCEPT_SHARE = 0.5
FINAL_FLUSH_SECONDS = 0.1
# The drain stops waiting for running requests this long before the process is killed.
STOP_MARGIN_SECONDS = 0.6
IDLE_CLOSE_DELAY_SECONDS = 0.25
DRAIN_POLL_SECONDS = 0.05
# Fraction of the common retry budget that all gateways together spend. The budget
# windows of the gateways do not coincide, so spending all of it could exceed the bound.
RETRY_BUDGET_SHARE = 0.5


class GatewayDaemon:
    """A gateway process.

    Serves callers, follows the store and exchanges records with other gateways.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    timers : TimerService, optional
        Clock; that of the event loop by default.
    events : EventLog, optional
        Log of decisions and state changes; by default one named after the host.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        timers: TimerService | None = None,
        events: EventLog | None = None,
    ):
        self.settings = settings
        self.timers = timers or LoopTimerService()
        self.metrics = Metrics()
        self.incarnation = new_identifier("gateway")
        host = settings.host
        self.events = events or EventLog(host.name, self.timers)
        self.lifecycle = Lifecycle(host.name, self.incarnation)
        self._supervisor = Supervisor(host.name, self.timers)
        self._rng = random.Random()
        self._budgets: dict[str, RetryBudget] = {}

    async def run(self) -> None:
        """Serve until a drain has completed; raise the error of a failed task."""
        self._build()
        self.events.log_state_change("start", incarnation=self.incarnation)
        await self._listen()
        supervisor_task = asyncio.ensure_future(self._supervisor.run())
        self.lifecycle.serve()
        drain_task = asyncio.ensure_future(self._finish_drain())
        try:
            done, _ = await asyncio.wait(
                {drain_task, supervisor_task}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            drain_task.cancel()
            await self._supervisor.stop()
            self._close()
            self.events.log_state_change("stop", reason=self.lifecycle.drain_reason)
            self.events.flush()

    def drain(self, reason: str) -> None:
        """Start the graceful shutdown; ``run`` returns when it has completed."""
        self.events.log_state_change("drain", reason=reason)
        self.lifecycle.drain(reason)

    def reload(self) -> None:
        """Log that the settings file has changed.

        Addresses and bounds are fixed for the lifetime of a process, so the changes
        take effect at the next start.
        """
        self.events.log_state_change("reload", result="in effect at the next start")

    # Construction

    def _build(self) -> None:
        host = self.settings.host
        shared = {
            "timers": self.timers,
            "metrics": self.metrics,
            "events": self.events,
        }
        limits = self.settings.limits
        weight = host_weight(
            limits.known_cores, limits.known_memory_mb, limits.known_link_mbps
        )
        member = member_name(
            host.name, host.peers, self.incarnation, host.availability_zone, weight
        )
        bounds = self.settings.bounds
        cold_bounds = ColdBounds(bounds.cold_overrun, bounds.cold_tolerance)
        self.state = GatewayState(member, self.metrics, self.events, cold_bounds)
        self._store = StoreClient(self.settings.store.address, self.timers)
        self._peers = Peers(
            self.state,
            self.settings.seeds,
            (host.peers, host.control),
            is_store_failing=lambda: bool(self._store_sync.failing_since),
            seed=self._rng.getrandbits(32),
            **shared,
        )
        readers = ZoneReaders(self.state, self._peers, host.availability_zone, **shared)
        self._store_sync = StoreSync(
            self._store,
            self.state,
            readers,
            ttl_s=self.settings.store.member_ttl_s,
            seed=self._rng.getrandbits(32),
            **shared,
        )
        self._permit_owner = PermitOwner(self.state, self.timers, self.events)
        permits = Permits(self.state, self._peers, self._permit_owner, **shared)
        self._replica_pool = ReplicaPool(self.state, permits, **shared)
        self._stage_runner = StageRunner(
            self.state,
            self._replica_pool,
            self._peers,
            self._new_budget,
            host.availability_zone,
            **shared,
        )
        selector = ReplicaSelector(
            self._replica_pool,
            host.availability_zone,
            timers=self.timers,
            events=self.events,
            seed=self._rng.getrandbits(32),
        )
        self._quarantine_guard = QuarantineGuard(self.state, self._peers, **shared)
        self._stream_records = StreamRecords(
            self._store, self.state, self._store_sync.read_replicas, **shared
        )
        self._take_ups = TakeUps(self._stream_records, self._peers, **shared)
        self._memory_guard = None
        if limits.known_memory_mb:
            self._memory_guard = MemoryGuard(limits.known_memory_mb, **shared)
        attempts = Attempts(
            selector,
            self._budget_of,
            self._quarantine_guard,
            self._stream_records,
            memory=self._memory_guard and self._memory_guard.account,
            **shared,
        )
        self._request_handler = RequestHandler(
            self.state,
            self._stage_runner,
            selector,
            attempts,
            self._quarantine_guard,
            self._take_ups,
            HomeRegions(self.settings.zone_regions),
            **shared,
        )
        self._route_previews = RoutePreviews(
            self.state,
            self._replica_pool,
            self._request_handler,
            selector,
            attempts,
            self._quarantine_guard,
            self._stream_records,
            self._stage_runner.waits,
            host.name,
            self.timers,
        )
        self._supervisor.add("configuration", self._store_sync.follow_configuration)
        self._supervisor.add("replicas", self._store_sync.follow_replicas)
        self._supervisor.add("membership", self._store_sync.keep_membership)
        self._supervisor.add("peer-records", self._peers.exchange_records)
        self._supervisor.add("permit-leases", permits.keep_leases)
        quarantine_store = QuarantineStore(self._store, self.state, **shared)
        self._supervisor.add("quarantine", quarantine_store.keep_blocks)
        self._supervisor.add("versions", self._stream_records.keep_versions)
        self._supervisor.add("stream-records", self._stream_records.keep_records)
        # The share of the common retry budget depends on the number of members.
        self.state.subscribe(deployment=self._apply_limits, members=self._budgets.clear)
        self._pause_detector = PauseDetector(self.timers, self._on_pause)
        self.state.check_pause = self._pause_detector.check
        self._confirmation_task: asyncio.Future | None = None
        self._set_held_gauges()

    def _set_held_gauges(self) -> None:
        """Let the gauges read what requests and calls hold when they are scraped."""
        counts = {
            "attempts": lambda: self._replica_pool.held_attempts,
            "peer_calls": lambda: self._peers.held_calls,
            "kept_results": lambda: self._stage_runner.remote_orders.held_results,
            "peer_connections": lambda: self._peers.held_connections,
            "replica_connections": lambda: self._replica_pool.held_connections,
            "requests": lambda: self._request_handler.held_requests,
            "stage_groups": lambda: self._stage_runner.held_groups,
            "stage_pieces": lambda: self._stage_runner.held_pieces,
        }
        for resource, count in counts.items():
            self.metrics.held.labels(resource).set_function(count)
        runner = self._stage_runner
        backlog = self.metrics.account_backlog_pieces
        backlog.labels("over").set_function(lambda: runner.pieces_over_share)
        backlog.labels("within").set_function(
            lambda: runner.held_pieces - runner.pieces_over_share
        )

    def _on_pause(self, seconds: float) -> None:
        """Confirm all records: some may have been withdrawn during the pause."""
        self.events.log_state_change("paused", seconds=round(seconds, 3))
        # At once: what waited during the pause may be sent before the task runs.
        self.state.require_confirmation(self.timers.now())
        if self._confirmation_task is not None:
            # A confirmation that began before this pause would end too early.
            self._confirmation_task.cancel()
        # Peers may know more if this host can't reach the store.
        self._confirmation_task = asyncio.gather(
            self._store_sync.confirm_all_topics(), self._peers.query_several()
        )

    async def _listen(self) -> None:
        service = PeerService(
            self._peers,
            self._stage_runner.remote_orders.make_pieces,
            self._stage_runner.remote_orders.release,
            self._permit_owner.answer,
            self._quarantine_guard.receive,
            self._quarantine_guard.answer_trial,
            self._take_ups.answer,
            self.metrics.render,
            self.metrics,
        )
        previews = RoutePreviewService(self._route_previews, service.handle)
        host = self.settings.host
        guard = self._memory_guard
        self._caller_server = HttpServer(
            self._request_handler.handle,
            self.timers,
            on_unreadable=self._count_unreadable_request,
            memory=guard and guard.caller_memory,
        )
        if guard is not None:
            guard.watch(self._caller_server)
        self._internal_servers = []
        for handler, address in (
            (previews.handle, host.peers),
            (previews.handle, host.control),
            (service.handle, host.metrics),
            (self._handle_readiness, host.readiness),
        ):
            if address:
                server = HttpServer(
                    handler,
                    self.timers,
                    _internal_limits(),
                    memory=guard and guard.peer_memory,
                )
                await server.start(*_split_address(address))
                self._internal_servers.append(server)
        await self._caller_server.start(*_split_address(host.callers))

    def _new_budget(self) -> RetryBudget:
        """Return the budget of a service: a share of that of all gateways.

        While the members are not known, the share isn't either, so the budget grows
        with the requests of this gateway only.
        """
        bounds = self.settings.bounds
        extra_per_s = 0.0
        if self.state.members_known:
            extra_per_s = (
                bounds.retry_extra
                * RETRY_BUDGET_SHARE
                / bounds.retry_window_s
                / len(self.state.members)
            )
        return RetryBudget(bounds.retry_ratio * RETRY_BUDGET_SHARE, extra_per_s)

    def _budget_of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = self._new_budget()
        return self._budgets[service]

    def _apply_limits(self) -> None:
        limits = self.state.deployment.limits
        if limits is not None:
            self._caller_server.limits = ServerLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )

    def _count_unreadable_request(self, status: int) -> None:
        self.metrics.refusals.labels(f"unreadable_{status}").inc()

    async def _handle_readiness(
        self, req: ServerRequest, responder: ServerResponder
    ) -> None:
        ready = self.lifecycle.accepts_work and self.state.ready
        responder.respond(200 if ready else 503, Headers())

    # Drain

    async def _finish_drain(self) -> None:
        """Let callers move to other hosts and wait for the requests in flight.

        The listener stays open while the load balancer still sends connections.
        """
        await self.lifecycle.wait_for_drain()
        started_at = self.timers.now()
        drain_s = max(0.0, self.settings.bounds.stop_s - STOP_MARGIN_SECONDS)
        end_at = started_at + drain_s
        accept_s = min(DRAIN_ACCEPT_SECONDS, drain_s * MAX_DRAIN_ACCEPT_SHARE)
        self._caller_server.closing = True
        leave_task = asyncio.ensure_future(self._store_sync.leave())
        self._stage_runner.retire()
        await self.timers.sleep(IDLE_CLOSE_DELAY_SECONDS)
        self._caller_server.close_idle()
        while self.timers.now() < end_at:
            balancer_updated = self.timers.now() - started_at >= BALANCER_UPDATE_SECONDS
            if (
                balancer_updated
                and not self._caller_server.active
                and not self._active_peer_calls()
            ):
                break
            if self.timers.now() - started_at >= accept_s:
                self._request_handler.refuse_new_requests()
            await self.timers.sleep(DRAIN_POLL_SECONDS)
        # A request that is taken from now on would end without an answer.
        self._request_handler.refuse_new_requests()
        self._request_handler.end_running_requests()
        await self.timers.sleep(FINAL_FLUSH_SECONDS)
        leave_task.cancel()
        self.lifecycle.mark_stopped()

    def _active_peer_calls(self) -> int:
        return sum(server.active for server in self._internal_servers)

    def _close(self) -> None:
        self._pause_detector.cancel()
        if self._confirmation_task is not None:
            self._confirmation_task.cancel()
        if self._memory_guard is not None:
            self._memory_guard.close()
        self._caller_server.close()
        for server in self._internal_servers:
            server.close()
        self._stage_runner.close()
        self._quarantine_guard.close()
        self._peers.close()
        self._replica_pool.close()


def _internal_limits() -> ServerLimits:
    return ServerLimits(body_bytes=16 * 1024 * 1024, idle_timeout_s=60.0)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
