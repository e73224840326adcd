"""Choice of an endpoint among the candidates of a service."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from .endpoints import EjectionState, EndpointState, StageRequest
from .policies import BalancedPolicy, RoutingContext, select_endpoint

NO_ENDPOINT = "no_endpoint"
LINKS_DOWN = "links_down"
DRAINING = "draining"
EXCLUDED = "excluded"
EJECTED = "ejected"
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """The chosen endpoint and its predicted queue wait."""

    endpoint: EndpointState
    predicted_wait_s: float
    probe: bool = False


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No candidate is usable; ``reason`` is a stable code."""

    reason: str
    retry_after_s: float


class Router:
    """Chooses endpoints for one entry.

    Parameters
    ----------
    policy : object
        A routing policy, see ``routing_policy_by_name``.
    availability_zone : str
        Availability zone of the entry.
    seed : int
        Seed of the random choices; entries should differ in it.
    """

    def __init__(
        self, policy: object = None, availability_zone: str = "", seed: int = 0
    ):
        self._policy = BalancedPolicy() if policy is None else policy
        self._availability_zone = availability_zone
        self._rng = Random(seed)

    def choose(
        self, candidates: Sequence[EndpointState], request: StageRequest, now: float
    ) -> RouteChoice | NoEndpoint:
        """Return an endpoint for an attempt, or why there is none."""
        assignable = _assignable(candidates, request)
        if isinstance(assignable, NoEndpoint):
            return assignable
        probe = _next_probe(assignable, request)
        if probe is not None:
            return RouteChoice(probe, probe.predicted_wait_s(now), probe=True)
        usable = [s for s in assignable if s.ejection is EjectionState.ACTIVE]
        if not usable:
            earliest_end_at = min(state.ejected_until for state in assignable)
            return NoEndpoint(EJECTED, max(0.1, earliest_end_at - now))
        context = RoutingContext(
            usable, request, self._availability_zone, self._rng, now
        )
        chosen = select_endpoint(self._policy, context)
        return RouteChoice(chosen, chosen.predicted_wait_s(now))


def _assignable(
    candidates: Sequence[EndpointState], request: StageRequest
) -> list[EndpointState] | NoEndpoint:
    """Return the candidates that may get work at all."""
    if not candidates:
        return NoEndpoint(NO_ENDPOINT, RETRY_AFTER_SECONDS)
    linked = [state for state in candidates if state.link_up]
    if not linked:
        return NoEndpoint(LINKS_DOWN, RETRY_AFTER_SECONDS)
    not_draining = [state for state in linked if not state.draining]
    if not not_draining:
        return NoEndpoint(DRAINING, RETRY_AFTER_SECONDS)
    allowed = [state for state in not_draining if state.host not in request.exclude]
    if not allowed:
        return NoEndpoint(EXCLUDED, RETRY_AFTER_SECONDS)
    return allowed


def _next_probe(
    assignable: Sequence[EndpointState], request: StageRequest
) -> EndpointState | None:
    """Return an endpoint that awaits its next probe; one at a time each.

    A retry is no probe: it has already lost time, and another failure would end it.
    """
    if request.exclude:
        return None
    for state in assignable:
        if state.ejection is EjectionState.PROBING and state.in_flight == 0:
            return state
    return None
