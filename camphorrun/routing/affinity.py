"""Prefix affinity without an exchange between entries.

Load pattern: many entries send prompts that share long parts, and a part that another
endpoint holds has to be read again. Rendezvous hashing lets all entries choose the same
endpoint for a prefix from the membership alone; the bound on load moves the excess of a
hot prefix to the next endpoints of the same order.
"""

import math
from dataclasses import dataclass

import xxhash

from .endpoints import EndpointState
from .policies import RoutingContext, select_endpoint

# An endpoint gets no more than this multiple of the mean load of its service.
LOAD_FACTOR = 1.25
# Slack in calls above the multiple, so that a nearly idle service keeps its affinity.
LOAD_SLACK = 2


@dataclass(frozen=True, slots=True)
class AffinityPolicy:
    """Rendezvous order by prefix, bounded by load.

    ``load_factor`` and ``load_slack`` bound the calls in flight at one endpoint in
    relation to the mean.
    """

    load_factor: float = LOAD_FACTOR
    load_slack: int = LOAD_SLACK


def rendezvous_order(prefix: str, states: list[EndpointState]) -> list[EndpointState]:
    """Return endpoints in the order in which every entry prefers them for a prefix."""
    return sorted(
        states,
        key=lambda state: xxhash.xxh64_intdigest(f"{prefix}|{state.host}"),
        reverse=True,
    )


@select_endpoint.register
def _(policy: AffinityPolicy, context: RoutingContext) -> EndpointState:
    states = list(context.usable)
    mean = sum(state.in_flight for state in states) / len(states)
    bound = math.ceil(mean * policy.load_factor) + policy.load_slack
    for state in rendezvous_order(context.request.prefix, states):
        if state.in_flight < bound:
            return state
    return min(states, key=lambda state: state.in_flight)
