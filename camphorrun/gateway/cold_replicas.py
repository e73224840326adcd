"""Observations by which a gateway learns that a replica is cold."""

from collections.abc import Iterable

from ..catalog import ColdLimits, Replica
from ..core import EventLog, TimerService
from ..http1 import HttpError
from ..metrics import Metrics
from .state import GatewayState
from .zone_losses import ZoneLosses

# Errors after which another process may have the address of a replica.
LOST_CONTACT_CODES = ("connect_failed", "reset")


class ColdReplicas:
    """Marks replicas as cold, for services whose configuration asks for it.

    Parameters
    ----------
    state : GatewayState
        Source of the configuration and the registrations; it keeps the beliefs.
    """

    def __init__(
        self,
        state: GatewayState,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._timers = timers
        self._metrics = metrics
        self._events = events
        # Whether configuration and registrations were known before the last update.
        self._has_listed = False
        self._losses = ZoneLosses()
        state.subscribe(deployment=self._on_deployment)

    def on_registration(self, previous: Replica | None, replica: Replica) -> None:
        """Mark a replica that has started, or whose record says anew that it is cold.

        While this gateway is new itself, the record decides: at the start of a whole
        fleet, all replicas appear at once, and those that are warm say so.
        """
        now = self._timers.now()
        if not self._has_listed:
            self._mark(
                replica, replica.cold_remaining_s, "registered", is_certain=False
            )
        elif (
            previous is None
            or previous.boot != replica.boot
            or previous.restarts != replica.restarts
        ):
            is_settling = self._state.membership.is_settling(now)
            if self._losses.take(replica):
                # This gateway knew it before the loss.
                is_settling = False
            if replica.cold_remaining_s or not is_settling:
                # A gateway that was away may read an old record.
                self._mark_start(
                    replica,
                    "started",
                    replica.cold_remaining_s,
                    is_certain=not is_settling,
                )
        elif previous.cold_remaining_s != replica.cold_remaining_s:
            self._mark(replica, replica.cold_remaining_s, "registered")

    def end_listing(self) -> None:
        """Record that the registrations known so far have been applied."""
        self._has_listed = self._has_listed or self._state.deployment is not None

    def on_answer(self, replica: Replica, cold_s: float) -> bool:
        """Mark a replica whose answer says that it is cold; return whether it is news.

        An answer that says nothing withdraws nothing, because it may be older.
        """
        return self._mark(replica, cold_s, "answer")

    def on_reconnection(self, replica: Replica) -> None:
        """Mark a replica that answers again if contact with it was lost.

        So it was after a refused or broken connection, and after time-outs if the whole
        zone was lost, which may have shown only after the time-outs of this replica.
        """
        if self._losses.take(replica):
            self._mark_start(replica, "reconnected")

    def on_proven_connection(self, replica: Replica) -> None:
        """Take note that the process from before an error has the address."""
        self._losses.take(replica)

    def on_connection_error(self, replica: Replica, error: HttpError) -> bool:
        """Record an error; return whether it may prove to be a loss of contact."""
        if self._limits(replica) is None:
            return False
        if error.code == "connect_timeout":
            replicas = self._state.replicas.values()
            self._losses.on_timeout(replica, replicas, self._timers.now())
            return True
        if error.code in LOST_CONTACT_CODES:
            self._losses.on_broken_connection(replica)
            return True
        return False

    def on_expiries(self, expired: Iterable[Replica]) -> None:
        """Record replicas whose registrations ended although they didn't shut down."""
        limited = [replica for replica in expired if self._limits(replica)]
        remaining = self._state.replicas.values()
        self._losses.on_expiries(limited, remaining, self._timers.now())

    def mark_zone(self, availability_zone: str) -> None:
        """Mark all replicas of a zone that returns to use."""
        for replica in self._state.replicas.values():
            if replica.availability_zone == availability_zone:
                self._mark_start(replica, "zone_returned")

    def end_expired(self) -> None:
        """Log the replicas that are warm since the last call, and count the others."""
        cold = self._state.rate_limits.cold
        for identifier, started_ms in cold.remove_ended(self._timers.now()):
            self._events.log_state_change(
                "replica_warm", replica=identifier, started_ms=started_ms
            )
        self._metrics.cold_replicas.set(len(cold))

    def _on_deployment(self) -> None:
        """Mark the replicas that were registered before the configuration was known."""
        if not self._has_listed:
            for replica in self._state.replicas.values():
                self.on_registration(None, replica)
            self._has_listed = bool(self._state.replicas)

    def _mark_start(
        self,
        replica: Replica,
        reason: str,
        remaining_s: float = 0.0,
        *,
        is_certain: bool = True,
    ) -> None:
        """Mark a replica for the cold time of its service, or a longer one."""
        limits = self._limits(replica)
        if limits is not None:
            cold_s = max(limits.duration_s, remaining_s)
            self._mark(replica, cold_s, reason, is_certain=is_certain)

    def _mark(
        self, replica: Replica, cold_s: float, reason: str, *, is_certain: bool = True
    ) -> bool:
        limits = self._limits(replica)
        if limits is None or not cold_s:
            return False
        is_news = self._state.rate_limits.mark_cold(
            replica.boot,
            cold_s,
            limits.requests_per_s,
            self._timers.now(),
            is_certain=is_certain,
        )
        if is_news:
            self._events.log_state_change(
                "replica_cold",
                replica=replica.identifier,
                zone=replica.availability_zone,
                reason=reason,
                seconds=round(cold_s, 3),
                certain=is_certain,
            )
        return is_news

    def _limits(self, replica: Replica) -> ColdLimits | None:
        deployment = self._state.deployment
        service = deployment.services.get(replica.service) if deployment else None
        return service.cold if service is not None else None
