"""Routing policies, which choose one of the usable endpoints."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import singledispatch
from random import Random

from .endpoints import EndpointState, StageRequest
from .prefixes import PrefixIndex

# Round-trip time to another availability zone; one way takes about 1.5 ms.
CROSS_ZONE_ROUND_TRIP_SECONDS = 0.003
# Below this utilisation the local endpoint is kept unless it is slower than the remote
# one by this factor.
SPILL_UTILISATION = 0.75
CROSS_ZONE_FACTOR = 1.25
# A cached prefix saves part of the input processing. An endpoint that has it is chosen
# if it is slower by this factor at most and below this utilisation.
PREFIX_FACTOR = 1.2
MAX_PREFIX_UTILISATION = 0.8


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """Input of a policy: usable endpoints, request, time and random source."""

    usable: Sequence[EndpointState]
    request: StageRequest
    availability_zone: str
    rng: Random
    now: float


@dataclass(slots=True)
class BalancedPolicy:
    """Power of two choices by predicted time.

    Endpoints in the own availability zone, and endpoints that have the prefix of the
    request cached, are preferred unless they are clearly slower.
    """

    prefixes: PrefixIndex = field(default_factory=PrefixIndex)


@dataclass(frozen=True, slots=True)
class RandomPolicy:
    """Chooses any endpoint with equal probability (baseline)."""


@dataclass(slots=True)
class RoundRobinPolicy:
    """Chooses the endpoints in turn (baseline)."""

    choices: int = 0


@dataclass(frozen=True, slots=True)
class LeastReportedLoadPolicy:
    """Chooses the least load of the last reports, without own attempts (baseline)."""


@singledispatch
def select_endpoint(policy: object, context: RoutingContext) -> EndpointState:
    """Return one of the usable endpoints; ``context.usable`` must not be empty."""
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
    """Return the better of two local endpoints, or of two remote ones if faster."""
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
        If there is no policy of that name.

    Examples
    --------
    >>> routing_policy_by_name("random")
    RandomPolicy()
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise ValueError(f"routing: expected one of {known}, got {name!r}")
    return _POLICIES[name]()
