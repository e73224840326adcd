"""Answers where a request would be routed now, without sending it.

The code that serves requests decides, on copies of the state that its choices change.
Nobody else is asked: neither the owners of stages and permits nor the store.
"""

import math

import msgspec

from ..catalog import Deployment, Route, is_home
from ..core import TimerService
from ..http1 import Headers, ServerRequest, ServerResponder
from ..http1.server import Handler
from ..platform import CallerRequest, DecodeError, PromptPart
from ..routing import CandidateCost, EjectionState
from .attempts import Attempts
from .context import RequestContext
from .errors import RefusedError, RoutePreviewError
from .feasibility import judge_feasibility
from .preview_messages import (
    ROUTE_PREVIEW_PATH,
    AdmissionMessage,
    CandidateMessage,
    ChoiceMessage,
    ForecastMessage,
    PreviewError,
    RouteMessage,
    RoutePreview,
    RouteQuery,
    StageMessage,
)
from .quarantine_guard import QuarantineGuard
from .replica_choice import ReplicaDecision
from .replica_handle import ReplicaHandle
from .replica_selection import ReplicaSelector
from .replicas import ReplicaPool
from .request_handler import RequestHandler
from .stage_waits import StageWaits
from .state import GatewayState
from .stream_records import StreamRecords

ADMITTED = "admitted"


class RoutePreviews:
    """Previews the decisions of this gateway.

    Parameters
    ----------
    handler, selector, attempts, guard, streams, waits
        What decides on the requests of callers.
    gateway : str
        Name of this gateway in answers.
    """

    def __init__(
        self,
        state: GatewayState,
        replicas: ReplicaPool,
        handler: RequestHandler,
        selector: ReplicaSelector,
        attempts: Attempts,
        guard: QuarantineGuard,
        streams: StreamRecords,
        waits: StageWaits,
        gateway: str,
        timers: TimerService,
    ):
        self._state = state
        self._replicas = replicas
        self._handler = handler
        self._selector = selector
        self._attempts = attempts
        self._guard = guard
        self._streams = streams
        self._waits = waits
        self._gateway = gateway
        self._timers = timers

    def preview(self, query: RouteQuery) -> RoutePreview:
        """Return where a request would be routed now; nothing changes by it.

        Raises
        ------
        RoutePreviewError
            With code ``not_ready`` if this gateway could not route a request either,
            and ``bad_query`` if the query can't be a request.
        """
        deployment = self._state.deployment
        if deployment is None or not self._state.ready:
            raise RoutePreviewError(
                "expected a gateway that is ready; this one has not read or confirmed "
                "configuration and registrations yet",
                code="not_ready",
                status=503,
            )
        caller = self._caller(query, deployment)
        answer = RoutePreview(
            self._gateway,
            AdmissionMessage(admitted=True, code=ADMITTED),
            configuration=deployment.version,
            ages_s=self._state.ages_s(self._timers.now()),
        )
        route = deployment.route(caller.host, caller.path)
        if route is not None:
            answer.route = _route_message(route)
        try:
            ctx = self._handler.preview_context(caller)
        except DecodeError as exc:
            answer.admission = AdmissionMessage(False, exc.code, 400, str(exc))
            return answer
        except RefusedError as exc:
            answer.admission = _refusal(exc)
            return answer
        answer.route.service = ctx.service
        answer.route.account = ctx.account
        answer.route.rank = ctx.rank
        answer.route.is_retry = ctx.is_retry
        self._decide(ctx, answer)
        return answer

    def _caller(self, query: RouteQuery, deployment: Deployment) -> CallerRequest:
        path = query.path.partition("?")[0]
        if not path.startswith("/"):
            raise RoutePreviewError("path: expected a path that starts with /")
        if not query.host:
            raise RoutePreviewError("host: expected the host name of a request")
        if query.account and query.api_key:
            raise RoutePreviewError("expected either an account or an API key")
        now = self._timers.now()
        raw = ServerRequest(
            "POST", query.path.encode(), Headers(), b"", False, now, now
        )
        return CallerRequest(
            raw,
            query.host.partition(":")[0].lower(),
            path,
            query.attempt,
            query.deadline_s,
            query.api_key or _key_of(query.account, deployment),
            "",
            tuple(PromptPart(part.identifier, part.tokens) for part in query.prompt),
            query.prompt_tokens,
            query.output_tokens,
            tuple(query.pieces),
            "",
        )

    def _decide(self, ctx: RequestContext, answer: RoutePreview) -> None:
        """Take the decisions on a request in their order, until one refuses it."""
        selector = self._selector.copy(ctx)
        decision = None
        costs: dict[str, CandidateCost] = {}
        if ctx.route.stages:
            ctx.zone = selector.preferred_zone(ctx)
        try:
            selector.check_zones(ctx)
            self._guard.check(ctx)
            if ctx.route.stages:
                self._check_feasibility(ctx, selector, answer)
            ctx.preferred_version = self._streams.version_to_keep(ctx)
            # The choice records the prefix, which changes the costs.
            unchanged = selector.copy(ctx)
            decision = selector.decide(ctx, "")
            if decision is None:
                handle = selector.expected_permit(ctx)
                answer.admission.waits_for = handle.replica.identifier
                answer.admission.wait_s = self._left_s(handle.available_at) or 0.0
            else:
                costs = unchanged.costs(ctx, decision)
                answer.choice = self._choice_message(decision)
        except RefusedError as exc:
            answer.admission = _refusal(exc)
        answer.stages = self._stage_messages(ctx)
        answer.candidates = [
            self._candidate_message(ctx, handle, decision, costs)
            for handle in self._replicas.of_service(ctx.service)
        ]

    def _check_feasibility(
        self, ctx: RequestContext, selector: ReplicaSelector, answer: RoutePreview
    ) -> None:
        forecast = self._waits.forecast(
            ctx.route,
            ctx.caller.pieces,
            ctx.rank,
            ctx.zone,
            ctx.home_zones,
            ctx.account,
        )
        feasibility = judge_feasibility(
            ctx,
            forecast,
            selector.permit_wait_s(ctx),
            self._attempts.expected_first_event_s(ctx),
            self._timers.now(),
        )
        answer.forecast = ForecastMessage(
            forecast.total_s,
            forecast.wait_s,
            feasibility.permit_wait_s,
            feasibility.first_event_s,
        )
        feasibility.check()

    def _stage_messages(self, ctx: RequestContext) -> list[StageMessage]:
        counts = ctx.caller.pieces
        messages = []
        for index, stage in enumerate(ctx.route.stages):
            known = self._waits.known_stage(ctx, index)
            messages.append(
                StageMessage(
                    index,
                    stage.service,
                    counts[index] if index < len(counts) else 1,
                    known.shard,
                    known.owner,
                    known.wait_s,
                    known.need_s,
                    _finite(known.age_s),
                )
            )
        return messages

    def _choice_message(self, decision: ReplicaDecision) -> ChoiceMessage:
        choice = decision.choice
        handle = self._replicas.get(choice.endpoint.host)
        cold = decision.cold_handle
        return ChoiceMessage(
            choice.endpoint.host,
            choice.probe,
            handle.is_limited and not handle.has_advance_permit,
            choice.predicted_wait_s,
            cold.replica.identifier if cold is not None else "",
        )

    def _candidate_message(
        self,
        ctx: RequestContext,
        handle: ReplicaHandle,
        decision: ReplicaDecision | None,
        costs: dict[str, CandidateCost],
    ) -> CandidateMessage:
        now = self._timers.now()
        replica, endpoint = handle.replica, handle.endpoint
        cost = costs.get(replica.identifier)
        limits = self._state.rate_limits
        statements = limits.messages([replica.boot], now)
        belief = limits.cold.get(replica.boot, now)
        tokens_at = self._replicas.engine_loads.others_age_s(
            ctx.service, replica.identifier, now
        )
        return CandidateMessage(
            replica.identifier,
            replica.availability_zone,
            replica.version,
            _exclusion(ctx, handle, decision),
            endpoint.in_flight,
            endpoint.load(now),
            handle.reported_load.relative_slowdown(now),
            endpoint.failure_rate,
            handle.is_limited,
            cost.cost if cost is not None else None,
            cost.unit if cost is not None else "",
            cost.terms if cost is not None else {},
            _finite(handle.reported_load.age_s(now)),
            _finite(now - endpoint.last_result_at),
            _finite(tokens_at),
            statements[0].age_s if statements else None,
            belief.until - now if belief is not None else None,
            self._left_s(handle.available_at),
        )

    def _left_s(self, at: float) -> float | None:
        """Return the time until ``at``, None if it has passed."""
        left_s = at - self._timers.now()
        return left_s if 0.0 < left_s < math.inf else None


