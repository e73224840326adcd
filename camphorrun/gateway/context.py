"""One request of a caller while the gateway serves it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..catalog import Route, RouteKind
from ..platform import CallerRequest
from .stage_results import StageResults

# Callers leave a stream after a gap of this long, or of that many times its objective
# or its longest accepted pause, whichever is longest (the platform's page on requests).
MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0


def _no_op() -> None:
    """Do nothing."""


@dataclass(slots=True)
class RequestContext:
    """A request with what was decided for it; times are on the timer service.

    Attributes
    ----------
    rank : int
        Urgency, 0 for the most urgent requests of the deployment.
    is_retry : bool
        Whether the caller comes back after an earlier refusal or failure.
    on_stream_started : callable
        Called when a replica begins its answer and so needs no stage result any more.
    stream_started_at : float
        When the present attempt began its stream; 0 before that.
    may_have_run : bool
        Whether the request may have reached a replica that may have run it.
    possible_runs : int
        Replicas that may have run it.
    last_event_id : str
        Identifier of the last event that the caller has.
    zone : str
        Availability zone in which the request will probably run, empty if unknown.
    """

    caller: CallerRequest
    route: Route
    service: str
    account: str
    rank: int
    received_at: float
    objective_at: float
    deadline_at: float
    timeout_at: float
    is_retry: bool = False
    stage_results: StageResults | None = None
    on_stream_started: Callable[[], None] = _no_op
    stream_started_at: float = 0.0
    may_have_run: bool = False
    possible_runs: int = 0
    last_event_id: str = ""
    zone: str = ""
    tried_replicas: set[str] = field(default_factory=set)

    @property
    def request_id(self) -> str:
        """Identifier of the caller's attempt."""
        return self.caller.attempt_id

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt, whether an endpoint holds parts of it or not."""
        return sum(part.tokens for part in self.caller.prompt)

    @property
    def first_event_deadline(self) -> float:
        """When a stream must have begun: its caller leaves after that."""
        if self.route.kind is not RouteKind.STREAM:
            return self.end_at
        caller_timeout_s = max(
            MIN_CALLER_TIMEOUT_SECONDS,
            CALLER_TIMEOUT_OBJECTIVES * self.route.objective_s,
            CALLER_TIMEOUT_GAPS * self.route.gap_objective_s,
        )
        return min(self.end_at, self.received_at + caller_timeout_s)

    @property
    def end_at(self) -> float:
        """When the request must have its final answer."""
        return min(self.deadline_at, self.timeout_at)
