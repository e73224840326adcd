"""Configuration of a deployment: routes, services, client accounts and limits."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class RouteKind(Enum):
    """Whether the requests of a route may be executed more than once.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones at most once for each
    attempt of a caller. The response of a ``STREAM`` is a stream of events; such a
    request is treated as unsafe unless its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class StageTemplate:
    """One stage of a route.

    ``after`` holds the indexes of the stages whose results it needs, ``result_bytes``
    the expected size of its result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


@dataclass(frozen=True, slots=True)
class Route:
    """One route of a deployment.

    Attributes
    ----------
    objective_s : float
        Latency objective in seconds; for a stream, the time to its first event.
    priority : int
        Priority of the requests; 0 is the highest.
    services : tuple of (str, float)
        Services and their positive weights in the split of requests.
    public : bool
        True if no API key is needed.
    uses_engine : bool
        True if the services run a language model.
    gap_objective_s : float
        Objective for the gap between two events of a stream, in seconds.
    fault : str
        Why requests of the route can't be served, empty if they can. The other routes
        of the configuration are not affected.
    regions : frozenset of str
        Home regions, the only ones in which its requests may run; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[tuple[str, float], ...]
    max_attempts: int = 1
    stages: tuple[StageTemplate, ...] = ()
    public: bool = False
    resumable: bool = False
    uses_engine: bool = False
    gap_objective_s: float = 0.0
    fault: str = ""
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may be retried after an attempt with unknown outcome."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def service_for(self, fraction: float) -> str:
        """Return the service at ``fraction`` (0 to 1) of the cumulative weights."""
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
        Largest number of calls in progress, and of calls that wait in the queue.
    batch : int
        Largest number of pieces in one call.
    call_s, piece_s : float
        Fixed time of a call, and approximate additional time of each piece, in seconds.
    result_bytes : int
        Space for results in bytes.
    result_life_s : float
        Seconds after which the replica drops an unused result.
    """

    calls: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    result_bytes: int
    result_life_s: float

    def call_time_s(self, pieces: int) -> float:
        """Return the expected time of a call with a number of pieces, in seconds."""
        return self.call_s + pieces * self.piece_s


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Capacity of one replica of a language model service."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """What a replica tolerates that has started while there is traffic.

    Attributes
    ----------
    duration_s : float
        How long the replica is cold after its start, in seconds; positive.
    requests_per_s : float
        Requests per second that it tolerates while it is cold; positive.
    """

    duration_s: float
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """One service.

    ``stage`` is set if the service runs stages of routes, ``engine`` if it runs a
    language model, ``cold`` if its replicas tolerate less after a start.
    """

    name: str
    health_path: str = ""
    max_connections: int = 64
    stage: StageCapacity | None = None
    engine: EngineCapacity | None = None
    cold: ColdLimits | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    priority : int or None
        Priority that takes precedence over that of a route, None if it has none.
    regions : frozenset of str
        Home regions, the only ones in which its requests may run; empty for all.
    fault : str
        Why its requests can't be served, empty if they can.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()
    fault: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the requests of callers; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


# Number of distinct route priorities within one priority of client accounts.
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

    Attributes
    ----------
    accounts : dict of str to Account, or None
        Client accounts by API key; None if the configuration has no client accounts, so
        that requests need no key. Without any key, an empty dict, none is accepted.

    Examples
    --------
    >>> route = Route("r", "a.test", "/x/", RouteKind.SAFE, 1.0, 0.2, 1, (("s", 1),))
    >>> deployment = Deployment(7, (route,), {}, {"k": Account("acc")})
    >>> deployment.route("a.test", "/x/y").name
    'r'
    >>> deployment.route("a.test", "/y/") is None
    True
    >>> deployment.account("k").name, deployment.accepts(route, "other")
    ('acc', False)
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, Account] | None = None
    limits: CallerLimits | None = None
    _routes_by_host: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self):
        for route in self.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def account(self, key: str) -> Account | None:
        """Return the client account that holds an API key, None if there is none."""
        # Requests without a key have an empty one, which belongs to no account.
        return (self.accounts or {}).get(key) if key else None

    def accepts(self, route: Route, key: str) -> bool:
        """Return whether requests of a route may run with an API key."""
        needs_key = self.accounts is not None and not route.public
        return not needs_key or self.account(key) is not None

    def rank(self, route: Route, account: Account | None) -> int:
        """Return the rank of a request; 0 is the most urgent.

        Requests are ordered by the priority of the client account, then by that of the
        route. For an account without a priority that of the route takes its place.
        """
        return max(0, _request_rank(route, account) - self._lowest_rank)

    @cached_property
    def _lowest_rank(self) -> int:
        accounts = list((self.accounts or {}).values()) or [None]
        ranks = (
            _request_rank(route, account)
            for route in self.routes
            for account in accounts
        )
        return min(ranks, default=0)

    def stage_services(self) -> list[str]:
        """Return the names of the services that run stages, sorted."""
        return sorted({s.service for route in self.routes for s in route.stages})
