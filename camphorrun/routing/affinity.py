"""Placement of prompts by shared prefix, place of inputs and load.

Load pattern: many entries send prompts that share long parts, and a part that the
chosen endpoint does not hold has to be read again; other requests bring inputs of
megabytes, which are dear to move between availability zones. Rendezvous hashing lets
all entries prefer the same endpoint for a prefix without an exchange; what was sent
from here is known besides. All three costs are compared in prompt tokens.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from .endpoints import EndpointState, StageRequest
from .policies import RoutingContext, select_endpoint

# Prompt tokens that are read in the time and at the price of moving a megabyte to
# another availability zone (ratio of the deployments' prices for both).
TOKENS_PER_MEGABYTE = 300.0
# Prompt tokens that a call above the mean load of the service weighs.
TOKENS_PER_CALL = 250.0
# Calls above the mean that cost nothing, so that a quiet service keeps its affinity.
FREE_EXCESS_CALLS = 1.0
MEGABYTE = 1_000_000
MAX_TRACKED_PREFIXES = 4096


@dataclass(slots=True)
class AffinityPolicy:
    """Least cost of reading, moving and waiting.

    ``sent`` remembers to which endpoints prompts with a prefix were sent from here.
    """

    hosts_by_prefix: OrderedDict[str, dict[str, None]] = field(
        default_factory=OrderedDict
    )

    def record(self, prefix: str, host: str) -> None:
        """Remember that an endpoint now reads a prefix."""
        self.hosts_by_prefix.setdefault(prefix, {})[host] = None
        self.hosts_by_prefix.move_to_end(prefix)
        if len(self.hosts_by_prefix) > MAX_TRACKED_PREFIXES:
            self.hosts_by_prefix.popitem(last=False)


def rendezvous_weight(prefix: str, host: str) -> int:
    """Return the weight by which every entry orders endpoints for a prefix."""
    return xxhash.xxh64_intdigest(f"{prefix}|{host}")


def placement_cost(
    request: StageRequest, state: EndpointState, *, has_prefix: bool, mean_calls: float
) -> float:
    """Return the cost of an endpoint in prompt tokens.

    Examples
    --------
    >>> state = EndpointState("h", "a", "s")
    >>> request = StageRequest("s", prefix_tokens=100, input_bytes=(("b", 2_000_000),))
    >>> placement_cost(request, state, has_prefix=False, mean_calls=0.0)
    700.0
    """
    remote_bytes = sum(
        size for zone, size in request.input_bytes if zone != state.availability_zone
    )
    excess_calls = max(0.0, state.in_flight - mean_calls - FREE_EXCESS_CALLS)
    return (
        remote_bytes / MEGABYTE * TOKENS_PER_MEGABYTE
        + (0 if has_prefix else request.prefix_tokens)
        + excess_calls * TOKENS_PER_CALL
    )


@select_endpoint.register
def _(policy: AffinityPolicy, context: RoutingContext) -> EndpointState:
    request = context.request
    states = context.usable
    mean_calls = sum(state.in_flight for state in states) / len(states)
    weights = {s.host: rendezvous_weight(request.prefix, s.host) for s in states}
    preferred = max(states, key=lambda state: weights[state.host])
    holders = {preferred.host, *policy.hosts_by_prefix.get(request.prefix, ())}

    def rank(state: EndpointState) -> tuple[float, int]:
        cost = placement_cost(
            request, state, has_prefix=state.host in holders, mean_calls=mean_calls
        )
        return cost, -weights[state.host]

    chosen = min(states, key=rank)
    policy.record(request.prefix, chosen.host)
    return chosen
