"""Tests of request plans and of their execution."""

import asyncio

import pytest

from ...core import LoopTimerService
from .. import (
    OutcomeStatus,
    PipelineError,
    PipelineExecutor,
    PlannedStage,
    RequestPlan,
    StageCall,
    stage_input,
)


def _stage(index: int, name: str, *after: str, idempotent: bool = True) -> PlannedStage:
    return PlannedStage(index, name, "s", name, "", after=after, idempotent=idempotent)


def _plan(*stages: PlannedStage) -> RequestPlan:
    return RequestPlan("req-1", "t", "a", 1, 1e9, b'"in"', stages)


_DIAMOND = _plan(
    _stage(0, "encode"),
    _stage(1, "left", "encode"),
    _stage(2, "right", "encode"),
    _stage(3, "join", "left", "right"),
)


class _Dispatcher:
    """Answers each stage with its own name, or raises the given error."""

    def __init__(self, errors: dict[str, PipelineError] | None = None):
        self.errors = errors or {}
        self.calls: list[StageCall] = []
        self.cancelled: list[str] = []

    async def run(self, call: StageCall) -> bytes:
        self.calls.append(call)
        call.started = True
        error = self.errors.get(call.stage.name)
        if error is not None:
            call.started = error.status is not OutcomeStatus.NOT_RUN
            raise error
        if self.errors and call.stage.name == "slow":
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.cancelled.append("slow")
                raise
        return f'"{call.stage.name}"'.encode()

    def predicted_s(self, plan: RequestPlan, stage: PlannedStage) -> float:
        return 1.0 + stage.index

    def work_s(self, plan: RequestPlan, stage: PlannedStage) -> float:
        return 1.0


def _execute(plan: RequestPlan, dispatcher: _Dispatcher):
    executor = PipelineExecutor(dispatcher, LoopTimerService())
    return asyncio.run(asyncio.wait_for(executor.run(plan), 10))


class TestRequestPlan:
    """Stages are grouped by dependency, and get the outputs they depend on."""

    def test_levels_follow_dependencies(self):
        """Guards against running a stage before its inputs exist."""
        names = [
            [stage.name for stage in level] for level in _DIAMOND.dependency_levels()
        ]
        assert names == [["encode"], ["left", "right"], ["join"]]

    def test_cycle_is_refused(self):
        """Guards against a plan that never ends because its stages form a cycle."""
        with pytest.raises(PipelineError) as caught:
            _plan(_stage(0, "a", "b"), _stage(1, "b", "a")).dependency_levels()
        assert caught.value.code == "bad_template"

    def test_inputs_come_from_predecessors(self):
        """Guards against giving a stage the input of another stage."""
        outputs = {"encode": b"1", "left": b"2", "right": b"3"}
        inputs = [stage_input(_DIAMOND, stage, outputs) for stage in _DIAMOND.stages]
        assert inputs == [b'"in"', b"1", b"1", b'{"left":2,"right":3}']


class TestPipelineExecutor:
    """Every request ends in exactly one outcome that states what ran."""

    def test_answer_is_the_final_output(self):
        """Guards against returning the output of an intermediate stage."""
        outcome = _execute(_DIAMOND, _Dispatcher())
        assert (outcome.status, outcome.output) == (OutcomeStatus.ANSWERED, b'"join"')

    def test_downstream_need_is_the_longest_chain(self):
        """Guards against scheduling a stage without regard to the stages after it."""
        dispatcher = _Dispatcher()
        _execute(_DIAMOND, dispatcher)
        needs = {call.stage.name: call.downstream_s for call in dispatcher.calls}
        assert needs == {"encode": 7.0, "left": 4.0, "right": 4.0, "join": 0.0}

    def test_refused_first_stage_is_not_run(self):
        """Guards against an unknown outcome when no stage can have run."""
        outcome = _execute(_DIAMOND, _Dispatcher({"encode": PipelineError("no")}))
        assert outcome.status is OutcomeStatus.NOT_RUN

    def test_refused_later_stage_has_unknown_outcome(self):
        """Guards against the status ``not_run`` after an earlier stage has run."""
        dispatcher = _Dispatcher({"left": PipelineError("no")})
        outcome = _execute(_DIAMOND, dispatcher)
        assert outcome.status is OutcomeStatus.OUTCOME_UNKNOWN
        assert outcome.safe_to_repeat
        assert "join" not in [call.stage.name for call in dispatcher.calls]

    def test_non_idempotent_stage_makes_repeating_unsafe(self):
        """Guards against telling a caller to repeat a non-idempotent charge."""
        charge = _stage(0, "charge", idempotent=False)
        plan = _plan(charge, _stage(1, "notify", "charge"))
        outcome = _execute(plan, _Dispatcher({"notify": PipelineError("no")}))
        assert outcome.status is OutcomeStatus.OUTCOME_UNKNOWN
        assert not outcome.safe_to_repeat

    def test_failed_stage_cancels_parallel_stage(self):
        """Guards against running a stage on for a request that has failed."""
        dispatcher = _Dispatcher({"bad": PipelineError("no")})
        _execute(_plan(_stage(0, "slow"), _stage(1, "bad")), dispatcher)
        assert dispatcher.cancelled == ["slow"]
