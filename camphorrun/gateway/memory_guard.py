"""Keeps the bytes that this gateway holds within its share of the host's memory."""

from functools import partial

from ..core import EventLog, Subscription, TimerService
from ..http1 import Headers, HttpServer, ServerMemory
from ..limits import (
    Holder,
    Loss,
    MemoryAccount,
    PressureLevel,
    choose_closures,
    held_limit,
)
from ..metrics import Metrics
from ..platform import readable_attempt_id, refusal_headers
from .attempts import HELD_REQUESTS
from .response_relay import HELD_RESPONSES

MEMORY_FULL = "memory_full"
# Callers that read nothing are disconnected after a second or the half of it that the
# server needs to notice; then there is room again.
RETRY_AFTER_SECONDS = 0.5
# Interval at which output that was read is noticed, and callers are disconnected, while
# memory is short.
RELIEF_INTERVAL_SECONDS = 0.1
# Pressure has ended once it did not return for this long; otherwise a level that varies
# with each request would fill the log.
END_SECONDS = 1.0
REQUESTS_PART = "requests"
UNREAD_PART = "unread_output"
PEERS_PART = "peers"
PARTS = (REQUESTS_PART, HELD_REQUESTS, HELD_RESPONSES, UNREAD_PART, PEERS_PART)


class MemoryGuard:
    """Refuses requests and disconnects slow callers while memory is short.

    Parameters
    ----------
    memory_mb : float
        Memory of the host in megabytes.

    Attributes
    ----------
    account : MemoryAccount
        Bytes that are held now.
    """

    def __init__(
        self,
        memory_mb: float,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._server: HttpServer | None = None
        self._relief: Subscription | None = None
        self._began_at = 0.0
        self._eased_at = 0.0
        self.account = MemoryAccount(held_limit(memory_mb), PARTS, self._on_level)
        metrics.memory_limit.set(self.account.limit)
        for part in PARTS:
            gauge = metrics.memory_held.labels(part)
            gauge.set_function(partial(self.account.held.__getitem__, part))

    @property
    def caller_memory(self) -> ServerMemory:
        """Account of the connections of callers."""
        return ServerMemory(
            partial(self.account.open, REQUESTS_PART),
            partial(self.account.open, UNREAD_PART),
            self._refuse,
            lambda: self.account.level >= PressureLevel.SHEDDING,
        )

    @property
    def peer_memory(self) -> ServerMemory:
        """Account of the connections of peers, which are never refused."""
        lease = partial(self.account.open, PEERS_PART)
        return ServerMemory(lease, lease)

    def watch(self, server: HttpServer) -> None:
        """Disconnect callers of this server when memory is short."""
        self._server = server

    def close(self) -> None:
        """Stop watching."""
        if self._relief is not None:
            self._relief.cancel()
            self._relief = None

    def _refuse(self, headers: Headers) -> tuple[int, Headers] | None:
        """Return the refusal of a request whose head is known, None to read it."""
        if self.account.level < PressureLevel.REFUSING:
            return None
        attempt_id = readable_attempt_id(headers)
        self._metrics.refusals.labels(MEMORY_FULL).inc()
        self._metrics.outcomes.labels("gateway", MEMORY_FULL, "").inc()
        self._events.log_decision("end", attempt_id, code=MEMORY_FULL)
        return 503, refusal_headers(attempt_id, RETRY_AFTER_SECONDS, MEMORY_FULL)

    def _on_level(self, level: PressureLevel) -> None:
        if level is PressureLevel.NORMAL:
            self._eased_at = self._timers.now()
        elif self._relief is None:
            self._began_at = self._timers.now()
            self._relief = self._timers.subscribe(
                RELIEF_INTERVAL_SECONDS, self._relieve
            )
            self._events.log_state_change(
                "memory_pressure",
                used=self.account.used,
                limit=self.account.limit,
                held=dict(self.account.held),
            )

    def _end_pressure(self, now: float) -> None:
        self.close()
        self._events.log_state_change(
            "memory_pressure_end",
            seconds=round(now - self._began_at, 3),
            used=self.account.used,
            peak=self.account.peak,
            limit=self.account.limit,
        )

    def _relieve(self) -> None:
        """Notice what callers have read; close connections if that is not enough."""
        if self._server is None:
            return
        now = self._timers.now()
        if not self.account.level and now - self._eased_at >= END_SECONDS:
            self._end_pressure(now)
            return
        holders = []
        for conn in list(self._server.connections):
            held = conn.held_bytes()
            if held is not None:
                holders.append(
                    Holder(
                        conn,
                        held.size,
                        held.stalled_s,
                        Loss(held.loss),
                        held.has_begun,
                        held.is_running,
                    )
                )
        account = self.account
        for holder in choose_closures(holders, account.excess, account.level):
            name = holder.loss.name.lower()
            self._metrics.memory_closures.labels(name).inc()
            self._events.log_state_change(
                "memory_closure",
                loss=name,
                held=holder.size,
                stalled_s=round(holder.stalled_s, 3),
            )
            if holder.loss is Loss.UNREAD:
                refusal = self._refuse(holder.key.head_fields)
                if refusal is not None:
                    holder.key.refuse_unread(*refusal)
            else:
                holder.key.abort()