class RoutePreviewService:
    """Answers previews at an internal address, and leaves all other calls to another.

    Parameters
    ----------
    handle_other : callable
        Handler of the calls to other paths.
    """

    def __init__(self, previews: RoutePreviews, handle_other: Handler):
        self._previews = previews
        self._handle_other = handle_other

    async def handle(self, req: ServerRequest, responder: ServerResponder) -> None:
        """Answer one call; the status is 200, 400 for a bad query, 503 if not ready."""
        if req.target.decode("latin-1") != ROUTE_PREVIEW_PATH:
            await self._handle_other(req, responder)
            return
        status, message = 200, None
        try:
            query = msgspec.json.decode(req.body, type=RouteQuery)
            message = self._previews.preview(query)
        except msgspec.DecodeError as exc:
            status, message = 400, PreviewError("bad_query", str(exc))
        except RoutePreviewError as exc:
            status, message = exc.status, PreviewError(exc.code, str(exc))
        headers = Headers([(b"Content-Type", b"application/json")])
        responder.respond(status, headers, msgspec.json.encode(message))


def _key_of(account: str, deployment: Deployment) -> str:
    """Return a key of a client account, empty without an account."""
    if not account:
        return ""
    for key, known in (deployment.accounts or {}).items():
        if known.name == account:
            return key
    raise RoutePreviewError(
        f"account: expected a client account of configuration {deployment.version}, "
        f"got {account!r}"
    )


def _route_message(route: Route) -> RouteMessage:
    return RouteMessage(
        route.name,
        route.kind.value,
        route.objective_s,
        route.timeout_s,
        dict(route.services),
    )


def _refusal(exc: RefusedError) -> AdmissionMessage:
    return AdmissionMessage(False, exc.code, exc.status, str(exc), exc.retry_after_s)


def _exclusion(
    ctx: RequestContext, handle: ReplicaHandle, decision: ReplicaDecision | None
) -> str:
    """Return why a replica is no candidate, empty if it is one."""
    reason = handle.unavailable_reason
    if not reason and not is_home(handle.replica.availability_zone, ctx.home_zones):
        reason = "home"
    if reason or decision is None:
        return reason
    if handle not in decision.candidates:
        if ctx.preferred_version not in (None, handle.replica.version):
            return "version"
        # Either a warm replica takes the request, or a cold one has a permit for it.
        return "cold" if handle.is_cold else "warm"
    if handle.replica.identifier in decision.request.exclude:
        return "rejected"
    is_active = handle.endpoint.ejection is EjectionState.ACTIVE
    if is_active or handle.endpoint is decision.choice.endpoint:
        return ""
    return handle.endpoint.ejection.value


def _finite(age_s: float) -> float | None:
    return age_s if age_s < math.inf else None
