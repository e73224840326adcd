"""What a routing policy compares, for previews of its choices.

A preview runs the code that serves requests on copies, so that choosing changes no
state. Tables are copied only as far as the choice for one request reads them.
"""

import copy
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from functools import singledispatch

from .affinity import AffinityPolicy, Placement
from .endpoints import StageRequest
from .policies import BalancedPolicy, RoutingContext


@dataclass(frozen=True, slots=True)
class CandidateCost:
    """Cost of one endpoint in a choice; the least is chosen among those considered.

    Attributes
    ----------
    cost : float
        What is compared, in ``unit``.
    unit : str
        ``tokens`` (of the prompt) or ``seconds``.
    terms : dict of str to float
        What the cost consists of, by name; the unit is at the end of the name, or the
        term is a ratio.
    """

    cost: float
    unit: str
    terms: dict[str, float]


@singledispatch
def copy_policy(policy: object, request: StageRequest, hosts: Iterable[str]) -> object:
    """Return a policy that makes the same choices for a request.

    Parameters
    ----------
    policy : object
        A routing policy; its state is not changed by choices of the copy.
    request : StageRequest
        The only request for which the copy may be used.
    hosts : iterable of str
        Hosts of all candidates.
    """
    return copy.copy(policy)


@copy_policy.register
def _(
    policy: BalancedPolicy, request: StageRequest, hosts: Iterable[str]
) -> BalancedPolicy:
    return BalancedPolicy(copy.deepcopy(policy.prefixes))


@copy_policy.register
def _(
    policy: AffinityPolicy, request: StageRequest, hosts: Iterable[str]
) -> AffinityPolicy:
    copied = AffinityPolicy(last_terms=policy.last_terms)
    known = policy.hosts_by_prefix.get(request.prefix)
    if known is not None:
        copied.hosts_by_prefix = OrderedDict({request.prefix: dict(known)})
    if policy.engine_loads is not None:
        copied.engine_loads = policy.engine_loads.copy(request.service, hosts)
    return copied


@singledispatch
def explain_costs(policy: object, context: RoutingContext) -> dict[str, CandidateCost]:
    """Return the cost of each usable endpoint by host.

    Empty for a policy that compares no costs.
    """
    return {}


@explain_costs.register
def _(policy: BalancedPolicy, context: RoutingContext) -> dict[str, CandidateCost]:
    now = context.now
    return {
        state.host: CandidateCost(
            state.score(now),
            "seconds",
            {
                "service_time_s": state.service_time_s(),
                "slowdown": state.reported.relative_slowdown(now)
                if state.reported
                else 1.0,
                "utilisation": state.utilisation(now),
                "failure_rate": state.failure_rate,
            },
        )
        for state in context.usable
    }


@explain_costs.register
def _(policy: AffinityPolicy, context: RoutingContext) -> dict[str, CandidateCost]:
    placement = Placement(policy, context)
    costs = {}
    for state in context.usable:
        terms = placement.terms(state)
        engine = placement.engine_terms.get(state.host)
        named = asdict(terms) | (asdict(engine) if engine is not None else {})
        named["has_prefix"] = float(state.host in placement.holders)
        costs[state.host] = CandidateCost(terms.cost, "tokens", named)
    return costs
