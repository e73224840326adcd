"""Connections, load, health and notices of each replica, as this gateway sees them."""

from collections import OrderedDict
from collections.abc import Container, Iterable
from dataclasses import dataclass

from ..catalog import EngineCapacity, Replica, ReplicaState, is_home
from ..core import EventLog, TimerService
from ..metrics import Metrics
from ..platform import ReplicaNotice
from ..routing import EndpointState, EngineLoads, OutlierDetector
from .cold_replicas import ColdReplicas
from .evacuations import EVACUATED
from .permits import Permits
from .replica_handle import NoticeState, ReplicaHandle
from .state import GatewayState

OUTLIER_INTERVAL_SECONDS = 0.25
FIRST_EJECTION_SECONDS = 1.5
MAX_EJECTION_SECONDS = 12.0
# Share of a replica's connection limit that all gateways together use.
CONNECTION_SHARE = 0.8
MIN_CONNECTIONS = 2
# Bound of the notices that are kept, one per start of a replica. The oldest belong to
# processes that ended long ago.
MAX_NOTICE_STATES = 4096

# Identifier and start time of a replica, and its noticed starts without a time.
Start = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class ServicePause:
    """Time until a replica of a service may get a request again, and why not now.

    ``reason`` is ``resting`` or ``limited``, that of the replica which is first.
    """

    seconds: float
    reason: str


