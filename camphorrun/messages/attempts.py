"""Messages that carry one attempt of one stage between entry and agent."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Identity of an attempt; every reply is matched by all three parts."""

    request_id: str
    stage: int
    attempt: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as its agent sees it.

    ``queue_wait_s`` is the predicted wait of new work and ``service_time_s`` the
    recent service time of one call, both in seconds.
    """

    in_flight: int = 0
    limit: int = 1
    queued: int = 0
    queue_wait_s: float = 0.0
    service_time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StageCost:
    """Resources that one attempt consumed at its endpoint."""

    busy_s: float = 0.0
    queue_s: float = 0.0
    input_units: int = 0
    output_units: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Ask an agent to run one attempt.

    ``incarnation`` names the agent process that is meant; another process in the
    same slot refuses the attempt. ``remaining_s`` is the time left until the
    deadline and ``downstream_s`` the predicted need of the stages that follow.
    ``payload`` is the JSON input of the stage. ``key`` is the claim key of an
    non-idempotent call and ``body_digest`` identifies account and body.
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
    """Piece of a streamed result; sequence numbers start at 0."""

    attempt: AttemptId
    sequence: int
    data: bytes
    units: int = 1


@dataclass(frozen=True, slots=True)
class ResultEnd:
    """Final result of an attempt that reached its endpoint.

    With ``ok`` the result is whole: ``parts`` pieces precede it when streamed,
    otherwise ``data`` holds the JSON output. Without ``ok`` the endpoint failed with
    ``code``; ``executed`` tells whether the call may have taken effect.
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
    """The attempt did not reach the endpoint and never will.

    ``claim_uncertain`` is set when a ``Start`` record of the key may be in the log.
    """

    attempt: AttemptId
    code: str
    detail: str = ""
    retry_after_s: float = 0.0
    claim_uncertain: bool = False
    load: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Another record owns the key; the attempt did not run and never will."""

    attempt: AttemptId
    decision: str
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class ResultAck:
    """The entry has the whole result; the agent may forget it."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Cancel:
    """The result is no longer wanted."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Resume:
    """Send the result again from ``next_sequence``, on this connection."""

    attempt: AttemptId
    incarnation: str
    next_sequence: int


@dataclass(frozen=True, slots=True)
class AttemptUnknown:
    """The named incarnation never started the attempt and refuses it from now on."""

    attempt: AttemptId
    incarnation: str
