"""Handling of caller requests: routing, admission, stages and attempts."""

import asyncio
from collections.abc import Callable
from functools import partial

import xxhash

from ..admission import RetryDetector
from ..catalog import Account, Deployment, Route, RouteKind
from ..core import EventLog, TimerService
from ..http1 import ServerRequest, ServerResponder
from ..limits import Loss
from ..metrics import Metrics
from ..platform import (
    CallerRequest,
    DecodeError,
    check_counts,
    decode_caller_request,
    refusal_headers,
)
from ..quarantine import Cause
from .attempts import Attempts
from .context import RequestContext
from .errors import InputsGoneError, RefusedError, StageError
from .evacuations import EVACUATED, ZONE_EVACUATED
from .feasibility import judge_feasibility
from .home_regions import (
    HOME_CHANGED,
    HOME_CHANGED_RETRY_AFTER_SECONDS,
    NO_HOME_REPLICA,
    HomeRegions,
)
from .quarantine_guard import QUARANTINED, QuarantineGuard
from .readiness import ReadinessGate
from .replica_selection import ReplicaSelector
from .stage_runner import StageRunner
from .state import GatewayState
from .take_ups import TakeUps

# Retry-After of refusals while configuration or registrations are not known yet.
NOT_READY_RETRY_AFTER_SECONDS = 0.5
# Lower bound of Retry-After when a stage of the request failed.
MIN_STAGE_RETRY_AFTER_SECONDS = 0.5
# A route that can't be followed waits for the operator's next configuration.
INVALID_ROUTE_RETRY_AFTER_SECONDS = 5.0
DRAINING = "draining"
# Outcomes after which the caller does not send the request again.
CODES_WITHOUT_RETRY = frozenset({"ok", "left", QUARANTINED})
# Short, because the retry reaches another gateway.
DRAIN_RETRY_AFTER_SECONDS = 0.05
DEFAULT_DEADLINE_SECONDS = 30.0
# Stages run again if the replica no longer has a result that the request needs.
MAX_STAGE_RERUNS = 2
# Shortens the latency objective of a retry, so that its stages are scheduled before
# those of first attempts of the same rank.
RETRY_OBJECTIVE_FACTOR = 0.7
# Lengthens the latency objective of a stream that is taken up. Its caller has had the
# first event, so its stages must not be refused for missing the time of that one.
TAKE_UP_OBJECTIVE_FACTOR = 2.0
STAGE_FAILED = "stage_failed"
OVERDUE = "overdue"
OVERDUE_RETRY_AFTER_SECONDS = 0.5
# Time after the end of a request in which its own time-outs end it. They know better
# what it waited for.
OVERDUE_DELAY_SECONDS = 0.05
# Refusal codes by the code of the ``StageError``.
_REFUSAL_CODES = {
    "late": "stage_late",
    "input_gone": "stage_input_gone",
    "resting": "replicas_resting",
    "limited": "replicas_limited",
    "busy": "stages_busy",
    EVACUATED: ZONE_EVACUATED,
    NO_HOME_REPLICA: NO_HOME_REPLICA,
}


