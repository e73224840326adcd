"""Routing of prompts by shared prefix, location of inputs, and load.

Load pattern: many entries send prompts that share long prefixes, and an endpoint that
does not have a prefix cached must process it again. Other requests bring inputs of
megabytes, which are expensive to move between availability zones. With rendezvous
hashing all entries prefer the same endpoint for a prefix without communication. Each
entry also knows to which endpoints it has sent a prefix itself. The costs of prefix
processing, transfers and load are compared in prompt tokens. Of engines, the speed and
the tokens still to be read count as well, see ``engine_load``.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from .endpoints import EndpointState, StageRequest
from .engine_load import EngineLoads, EngineTerms
from .policies import RoutingContext, select_endpoint

# Prompt tokens that cost as much to process as the transfer of one megabyte between
# availability zones; the ratio of the prices of both in the deployments.
TOKENS_PER_MEGABYTE = 300.0
# Cost, in prompt tokens, of each call in flight above the mean of the service.
TOKENS_PER_CALL = 250.0
# Calls above the mean that cost nothing, so that affinity decides at low load.
FREE_EXCESS_CALLS = 1.0
MEGABYTE = 1_000_000
MAX_TRACKED_PREFIXES = 4096
# Engines drawn at random that are considered when the load matters, besides those that
# have the prefix. Gateways with the same view thus choose different engines, as with
# the power of two choices.
SAMPLED_ENGINES = 3


@dataclass(slots=True)
class AffinityPolicy:
    """Chooses the endpoint with the least cost of prefix, transfers and load.

    ``hosts_by_prefix`` holds the hosts to which this entry has sent a prefix, for the
    most recently used prefixes. ``engine_loads`` is set if the endpoints are engines;
    ``last_terms`` then has the terms of the most recent choice.
    """

    hosts_by_prefix: OrderedDict[str, dict[str, None]] = field(
        default_factory=OrderedDict
    )
    engine_loads: EngineLoads | None = None
    last_terms: EngineTerms | None = None

    def record(self, prefix: str, host: str) -> None:
        """Record that a prompt with this prefix was sent to a host."""
        self.hosts_by_prefix.setdefault(prefix, {})[host] = None
        self.hosts_by_prefix.move_to_end(prefix)
        if len(self.hosts_by_prefix) > MAX_TRACKED_PREFIXES:
            self.hosts_by_prefix.popitem(last=False)


def rendezvous_weight(prefix: str, host: str) -> int:
    """Return the rendezvous hash of a prefix and a host; it is equal on all entries."""
    return xxhash.xxh64_intdigest(f"{prefix}|{host}")


@dataclass(frozen=True, slots=True)
class PlacementTerms:
    """Terms of the cost of sending a request to an endpoint, in prompt tokens.

    Attributes
    ----------
    transfer_tokens : float
        Price of the inputs that come from other availability zones.
    prefix_tokens : int
        Length of the shared prefix, 0 if the endpoint is assumed to have it cached.
    call_tokens : float
        Price of the calls in flight above the mean of the service.
    engine_tokens : float
        Price of the engine's delay above the mean; 0 if the endpoint is no engine.
    """

    transfer_tokens: float
    prefix_tokens: int
    call_tokens: float
    engine_tokens: float

    @property
    def cost(self) -> float:
        """The sum of all terms."""
        return (
            self.transfer_tokens
            + self.prefix_tokens
            + self.call_tokens
            + self.engine_tokens
        )


def placement_terms(
    request: StageRequest,
    state: EndpointState,
    *,
    has_prefix: bool,
    mean_calls: float,
    engine: EngineTerms | None = None,
) -> PlacementTerms:
    """Return the terms of the cost of sending a request to an endpoint.

    ``has_prefix`` tells whether the endpoint is assumed to have the prefix cached, and
    ``mean_calls`` is the mean number of calls in flight at the usable endpoints. With
    ``engine``, the delay that exceeds the mean of the service is added.

    Examples
    --------
    >>> state = EndpointState("h", "a", "s")
    >>> request = StageRequest("s", prefix_tokens=100, input_bytes=(("b", 2_000_000),))
    >>> placement_terms(request, state, has_prefix=False, mean_calls=0.0).cost
    700.0
    """
    remote_bytes = sum(
        size for zone, size in request.input_bytes if zone != state.availability_zone
    )
    excess_calls = max(0.0, state.in_flight - mean_calls - FREE_EXCESS_CALLS)
    return PlacementTerms(
        remote_bytes / MEGABYTE * TOKENS_PER_MEGABYTE,
        0 if has_prefix else request.prefix_tokens,
        excess_calls * TOKENS_PER_CALL,
        0 if engine is None else engine.excess_tokens,
    )


class Placement:
    """What the choice among the usable endpoints depends on; it records nothing.

    Attributes
    ----------
    holders : set of str
        Hosts that are assumed to have the prefix cached.
    engine_terms : dict of str to EngineTerms
        Terms of the engines by host, empty if the endpoints are none.
    """

    __slots__ = ("_mean_calls", "_request", "_weights", "engine_terms", "holders")

    def __init__(self, policy: AffinityPolicy, context: RoutingContext):
        request = self._request = context.request
        states = context.usable
        self._mean_calls = sum(state.in_flight for state in states) / len(states)
        self._weights = {
            s.host: rendezvous_weight(request.prefix, s.host) for s in states
        }
        preferred = max(states, key=lambda state: self._weights[state.host])
        known = policy.hosts_by_prefix.get(request.prefix, ())
        self.holders = {preferred.host, *known}
        self.engine_terms = _engine_terms(policy, context, self.holders)

    def terms(self, state: EndpointState) -> PlacementTerms:
        """Return the terms of the cost of one of the usable endpoints."""
        return placement_terms(
            self._request,
            state,
            has_prefix=state.host in self.holders,
            mean_calls=self._mean_calls,
            engine=self.engine_terms.get(state.host),
        )

    def rank(self, state: EndpointState) -> tuple[float, int]:
        """Return the key by which the least one is chosen."""
        return self.terms(state).cost, -self._weights[state.host]


@select_endpoint.register
def _(policy: AffinityPolicy, context: RoutingContext) -> EndpointState:
    placement = Placement(policy, context)
    considered = _considered(context, placement.holders, placement.engine_terms)
    chosen = min(considered, key=placement.rank)
    policy.record(context.request.prefix, chosen.host)
    policy.last_terms = placement.engine_terms.get(chosen.host)
    return chosen


def _engine_terms(
    policy: AffinityPolicy, context: RoutingContext, holders: set[str]
) -> dict[str, EngineTerms]:
    """Return the terms of the engines, empty if the service has none."""
    request = context.request
    if policy.engine_loads is None or not request.prompt_tokens:
        return {}
    own_tokens = max(0, request.prompt_tokens - request.prefix_tokens)
    unread_by_host = {
        state.host: own_tokens if state.host in holders else request.prompt_tokens
        for state in context.usable
    }
    return policy.engine_loads.terms(
        request.service, request.kind, unread_by_host, context.now
    )


def _considered(
    context: RoutingContext, holders: set[str], terms: dict[str, EngineTerms]
) -> list[EndpointState]:
    """Return the endpoints of which the cheapest is chosen.

    All of them, unless the load of the engines matters.
    """
    if not any(each.excess_s for each in terms.values()):
        return list(context.usable)
    free = [state for state in context.usable if not terms[state.host].excess_s]
    others = [state for state in free if state.host not in holders]
    sampled = context.rng.sample(others, min(SAMPLED_ENGINES, len(others)))
    return [s for s in context.usable if s.host in holders] + sampled
