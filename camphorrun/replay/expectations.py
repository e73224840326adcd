"""Recomputes the answer that a request must get from the stand-ins."""

from dataclasses import dataclass
from typing import Any

from ..configuration import Stage, Template, TemplateParameters
from ..standins import fingerprint, run_operation, streamed_text


@dataclass(frozen=True, slots=True)
class Expectation:
    """The whole answer, and the fingerprint of each call that leads to it."""

    output: Any
    fingerprints: dict[str, str]


def expect(
    template: Template, parameters: TemplateParameters, value: Any, max_output: int
) -> Expectation:
    """Return the expected answer of a template to an input.

    The stages are evaluated here independently of the pipeline executor, so that a
    fault there shows as a wrong answer.
    """
    enabled = parameters.stages
    stages = {
        stage.name: stage
        for stage in template.stages
        if enabled is None or stage.name in enabled
    }
    sources = {name: _sources(template, name, stages) for name in stages}
    inputs: dict[str, Any] = {}
    outputs: dict[str, Any] = {}
    while len(outputs) < len(stages):
        for name, stage in stages.items():
            ready = all(source in outputs for source in sources[name])
            if name in outputs or not ready:
                continue
            inputs[name] = _input(sources[name], outputs, value)
            model = parameters.models.get(name, "")
            outputs[name] = _output(stage, model, inputs[name], max_output)
    used = {source for names in sources.values() for source in names}
    final = [name for name in stages if name not in used]
    marks = {
        name: fingerprint(
            stages[name].operation, parameters.models.get(name, ""), inputs[name]
        )
        for name in stages
    }
    if len(final) == 1:
        return Expectation(outputs[final[0]], marks)
    return Expectation({name: outputs[name] for name in final}, marks)


def _sources(template: Template, name: str, present: dict[str, Stage]) -> list[str]:
    """Return the stages that feed a stage, skipping those that are not enabled."""
    stage = next(item for item in template.stages if item.name == name)
    found: list[str] = []
    for before in stage.after:
        names = [before] if before in present else _sources(template, before, present)
        found.extend(item for item in names if item not in found)
    return found


def _input(sources: list[str], outputs: dict[str, Any], value: Any) -> Any:
    if not sources:
        return value
    if len(sources) == 1:
        return outputs[sources[0]]
    return {name: outputs[name] for name in sources}


def _output(stage: Stage, model: str, value: Any, max_output: int) -> Any:
    if stage.stream:
        texts = streamed_text(stage.operation, model, value, max_output)
        return {"text": "".join(texts)}
    return run_operation(stage.operation, model, value)
