"""Chooses the replica of an attempt, with a permit if its rate is limited."""

import contextlib
import copy

from ..core import EventLog, TimerService
from ..routing import (
    CandidateCost,
    EngineCall,
    EngineTerms,
    NoEndpoint,
    RouteChoice,
    StageRequest,
)
from .context import RequestContext
from .errors import RefusedError, ReplicaUnavailableError
from .evacuations import EVACUATION_RETRY_AFTER_SECONDS, ZONE_EVACUATED
from .home_regions import HOME_RETRY_AFTER_SECONDS, NO_HOME_REPLICA
from .permits import Permit
from .replica_choice import ReplicaChooser, ReplicaDecision
from .replica_handle import ReplicaHandle
from .replicas import ReplicaPool, ServicePause

# Length of a shared prompt prefix from which the cache of an engine determines where
# the request runs.
MIN_AFFINITY_PREFIX_TOKENS = 1000
# Bound of the tokens that a prompt counts as if the configuration does not tell what an
# engine can hold.
MAX_PROMPT_TOKENS = 1_000_000
RETRY_AFTER_SECONDS = 0.3
# Retry-After of a stream that can't go on: a release rarely goes back within it, while
# the caller may begin the stream anew at once.
VERSION_RETRY_AFTER_SECONDS = 5.0
VERSION_GONE = "version_gone"
# No attempt starts if less time than this is left.
MIN_ATTEMPT_SECONDS = 0.02
# Share of the remaining time that a request waits for a permit if the rate limits of
# all replicas are used up. It is rejected at once if it would have to wait longer.
MAX_PERMIT_WAIT_SHARE = 0.5


