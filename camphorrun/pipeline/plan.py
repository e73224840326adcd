"""Plan of one request: its stages in order, with their inputs and keys."""

from dataclasses import dataclass

import msgspec
import xxhash

from .outcomes import PipelineError

PREFIX_BYTES = 256


@dataclass(frozen=True, slots=True)
class PlannedStage:
    """One stage of a plan; ``after`` names the stages whose output it takes.

    ``output_units`` is the expected number of generated units (tokens).
    """

    index: int
    name: str
    service: str
    operation: str
    model: str
    after: tuple[str, ...] = ()
    idempotent: bool = True
    stream: bool = False
    output_units: int = 0


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """Everything needed to run a request.

    ``deadline_at`` is on the timer service of this process, in seconds. ``key`` is the
    caller's idempotency key, empty if none.
    """

    request_id: str
    template: str
    account: str
    priority: int
    deadline_at: float
    input: bytes
    stages: tuple[PlannedStage, ...]
    key: str = ""
    body_digest: str = ""
    input_units: int = 1

    def dependency_levels(self) -> list[list[PlannedStage]]:
        """Return the stages grouped so that each group needs only earlier ones.

        Raises
        ------
        PipelineError
            If stages depend on each other in a cycle.
        """
        names = {stage.name for stage in self.stages}
        completed: set[str] = set()
        groups = []
        remaining = list(self.stages)
        while remaining:
            ready = [
                stage
                for stage in remaining
                if names.intersection(stage.after) <= completed
            ]
            if not ready:
                raise PipelineError("stages form a cycle", code="bad_template")
            groups.append(ready)
            completed.update(stage.name for stage in ready)
            remaining = [stage for stage in remaining if stage.name not in completed]
        return groups

    def final_stages(self) -> list[PlannedStage]:
        """Return the stages whose output no other stage takes."""
        consumed = {name for stage in self.stages for name in stage.after}
        return [stage for stage in self.stages if stage.name not in consumed]

    @property
    def idempotent(self) -> bool:
        """Whether every stage may run more than once."""
        return all(stage.idempotent for stage in self.stages)


def stage_input(plan: RequestPlan, stage: PlannedStage, outputs: dict) -> bytes:
    """Return the JSON input of a stage.

    A stage without predecessors takes the request's input, one with a single
    predecessor that one's output, and others an object of outputs by stage name.

    Parameters
    ----------
    plan : RequestPlan
        The request.
    stage : PlannedStage
        The stage to run.
    outputs : dict of str to bytes
        JSON outputs of finished stages.
    """
    available = [name for name in stage.after if name in outputs]
    if not available:
        return plan.input
    if len(available) == 1:
        return outputs[available[0]]
    return msgspec.json.encode({name: msgspec.Raw(outputs[name]) for name in available})


def final_output(plan: RequestPlan, outputs: dict) -> bytes:
    """Return the JSON answer: the output of the final stage, or an object of them."""
    final = plan.final_stages()
    if len(final) == 1:
        return outputs[final[0].name]
    return msgspec.json.encode(
        {stage.name: msgspec.Raw(outputs[stage.name]) for stage in final}
    )


def prompt_prefix(payload: bytes) -> str:
    """Return a digest of the first bytes of an input, for prefix locality."""
    return xxhash.xxh3_64_hexdigest(payload[:PREFIX_BYTES])
