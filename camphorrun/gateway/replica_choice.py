"""Chooses one of the replicas that accept a request, without sending anything."""

import copy
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from ..core import TimerService
from ..routing import (
    AffinityPolicy,
    CandidateCost,
    EngineTerms,
    NoEndpoint,
    RouteChoice,
    Router,
    StageRequest,
)
from .context import RequestContext
from .replica_handle import ReplicaHandle
from .replicas import ReplicaPool, endpoints


@dataclass(frozen=True, slots=True)
class ReplicaDecision:
    """Choice of a replica, before anything is requested or sent.

    Attributes
    ----------
    candidates : list of ReplicaHandle
        Replicas among which the router chose.
    request : StageRequest
        What the router knew of the request.
    cold_handle : ReplicaHandle or None
        Cold replica for which a permit is to be requested in advance.
    engine_terms : EngineTerms or None
        Terms of the cost of the chosen replica, if it is an engine.
    """

    choice: RouteChoice
    candidates: list[ReplicaHandle]
    request: StageRequest
    cold_handle: ReplicaHandle | None = None
    engine_terms: EngineTerms | None = None


class ReplicaChooser:
    """Chooses replicas by load and cached prefixes.

    Choosing advances the random choices and records the prefix. To learn what would be
    chosen, choose at a copy.

    Parameters
    ----------
    replicas : ReplicaPool
        Replicas of all services.
    availability_zone : str
        Zone of this gateway.
    seed : int
        Seed of the random choices of the routers.
    """

    __slots__ = ("_affinity_router", "_load_router", "_replicas", "_rng", "_timers")

    def __init__(
        self,
        replicas: ReplicaPool,
        availability_zone: str,
        timers: TimerService,
        seed: int,
    ):
        self._replicas = replicas
        self._timers = timers
        rng = self._rng = Random(seed)
        self._load_router = Router(None, availability_zone, rng.getrandbits(32))
        affinity = AffinityPolicy(engine_loads=replicas.engine_loads)
        self._affinity_router = Router(affinity, availability_zone, rng.getrandbits(32))

    def copy(self, request: StageRequest, hosts: Iterable[str]) -> "ReplicaChooser":
        """Return a chooser that chooses for a request as this one would next.

        Its choices change nothing here. ``hosts`` are those of all candidates.
        """
        copied = copy.copy(self)
        copied._rng = Random()
        copied._rng.setstate(self._rng.getstate())
        copied._load_router = self._load_router.copy(request, hosts)
        copied._affinity_router = self._affinity_router.copy(request, hosts)
        return copied

    def decide(
        self, ctx: RequestContext, handles: list[ReplicaHandle], request: StageRequest
    ) -> ReplicaDecision | NoEndpoint:
        """Choose one of the replicas that accept a request."""
        decision = self._decide_permitted(ctx, handles, request)
        if isinstance(decision, NoEndpoint):
            return decision
        if request.prompt_tokens and not decision.choice.probe:
            terms = self._affinity_router.policy.last_terms
            return replace(decision, engine_terms=terms)
        return decision

    def choose_by_prefix(
        self, handles: list[ReplicaHandle], request: StageRequest
    ) -> RouteChoice | NoEndpoint:
        """Choose a replica by cached prefix, whether or not it is cold."""
        now = self._timers.now()
        return self._affinity_router.choose(endpoints(handles), request, now)

    def costs(
        self, ctx: RequestContext, decision: ReplicaDecision
    ) -> dict[str, CandidateCost]:
        """Return what was compared in a decision, by replica; only at a copy."""
        states = endpoints(decision.candidates)
        return self._router(ctx).costs(states, decision.request, self._timers.now())

    def _router(self, ctx: RequestContext) -> Router:
        return self._affinity_router if ctx.route.uses_engine else self._load_router

    def _decide_permitted(
        self,
        ctx: RequestContext,
        handles: list[ReplicaHandle],
        request: StageRequest,
    ) -> ReplicaDecision | NoEndpoint:
        """Choose a replica; a cold one only with a permit, or without a warm one.

        A permit is requested in advance and taken by the next request that is not bound
        to the cached prefixes of another replica.
        """
        router = self._router(ctx)
        cold = [h for h in handles if h.is_cold]
        if not cold:
            return self._decide_among(router, handles, request)
        if ctx.route.uses_engine:
            return self._decide_engine(router, handles, request)
        permitted = [h for h in cold if h.has_advance_permit]
        decision = self._decide_among(router, permitted, request)
        if not isinstance(decision, NoEndpoint):
            return decision
        warm = [h for h in handles if not h.is_cold]
        decision = self._decide_among(router, warm, request)
        if isinstance(decision, NoEndpoint):
            return self._decide_among(router, handles, request)
        # Latencies of a cold replica are not known, so its share decides.
        if self._rng.random() * len(handles) < len(cold):
            return replace(decision, cold_handle=self._rng.choice(cold))
        return decision

    def _decide_engine(
        self, router: Router, handles: list[ReplicaHandle], request: StageRequest
    ) -> ReplicaDecision | NoEndpoint:
        """Choose an engine; if it is cold and has no permit, choose a warm one."""
        decision = self._decide_among(router, handles, request)
        if isinstance(decision, NoEndpoint):
            return decision
        handle = self._replicas.get(decision.choice.endpoint.host)
        if not handle.is_cold or handle.has_advance_permit:
            return decision
        warm = [h for h in handles if not h.is_cold]
        warm_decision = self._decide_among(router, warm, request)
        if isinstance(warm_decision, NoEndpoint):
            return decision
        return replace(warm_decision, cold_handle=handle)

    def _decide_among(
        self, router: Router, handles: list[ReplicaHandle], request: StageRequest
    ) -> ReplicaDecision | NoEndpoint:
        choice = router.choose(endpoints(handles), request, self._timers.now())
        if isinstance(choice, NoEndpoint):
            return choice
        return ReplicaDecision(choice, handles, request)
