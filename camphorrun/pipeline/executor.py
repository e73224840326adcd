"""Runs the stages of a request and reports one outcome for the whole request."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..core import TimerService
from ..messages import ResultPart
from .outcomes import Outcome, OutcomeStatus, PipelineError, StageTrace
from .plan import PlannedStage, RequestPlan, final_output, stage_input

PartHandler = Callable[[ResultPart | None], None]
StageEndHandler = Callable[[PlannedStage, float, bool], None]


@dataclass(slots=True)
class StageCall:
    """One stage of a request, ready to be dispatched.

    ``downstream_s`` is the predicted time of the stages that follow. ``started`` is set
    by the dispatcher as soon as an attempt may have reached an endpoint.
    """

    plan: RequestPlan
    stage: PlannedStage
    payload: bytes
    downstream_s: float
    trace: StageTrace
    on_part: PartHandler | None = None
    started: bool = False


class StageDispatcher(Protocol):
    """Runs one stage at an endpoint of its choice, with retries."""

    async def run(self, call: StageCall) -> bytes:
        """Return the JSON output of the stage.

        Raises
        ------
        PipelineError
            If the stage has no output; its status refers to this stage alone.
        """
        ...

    def predicted_s(self, plan: RequestPlan, stage: PlannedStage) -> float:
        """Return the predicted time of a stage in seconds, queue wait included."""
        ...

    def work_s(self, plan: RequestPlan, stage: PlannedStage) -> float:
        """Return the predicted service time of a stage, without queue wait."""
        ...


class PipelineExecutor:
    """Runs request plans level by level through a dispatcher.

    Parameters
    ----------
    dispatcher : StageDispatcher
        Runs single stages.
    timers : TimerService
        Clock.
    """

    def __init__(self, dispatcher: StageDispatcher, timers: TimerService):
        self._dispatcher = dispatcher
        self._timers = timers

    async def run(
        self,
        plan: RequestPlan,
        on_part: PartHandler | None = None,
        on_stage_end: StageEndHandler | None = None,
    ) -> Outcome:
        """Run all stages and return the outcome.

        A ``PipelineError`` of a stage is returned as an outcome, never raised.

        Parameters
        ----------
        plan : RequestPlan
            The request.
        on_part : callable, optional
            Receives the parts of a streamed final stage. None means that the stage is
            restarted and the parts received so far are to be discarded.
        on_stage_end : callable, optional
            Called with each finished stage, its duration in seconds, and whether it
            produced an output.
        """
        calls: list[StageCall] = []
        outputs: dict[str, bytes] = {}
        try:
            for level in plan.dependency_levels():
                level_calls = [
                    self._stage_call(plan, stage, outputs, on_part) for stage in level
                ]
                calls.extend(level_calls)
                await self._run_level(level_calls, outputs, on_stage_end)
        except PipelineError as exc:
            return _failure_outcome(plan, exc, calls)
        return Outcome(
            plan.request_id,
            OutcomeStatus.ANSWERED,
            output=final_output(plan, outputs),
            stages=tuple(call.trace for call in calls),
        )

    async def _run_level(
        self,
        calls: list[StageCall],
        outputs: dict[str, bytes],
        on_stage_end: StageEndHandler | None,
    ) -> None:
        if len(calls) == 1:
            outputs[calls[0].stage.name] = await self._run_stage(calls[0], on_stage_end)
            return
        tasks = [
            asyncio.ensure_future(self._run_stage(call, on_stage_end)) for call in calls
        ]
        try:
            results = await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        for call, result in zip(calls, results, strict=True):
            outputs[call.stage.name] = result

    async def _run_stage(
        self, call: StageCall, on_stage_end: StageEndHandler | None
    ) -> bytes:
        started_at = self._timers.now()
        ok = False
        try:
            output = await self._dispatcher.run(call)
            ok = True
            return output
        finally:
            if on_stage_end is not None:
                on_stage_end(call.stage, self._timers.now() - started_at, ok)

    def _stage_call(
        self,
        plan: RequestPlan,
        stage: PlannedStage,
        outputs: dict[str, bytes],
        on_part: PartHandler | None,
    ) -> StageCall:
        is_final = stage in plan.final_stages()
        return StageCall(
            plan,
            stage,
            stage_input(plan, stage, outputs),
            self.downstream_s(plan, stage),
            StageTrace(stage.name, stage.service),
            on_part if is_final and stage.stream else None,
        )

    def downstream_s(self, plan: RequestPlan, stage: PlannedStage) -> float:
        """Return the predicted time of the longest chain of stages after ``stage``."""
        following = [other for other in plan.stages if stage.name in other.after]
        return max(
            (
                self._dispatcher.predicted_s(plan, other)
                + self.downstream_s(plan, other)
                for other in following
            ),
            default=0.0,
        )

    def work_s(self, plan: RequestPlan) -> dict[str, float]:
        """Return the predicted service time of each stage in seconds, by stage name."""
        return {
            stage.name: self._dispatcher.work_s(plan, stage) for stage in plan.stages
        }

    def predicted_s(self, plan: RequestPlan) -> float:
        """Return the predicted time of the whole request in seconds."""
        return max(
            self._dispatcher.predicted_s(plan, stage) + self.downstream_s(plan, stage)
            for stage in plan.dependency_levels()[0]
        )


def _failure_outcome(
    plan: RequestPlan, exc: PipelineError, calls: list[StageCall]
) -> Outcome:
    """Return the outcome of a request of which a stage failed.

    The request is ``not_run`` only if no stage can have started; otherwise the outcome
    is unknown, even if the failed stage itself did not run.
    """
    status = exc.status
    safe = exc.safe_to_repeat
    if status is OutcomeStatus.NOT_RUN and any(call.started for call in calls):
        status = OutcomeStatus.OUTCOME_UNKNOWN
        safe = all(call.stage.idempotent for call in calls if call.started)
    return Outcome(
        plan.request_id,
        status,
        code=exc.code,
        detail=str(exc),
        field=exc.field,
        safe_to_repeat=safe,
        retry_after_s=exc.retry_after_s,
        stages=tuple(call.trace for call in calls),
    )
