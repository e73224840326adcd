"""The operator's configuration of a deployment."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class RouteKind(Enum):
    """What may be repeated.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones at most once for each
    attempt of a caller. A ``STREAM`` answers with events and counts as unsafe unless it
    may be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class StageTemplate:
    """One stage of a route; ``after`` are indexes of the stages that it needs."""

    service: str
    after: tuple[int, ...]
    result_bytes: int


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times in seconds, priority 0 is the highest."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[tuple[str, int], ...]
    max_attempts: int = 1
    stages: tuple[StageTemplate, ...] = ()
    public: bool = False
    resumable: bool = False
    uses_engine: bool = False
    gap_objective_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after an attempt with unknown fate."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def service_for(self, fraction: float) -> str:
        """Return the service at ``fraction`` (0 to 1) of the weighted split."""
        total = sum(weight for _, weight in self.services)
        position = fraction * total
        for name, weight in self.services:
            position -= weight
            if position < 0:
                return name
        return self.services[-1][0]


@dataclass(frozen=True, slots=True)
class StageCapacity:
    """Capacity of one replica of a stage service.

    Attributes
    ----------
    calls, queue : int
        Calls in progress at the same time, and calls that may wait.
    batch : int
        Pieces of one call.
    call_s, piece_s : float
        Time of a call, and the approximate time of each piece in it.
    result_bytes : int
        Space for results.
    result_life_s : float
        Time after which an unused result is dropped.
    """

    calls: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    result_bytes: int
    result_life_s: float

    def call_time_s(self, pieces: int) -> float:
        """Return the usual time of a call with so many pieces."""
        return self.call_s + pieces * self.piece_s


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Capacity of one replica of a language model service."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """One service; ``stage`` is set if stages of routes run there."""

    name: str
    health_path: str = ""
    max_connections: int = 64
    stage: StageCapacity | None = None
    engine: EngineCapacity | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; its priority, if any, replaces that of the route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


# Route priorities that fit between two priorities of client accounts.
RANKS_PER_ACCOUNT_PRIORITY = 16


def _request_rank(route: Route, account: Account | None) -> int:
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return priority * RANKS_PER_ACCOUNT_PRIORITY + min(
        RANKS_PER_ACCOUNT_PRIORITY - 1, route.priority
    )


@dataclass(frozen=True)
class Deployment:
    """One version of the configuration.

    Examples
    --------
    >>> route = Route("r", "a.test", "/x/", RouteKind.SAFE, 1.0, 0.2, 1, (("s", 1),))
    >>> deployment = Deployment(7, (route,), {})
    >>> deployment.route("a.test", "/x/y").name
    'r'
    >>> deployment.route("a.test", "/y/") is None
    True
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, Account] = field(default_factory=dict)
    limits: CallerLimits | None = None
    _routes_by_host: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self):
        for route in self.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def rank(self, route: Route, account: Account | None) -> int:
        """Return the rank of a request, 0 for the most urgent ones.

        The priority of the client account goes before that of the route, which still
        orders the requests of accounts with the same priority.
        """
        return max(0, _request_rank(route, account) - self._lowest_rank)

    @cached_property
    def _lowest_rank(self) -> int:
        accounts = list(self.accounts.values()) or [None]
        ranks = (
            _request_rank(route, account)
            for route in self.routes
            for account in accounts
        )
        return min(ranks, default=0)

    def stage_services(self) -> list[str]:
        """Return the services that run stages, sorted."""
        return sorted({s.service for route in self.routes for s in route.stages})
