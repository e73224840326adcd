"""Builds and runs the parts of a gateway."""

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
from ..metrics import Metrics
from ..platform import StoreClient
from ..retries import RetryBudget
from ..settings import GatewaySettings
from .attempts import Attempts
from .front import Front
from .peers import Peers, PeerService, member_name
from .replicas import ReplicaPool
from .stage_runner import StageRunner
from .state import GatewayState
from .store_sync import StoreSync
from .zone_readers import ZoneReaders

# After the start of a drain the balancer still sends connections for about this long.
REDIRECT_SECONDS = 3.0
# Requests that come later are refused: they might not end before the process does.
ACCEPT_SECONDS = 2.5
FLUSH_SECONDS = 0.1
# Before this part of the time to the kill, requests are still waited for.
STOP_MARGIN_SECONDS = 0.6
IDLE_CLOSE_SECONDS = 0.25
DRAIN_POLL_SECONDS = 0.05
# Share of the common retry budget that gateways use, because their windows differ.
BUDGET_SHARE = 0.5


class GatewayDaemon:
    """One gateway.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    timers : TimerService, optional
        Clock.
    events : EventLog, optional
        Log of decisions.
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
        """Serve until a drain has ended."""
        self._build()
        self.events.log_state_change("start", incarnation=self.incarnation)
        await self._listen()
        supervised = asyncio.ensure_future(self._supervisor.run())
        self.lifecycle.serve()
        drained = asyncio.ensure_future(self._finish_drain())
        try:
            done, _ = await asyncio.wait(
                {drained, supervised}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            drained.cancel()
            await self._supervisor.stop()
            self._close()
            self.events.log_state_change("stop", reason=self.lifecycle.drain_reason)
            self.events.flush()

    def drain(self, reason: str) -> None:
        """Start the graceful shutdown."""
        self.events.log_state_change("drain", reason=reason)
        self.lifecycle.drain(reason)

    def reload(self) -> None:
        """Note that the settings file changed.

        Addresses and bounds are fixed for the life of a process; a change of them
        takes effect at the next start.
        """
        self.events.log_state_change("reload", result="in effect at the next start")

    # Construction

    def _build(self) -> None:
        host = self.settings.host
        common = {
            "timers": self.timers,
            "metrics": self.metrics,
            "events": self.events,
        }
        member = member_name(
            host.name, host.peers, self.incarnation, host.availability_zone
        )
        self.state = GatewayState(member, self.metrics, self.events)
        self._store = StoreClient(self.settings.store.address, self.timers)
        self._peers = Peers(
            self.state,
            self.settings.seeds,
            (host.peers, host.control),
            is_urgent=lambda: bool(self._sync.failing_since),
            seed=self._rng.getrandbits(32),
            **common,
        )
        readers = ZoneReaders(self.state, self._peers, host.availability_zone, **common)
        self._sync = StoreSync(
            self._store,
            self.state,
            readers,
            ttl_s=self.settings.store.member_ttl_s,
            seed=self._rng.getrandbits(32),
            **common,
        )
        self._replicas = ReplicaPool(self.state, self.timers, self.metrics, self.events)
        self._stages = StageRunner(
            self.state,
            self._replicas,
            self._peers,
            self._new_budget,
            host.availability_zone,
            **common,
        )
        attempts = Attempts(
            self._replicas,
            self._budget_of,
            host.availability_zone,
            seed=self._rng.getrandbits(32),
            **common,
        )
        self._front = Front(self.state, self._stages, attempts, **common)
        self._supervisor.add("configuration", self._sync.follow_configuration)
        self._supervisor.add("replicas", self._sync.follow_replicas)
        self._supervisor.add("membership", self._sync.keep_membership)
        self._supervisor.add("peer-records", self._peers.exchange_records)
        # The share of the common budget changes with the number of members.
        self.state.subscribe(deployment=self._apply_limits, members=self._budgets.clear)

        self._pauses = PauseDetector(self.timers, self._on_pause)
        self._confirming: asyncio.Task | None = None

    def _on_pause(self, seconds: float) -> None:
        """Confirm what is known: it may have been withdrawn during the pause."""
        self.events.log_state_change("paused", seconds=round(seconds, 3))
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.ensure_future(self._sync.confirm_all())

    async def _listen(self) -> None:
        service = PeerService(
            self._peers,
            self._stages.make_pieces,
            self._stages.release,
            self.metrics.render,
            self.metrics,
        )
        host = self.settings.host
        self._callers = HttpServer(
            self._front.handle, self.timers, on_unreadable=self._on_unreadable
        )
        self._others = []
        for handler, address in (
            (service.handle, host.peers),
            (service.handle, host.control),
            (service.handle, host.metrics),
            (self._answer_readiness, host.readiness),
        ):
            if address:
                server = HttpServer(handler, self.timers, _internal_limits())
                await server.start(*_split(address))
                self._others.append(server)
        await self._callers.start(*_split(host.callers))

    def _new_budget(self) -> RetryBudget:
        bounds = self.settings.bounds
        return RetryBudget(
            bounds.retry_ratio * BUDGET_SHARE,
            bounds.retry_extra * BUDGET_SHARE / bounds.retry_window_s / self._sharers(),
        )

    def _sharers(self) -> int:
        return max(1, len(self.state.members))

    def _budget_of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = self._new_budget()
        return self._budgets[service]

    def _apply_limits(self) -> None:
        limits = self.state.deployment.limits
        if limits is not None:
            self._callers.limits = ServerLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )

    def _on_unreadable(self, status: int) -> None:
        self.metrics.refusals.labels(f"unreadable_{status}").inc()

    async def _answer_readiness(
        self, req: ServerRequest, responder: ServerResponder
    ) -> None:
        ready = self.lifecycle.accepts_work and self.state.ready
        responder.respond(200 if ready else 503, Headers())

    # Drain

    async def _finish_drain(self) -> None:
        """Let callers move to other hosts, then wait for the requests in flight."""
        await self.lifecycle.wait_for_drain()
        started_at = self.timers.now()
        end_at = started_at + self.settings.bounds.stop_s - STOP_MARGIN_SECONDS
        self._callers.closing = True
        leaving = asyncio.ensure_future(self._sync.leave())
        self._stages.retire()
        await self.timers.sleep(IDLE_CLOSE_SECONDS)
        self._callers.close_idle()
        while self.timers.now() < end_at:
            redirected = self.timers.now() - started_at >= REDIRECT_SECONDS
            if redirected and not self._callers.active and not self._peer_work():
                break
            if self.timers.now() - started_at >= ACCEPT_SECONDS:
                self._front.refuse_new()
            await self.timers.sleep(DRAIN_POLL_SECONDS)
        self._front.end()
        await self.timers.sleep(FLUSH_SECONDS)
        leaving.cancel()
        self.lifecycle.mark_stopped()

    def _peer_work(self) -> int:
        return sum(server.active for server in self._others)

    def _close(self) -> None:
        self._pauses.cancel()
        if self._confirming is not None:
            self._confirming.cancel()
        self._callers.close()
        for server in self._others:
            server.close()
        self._stages.close()
        self._peers.close()
        self._replicas.close()


def _internal_limits() -> ServerLimits:
    return ServerLimits(body_bytes=16 * 1024 * 1024, idle_timeout_s=60.0)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
