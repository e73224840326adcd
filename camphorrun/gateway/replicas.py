"""Replicas as this gateway uses them: connections, load and health of each."""

from collections.abc import Iterable

from ..catalog import Replica, ReplicaState
from ..core import EventLog, TimerService
from ..http1 import ConnectionPool
from ..metrics import Metrics
from ..routing import EndpointState, OutlierDetector
from .state import GatewayState

OUTLIER_SECONDS = 0.25
FIRST_EJECTION_SECONDS = 1.5
MAX_EJECTION_SECONDS = 12.0
# Share of a replica's connections that all gateways together use.
CONNECTION_SHARE = 0.8
MIN_CONNECTIONS = 2


class ReplicaHandle:
    """One start of a replica.

    Attributes
    ----------
    replica : Replica
        Its newest registration.
    endpoint : EndpointState
        Load and health as this gateway sees them.
    pool : ConnectionPool
        Connections to it.
    rejected_until : float
        End of the pause after it rejected a request: idle for that reason, it would
        otherwise attract all others.
    """

    __slots__ = ("endpoint", "pool", "rejected_until", "replica")

    def __init__(self, replica: Replica, timers: TimerService, connections: int):
        self.replica = replica
        self.rejected_until = float("-inf")
        self.endpoint = EndpointState(
            replica.identifier, replica.availability_zone, replica.service
        )
        self.pool = ConnectionPool(replica.host, replica.port, timers, connections)

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent."""
        return self.replica.state is ReplicaState.READY


class ReplicaPool:
    """Handles of all registered replicas."""

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
        self._handles: dict[str, ReplicaHandle] = {}
        self._detectors: dict[str, OutlierDetector] = {}
        state.subscribe(replicas=self.update)
        timers.subscribe(OUTLIER_SECONDS, self._detect_outliers)

    def update(self) -> None:
        """Follow the registrations; a new start of a replica gets a new handle."""
        for identifier, replica in self._state.replicas.items():
            handle = self._handles.get(identifier)
            if handle is None or _is_other_start(handle.replica, replica):
                if handle is not None:
                    handle.pool.close()
                limit = self._connection_limit(replica.service)
                handle = ReplicaHandle(replica, self._timers, limit)
                self._handles[identifier] = handle
            handle.replica = replica
            handle.endpoint.set_draining(not handle.takes_work)
        for identifier in self._handles.keys() - self._state.replicas.keys():
            self._handles.pop(identifier).pool.close()

    def of_service(self, service: str) -> list[ReplicaHandle]:
        """Return the replicas of a service, draining ones included."""
        return [h for h in self._handles.values() if h.replica.service == service]

    def usable(self, service: str) -> list[ReplicaHandle]:
        """Return the replicas of a service that take new work."""
        return [h for h in self.of_service(service) if h.takes_work]

    def get(self, identifier: str) -> ReplicaHandle | None:
        """Return the handle of a replica."""
        return self._handles.get(identifier)

    def at_address(self, address: str) -> ReplicaHandle | None:
        """Return the replica that is registered with an address."""
        found = (h for h in self._handles.values() if h.replica.address == address)
        return next(found, None)

    def close(self) -> None:
        """Close all idle connections."""
        for handle in self._handles.values():
            handle.pool.close()

    def _connection_limit(self, service: str) -> int:
        deployment = self._state.deployment
        known = deployment.services.get(service) if deployment else None
        total = known.max_connections if known else 64
        share = total * CONNECTION_SHARE / max(1, len(self._state.members))
        return max(MIN_CONNECTIONS, int(share))

    def _detect_outliers(self) -> None:
        now = self._timers.now()
        by_service: dict[str, list[EndpointState]] = {}
        for handle in self._handles.values():
            states = by_service.setdefault(handle.replica.service, [])
            states.append(handle.endpoint)
        for service, states in by_service.items():
            detector = self._detectors.setdefault(service, _new_detector())
            for change in detector.evaluate(states, now):
                self._metrics.ejections.labels(service, change.reason).inc()
                self._events.belief(
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


def _is_other_start(old: Replica, new: Replica) -> bool:
    return old.boot != new.boot or old.address != new.address