class ReplicaPool:
    """Handles of all registered replicas; detects outliers among them."""

    def __init__(
        self,
        state: GatewayState,
        permits: Permits,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._permits = permits
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._handles: dict[str, ReplicaHandle] = {}
        self._by_address: dict[str, ReplicaHandle] = {}
        # Handles of earlier starts with requests that are still running.
        self._former: list[ReplicaHandle] = []
        self._detectors: dict[str, OutlierDetector] = {}
        self._notice_states: OrderedDict[Start, NoticeState] = OrderedDict()
        self._evacuated_zones = state.evacuated_zones
        self._cold = ColdReplicas(state, timers, metrics, events)
        state.subscribe(
            replicas=self.update,
            deployment=self._update_limits,
            members=self._update_limits,
            evacuations=self._on_evacuations,
        )
        timers.subscribe(OUTLIER_INTERVAL_SECONDS, self._detect_outliers)

    def update(self) -> None:
        """Apply the registrations; a restarted or moved replica gets a new handle."""
        for identifier, replica in self._state.replicas.items():
            handle = self._handles.get(identifier)
            self._cold.on_registration(handle.replica if handle else None, replica)
            if handle is None or _is_other_instance(handle.replica, replica):
                if handle is not None:
                    self._retire(handle)
                limit = self._connection_limit(replica.service)
                notice_state = self._notice_states.get(_start(replica)) or NoticeState()
                handle = ReplicaHandle(
                    replica,
                    self._timers,
                    limit,
                    notice_state,
                    self._permits,
                    self._process_notice,
                    self._state,
                    self._cold,
                )
                self._handles[identifier] = handle
            handle.replica = replica
            handle.endpoint.set_draining(replica.state is not ReplicaState.READY)
        expired = []
        for identifier in self._handles.keys() - self._state.replicas.keys():
            handle = self._handles.pop(identifier)
            if handle.unavailable_reason not in ("draining", "leaving"):
                expired.append(handle.replica)
            self._retire(handle)
        self._cold.on_expiries(expired)
        self._former = [handle for handle in self._former if _is_held(handle)]
        self._by_address = {h.replica.address: h for h in self._handles.values()}
        self._cold.end_listing()

    def _retire(self, handle: ReplicaHandle) -> None:
        handle.close()
        self._former.append(handle)

    @property
    def held_connections(self) -> int:
        """Number of connections to replicas that requests and calls hold."""
        handles = [*self._handles.values(), *self._former]
        return sum(handle.pool.in_use for handle in handles)

    @property
    def held_attempts(self) -> int:
        """Number of attempts that count as load of a replica."""
        handles = [*self._handles.values(), *self._former]
        return sum(handle.endpoint.in_flight for handle in handles)

    def of_service(
        self,
        service: str,
        version: str | None = None,
        home_zones: frozenset[str] | None = None,
    ) -> list[ReplicaHandle]:
        """Return the replicas of a service, draining ones included.

        Only those of the software version ``version``, all if it is None, and only
        those in the availability zones ``home_zones``, all if it is None. The other
        methods filter by this one.
        """
        return [
            handle
            for handle in self._handles.values()
            if handle.replica.service == service
            and version in (None, handle.replica.version)
            and is_home(handle.replica.availability_zone, home_zones)
        ]

    def available(
        self,
        service: str,
        version: str | None = None,
        home_zones: frozenset[str] | None = None,
    ) -> list[ReplicaHandle]:
        """Return the replicas of a service that accept new requests."""
        handles = self.of_service(service, version, home_zones)
        return [h for h in handles if h.is_available]

    def lacks_home(self, service: str, home_zones: frozenset[str] | None) -> bool:
        """Return whether a service has replicas, if any, only outside the home zones.

        Replicas that drain or shut down don't count. False without home zones.
        """
        return home_zones is not None and all(
            handle.unavailable_reason in ("draining", "leaving")
            for handle in self.of_service(service, None, home_zones)
        )

    def is_evacuated(
        self,
        service: str,
        version: str | None = None,
        home_zones: frozenset[str] | None = None,
    ) -> bool:
        """Return whether only replicas in evacuated zones could serve a service.

        Replicas that drain or shut down don't count. False if there is none at all.
        """
        if not self._state.evacuated_zones:
            return False
        is_evacuated = False
        for handle in self.of_service(service, version, home_zones):
            reason = handle.unavailable_reason
            if reason == EVACUATED:
                is_evacuated = True
            elif reason not in ("draining", "leaving"):
                return False
        return is_evacuated

    def pause(
        self,
        service: str,
        zones: Container[str] | None = None,
        version: str | None = None,
        home_zones: frozenset[str] | None = None,
    ) -> ServicePause | None:
        """Return the pause until the first replica may get a request again.

        None if a replica accepts requests now, or if none is paused or limited. Only
        replicas in the availability zones ``zones`` count, all if it is None.
        """
        now = self._timers.now()
        pauses = []
        for handle in self.of_service(service, version, home_zones):
            if zones is not None and handle.replica.availability_zone not in zones:
                continue
            reason = handle.unavailable_reason
            if not reason:
                return None
            if reason in ("resting", "limited"):
                pauses.append(ServicePause(handle.available_at - now, reason))
        return min(pauses, key=lambda pause: pause.seconds, default=None)

    def next_permitted(
        self,
        service: str,
        version: str | None = None,
        home_zones: frozenset[str] | None = None,
    ) -> ReplicaHandle | None:
        """Return the replica without a permit that is expected to get one first."""
        handles = [
            handle
            for handle in self.of_service(service, version, home_zones)
            if handle.unavailable_reason == "limited"
        ]
        return min(handles, key=lambda h: h.available_at, default=None)

    def get(self, identifier: str) -> ReplicaHandle | None:
        """Return the handle of a replica, None if it is not registered."""
        return self._handles.get(identifier)

    def at_address(self, address: str) -> ReplicaHandle | None:
        """Return the replica that is registered with an address, None without one."""
        return self._by_address.get(address)

    def engine(self, service: str) -> EngineCapacity | None:
        """Return the capacity of the engines of a service, None if it has none."""
        deployment = self._state.deployment
        found = deployment.services.get(service) if deployment else None
        return found.engine if found else None

    @property
    def engine_loads(self) -> EngineLoads:
        """Load and speed of all engines, as seen by this and by other gateways."""
        return self._state.engine_loads

    def close(self) -> None:
        """Close all idle connections."""
        for handle in self._handles.values():
            handle.close()

    def mark_zone_cold(self, availability_zone: str) -> None:
        """Mark all replicas of a zone as cold, because the zone returns to use."""
        self._cold.mark_zone(availability_zone)

    def _on_evacuations(self) -> None:
        returned = self._evacuated_zones - self._state.evacuated_zones
        self._evacuated_zones = self._state.evacuated_zones
        for zone in sorted(returned):
            self.mark_zone_cold(zone)
        for handle in self._handles.values():
            if handle.is_evacuated:
                handle.interrupt_waits()

    def _process_notice(
        self,
        handle: ReplicaHandle,
        notice: ReplicaNotice,
        request_id: str,
        sent_at: float | None,
    ) -> None:
        now = self._timers.now()
        notice_state = handle.notice_state
        if notice.leaving or notice.pause_s:
            self._notice_states[_start(handle.replica)] = notice_state
        while len(self._notice_states) > MAX_NOTICE_STATES:
            self._notice_states.popitem(last=False)
        if notice.invalid_pause:
            self._metrics.drops.labels("retry_after").inc()
        if notice.leaving and notice_state.leaving_since is None:
            notice_state.leaving_since = now
            handle.pool.close_idle()
            self._record_notice(handle, "leaving", request_id)
        was_paused = now < notice_state.paused_until
        notice_state.paused_until = max(notice_state.paused_until, now + notice.pause_s)
        if (notice.pause_s and not was_paused) or notice.invalid_pause:
            self._record_notice(
                handle,
                "resting",
                request_id,
                seconds=notice.pause_s,
                unusual=notice.invalid_pause[:40],
            )
        if sent_at is not None:
            self._apply_load(handle, notice, now)
        self._apply_rate_limit(handle, notice, request_id, sent_at)
        self._apply_cold_notice(handle, notice, request_id)

    def _apply_cold_notice(
        self, handle: ReplicaHandle, notice: ReplicaNotice, request_id: str
    ) -> None:
        """Mark a replica as cold that says so; one that doesn't stays as it is."""
        if notice.is_cold_malformed:
            self._metrics.drops.labels("cold_time").inc()
        elif notice.cold_s and self._cold.on_answer(handle.replica, notice.cold_s):
            self._record_notice(handle, "cold", request_id, seconds=notice.cold_s)

    def _apply_load(
        self, handle: ReplicaHandle, notice: ReplicaNotice, now: float
    ) -> None:
        if notice.is_load_malformed:
            self._metrics.drops.labels("load_report").inc()
        if notice.load is not None:
            handle.reported_load.record(notice.load, now)
            handle.endpoint.on_reported_load(handle.reported_load, now)

    def _apply_rate_limit(
        self,
        handle: ReplicaHandle,
        notice: ReplicaNotice,
        request_id: str,
        sent_at: float | None,
    ) -> None:
        if notice.is_rate_limit_malformed:
            self._metrics.drops.labels("rate_limit").inc()
            return
        stated_at = sent_at if notice.rate_limit is None else self._timers.now()
        if stated_at is None:
            return
        limits = self._state.rate_limits
        if limits.state(handle.replica.boot, notice.rate_limit, stated_at):
            kind = "unlimited" if notice.rate_limit is None else "limited"
            self._record_notice(handle, kind, request_id, per_s=notice.rate_limit)

    def _record_notice(
        self, handle: ReplicaHandle, kind: str, request_id: str, **fields: object
    ) -> None:
        service = handle.replica.service
        self._metrics.replica_notices.labels(service, kind).inc()
        self._events.log_state_change(
            "replica_notice",
            replica=handle.replica.identifier,
            service=service,
            says=kind,
            heard_by=request_id,
            **fields,
        )

    def _update_limits(self) -> None:
        for handle in self._handles.values():
            handle.pool.limit = self._connection_limit(handle.replica.service)

    def _connection_limit(self, service: str) -> int:
        """Return this gateway's share of the connections that a replica accepts.

        Before the members are known the share isn't, so it is the smallest one.
        """
        if not self._state.members_known:
            return MIN_CONNECTIONS
        deployment = self._state.deployment
        service_config = deployment.services.get(service) if deployment else None
        total = service_config.max_connections if service_config else 64
        share = total * CONNECTION_SHARE / max(1, len(self._state.members))
        return max(MIN_CONNECTIONS, int(share))

    def _detect_outliers(self) -> None:
        self._cold.end_expired()
        now = self._timers.now()
        by_service: dict[str, list[EndpointState]] = {}
        for handle in self._handles.values():
            states = by_service.setdefault(handle.replica.service, [])
            states.append(handle.endpoint)
        for service, states in by_service.items():
            detector = self._detectors.setdefault(service, _new_detector())
            for change in detector.evaluate(states, now):
                self._metrics.ejections.labels(service, change.reason).inc()
                self._events.log_state_change(
                    "replica_health",
                    replica=change.host,
                    service=service,
                    state=change.state.value,
                    reason=change.reason,
                )


def endpoints(handles: Iterable[ReplicaHandle]) -> list[EndpointState]:
    """Return the endpoint states of some handles."""
    return [handle.endpoint for handle in handles]


def _new_detector() -> OutlierDetector:
    return OutlierDetector(
        first_ejection_s=FIRST_EJECTION_SECONDS, maximum_ejection_s=MAX_EJECTION_SECONDS
    )


def _is_held(handle: ReplicaHandle) -> bool:
    return bool(handle.pool.in_use or handle.endpoint.in_flight)


def _is_other_instance(old: Replica, new: Replica) -> bool:
    return _start(old) != _start(new) or old.address != new.address


def _start(replica: Replica) -> Start:
    return *replica.boot, replica.restarts
