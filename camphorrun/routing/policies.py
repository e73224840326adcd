"""Routing policies: how one of the usable endpoints is chosen."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import singledispatch
from random import Random

from .endpoints import EndpointState, StageRequest
from .prefixes import PrefixIndex

# Round trip to another availability zone (about 1.5 ms one way).
CROSS_ZONE_ROUND_TRIP_SECONDS = 0.003
# Below this utilisation the near availability zone is kept unless it is clearly slower.
SPILL_UTILISATION = 0.75
CROSS_ZONE_FACTOR = 1.25
# A prefix hit saves part of the input work, so its endpoint may be slightly slower.
PREFIX_FACTOR = 1.2
MAX_PREFIX_UTILISATION = 0.8


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

    choices: int = 0


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
    policy.choices += 1
    return context.usable[policy.choices % len(context.usable)]


@select_endpoint.register
def _(policy: LeastReportedLoadPolicy, context: RoutingContext) -> EndpointState:
    return min(context.usable, key=_reported_load)


@select_endpoint.register
def _(policy: BalancedPolicy, context: RoutingContext) -> EndpointState:
    best = _better_zone_choice(context)
    holder = _best_prefix_holder(policy.prefixes, context)
    if holder is None or holder.utilisation(context.now) >= MAX_PREFIX_UTILISATION:
        return best
    allowed = best.score(context.now) * PREFIX_FACTOR
    return holder if holder.score(context.now) <= allowed else best


def _reported_load(state: EndpointState) -> float:
    if state.report is None:
        return 0.0
    return (state.report.in_flight + state.report.queued) / state.limit


def _better_zone_choice(context: RoutingContext) -> EndpointState:
    """Return the better of two near endpoints, or of two far ones if that is faster."""
    zone = context.availability_zone
    local = [state for state in context.usable if state.availability_zone == zone]
    remote = [state for state in context.usable if state.availability_zone != zone]
    if not local or not remote:
        return _better_of_two(local or remote, context)
    best_local = _better_of_two(local, context)
    best_remote = _better_of_two(remote, context)
    local_s = best_local.score(context.now)
    remote_s = best_remote.score(context.now) + CROSS_ZONE_ROUND_TRIP_SECONDS
    if best_local.utilisation(context.now) < SPILL_UTILISATION:
        remote_s *= CROSS_ZONE_FACTOR
    return best_local if local_s <= remote_s else best_remote


def _better_of_two(
    states: Sequence[EndpointState], context: RoutingContext
) -> EndpointState:
    if len(states) == 1:
        return states[0]
    first, second = context.rng.sample(states, 2)
    return first if first.score(context.now) <= second.score(context.now) else second


def _best_prefix_holder(
    prefixes: PrefixIndex, context: RoutingContext
) -> EndpointState | None:
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
