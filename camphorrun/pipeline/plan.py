"""Plan of one request: its stages, their dependencies and their inputs."""

from dataclasses import dataclass

import msgspec
import xxhash

from .outcomes import PipelineError

PREFIX_BYTES = 256


@dataclass(frozen=True, slots=True)
class PlannedStage:
    """One stage of a plan.

    ``after`` names the stages whose outputs are its input. ``output_units`` is the
    expected number of generated units (tokens).
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
    """Input, stages and limits of one request.

    ``deadline_at`` is in seconds of the timer service of this process. ``key`` is the
    idempotency key of the caller, or empty.
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
        """Return the stages in groups that depend only on earlier groups.

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
                raise PipelineError(
                    "stage dependencies form a cycle", code="bad_template"
                )
            groups.append(ready)
            completed.update(stage.name for stage in ready)
            remaining = [stage for stage in remaining if stage.name not in completed]
        return groups

    def final_stages(self) -> list[PlannedStage]:
        """Return the stages whose output no other stage uses."""
        consumed = {name for stage in self.stages for name in stage.after}
        return [stage for stage in self.stages if stage.name not in consumed]

    @property
    def idempotent(self) -> bool:
        """Whether every stage can safely run more than once."""
        return all(stage.idempotent for stage in self.stages)


def stage_input(plan: RequestPlan, stage: PlannedStage, outputs: dict) -> bytes:
    """Return the JSON input of a stage.

    A stage without predecessors gets the input of the request, and a stage with one
    predecessor gets its output. A stage with several predecessors gets an object that
    maps stage names to outputs.

    Parameters
    ----------
    plan : RequestPlan
        The request.
    stage : PlannedStage
        The stage to run.
    outputs : dict of str to bytes
        JSON outputs of finished stages, by stage name.
    """
    available = [name for name in stage.after if name in outputs]
    if not available:
        return plan.input
    if len(available) == 1:
        return outputs[available[0]]
    return msgspec.json.encode({name: msgspec.Raw(outputs[name]) for name in available})


def final_output(plan: RequestPlan, outputs: dict) -> bytes:
    """Return the JSON answer of a request.

    It is the output of the final stage, or an object that maps stage names to outputs
    if there are several final stages.
    """
    final = plan.final_stages()
    if len(final) == 1:
        return outputs[final[0].name]
    return msgspec.json.encode(
        {stage.name: msgspec.Raw(outputs[stage.name]) for stage in final}
    )


def prompt_prefix(payload: bytes) -> str:
    """Return a digest of the first ``PREFIX_BYTES`` of an input.

    Inputs with equal digests are routed to the same endpoint if it has them cached.
    """
    return xxhash.xxh3_64_hexdigest(payload[:PREFIX_BYTES])
