"""Runs one stage: choice of endpoint, attempts, retries and claims."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Protocol

from ..core import TimerService
from ..messages import (
    AttemptId,
    ClaimLost,
    Dispatch,
    NotStarted,
    ResultEnd,
    ResultPart,
    StageCost,
)
from ..metrics import Metrics
from ..pipeline import (
    AttemptTrace,
    OutcomeStatus,
    PipelineError,
    PlannedStage,
    RequestPlan,
    StageCall,
    prompt_prefix,
)
from ..retries import Backoff, HedgePolicy, NoHedging, RetryBudget
from ..routing import (
    EndpointState,
    NoEndpoint,
    Router,
    StageEstimator,
    StageRequest,
)
from .agent_peer import AgentPeer, AttemptResult, mostly_queued
from .attempt_results import joined, latency_class, result_name, work_kind
from .errors import AttemptLostError
from .hedged_attempt import HedgedAttempt

NO_HEDGES = NoHedging()
MAX_ATTEMPTS = 4
DEADLINE_EXCEEDED = "deadline_exceeded"
FIRST_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.5
# Time without any usable endpoint that is bridged, for instance during reconnection.
NO_ENDPOINT_GRACE_SECONDS = 1.0
NO_ENDPOINT_POLL_SECONDS = 0.05
# Codes with which an agent refuses work that another agent could still take.
MOVABLE_CODES = frozenset(
    {
        "attempt_unknown",
        "displaced",
        "draining",
        "no_link",
        "link_lost",
        "not_synchronised",
        "queue_full",
        "send_queue_full",
        "stale_incarnation",
    }
)


class ClaimResolver(Protocol):
    """Decides what became of non-idempotent calls."""

    def claim_key(self, plan: RequestPlan, stage: PlannedStage) -> str:
        """Return the claim key of a stage of a request."""
        ...

    async def settle(
        self, call: StageCall, code: str, retry_after_s: float = 0.0
    ) -> bytes:
        """Return the output of the call, or raise an accurate ``PipelineError``."""
        ...


@dataclass(slots=True)
class _StageProgress:
    """State of one run of a stage across its attempts."""

    attempt: int = 0
    exclude: set[str] = field(default_factory=set)
    last_code: str = ""
    retry_after_s: float = 0.0
    parts_sent: bool = False
    # Attempts that may have reached an endpoint; with a hedge there are two at a time.
    may_have_started: set[int] = field(default_factory=set)


class StageRunner:
    """``StageDispatcher`` over the agents of this entry.

    Parameters
    ----------
    peers_of : callable
        Returns the peers of a service.
    router, estimator, budget, backoff
        Decisions.
    claims : ClaimResolver
        Settles non-idempotent calls.
    timers, metrics
        Clock and counters.
    hedges : HedgePolicy or NoHedging
        Decides on second attempts.
    holds : callable, optional
        Whether a host serves a model; by default each host serves every model.
    """

    def __init__(
        self,
        peers_of: Callable[[str], Sequence[AgentPeer]],
        router: Router,
        estimator: StageEstimator,
        budget: RetryBudget,
        backoff: Backoff,
        *,
        claims: ClaimResolver,
        timers: TimerService,
        metrics: Metrics,
        hedges: HedgePolicy | NoHedging = NO_HEDGES,
        holds: Callable[[str, str], bool] = lambda _host, _model: True,
    ):
        self._peers_of = peers_of
        self._holds = holds
        self._router = router
        self._estimator = estimator
        self._budget = budget
        self._backoff = backoff
        self._claims = claims
        self._timers = timers
        self._metrics = metrics
        self._hedges = hedges

    def predicted_s(self, plan: RequestPlan, stage: PlannedStage) -> float:
        """Return the predicted service time and queue wait of a stage in seconds."""
        states = self._candidates(stage)
        wait_s = self._estimator.queue_wait_s(stage.service, states, self._timers.now())
        return wait_s + self.work_s(plan, stage)

    def work_s(self, plan: RequestPlan, stage: PlannedStage) -> float:
        """Return the predicted service time of a stage in seconds."""
        return self._estimator.estimate_s(
            stage.service, work_kind(stage), plan.input_units, stage.output_units
        )

    def _candidates(self, stage: PlannedStage) -> list[EndpointState]:
        """Return the endpoints of the service that hold the model of a stage."""
        return [
            peer.state
            for peer in self._peers_of(stage.service)
            if self._holds(peer.listed.host, stage.model)
        ]

    async def run(self, call: StageCall) -> bytes:
        """Return the JSON output of the stage or raise ``PipelineError``."""
        self._budget.deposit(self._timers.now())
        progress = _StageProgress()
        while True:
            peer = await self._choose(call, progress)
            if peer is None:
                return await self._give_up(call, progress)
            result = await self._attempt_with_hedge(call, peer, progress)
            output = await self._after(result, call, peer, progress)
            if output is not None:
                return output

    # Choice of endpoint.

    async def _choose(
        self, call: StageCall, progress: _StageProgress
    ) -> AgentPeer | None:
        """Return a peer for the next attempt, waiting a little for one.

        Without a peer, ``progress.last_code`` tells why.
        """
        give_up_at = self._timers.now() + NO_ENDPOINT_GRACE_SECONDS
        while True:
            if self._remaining_s(call) <= 0:
                progress.last_code = DEADLINE_EXCEEDED
                return None
            peers = self._peers_of(call.stage.service)
            choice = self._router.choose(
                self._candidates(call.stage),
                self._stage_request(call, progress),
                self._timers.now(),
            )
            if not isinstance(choice, NoEndpoint):
                return next(p for p in peers if p.state is choice.endpoint)
            if choice.reason == "excluded" and progress.last_code:
                return None
            if self._timers.now() >= give_up_at:
                progress.last_code = choice.reason
                progress.retry_after_s = choice.retry_after_s
                return None
            await self._timers.sleep(NO_ENDPOINT_POLL_SECONDS)

    def _stage_request(self, call: StageCall, progress: _StageProgress) -> StageRequest:
        stage = call.stage
        return StageRequest(
            service=stage.service,
            model=stage.model,
            priority=call.plan.priority,
            input_units=call.plan.input_units,
            output_units=stage.output_units,
            prefix=prompt_prefix(call.payload),
            remaining_s=self._remaining_s(call),
            exclude=frozenset(progress.exclude),
        )

    def _remaining_s(self, call: StageCall) -> float:
        return call.plan.deadline_at - self._timers.now()

    # One attempt.

    async def _attempt_with_hedge(
        self, call: StageCall, peer: AgentPeer, progress: _StageProgress
    ) -> AttemptResult | AttemptLostError:
        """Run an attempt, with a second one beside it if it takes unusually long."""
        stage = call.stage
        delay_s = None
        if not stage.stream:
            delay_s = self._hedges.delay_s(latency_class(stage), stage.idempotent)
        if delay_s is None:
            return await self._attempt(call, peer, progress)
        sent_at = self._timers.now()

        def second() -> Coroutine | None:
            other = self._hedge_peer(call, peer, progress, sent_at)
            return other and self._attempt(call, other, progress)

        hedged = HedgedAttempt(self._timers, delay_s, second)
        return await hedged.run(self._attempt(call, peer, progress))

    def _hedge_peer(
        self,
        call: StageCall,
        peer: AgentPeer,
        progress: _StageProgress,
        sent_at: float,
    ) -> AgentPeer | None:
        """Return the peer of a hedge, None for no hedge."""
        now = self._timers.now()
        peers = self._peers_of(call.stage.service)
        progress.exclude.add(peer.listed.host)
        request = self._stage_request(call, progress)
        choice = self._router.choose(self._candidates(call.stage), request, now)
        if isinstance(choice, NoEndpoint) or not self._hedges.try_hedge(
            latency_class(call.stage),
            idempotent=call.stage.idempotent,
            waited_s=now - sent_at,
            queue_wait_s=choice.predicted_wait_s,
            remaining_s=self._remaining_s(call),
            now=now,
        ):
            return None
        self._metrics.retries.labels("hedge").inc()
        other = next(p for p in peers if p.state is choice.endpoint)
        progress.exclude.add(other.listed.host)
        return other

    async def _attempt(
        self, call: StageCall, peer: AgentPeer, progress: _StageProgress
    ) -> AttemptResult | AttemptLostError:
        progress.attempt += 1
        dispatch = self._dispatch(call, peer, progress)
        started_at = self._timers.now()
        number = progress.attempt
        progress.may_have_started.add(number)
        call.started = True
        try:
            result, parts = await peer.attempt(
                dispatch,
                self._part_callback(call, progress),
                max(0.001, self._remaining_s(call)),
            )
        except AttemptLostError as exc:
            result, parts = exc, []
        except asyncio.CancelledError:
            self._note_cancelled(call, peer, self._timers.now() - started_at)
            raise
        if isinstance(result, NotStarted | ClaimLost):
            progress.may_have_started.discard(number)
            call.started = bool(progress.may_have_started)
        seconds = self._timers.now() - started_at
        self._observe(call, peer, result, seconds)
        if isinstance(result, ResultEnd) and result.parts:
            return joined(result, parts)
        return result

    def _dispatch(
        self, call: StageCall, peer: AgentPeer, progress: _StageProgress
    ) -> Dispatch:
        plan, stage = call.plan, call.stage
        key = "" if stage.idempotent else self._claims.claim_key(plan, stage)
        return Dispatch(
            attempt=AttemptId(plan.request_id, stage.index, progress.attempt),
            incarnation=peer.incarnation,
            service=stage.service,
            operation=stage.operation,
            model=stage.model,
            account=plan.account,
            priority=plan.priority,
            idempotent=stage.idempotent,
            remaining_s=self._remaining_s(call),
            payload=call.payload,
            downstream_s=call.downstream_s,
            key=key,
            body_digest=plan.body_digest,
            input_units=plan.input_units,
            output_units=stage.output_units,
            stream=stage.stream,
            prefix=prompt_prefix(call.payload),
        )

    def _part_callback(
        self, call: StageCall, progress: _StageProgress
    ) -> Callable[[ResultPart], None] | None:
        if call.on_part is None:
            return None

        def deliver(part: ResultPart) -> None:
            if part.sequence == 0 and progress.parts_sent:
                call.on_part(None)
            progress.parts_sent = True
            call.on_part(part)

        return deliver

    def _note_cancelled(self, call: StageCall, peer: AgentPeer, seconds: float) -> None:
        """Count the cost of an attempt that was cancelled, at most its whole time."""
        expected_s = self.work_s(call.plan, call.stage)
        peer.state.on_abandoned(seconds, self._timers.now(), expected_s)
        cost = StageCost(busy_s=seconds, bytes_in=len(call.payload))
        trace = AttemptTrace(peer.listed.host, "cancelled", seconds, cost)
        call.trace.attempts.append(trace)

    def _observe(
        self,
        call: StageCall,
        peer: AgentPeer,
        result: AttemptResult | AttemptLostError,
        seconds: float,
    ) -> None:
        """Feed routing, estimates and the trace with the end of an attempt."""
        now = self._timers.now()
        cost = getattr(result, "cost", StageCost())
        name = result_name(result)
        call.trace.attempts.append(AttemptTrace(peer.listed.host, name, seconds, cost))
        if isinstance(result, NotStarted | ClaimLost):
            peer.state.on_cancel()
            return
        if isinstance(result, AttemptLostError) and name == "timeout":
            # The peer counts it as soon as the agent says whether it was queued.
            return
        if name == "endpoint_timeout" and mostly_queued(result):
            peer.state.on_cancel()
            return
        ok = isinstance(result, ResultEnd) and result.ok
        expected_s = self.work_s(call.plan, call.stage)
        busy_s = max(0.0, seconds - cost.queue_s)
        peer.state.on_result(ok, busy_s, now, expected_s)
        if ok:
            stage = call.stage
            self._estimator.observe(
                stage.service,
                work_kind(stage),
                call.plan.input_units,
                stage.output_units,
                cost.busy_s,
            )
            self._hedges.observe(latency_class(stage), seconds)

    # What follows an attempt.

    async def _after(
        self,
        result: AttemptResult | AttemptLostError,
        call: StageCall,
        peer: AgentPeer,
        progress: _StageProgress,
    ) -> bytes | None:
        """Return the output, or None to try again; raise if the stage is over."""
        progress.exclude.add(peer.listed.host)
        if not call.stage.idempotent:
            return await self._after_non_idempotent(result, call, progress)
        return await self._after_idempotent(result, call, progress)

    @singledispatchmethod
    async def _after_idempotent(
        self, result: object, call: StageCall, progress: _StageProgress
    ) -> bytes | None:
        """Decide what follows an attempt of an idempotent stage."""
        raise TypeError(f"unexpected result {type(result).__name__}")

    @_after_idempotent.register
    async def _(
        self, result: ResultEnd, call: StageCall, progress: _StageProgress
    ) -> bytes | None:
        if result.ok:
            return result.data
        return await self._retry(call, progress, result.code)

    @_after_idempotent.register
    async def _(
        self, result: AttemptLostError, call: StageCall, progress: _StageProgress
    ) -> bytes | None:
        return await self._retry(call, progress, result.code)

    @_after_idempotent.register
    async def _(
        self, result: NotStarted, call: StageCall, progress: _StageProgress
    ) -> bytes | None:
        return await self._move(call, progress, result)

    async def _after_non_idempotent(
        self,
        result: AttemptResult | AttemptLostError,
        call: StageCall,
        progress: _StageProgress,
    ) -> bytes | None:
        """Decide what follows an attempt of a non-idempotent stage.

        Another agent may be tried only if the first one promised not to call. An open
        outcome is settled by the log.
        """
        if isinstance(result, ResultEnd) and result.ok:
            return result.data
        if isinstance(result, NotStarted) and not result.claim_uncertain:
            return await self._move(call, progress, result)
        code = getattr(result, "code", "claim_lost")
        return await self._claims.settle(call, code)

    async def _move(
        self, call: StageCall, progress: _StageProgress, result: NotStarted
    ) -> bytes | None:
        """Try another endpoint after a refusal that cost nothing."""
        progress.last_code = result.code
        progress.retry_after_s = result.retry_after_s
        movable = result.code in MOVABLE_CODES
        if not movable or progress.attempt >= MAX_ATTEMPTS:
            return await self._give_up(call, progress)
        self._metrics.retries.labels(result.code).inc()
        return None

    async def _retry(
        self, call: StageCall, progress: _StageProgress, code: str
    ) -> bytes | None:
        """Repeat an idempotent attempt within the deadline and the budget."""
        progress.last_code = code
        if progress.attempt >= MAX_ATTEMPTS or self._remaining_s(call) <= 0:
            return await self._give_up(call, progress)
        if not self._budget.try_withdraw(self._timers.now()):
            self._metrics.refusals.labels("retry_budget").inc()
            return await self._give_up(call, progress)
        self._metrics.retries.labels(code).inc()
        await self._timers.sleep(self._backoff.delay_s(progress.attempt))
        return None

    async def _give_up(self, call: StageCall, progress: _StageProgress) -> bytes:
        """Refuse the stage, or settle it by the log if it may not be repeated.

        Without the log a refusal would say "not run" although the same key may have
        run through another entry.
        """
        if call.stage.idempotent:
            raise self._error(call, progress, progress.last_code)
        return await self._claims.settle(
            call, progress.last_code, progress.retry_after_s
        )

    def _error(
        self, call: StageCall, progress: _StageProgress, code: str
    ) -> PipelineError:
        status = OutcomeStatus.NOT_RUN
        if call.started:
            status = OutcomeStatus.OUTCOME_UNKNOWN
        return PipelineError(
            f"stage {call.stage.name}: {code}",
            code=code,
            status=status,
            retry_after_s=progress.retry_after_s,
            safe_to_repeat=call.stage.idempotent,
        )