class ReplicaSelector:
    """Chooses replicas by load and cached prefixes, and acquires their permits.

    Parameters
    ----------
    replicas : ReplicaPool
        Replicas of all services.
    availability_zone : str
        Zone of this gateway.
    seed : int
        Seed of the random choices of the routers.
    """

    def __init__(
        self,
        replicas: ReplicaPool,
        availability_zone: str,
        *,
        timers: TimerService,
        events: EventLog,
        seed: int = 0,
    ):
        self._replicas = replicas
        self._timers = timers
        self._events = events
        self._chooser = ReplicaChooser(replicas, availability_zone, timers, seed)

    async def reserve(
        self, ctx: RequestContext, reason: str
    ) -> tuple[ReplicaHandle, Permit | None]:
        """Choose a replica and acquire a permit if it has a rate limit.

        A replica without a free permit is passed over. Only if no other replica is
        available, the request waits for a permit. For a cold replica, a permit is
        requested in advance, and a later request takes it: no request waits for an
        owner while a warm replica could take it.

        Raises
        ------
        RefusedError
            If no replica may get the request in time.
        """
        wait_until = self._permit_wait_until(ctx)
        while True:
            ctx.engine_terms = None
            choice = self._choose(ctx, reason)
            if choice is None:
                reserved = await self._wait_for_permit(ctx, wait_until)
                if reserved is None:
                    continue
                return reserved
            handle = self._replicas.get(choice.endpoint.host)
            permit = handle.take_permit()
            if permit is not None:
                self._log_attempt(ctx, handle, probe=choice.probe)
                return handle, permit
            try:
                permit = await handle.acquire_permit()
            except ReplicaUnavailableError:
                self._log_permit_refusal(ctx, handle)
            else:
                self._log_attempt(ctx, handle, probe=choice.probe)
                return handle, permit

    def expected_permit(self, ctx: RequestContext) -> ReplicaHandle:
        """Return the replica for whose permit a request would wait.

        Raises
        ------
        RefusedError
            If no permit is expected in time.
        """
        handle = self._next_permitted(ctx, self._permit_wait_until(ctx))
        if handle is None:
            raise self._unavailable_refusal(ctx, "replicas_limited")
        return handle

    def _next_permitted(
        self, ctx: RequestContext, wait_until: float
    ) -> ReplicaHandle | None:
        """Return the replica of which a permit is expected first, None if too late."""
        handle = self._replicas.next_permitted(*_candidates(ctx))
        max_wait_s = max(0.0, wait_until - self._timers.now())
        if handle is None or handle.available_at - self._timers.now() > max_wait_s:
            return None
        return handle

    def _permit_wait_until(self, ctx: RequestContext) -> float:
        """Return until when a request waits for a permit if it can't run without."""
        now = self._timers.now()
        # The stages of a request are wasted if it is refused.
        wait_until = ctx.objective_at if ctx.stage_results is None else ctx.end_at
        return now + max(0.0, wait_until - now) * MAX_PERMIT_WAIT_SHARE

    async def _wait_for_permit(
        self, ctx: RequestContext, wait_until: float
    ) -> tuple[ReplicaHandle, Permit | None] | None:
        """Wait for the first permit of any replica, or refuse the request at once.

        None if the replica is cold and may have another permit by now, for instance
        because gateways have lent their shares meanwhile.
        """
        now = self._timers.now()
        max_wait_s = max(0.0, wait_until - now)
        handle = self._next_permitted(ctx, wait_until)
        if handle is not None:
            try:
                permit = await handle.acquire_permit(max_wait_s)
            except ReplicaUnavailableError as exc:
                if exc.code == "replica_evacuated":
                    return await self.reserve(ctx, exc.code)
                self._log_permit_refusal(ctx, handle)
            else:
                self._log_attempt(ctx, handle, probe=False)
                return handle, permit
            now = self._timers.now()
            if handle.is_cold and now < handle.available_at <= wait_until:
                # If the zone is evacuated meanwhile, another replica is chosen.
                with (
                    contextlib.suppress(ReplicaUnavailableError),
                    handle.interruptible_wait(),
                ):
                    await self._timers.sleep(handle.available_at - now)
                return None
        raise self._unavailable_refusal(ctx, "replicas_limited")

    def _log_permit_refusal(self, ctx: RequestContext, handle: ReplicaHandle) -> None:
        wait_s = handle.available_at - self._timers.now()
        self._events.log_decision(
            "permit_refused",
            ctx.request_id,
            replica=handle.replica.identifier,
            wait_s=round(wait_s, 3),
        )

    def _choose(self, ctx: RequestContext, reason: str) -> RouteChoice | None:
        """Return a choice, None if only replicas without a permit are left."""
        decision = self.decide(ctx, reason)
        if decision is None:
            return None
        if decision.engine_terms is not None:
            ctx.engine_terms = decision.engine_terms
        if decision.cold_handle is not None:
            decision.cold_handle.request_permit()
        return decision.choice

    def decide(self, ctx: RequestContext, reason: str) -> ReplicaDecision | None:
        """Return a decision, None if only replicas without a permit are left.

        It advances the random choices and records the prefix, both not at a copy.

        Raises
        ------
        RefusedError
            If no replica accepts the request; ``reason`` is the one of the last
            attempt, empty at the first.
        """
        now = self._timers.now()
        if ctx.end_at - now < MIN_ATTEMPT_SECONDS:
            raise refusal_error(ctx, reason or "deadline", now)
        handles = self._replicas.available(*_candidates(ctx))
        if not handles:
            if self._replicas.next_permitted(*_candidates(ctx)) is not None:
                return None
            raise self._unavailable_refusal(ctx, reason)
        avoided = {
            h.replica.identifier for h in handles if now < h.rejection_backoff_until
        } | ctx.tried_replicas
        handles = _prefer_version(handles, ctx.preferred_version, avoided)
        request = self._stage_request(ctx, ctx.end_at - now, avoided)
        decision = self._chooser.decide(ctx, handles, request)
        if isinstance(decision, NoEndpoint) and avoided:
            # No other replica is available, and one that rejected a request earlier may
            # accept this one.
            request = self._stage_request(ctx, ctx.end_at - now, set())
            decision = self._chooser.decide(ctx, handles, request)
        if isinstance(decision, NoEndpoint):
            raise refusal_error(ctx, decision.reason, now)
        return decision

    def copy(self, ctx: RequestContext) -> "ReplicaSelector":
        """Return a selector that decides on a request as this one would.

        Its decisions change nothing here. It must not reserve a replica.
        """
        request = self._stage_request(ctx, 0.0, set())
        hosts = [h.replica.identifier for h in self._replicas.of_service(ctx.service)]
        copied = copy.copy(self)
        copied._chooser = self._chooser.copy(request, hosts)
        return copied

    def costs(
        self, ctx: RequestContext, decision: ReplicaDecision
    ) -> dict[str, CandidateCost]:
        """Return what was compared in a decision, by replica; only at a copy."""
        return self._chooser.costs(ctx, decision)

    def is_evacuated(self, ctx: RequestContext) -> bool:
        """Return whether the only replicas for a request are in evacuated zones."""
        return self._replicas.is_evacuated(*_candidates(ctx))

    def check_zones(self, ctx: RequestContext) -> None:
        """Check that the request and its stages have replicas in permitted zones.

        Raises
        ------
        RefusedError
            With code ``no_home_replica`` if one of them has no replica in its home
            regions, with code ``zone_evacuated`` if only evacuated zones have one.
        """
        counts = ctx.caller.pieces
        stages = {
            stage.service
            for index, stage in enumerate(ctx.route.stages)
            if counts[index : index + 1] != (0,)
        }
        services = {ctx.service} | stages
        if any(self._replicas.lacks_home(name, ctx.home_zones) for name in services):
            raise self._home_refusal(ctx)
        if self.is_evacuated(ctx) or any(
            self._replicas.is_evacuated(stage, None, ctx.home_zones) for stage in stages
        ):
            raise self.evacuation_refusal(ctx)

    def _home_refusal(self, ctx: RequestContext) -> RefusedError:
        now = self._timers.now()
        return refusal_error(ctx, NO_HOME_REPLICA, now, HOME_RETRY_AFTER_SECONDS)

    def evacuation_refusal(self, ctx: RequestContext) -> RefusedError:
        """Return the error for a request that needs an evacuated zone."""
        now = self._timers.now()
        return refusal_error(ctx, ZONE_EVACUATED, now, EVACUATION_RETRY_AFTER_SECONDS)

    def start_engine_call(
        self, ctx: RequestContext, handle: ReplicaHandle
    ) -> EngineCall | None:
        """Count a request that is being sent as load of its engine.

        Returns None if the service has no engines. Otherwise the caller must end the
        call.
        """
        tokens = self._engine_tokens(ctx)
        if not tokens:
            return None
        if ctx.engine_terms is not None:
            tokens = ctx.engine_terms.unread_tokens
        return self._replicas.engine_loads.start(
            ctx.service,
            handle.replica.identifier,
            ctx.route.name,
            tokens,
            self._timers.now(),
        )

    def _engine_tokens(self, ctx: RequestContext) -> int:
        """Return the length of the prompt, 0 if the service has no engines.

        What the caller states is bounded by what an engine can hold.
        """
        engine = self._replicas.engine(ctx.service) if ctx.route.uses_engine else None
        if engine is None:
            return 0
        tokens = max(ctx.prompt_tokens, ctx.caller.prompt_tokens)
        return min(tokens, engine.kv_tokens or MAX_PROMPT_TOKENS)

    def check_version(self, ctx: RequestContext) -> None:
        """Check that a replica may go on with the stream, before its stages run.

        Raises
        ------
        RefusedError
            If no replica has the software version that began the stream.
        """
        if self._lacks_version(ctx):
            raise self._unavailable_refusal(ctx, VERSION_GONE)

    def _lacks_version(self, ctx: RequestContext) -> bool:
        is_bound = ctx.required_version is not None
        return is_bound and not self._replicas.of_service(*_candidates(ctx))

    def _unavailable_refusal(self, ctx: RequestContext, reason: str) -> RefusedError:
        """Return the error for a request while no replica accepts work."""
        if self._replicas.lacks_home(ctx.service, ctx.home_zones):
            return self._home_refusal(ctx)
        if self.is_evacuated(ctx):
            return self.evacuation_refusal(ctx)
        now = self._timers.now()
        pause = self._pause(ctx)
        if pause is not None:
            return refusal_error(ctx, f"replicas_{pause.reason}", now, pause.seconds)
        if self._lacks_version(ctx):
            return refusal_error(ctx, VERSION_GONE, now, VERSION_RETRY_AFTER_SECONDS)
        return refusal_error(ctx, reason or "no_endpoint", now)

    def permit_wait_s(self, ctx: RequestContext) -> float:
        """Return the time until the first permit, 0 unless all replicas lack one."""
        pause = self._pause(ctx)
        is_limited = pause is not None and pause.reason == "limited"
        return pause.seconds if is_limited else 0.0

    def _pause(self, ctx: RequestContext) -> ServicePause | None:
        service, version, home_zones = _candidates(ctx)
        return self._replicas.pause(service, None, version, home_zones)

    def preferred_zone(self, ctx: RequestContext) -> str:
        """Return the zone of the engine that has the request's prefix cached.

        Empty if the service has no engines, if the prefix is too short to determine
        where the request runs, or if no endpoint is available.
        """
        left_s = ctx.end_at - self._timers.now()
        request = self._stage_request(ctx, left_s, set())
        if (
            not ctx.route.uses_engine
            or request.prefix_tokens < MIN_AFFINITY_PREFIX_TOKENS
        ):
            return ""
        handles = self._replicas.available(*_candidates(ctx))
        choice = self._chooser.choose_by_prefix(handles, request)
        if isinstance(choice, NoEndpoint):
            return ""
        return choice.endpoint.availability_zone

    def _stage_request(
        self, ctx: RequestContext, left_s: float, exclude: set[str]
    ) -> StageRequest:
        prompt = ctx.caller.prompt
        # All parts but the last one may be shared with other requests.
        shared_parts = prompt[:-1]
        sizes: dict[str, int] = {}
        if ctx.stage_results is not None:
            for result, size in ctx.stage_results.final_result_sizes(ctx.route):
                producer = self._replicas.at_address(result.partition("/")[0])
                if producer is not None:
                    zone = producer.replica.availability_zone
                    sizes[zone] = sizes.get(zone, 0) + size
        return StageRequest(
            ctx.service,
            prefix=shared_parts[-1].identifier if shared_parts else ctx.request_id,
            prefix_tokens=sum(part.tokens for part in shared_parts),
            input_bytes=tuple(sizes.items()),
            remaining_s=left_s,
            exclude=frozenset(exclude),
            prompt_tokens=self._engine_tokens(ctx),
            kind=ctx.route.name,
        )

    def _log_attempt(
        self, ctx: RequestContext, handle: ReplicaHandle, *, probe: bool
    ) -> None:
        now = self._timers.now()
        self._events.log_decision(
            "attempt",
            ctx.request_id,
            replica=handle.replica.identifier,
            service=ctx.service,
            version=handle.replica.version,
            required_version=ctx.required_version,
            in_flight=handle.endpoint.in_flight,
            load=round(handle.endpoint.load(now), 1),
            slowdown=round(handle.reported_load.relative_slowdown(now), 2),
            failure_rate=round(handle.endpoint.failure_rate, 3),
            probe=probe,
            limited=handle.is_limited,
            cold=handle.is_cold,
            left_s=round(ctx.end_at - now, 3),
            **_logged_terms(ctx.engine_terms),
            **_logged_zone(ctx, handle),
        )


