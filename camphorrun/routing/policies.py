"""Routing policies: how one of the usable endpoints is chosen."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import singledispatch
from random import Random

from .endpoints import EndpointState, StageRequest
from .prefixes import PrefixIndex

# Round trip to another availability zone (about 1.5 ms one way).
FAR_ROUND_TRIP_SECONDS = 0.003
# Below this utilisation the near availability zone is kept unless it is clearly slower.
SPILL_UTILISATION = 0.75
NEAR_FACTOR = 1.25
# A prefix hit saves part of the input work, so its endpoint may be slightly slower.
PREFIX_FACTOR = 1.2
HOT_UTILISATION = 0.8


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """What a policy sees: usable endpoints, the request, time and randomness."""

    usable: Sequence[EndpointState]
    request: StageRequest
    availability_zone: str
    rng: Random
    now: float


@dataclass(slots=True)
class BalancedPolicy:
    """Power of two choices over predicted time, near zone first, prefix as a hint."""

    prefixes: PrefixIndex = field(default_factory=PrefixIndex)


@dataclass(frozen=True, slots=True)
class RandomPolicy:
    """Any endpoint with equal probability (baseline)."""


@dataclass(slots=True)
class RoundRobinPolicy:
    """Endpoints in turn (baseline)."""

    turn: int = 0


@dataclass(frozen=True, slots=True)
class LeastReportedLoadPolicy:
    """The least load by the last report, local knowledge ignored (baseline)."""


@singledispatch
def select_endpoint(policy: object, context: RoutingContext) -> EndpointState:
    """Return one of the usable endpoints; there is at least one."""
    raise TypeError(f"unknown routing policy {type(policy).__name__}")


@select_endpoint.register
def _(policy: RandomPolicy, context: RoutingContext) -> EndpointState:
    return context.rng.choice(context.usable)


@select_endpoint.register
def _(policy: RoundRobinPolicy, context: RoutingContext) -> EndpointState:
    policy.turn += 1
    return context.usable[policy.turn % len(context.usable)]


@select_endpoint.register
def _(policy: LeastReportedLoadPolicy, context: RoutingContext) -> EndpointState:
    return min(context.usable, key=_reported_load)


@select_endpoint.register
def _(policy: BalancedPolicy, context: RoutingContext) -> EndpointState:
    best = _nearest(context)
    cached = _cached(policy.prefixes, context)
    if cached is None or cached.utilisation(context.now) >= HOT_UTILISATION:
        return best
    allowed = best.score(context.now) * PREFIX_FACTOR
    return cached if cached.score(context.now) <= allowed else best


def _reported_load(state: EndpointState) -> float:
    if state.report is None:
        return 0.0
    return (state.report.in_flight + state.report.queued) / state.limit


def _nearest(context: RoutingContext) -> EndpointState:
    """Return the better of two near endpoints, or of two far ones if that is faster."""
    zone = context.availability_zone
    near = [state for state in context.usable if state.availability_zone == zone]
    far = [state for state in context.usable if state.availability_zone != zone]
    if not near or not far:
        return _better_of_two(near or far, context)
    best_near = _better_of_two(near, context)
    best_far = _better_of_two(far, context)
    near_s = best_near.score(context.now)
    far_s = best_far.score(context.now) + FAR_ROUND_TRIP_SECONDS
    if best_near.utilisation(context.now) < SPILL_UTILISATION:
        far_s *= NEAR_FACTOR
    return best_near if near_s <= far_s else best_far


def _better_of_two(
    states: Sequence[EndpointState], context: RoutingContext
) -> EndpointState:
    if len(states) == 1:
        return states[0]
    first, second = context.rng.sample(states, 2)
    return first if first.score(context.now) <= second.score(context.now) else second


def _cached(prefixes: PrefixIndex, context: RoutingContext) -> EndpointState | None:
    if not context.request.prefix:
        return None
    hosts = set(prefixes.hosts(context.request.prefix))
    holders = [state for state in context.usable if state.host in hosts]
    return min(holders, key=lambda state: state.score(context.now), default=None)


_POLICIES = {
    "balanced": BalancedPolicy,
    "random": RandomPolicy,
    "round_robin": RoundRobinPolicy,
    "least_reported_load": LeastReportedLoadPolicy,
}


def routing_policy_by_name(name: str) -> object:
    """Return a new routing policy for a settings value.

    Raises
    ------
    ValueError
        If the name is unknown.

    Examples
    --------
    >>> routing_policy_by_name("random")
    RandomPolicy()
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise ValueError(f"routing: expected one of {known}, got {name!r}")
    return _POLICIES[name]()
