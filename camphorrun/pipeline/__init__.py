"""Request plans, their execution stage by stage, and outcomes."""

from .executor import PartHandler, PipelineExecutor, StageCall, StageDispatcher
from .outcomes import (
    AttemptTrace,
    Outcome,
    OutcomeStatus,
    PipelineError,
    StageTrace,
)
from .plan import PlannedStage, RequestPlan, prompt_prefix, stage_input

__all__ = [
    "AttemptTrace",
    "Outcome",
    "OutcomeStatus",
    "PartHandler",
    "PipelineError",
    "PipelineExecutor",
    "PlannedStage",
    "RequestPlan",
    "StageCall",
    "StageDispatcher",
    "StageTrace",
    "prompt_prefix",
    "stage_input",
]
