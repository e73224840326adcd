"""Messages between entry and agent about one attempt of a stage."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifier of an attempt; a response is matched by all three fields."""

    request_id: str
    stage: int
    attempt: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint, as measured by its agent.

    ``limit`` is the concurrency limit, ``queue_wait_s`` the predicted queueing delay of
    a new call, and ``service_time_s`` the recent service time of one call, both in
    seconds.
    """

    in_flight: int = 0
    limit: int = 1
    queued: int = 0
    queue_wait_s: float = 0.0
    service_time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StageCost:
    """Resources that one attempt used at its endpoint."""

    busy_s: float = 0.0
    queue_s: float = 0.0
    input_units: int = 0
    output_units: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Request to run one attempt at an agent.

    ``incarnation`` identifies the agent process that the request is for; another
    process in its place refuses the attempt. ``remaining_s`` is the time left until the
    deadline, and ``downstream_s`` the predicted time of the stages that follow.
    ``payload`` is the JSON input of the stage. ``key`` is the claim key of a
    non-idempotent call, and ``body_digest`` identifies account and body.
    """

    attempt: AttemptId
    incarnation: str
    service: str
    operation: str
    model: str
    account: str
    priority: int
    idempotent: bool
    remaining_s: float
    payload: bytes
    downstream_s: float = 0.0
    key: str = ""
    body_digest: str = ""
    input_units: int = 1
    output_units: int = 0
    stream: bool = False
    prefix: str = ""


@dataclass(frozen=True, slots=True)
class ResultPart:
    """One part of a streamed result; sequence numbers start at 0."""

    attempt: AttemptId
    sequence: int
    data: bytes
    units: int = 1


@dataclass(frozen=True, slots=True)
class ResultEnd:
    """Final result of an attempt that reached its endpoint.

    If ``ok`` is True, the result is complete: a streamed one consists of the ``parts``
    messages sent before this one, any other is the JSON output in ``data``. If ``ok``
    is False, the endpoint failed with ``code``, and ``executed`` is True if the call
    may have taken effect.
    """

    attempt: AttemptId
    ok: bool
    code: str = ""
    detail: str = ""
    executed: bool = True
    parts: int = 0
    data: bytes = b""
    cost: StageCost = field(default_factory=StageCost)
    load: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class NotStarted:
    """Notice that the attempt did not reach the endpoint and never will.

    ``claim_uncertain`` is True if the log may hold a ``Start`` record of the key.
    """

    attempt: AttemptId
    code: str
    detail: str = ""
    retry_after_s: float = 0.0
    claim_uncertain: bool = False
    load: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Notice that another record claimed the key, so the attempt never runs."""

    attempt: AttemptId
    decision: str
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class ResultAck:
    """Acknowledgement of the complete result, which the agent may then discard."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Request to cancel the attempt, because its result is no longer needed."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Resume:
    """Request to resend the result from ``next_sequence`` on, on this connection."""

    attempt: AttemptId
    incarnation: str
    next_sequence: int


@dataclass(frozen=True, slots=True)
class AttemptUnknown:
    """Notice that ``incarnation`` never started the attempt and will refuse it."""

    attempt: AttemptId
    incarnation: str
