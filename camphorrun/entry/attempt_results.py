"""Names and forms of the results of attempts."""

import dataclasses

import msgspec

from ..messages import ResultEnd
from ..pipeline import PlannedStage
from .agent_peer import AttemptResult
from .errors import AttemptLostError


def work_kind(stage: PlannedStage) -> str:
    """Return the kind of work, whose service time depends on its units alone."""
    return f"{stage.operation}/{stage.model}"


def latency_class(stage: PlannedStage) -> str:
    """Return the class of calls whose latencies are comparable."""
    return f"{stage.service}/{work_kind(stage)}"


def joined(result: ResultEnd, parts: list[bytes]) -> ResultEnd:
    """Return the final message of a stream with its text as a JSON string."""
    text = b"".join(parts).decode()
    return dataclasses.replace(result, data=msgspec.json.encode({"text": text}))


def result_name(result: AttemptResult | AttemptLostError) -> str:
    """Return the name of a result in traces: ``ok`` or its code."""
    if isinstance(result, ResultEnd) and result.ok:
        return "ok"
    return getattr(result, "code", "") or "claim_lost"