def _candidates(
    ctx: RequestContext,
) -> tuple[str, str | None, frozenset[str] | None]:
    """Return service, version and home zones of the replicas that may run a request.

    These are the first arguments of the methods of ``ReplicaPool``.
    """
    return ctx.service, ctx.required_version, ctx.home_zones


def _logged_zone(ctx: RequestContext, handle: ReplicaHandle) -> dict[str, str]:
    """Return the zone of a replica as a log field, if the request has home regions."""
    if ctx.home_zones is None:
        return {}
    return {"zone": handle.replica.availability_zone}


def _logged_terms(terms: EngineTerms | None) -> dict[str, float]:
    """Return the terms of an engine's cost as fields of a log line."""
    if terms is None:
        return {}
    return {
        "unread_tokens": terms.unread_tokens,
        "own_tokens": terms.own_tokens,
        "other_tokens": round(terms.other_tokens),
        "engine_speed": round(terms.speed, 2),
        "first_event_s": round(terms.first_event_s, 3),
        "delay_s": round(terms.delay_s, 3),
        "excess_s": round(terms.excess_s, 3),
        "tokens_per_s": round(terms.tokens_per_s),
    }


def _prefer_version(
    handles: list[ReplicaHandle], version: str | None, avoided: set[str]
) -> list[ReplicaHandle]:
    """Return the replicas of a version if any is left that is not avoided."""
    same_version = [h for h in handles if h.replica.version == version]
    is_left = any(h.replica.identifier not in avoided for h in same_version)
    return same_version if is_left else handles


def refusal_error(
    ctx: RequestContext,
    reason: str,
    now: float,
    retry_after_s: float = RETRY_AFTER_SECONDS,
) -> RefusedError:
    """Return the error for a request that no replica answered.

    The status is 503 if no replica can have run the request, 504 after its deadline or
    time-out, and 502 otherwise.
    """
    if not ctx.may_have_run:
        return RefusedError(
            f"no replica ran the request: {reason}",
            code=reason,
            status=503,
            retry_after_s=retry_after_s,
        )
    is_late = now >= ctx.end_at - MIN_ATTEMPT_SECONDS
    return RefusedError(
        f"no replica answered the request: {reason}",
        code=reason,
        status=504 if is_late else 502,
    )
