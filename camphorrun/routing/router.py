"""Chooses an endpoint among the candidates of a service."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from .endpoints import EjectionState, EndpointState, StageRequest
from .explanations import CandidateCost, copy_policy, explain_costs
from .policies import BalancedPolicy, RoutingContext, select_endpoint

NO_ENDPOINT = "no_endpoint"
LINKS_DOWN = "links_down"
DRAINING = "draining"
EXCLUDED = "excluded"
EJECTED = "ejected"
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """The chosen endpoint and its predicted queue wait.

    ``probe`` tells whether the attempt probes an endpoint after its ejection.
    """

    endpoint: EndpointState
    predicted_wait_s: float
    probe: bool = False


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No candidate is usable; ``reason`` is one of the codes of this module."""

    reason: str
    retry_after_s: float


class Router:
    """Chooses endpoints for the attempts of one entry.

    Parameters
    ----------
    policy : object
        A routing policy, see ``routing_policy_by_name``.
    availability_zone : str
        Availability zone of the entry.
    seed : int
        Seed of the random choices. It should differ between entries, so that they do
        not choose the same endpoints at the same time.
    """

    def __init__(
        self, policy: object = None, availability_zone: str = "", seed: int = 0
    ):
        self._policy = BalancedPolicy() if policy is None else policy
        self._availability_zone = availability_zone
        self._rng = Random(seed)

    @property
    def policy(self) -> object:
        """The routing policy."""
        return self._policy

    def choose(
        self, candidates: Sequence[EndpointState], request: StageRequest, now: float
    ) -> RouteChoice | NoEndpoint:
        """Return an endpoint for an attempt, or the reason why none is usable."""
        assignable = _assignable_endpoints(candidates, request)
        if isinstance(assignable, NoEndpoint):
            return assignable
        probe = _next_probe(assignable, request)
        if probe is not None:
            return RouteChoice(probe, probe.predicted_wait_s(now), probe=True)
        usable = [s for s in assignable if s.ejection is EjectionState.ACTIVE]
        if not usable:
            earliest_end_at = min(state.ejected_until for state in assignable)
            return NoEndpoint(EJECTED, max(0.1, earliest_end_at - now))
        chosen = select_endpoint(self._policy, self._context(usable, request, now))
        return RouteChoice(chosen, chosen.predicted_wait_s(now))

    def copy(self, request: StageRequest, hosts: Iterable[str]) -> "Router":
        """Return a router that makes the same next choices for a request.

        Its choices change nothing here. ``hosts`` are those of all candidates.
        """
        copied = Router(
            copy_policy(self._policy, request, hosts), self._availability_zone
        )
        copied._rng.setstate(self._rng.getstate())
        return copied

    def costs(
        self, candidates: Sequence[EndpointState], request: StageRequest, now: float
    ) -> dict[str, CandidateCost]:
        """Return by host what the policy compares of the candidates that it may choose.

        Empty if none is usable. To be called on a copy, because it may sort tables.
        """
        assignable = _assignable_endpoints(candidates, request)
        if isinstance(assignable, NoEndpoint):
            return {}
        usable = [s for s in assignable if s.ejection is EjectionState.ACTIVE]
        if not usable:
            return {}
        return explain_costs(self._policy, self._context(usable, request, now))

    def _context(
        self, usable: list[EndpointState], request: StageRequest, now: float
    ) -> RoutingContext:
        return RoutingContext(usable, request, self._availability_zone, self._rng, now)


def _assignable_endpoints(
    candidates: Sequence[EndpointState], request: StageRequest
) -> list[EndpointState] | NoEndpoint:
    """Return the candidates that are connected, not draining and not excluded."""
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
    """Return an endpoint that is due for a probe, or None.

    Each endpoint gets one probe at a time. A retry is never used as a probe: it has
    already lost time, and a failed probe could make it fail.
    """
    if request.exclude:
        return None
    for state in assignable:
        if state.ejection is EjectionState.PROBING and state.in_flight == 0:
            return state
    return None
