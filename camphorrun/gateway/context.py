"""One request of a caller while the gateway serves it."""

from dataclasses import dataclass, field

from ..catalog import Route
from ..platform import CallerRequest
from .stage_runner import StageResults


@dataclass(slots=True)
class RequestContext:
    """A request with what was decided for it; times are on the timer service.

    Attributes
    ----------
    sent : bool
        Whether the request may have reached a replica that may have run it.
    runs : int
        Replicas that may have run it.
    last_event : str
        Identifier of the last event that the caller has.
    """

    caller: CallerRequest
    route: Route
    service: str
    account: str
    priority: int
    received_at: float
    objective_at: float
    deadline_at: float
    timeout_at: float
    results: StageResults | None = None
    sent: bool = False
    runs: int = 0
    last_event: str = ""
    tried: set[str] = field(default_factory=set)

    @property
    def request_id(self) -> str:
        """Identifier of the caller's attempt."""
        return self.caller.attempt_id

    @property
    def end_at(self) -> float:
        """When the request must have its final answer."""
        return min(self.deadline_at, self.timeout_at)
