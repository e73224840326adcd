"""Request plans, their execution stage by stage, batching of stages, and outcomes."""

from .batches import BatchQueue
from .call_speed import NOMINAL_SPEED, CallSpeed
from .executor import PartHandler, PipelineExecutor, StageCall, StageDispatcher
from .first_events import FirstEventTimes
from .forecasts import WaitForecasts
from .outcomes import (
    AttemptTrace,
    Outcome,
    OutcomeStatus,
    PipelineError,
    StageTrace,
)
from .pacing import CallPacer
from .piece_group import PieceGroup
from .plan import PlannedStage, RequestPlan, prompt_prefix, stage_input
from .space_ledger import SpaceLedger
from .stage_graph import (
    check_dependencies,
    downstream_s,
    final_stages,
    run_stages,
)
from .transfers import least_transfer_zones, transfer_bytes, transfer_wait_s

__all__ = [
    "least_transfer_zones",
    "transfer_bytes",
    "transfer_wait_s",
    "BatchQueue",
    "NOMINAL_SPEED",
    "CallPacer",
    "CallSpeed",
    "PieceGroup",
    "SpaceLedger",
    "FirstEventTimes",
    "WaitForecasts",
    "check_dependencies",
    "downstream_s",
    "final_stages",
    "run_stages",
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
