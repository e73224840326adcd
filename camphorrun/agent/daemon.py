"""The agent daemon: one endpoint, its queue, and links from entries."""

import aiohttp
from aiohttp import web

from ..clients import (
    EndpointClient,
    HostEntry,
    HostListClient,
    WeightStoreClient,
)
from ..daemon import (
    DRAIN_POLL_SECONDS,
    FLEET_STREAM,
    AdminRoutes,
    Announcer,
    Daemon,
    HostWatcher,
)
from ..limits import ConcurrencyLimit, StageQueue, queue_policy_by_name
from ..messages import DrainNotice, Hello, Ping, Pong
from ..relay import Announce
from ..transport import LINK_PATH, Link, LinkListener
from .attempts import AttemptStore
from .endpoint_runner import EndpointRunner
from .orders import EndpointUse, OrderDriver
from .outcome_store import OutcomeStore
from .worker import AgentWorker, send_part

CLAIMS_DRAIN_SECONDS = 10.0


class AgentDaemon(Daemon):
    """Builds and runs the parts of an agent.

    See Also
    --------
    camphorrun.daemon.Daemon : parameters and the course of a daemon's life.
    """

    role = "agent"

    def _build(self, session: aiohttp.ClientSession) -> None:
        settings = self.settings
        self._announcer = self._build_announcer(session)
        self._worker = self._build_worker(session)
        self._listener = self._build_listener()
        self._orders = self._build_orders(session)
        self._sync.subscribe(self._check_drain)
        self._sync.subscribe(self._orders.wake)
        self._sync.subscribe_state(self._update_refusal)
        self._update_refusal()
        self._sync.start(self._supervisor)
        self._relay.start(self._sync)
        self._supervisor.add("orders", self._orders.run)
        if settings.platform.host_list_url:
            hosts = HostListClient(session, settings.platform.host_list_url)
            watcher = HostWatcher(hosts, self.timers, self._on_hosts)
            self._supervisor.add("host-list", watcher.run)
            self._supervisor.add("announce", self._announcer.run)
        self.lifecycle.subscribe_drain(self._on_drain)

    def _build_announcer(self, session: aiohttp.ClientSession) -> Announcer:
        host = self.settings.host
        message = Announce(
            host.name,
            host.listen,
            "agent",
            self.settings.endpoint.service,
            host.availability_zone,
            self.incarnation,
        )
        return Announcer(
            message,
            session,
            self._key_ring,
            self.timers,
            self.metrics,
            is_open=lambda: self.lifecycle.accepts_work,
        )

    def _build_worker(self, session: aiohttp.ClientSession) -> AgentWorker:
        settings = self.settings
        endpoint = EndpointClient(session, settings.endpoint.url)
        policy = queue_policy_by_name(settings.policy.queue)
        return AgentWorker(
            self.incarnation,
            EndpointRunner(endpoint, self.timers, send_part),
            self._claims.starts,
            queue=StageQueue(policy, settings.max_queue),
            limit=ConcurrencyLimit(settings.initial_limit),
            store=AttemptStore(settings.result_keep_s, settings.result_keep_bytes),
            outcomes=OutcomeStore(),
            timers=self.timers,
            metrics=self.metrics,
        )

    def _build_orders(self, session: aiohttp.ClientSession) -> OrderDriver:
        settings = self.settings
        weights_url = settings.platform.weight_store_url
        return OrderDriver(
            settings.host.name,
            EndpointClient(session, settings.endpoint.url),
            WeightStoreClient(session, weights_url) if weights_url else None,
            self._sync.followers[FLEET_STREAM],
            self._endpoint_use,
            timers=self.timers,
            metrics=self.metrics,
        )

    def _endpoint_use(self) -> EndpointUse:
        models = self._worker.models_in_use()
        return EndpointUse(self._worker.load().in_flight, models)

    def _build_listener(self) -> LinkListener:
        host = self.settings.host
        local = Hello(
            host.name,
            host.availability_zone,
            "agent",
            self.incarnation,
            b"",
            self.settings.endpoint.service,
        )
        return LinkListener(
            self._key_ring,
            local,
            self.timers,
            self.metrics,
            handler=lambda link, message: self._worker.handle(message, link),
            answer_ping=self._pong,
            on_down=self._on_link_down,
        )

    def _application(self) -> web.Application:
        app = web.Application()
        AdminRoutes(
            self.lifecycle,
            self.metrics,
            self.settings.operator_credential,
            is_ready=lambda: self._sync.synchronised,
            status=self._status,
        ).register_routes(app)
        self._relay.register_routes(app)
        app.router.add_get(LINK_PATH, self._listener.handle)
        return app

    def _pong(self, ping: Ping) -> Pong:
        self._sync.note_peer_positions(ping.positions)
        return Pong(
            ping.nonce,
            self._sync.positions(),
            self._worker.load(),
            not self.lifecycle.accepts_work,
        )

    def _on_link_down(self, _link: Link) -> None:
        """Keep attempts of a lost link; its entry resumes or their time ends."""

    def _status(self) -> dict[str, object]:
        load = self._worker.load()
        return {
            "host": self.settings.host.name,
            "role": "agent",
            "service": self.settings.endpoint.service,
            "state": self.lifecycle.state,
            "drain_reason": self.lifecycle.drain_reason,
            "incarnation": self.incarnation,
            "synchronised": self._sync.synchronised,
            "positions": self._sync.positions(),
            "not_current": self._sync.not_current(),
            "relay_refused": self._relay.refused(),
            "unfinished": self._worker.unfinished,
            "in_flight": load.in_flight,
            "queued": load.queued,
            "limit": load.limit,
            "pending_claims": self._claims.starts.pending,
            "orders": self._orders.status(),
        }

    # Drain.

    def _check_drain(self) -> None:
        name = self.settings.host.name
        drain = self._sync.view(FLEET_STREAM).get("drain", name)
        if drain is not None:
            self.lifecycle.drain(f"configuration: {drain.reason}")

    def _on_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        self._relay.update(hosts)
        self._announcer.update(hosts)
        self._drain_if_leaving(hosts)

    def _on_drain(self, reason: str) -> None:
        self._update_refusal()
        self._orders.stop()
        self._listener.broadcast(DrainNotice(reason))

    def _update_refusal(self) -> None:
        """Refuse dispatches while the agent drains or may act on outdated state."""
        if self.lifecycle.state in ("draining", "stopped"):
            self._worker.refuse_new_work("draining")
        elif not self._sync.synchronised:
            self._worker.refuse_new_work("not_synchronised")
        else:
            self._worker.refuse_new_work("")

    async def _stop_serving(self, runner: web.AppRunner) -> None:
        await self._listener.close()
        await runner.cleanup()

    async def _finish_drain(self) -> None:
        """Wait for the drain, then until nothing is in flight or unacknowledged."""
        await self.lifecycle.wait_for_drain()
        while self._worker.known_attempts:
            await self.timers.sleep(DRAIN_POLL_SECONDS)
        await self._claims.starts.drain(CLAIMS_DRAIN_SECONDS)
        self.lifecycle.mark_stopped()