class RequestHandler:
    """Serves the requests of callers until the gateway stops."""

    def __init__(
        self,
        state: GatewayState,
        stages: StageRunner,
        selector: ReplicaSelector,
        attempts: Attempts,
        guard: QuarantineGuard,
        take_ups: TakeUps,
        homes: HomeRegions,
        *,
        timers: TimerService,
        metrics: Metrics,
        events: EventLog,
    ):
        self._state = state
        self._stage_runner = stages
        self._selector = selector
        self._attempts = attempts
        self._guard = guard
        self._take_ups = take_ups
        self._homes = homes
        self._timers = timers
        self._metrics = metrics
        self._events = events
        self._retry_detector = RetryDetector()
        self._readiness = ReadinessGate(lambda: state.initialised, timers)
        self._context_by_task: dict[asyncio.Task, RequestContext | None] = {}
        self._refuses_new_requests = False
        self._is_ending = False
        state.quarantine.subscribe(self._end_quarantined_requests)
        state.subscribe(
            deployment=self._apply_home_regions,
            evacuations=self._end_evacuated_requests,
        )

    async def handle(self, req: ServerRequest, responder: ServerResponder) -> None:
        """Serve or refuse one request and record its outcome."""
        task = asyncio.current_task()
        self._context_by_task[task] = None
        attempt_id = ""
        route_name = ""
        code = "left"
        overdue_timer = None
        try:
            caller = decode_caller_request(req)
            attempt_id = caller.attempt_id
            self._check_drain()
            await self._readiness.wait(caller.deadline_s or DEFAULT_DEADLINE_SECONDS)
            ctx = self._context_by_task[task] = self._accept(caller)
            route_name = ctx.route.name
            responder.loss = _loss(ctx.route)
            overdue_timer = self._timers.call_after(
                ctx.end_at + OVERDUE_DELAY_SECONDS - self._timers.now(),
                partial(self._end_overdue_request, task, ctx),
            )
            # First, because a request that is not sent would use up a trial.
            self._selector.check_zones(ctx)
            await self._guard.admit(ctx)
            await self._take_ups.resolve(ctx)
            await self._serve(ctx, responder)
            code = "broken" if responder.aborted else "ok"
        except DecodeError as exc:
            code = exc.code
            self._refuse(responder, attempt_id, 400, exc.code, 0.0, str(exc))
        except RefusedError as exc:
            code = exc.code
            self._refuse(responder, attempt_id, exc.status, exc.code, exc.retry_after_s)
        except asyncio.CancelledError:
            exc = self._refusal_after_cancellation(self._context_by_task[task])
            if exc is None or responder.ended:
                raise
            code = exc.code
            self._refuse(responder, attempt_id, exc.status, exc.code, exc.retry_after_s)
        finally:
            if overdue_timer is not None:
                overdue_timer.cancel()
            ctx = self._context_by_task.pop(task)
            if route_name and code not in CODES_WITHOUT_RETRY:
                self._retry_detector.expect_retry(route_name, self._timers.now())
            self._record_end(req, attempt_id, route_name, code, ctx)

    @property
    def held_requests(self) -> int:
        """Number of requests that have not ended."""
        return len(self._context_by_task)

    def refuse_new_requests(self) -> None:
        """Refuse requests from now on, as they might not finish before the exit."""
        self._refuses_new_requests = True

    def end_running_requests(self) -> None:
        """Cancel and answer the running requests: the process is about to exit."""
        self._is_ending = True
        for task in list(self._context_by_task):
            task.cancel()

    def _end_quarantined_requests(self, cause: Cause) -> None:
        """Cancel and answer the requests that have a cause which is blocked now.

        Those that a replica answers already are not cancelled.
        """
        for task, ctx in list(self._context_by_task.items()):
            if ctx is None or ctx.answer_begun or not cause <= set(ctx.suspects):
                continue
            ctx.blocked_by = cause
            task.cancel()

    def _end_evacuated_requests(self) -> None:
        """Cancel and answer the requests that wait for a replica in evacuated zones.

        Those that a replica has go on. A stage that waits is ended by its owner.
        """
        # Looking through the replicas once for each held request would block the loop.
        verdicts: dict[tuple[str, str | None, frozenset[str] | None], bool] = {}
        for task, ctx in list(self._context_by_task.items()):
            if ctx is None or ctx.is_at_replica:
                continue
            key = ctx.service, ctx.required_version, ctx.home_zones
            if key not in verdicts:
                verdicts[key] = self._selector.is_evacuated(ctx)
            if not verdicts[key]:
                continue
            ctx.is_evacuated = True
            task.cancel()

    def _apply_home_regions(self) -> None:
        """Apply changed home regions to the held requests.

        A request that waits, for instance for its stages in a queue of another gateway,
        is ended. One that a replica has goes on; further attempts are restricted.
        """
        deployment = self._state.deployment
        for task, ctx in list(self._context_by_task.items()):
            if ctx is None or not self._homes.narrow(ctx, deployment):
                continue
            if not ctx.is_at_replica:
                ctx.is_home_changed = True
                task.cancel()

    def _end_overdue_request(self, task: asyncio.Task, ctx: RequestContext) -> None:
        """Cancel and answer a request that still waits at its deadline or time-out.

        It may wait for work that it shares with others: a call, an order, a permit, a
        connection or a record. A replica's answer is relayed with time-outs of its own.
        """
        if not ctx.answer_begun:
            ctx.is_overdue = True
            task.cancel()

    def _refusal_after_cancellation(
        self, ctx: RequestContext | None
    ) -> RefusedError | None:
        """Return why this gateway cancelled a request, None if the caller left."""
        if ctx is not None and ctx.blocked_by is not None:
            return self._guard.refusal(ctx, ctx.blocked_by)
        if ctx is not None and ctx.is_evacuated:
            return self._selector.evacuation_refusal(ctx)
        if ctx is not None and ctx.is_home_changed:
            return RefusedError(
                "the home regions changed while the request waited",
                code=HOME_CHANGED,
                status=502 if ctx.may_have_run else 503,
                retry_after_s=HOME_CHANGED_RETRY_AFTER_SECONDS,
            )
        if ctx is not None and ctx.is_overdue:
            return RefusedError(
                "the request was not answered by its deadline or time-out",
                code=OVERDUE,
                status=504 if ctx.may_have_run else 503,
                retry_after_s=0.0 if ctx.may_have_run else OVERDUE_RETRY_AFTER_SECONDS,
            )
        if not self._is_ending:
            return None
        # 503 promises that the request has not run; otherwise the status is 502.
        may_have_run = ctx is not None and ctx.may_have_run
        return RefusedError(
            "the gateway is about to exit",
            code=DRAINING,
            status=502 if may_have_run else 503,
            retry_after_s=0.0 if may_have_run else DRAIN_RETRY_AFTER_SECONDS,
        )

    def _record_end(
        self,
        req: ServerRequest,
        attempt_id: str,
        route: str,
        code: str,
        ctx: RequestContext | None,
    ) -> None:
        stream_started_at = ctx.stream_started_at if ctx is not None else 0.0
        seconds = self._timers.now() - req.received_at
        self._metrics.outcomes.labels("gateway", code, "").inc()
        self._metrics.request_seconds.labels("").observe(seconds)
        self._events.log_decision(
            "end",
            attempt_id,
            route=route,
            code=code,
            seconds=round(seconds, 4),
            # Time to the first event of the response, 0 if there was none.
            begun_s=round(stream_started_at - req.received_at, 4)
            if stream_started_at
            else 0.0,
        )

    def _refuse(
        self,
        responder: ServerResponder,
        attempt_id: str,
        status: int,
        code: str,
        retry_after_s: float,
        detail: str = "",
    ) -> None:
        self._metrics.refusals.labels(code).inc()
        if responder.started:
            responder.abort()
            return
        headers = refusal_headers(attempt_id, retry_after_s, code, detail)
        responder.respond(status, headers)

    # Acceptance

    def _check_drain(self) -> None:
        if self._refuses_new_requests:
            raise RefusedError(
                "the gateway is draining",
                code=DRAINING,
                status=503,
                retry_after_s=DRAIN_RETRY_AFTER_SECONDS,
            )

    def _accept(self, caller: CallerRequest) -> RequestContext:
        """Return the context of a request that may be served, and log it.

        Raises
        ------
        DecodeError, RefusedError
            As ``_match``.
        """
        ctx, deployment = self._match(caller, self._retry_detector.is_retry)
        self._events.log_decision(
            "accepted",
            ctx.request_id,
            route=ctx.route.name,
            service=ctx.service,
            account=ctx.account,
            version=deployment.version,
            era=self._state.era,
            deadline_s=caller.deadline_s,
            pieces=list(caller.pieces),
            **self._homes.logged(ctx.route, deployment.account(caller.credential)),
        )
        return ctx

    def preview_context(self, caller: CallerRequest) -> RequestContext:
        """Return the context that a request would have, without recording anything.

        Raises
        ------
        DecodeError, RefusedError
            If the request would be refused before a replica is looked for.
        """
        return self._match(caller, self._retry_detector.expects)[0]

    def _match(
        self, caller: CallerRequest, is_retry: Callable[[str, float, float], bool]
    ) -> tuple[RequestContext, Deployment]:
        """Return the context of a request, and the configuration that it follows.

        ``is_retry`` tells by route, deadline and time whether the caller repeats it.

        Raises
        ------
        DecodeError
            If a count of the request exceeds what the configuration allows.
        RefusedError
            If the gateway is draining or not ready, if no route matches or the route
            can't be followed, or if it requires an account and the API key belongs to
            none.
        """
        self._check_drain()
        deployment = self._state.deployment
        if deployment is None or not self._state.ready:
            raise RefusedError(
                "configuration or registrations are not known or not confirmed yet",
                code="not_ready",
                status=503,
                retry_after_s=NOT_READY_RETRY_AFTER_SECONDS,
            )
        route = deployment.route(caller.host, caller.path)
        if route is None:
            raise RefusedError(
                f"no route for host {caller.host}, path {caller.path}",
                code="unknown_route",
                status=404,
            )
        account = self._find_account(deployment, route, caller)
        account_fault = account.fault if account is not None else ""
        if route.fault or account_fault:
            raise RefusedError(
                f"route {route.name}: {route.fault or account_fault}",
                code="invalid_route" if route.fault else "invalid_account",
                status=503,
                retry_after_s=INVALID_ROUTE_RETRY_AFTER_SECONDS,
            )
        check_counts(caller, deployment)
        rank = deployment.rank(route, account)
        ctx = self._create_context(caller, route, account, rank, is_retry)
        ctx.home_zones = self._homes.zones(route, account)
        return ctx, deployment

    def _find_account(
        self, deployment: Deployment, route: Route, caller: CallerRequest
    ) -> Account | None:
        if not deployment.accepts(route, caller.credential):
            raise RefusedError(
                "the API key belongs to no account", code="unknown_key", status=401
            )
        return deployment.account(caller.credential)

    def _create_context(
        self,
        caller: CallerRequest,
        route: Route,
        account: Account | None,
        rank: int,
        is_retry: Callable[[str, float, float], bool],
    ) -> RequestContext:
        received_at = caller.raw.first_byte_at
        deadline_s = caller.deadline_s or DEFAULT_DEADLINE_SECONDS
        now = self._timers.now()
        objective_s = route.objective_s
        if route.kind is RouteKind.STREAM and caller.resume_after:
            repeats = True
            objective_s *= TAKE_UP_OBJECTIVE_FACTOR
        else:
            repeats = is_retry(route.name, deadline_s, now)
            objective_s *= RETRY_OBJECTIVE_FACTOR if repeats else 1.0
        hash_fraction = xxhash.xxh32_intdigest(caller.attempt_id) / 2**32
        return RequestContext(
            caller,
            route,
            route.service_for(hash_fraction),
            account.name if account is not None else "",
            rank,
            received_at,
            received_at + objective_s,
            received_at + deadline_s,
            received_at + route.timeout_s,
            repeats,
        )

    # Service

    async def _serve(self, ctx: RequestContext, responder: ServerResponder) -> None:
        self._selector.check_zones(ctx)
        if not ctx.route.stages:
            await self._attempts.answer(ctx, responder)
            return
        await self._check_feasibility(ctx)
        for rerun in range(MAX_STAGE_RERUNS + 1):
            self._selector.check_version(ctx)
            await self._run_stages(ctx)
            ctx.on_stream_started = partial(
                self._stage_runner.release_all, ctx.route, ctx.stage_results
            )
            try:
                await self._attempts.answer(ctx, responder)
                return
            except InputsGoneError:
                if rerun == MAX_STAGE_RERUNS:
                    raise RefusedError(
                        f"stage results still missing after {MAX_STAGE_RERUNS} reruns",
                        code="inputs_gone",
                        status=502 if ctx.may_have_run else 503,
                    ) from None
            finally:
                self._stage_runner.release_all(ctx.route, ctx.stage_results)

    async def _check_feasibility(self, ctx: RequestContext) -> None:
        """Refuse the request immediately if its stages would finish too late."""
        ctx.zone = self._selector.preferred_zone(ctx)
        forecast = await self._stage_runner.forecast(
            ctx.route,
            ctx.caller.pieces,
            ctx.rank,
            ctx.zone,
            ctx.home_zones,
            ctx.account,
        )
        permit_wait_s = self._selector.permit_wait_s(ctx)
        feasibility = judge_feasibility(
            ctx,
            forecast,
            permit_wait_s,
            self._attempts.expected_first_event_s(ctx),
            self._timers.now(),
        )
        refused = feasibility.refused
        self._events.log_decision(
            "forecast",
            ctx.request_id,
            code=refused.code if refused else "admitted",
            rank=ctx.rank,
            predicted_s=round(forecast.total_s, 3),
            wait_s=round(forecast.wait_s, 3),
            permit_wait_s=round(permit_wait_s, 3),
            returned=ctx.is_retry,
            account=ctx.account,
            over_share=forecast.over_share,
        )
        feasibility.check()

    async def _run_stages(self, ctx: RequestContext) -> None:
        try:
            ctx.stage_results = await self._stage_runner.run(
                ctx.caller,
                ctx.route,
                priority=ctx.rank,
                objective_at=ctx.objective_at,
                deadline_at=ctx.first_event_deadline,
                final_s=self._attempts.expected_first_event_s(ctx),
                zone=ctx.zone,
                home_zones=ctx.home_zones,
                account=ctx.account,
            )
        except StageError as exc:
            raise RefusedError(
                str(exc),
                code=_REFUSAL_CODES.get(exc.code, STAGE_FAILED),
                status=502 if ctx.may_have_run else 503,
                retry_after_s=max(MIN_STAGE_RETRY_AFTER_SECONDS, exc.retry_after_s),
            ) from exc


def _loss(route: Route) -> Loss:
    """Return what a caller loses that is disconnected before it has the response."""
    if not route.repeatable:
        return Loss.ONCE
    return Loss.RESUMABLE if route.kind is RouteKind.STREAM else Loss.REPEATABLE
