"""Outcome of a request, and the trace of its stages and attempts."""

from dataclasses import dataclass, field
from enum import Enum

from ..core import CamphorrunError
from ..messages import StageCost


class OutcomeStatus(Enum):
    """How a request ended; every request has exactly one of these statuses."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class AttemptTrace:
    """One attempt of a stage, shown when a request is explained to an operator."""

    host: str
    result: str
    seconds: float
    cost: StageCost = field(default_factory=StageCost)


@dataclass(slots=True)
class StageTrace:
    """Attempts of one stage of a request, in the order of their start."""

    name: str
    service: str
    attempts: list[AttemptTrace] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Final answer to a request.

    ``output`` is JSON, and is empty unless the status is ``ANSWERED``.
    ``safe_to_repeat`` is False only for an unknown outcome of a non-idempotent call.
    ``retry_after_s`` is 0 if a later retry would not help.
    """

    request_id: str
    status: OutcomeStatus
    code: str = "ok"
    detail: str = ""
    field: str = ""
    safe_to_repeat: bool = True
    retry_after_s: float = 0.0
    output: bytes = b""
    stages: tuple[StageTrace, ...] = ()


class PipelineError(CamphorrunError):
    """A request or one of its stages cannot be answered.

    Attributes
    ----------
    status : OutcomeStatus
        ``NOT_RUN`` only if nothing ran and nothing will run later.
    retry_after_s : float
        Delay before a retry by the caller; 0 if a retry would not help.
    safe_to_repeat : bool
        Whether every stage that may have run is idempotent.
    """

    default_code = "pipeline_failed"

    def __init__(
        self,
        message: str,
        *,
        code: str = "",
        field: str = "",
        status: OutcomeStatus = OutcomeStatus.NOT_RUN,
        retry_after_s: float = 0.0,
        safe_to_repeat: bool = True,
    ):
        super().__init__(message, code=code, field=field)
        self.status = status
        self.retry_after_s = retry_after_s
        self.safe_to_repeat = safe_to_repeat
