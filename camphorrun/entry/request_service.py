"""Runs planned requests: admission, duplicates, execution, outcome."""

import dataclasses
from collections import OrderedDict

from ..admission import AdmissionGroup, AdmissionTicket, GroupRequest, Refused
from ..configuration import Account
from ..core import TimerService
from ..messages import StageCost
from ..metrics import Metrics
from ..pipeline import (
    Outcome,
    OutcomeStatus,
    PartHandler,
    PipelineError,
    PipelineExecutor,
    PlannedStage,
    RequestPlan,
)
from .claim_resolver import LogClaimResolver
from .outcome_cache import OutcomeCache

MAX_EXPLAINED = 2000
# Codes of requests that were admitted and then ran out of time.
MISSED_CODES = frozenset({"deadline_exceeded", "deadline_unreachable", "timeout"})


class RequestService:
    """Takes a plan from admission to its one outcome.

    Parameters
    ----------
    executor : PipelineExecutor
        Runs the stages.
    admission : AdmissionGroup
        Decides whether a request may start.
    cache : OutcomeCache
        Outcomes of keyed requests.
    claims : LogClaimResolver
        Makes refusals of non-idempotent requests true.
    timers, metrics
        Clock and counters.
    """

    def __init__(
        self,
        executor: PipelineExecutor,
        admission: AdmissionGroup,
        cache: OutcomeCache,
        claims: LogClaimResolver,
        *,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._executor = executor
        self._admission = admission
        self._cache = cache
        self._claims = claims
        self._timers = timers
        self._metrics = metrics
        self._recent: OrderedDict[str, tuple[str, Outcome]] = OrderedDict()
        # Requests in flight with their start times, oldest first.
        self._running: dict[str, tuple[RequestPlan, float]] = {}
        self.in_flight = 0

    def explain(self, request_id: str, account: str) -> Outcome | None:
        """Return a recent request of a client account."""
        owner, outcome = self._recent.get(request_id, ("", None))
        return outcome if account == owner else None

    def explain_any(self, request_id: str) -> tuple[str, Outcome] | None:
        """Return client account and outcome of a recent request, for operators."""
        return self._recent.get(request_id)

    def running(self, request_id: str = "") -> dict[str, object] | None:
        """Describe a request in flight, the oldest one if none is named."""
        if not request_id:
            request_id = next(iter(self._running), "")
        plan, started_at = self._running.get(request_id, (None, 0.0))
        if plan is None:
            return None
        now = self._timers.now()
        return {
            "request_id": request_id,
            "account": plan.account,
            "template": plan.template,
            "running_s": round(now - started_at, 3),
            "remaining_s": round(plan.deadline_at - now, 3),
        }

    async def run(
        self, plan: RequestPlan, account: Account, on_part: PartHandler | None = None
    ) -> Outcome:
        """Return the outcome of a request.

        Raises
        ------
        RequestError
            If the key was used with another body.
        """
        if plan.key:
            known = await self._cache.find(plan.account, plan.key, plan.body_digest)
            if known is not None:
                self._metrics.refusals.labels("duplicate_request").inc()
                return known
            if self._cache.is_running(plan.account, plan.key):
                return await self.run(plan, account, on_part)
        return await self._run_new(plan, account, on_part)

    async def _run_new(
        self, plan: RequestPlan, account: Account, on_part: PartHandler | None
    ) -> Outcome:
        outcome = None
        if plan.key:
            self._cache.begin(plan)
        started_at = self._timers.now()
        self._running[plan.request_id] = (plan, started_at)
        self.in_flight += 1
        self._metrics.in_flight.set(self.in_flight)
        try:
            outcome = await self._admit_and_run(plan, account, on_part)
        finally:
            self._running.pop(plan.request_id, None)
            self.in_flight -= 1
            self._metrics.in_flight.set(self.in_flight)
            if plan.key:
                self._cache.end(plan, outcome)
        self._record(plan, outcome, self._timers.now() - started_at)
        return outcome

    async def _admit_and_run(
        self, plan: RequestPlan, account: Account, on_part: PartHandler | None
    ) -> Outcome:
        now = self._timers.now()
        work_s = self._executor.work_s(plan)
        request = GroupRequest(
            account=plan.account,
            weight=account.weight,
            priority=plan.priority,
            remaining_s=plan.deadline_at - now,
            predicted_s=self._executor.predicted_s(plan),
            needs=_needs(plan, work_s),
            need_s=_longest_chain(plan, work_s),
        )
        ticket = self._admission.admit(request, now)
        if isinstance(ticket, Refused):
            return await self.refuse(plan, ticket.code, ticket.retry_after_s)
        return await self._run_admitted(plan, ticket, work_s, on_part)

    async def _run_admitted(
        self,
        plan: RequestPlan,
        ticket: AdmissionTicket,
        work_s: dict[str, float],
        on_part: PartHandler | None,
    ) -> Outcome:
        def stage_ended(stage: PlannedStage, spent_s: float, ok: bool) -> None:
            cost, now = work_s[stage.name] if ok else 0.0, self._timers.now()
            self._admission.finish_stage(ticket, stage.service, cost, spent_s, now)

        outcome = None
        try:
            outcome = await self._executor.run(plan, on_part, stage_ended)
        finally:
            now = self._timers.now()
            self._admission.finish(ticket, _met_deadline(plan, outcome, now), now)
        return await self._confirmed(plan, outcome)

    async def _confirmed(self, plan: RequestPlan, outcome: Outcome) -> Outcome:
        """Make ``not_run`` true of every non-idempotent stage of the plan.

        A refusal of an early stage alone does not keep the same key from running, or
        from having run, through another entry.
        """
        if outcome.status is not OutcomeStatus.NOT_RUN or plan.idempotent:
            return outcome
        error = await self._claims.rule_out(plan)
        if error is None:
            return outcome
        return dataclasses.replace(
            outcome,
            status=error.status,
            code=error.code,
            detail=str(error),
            safe_to_repeat=error.safe_to_repeat,
        )

    async def refuse(
        self, plan: RequestPlan, code: str, retry_after_s: float = 0.0
    ) -> Outcome:
        """Return the refusal of a request that was not dispatched.

        ``not_run`` must also be true of attempts through other entries with the same
        key, so the keys of non-idempotent stages are ruled out first.
        """
        self._metrics.refusals.labels(code).inc()
        error = await self._claims.rule_out(plan)
        if error is None:
            error = PipelineError(
                f"not admitted: {code}", code=code, retry_after_s=retry_after_s
            )
        outcome = Outcome(
            plan.request_id,
            error.status,
            code=error.code,
            detail=str(error),
            safe_to_repeat=error.safe_to_repeat,
            retry_after_s=error.retry_after_s,
        )
        self._remember(plan, outcome)
        return outcome

    def _record(self, plan: RequestPlan, outcome: Outcome, seconds: float) -> None:
        labels = (outcome.status.value, outcome.code, plan.template)
        self._metrics.outcomes.labels(*labels).inc()
        self._metrics.account_outcomes.add(plan.account, outcome.status.value)
        self._metrics.request_seconds.labels(plan.template).observe(seconds)
        self._remember(plan, outcome)

    def _remember(self, plan: RequestPlan, outcome: Outcome) -> None:
        """Keep a request for explanations, refused ones included."""
        self._recent[plan.request_id] = (plan.account, outcome)
        while len(self._recent) > MAX_EXPLAINED:
            self._recent.popitem(last=False)


def _needs(plan: RequestPlan, work_s: dict[str, float]) -> dict[str, float]:
    """Return the predicted service seconds by service."""
    needs: dict[str, float] = {}
    for stage in plan.stages:
        needs[stage.service] = needs.get(stage.service, 0.0) + work_s[stage.name]
    return needs


def _longest_chain(plan: RequestPlan, work_s: dict[str, float]) -> float:
    """Return the predicted seconds of the request without any wait."""
    return sum(
        max(work_s[stage.name] for stage in level) for level in plan.dependency_levels()
    )


def _met_deadline(
    plan: RequestPlan, outcome: Outcome | None, now: float
) -> bool | None:
    """Return whether the deadline was met, None if time was not the reason."""
    if outcome is None:
        return None
    if outcome.status is OutcomeStatus.ANSWERED:
        return now <= plan.deadline_at
    return False if outcome.code in MISSED_CODES else None


def total_cost(outcome: Outcome) -> dict[str, StageCost]:
    """Return the cost of all attempts of each stage of a request, by stage name."""
    totals: dict[str, StageCost] = {}
    for stage in outcome.stages:
        for attempt in stage.attempts:
            totals[stage.name] = _sum(totals.get(stage.name), attempt.cost)
    return totals


def _sum(total: StageCost | None, cost: StageCost) -> StageCost:
    if total is None:
        return cost
    names = StageCost.__slots__
    return StageCost(*(getattr(total, n) + getattr(cost, n) for n in names))
