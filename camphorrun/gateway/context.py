"""State of one caller request while the gateway serves it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..catalog import Route, RouteKind
from ..http1 import ClientConnection
from ..platform import CallerRequest
from ..quarantine import Cause, Suspects, part_fingerprint, request_fingerprint
from ..routing import EngineCall, EngineTerms
from .stage_results import StageResults

# A caller abandons a stream without data after the longest of: this minimum, this
# multiple of the route's latency objective and this multiple of its gap objective, the
# longest accepted time between two events (the platform's page on requests).
MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0


def _no_op() -> None:
    """Do nothing; default callback of a request context."""


@dataclass(frozen=True, slots=True)
class Trial:
    """Right to send one request with a blocked cause until ``valid_until``."""

    cause: Cause
    valid_until: float


@dataclass(slots=True)
class RequestContext:
    """A request with its route, limits and progress.

    All times are those of the timer service.

    Attributes
    ----------
    rank : int
        Priority, 0 for the most urgent requests of the deployment.
    is_retry : bool
        Whether the caller repeats a request that was refused or failed before.
    on_stream_started : callable
        Called when a replica starts its event stream; from then on it no longer needs
        the stage results.
    sent_at : float
        When the current attempt was sent.
    stream_started_at : float
        When the stream of the current attempt started; 0 before that.
    may_have_run : bool
        Whether a replica may have received and run the request.
    possible_runs : int
        Number of attempts in which a replica may have run the request.
    last_event_id : str
        Identifier of the last event that was sent to the caller.
    sent_version : str
        Software version of the replica of the current attempt.
    preferred_version : str or None
        Software version whose replicas are tried first, None if any will do.
    required_version : str or None
        The only software version that may go on with the stream, that of the replica
        which began it; None if any version may answer.
    zone : str
        Availability zone in which the request is expected to run, empty if unknown.
    rejected_on : list of ClientConnection
        Connections on which a replica rejected the request. A faulty replica may write
        the rejection again, in place of the answer to another attempt.
    shared_parts : tuple of str
        Fingerprints of the parts of the prompt that other requests may have, too.
    fingerprint : str
        Fingerprint of the request, the same for each attempt of the caller.
    answer_begun : bool
        Whether a replica has begun to answer in the current attempt.
    has_cleared : bool
        Whether the answer of the current attempt has cleared the fingerprints.
    trial : Trial or None
        Right to send the request although it is quarantined.
    blocked_by : frozenset of str or None
        Cause that was blocked while the request waited, None if none was.
    is_overdue : bool
        Whether the request was ended because it still waited at ``end_at``.
    is_at_replica : bool
        Whether the current attempt has been sent, or is about to be.
    is_evacuated : bool
        Whether the request was ended because it waited for an evacuated zone.
    home_zones : frozenset of str or None
        Availability zones in which the request and its stages may run, None for all.
    is_home_changed : bool
        Whether the request was ended because its home regions changed while it waited.
    engine_terms : EngineTerms or None
        Terms of the cost of the engine that was chosen for the current attempt.
    engine_call : EngineCall or None
        The current attempt as load of its engine.
    is_caller_slow : bool
        Whether the caller was too slow to accept data; the gaps between the events that
        are read then say nothing about the engine.
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
    sent_at: float = 0.0
    stream_started_at: float = 0.0
    may_have_run: bool = False
    possible_runs: int = 0
    last_event_id: str = ""
    sent_version: str = ""
    preferred_version: str | None = None
    required_version: str | None = None
    zone: str = ""
    tried_replicas: set[str] = field(default_factory=set)
    rejected_on: list[ClientConnection] = field(default_factory=list)
    shared_parts: Suspects = field(init=False)
    fingerprint: str = field(init=False)
    answer_begun: bool = False
    has_cleared: bool = False
    trial: Trial | None = None
    blocked_by: Cause | None = None
    is_overdue: bool = False
    is_at_replica: bool = False
    is_evacuated: bool = False
    home_zones: frozenset[str] | None = None
    is_home_changed: bool = False
    engine_terms: EngineTerms | None = None
    engine_call: EngineCall | None = None
    is_caller_slow: bool = False

    def __post_init__(self):
        # The last part belongs to the request itself or to its session.
        shared = self.caller.prompt[:-1]
        self.shared_parts = tuple(part_fingerprint(p.identifier) for p in shared)
        raw = self.caller.raw
        self.fingerprint = request_fingerprint(
            raw.method, self.caller.host, raw.target, self.account, raw.body
        )

    @property
    def suspects(self) -> Suspects:
        """Fingerprints that may crash a replica which runs the request."""
        return (self.fingerprint, *self.shared_parts)

    @property
    def request_id(self) -> str:
        """Identifier that the caller gave this attempt."""
        return self.caller.attempt_id

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt, including parts that an endpoint has cached."""
        return sum(part.tokens for part in self.caller.prompt)

    @property
    def first_event_deadline(self) -> float:
        """When the caller abandons a stream that has not started.

        For a route without streaming, the time at which the answer is due.
        """
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
        """When the answer must be complete: at the deadline or the route time-out."""
        return min(self.deadline_at, self.timeout_at)
