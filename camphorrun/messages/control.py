"""Messages that keep a link alive, announce a drain, and store outcomes."""

from dataclasses import dataclass, field

from .attempts import LoadReport


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of both ends of a link."""

    host: str
    availability_zone: str
    role: str
    incarnation: str
    nonce: bytes
    service: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat with the log positions that the sender has applied."""

    nonce: int
    positions: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a heartbeat, with the load of the answering side."""

    nonce: int
    positions: dict[str, int] = field(default_factory=dict)
    load: LoadReport = field(default_factory=LoadReport)
    draining: bool = False


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """The sender takes no new work from now on."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreOutcome:
    """Keep the outcome of a keyed request for ``keep_s`` seconds."""

    key_digest: str
    account: str
    body_digest: str
    outcome: bytes
    keep_s: float


@dataclass(frozen=True, slots=True)
class GetOutcome:
    """Ask for a stored outcome."""

    query: int
    key_digest: str
    account: str


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Answer to ``GetOutcome``; ``outcome`` is empty when nothing is stored."""

    query: int
    body_digest: str = ""
    outcome: bytes = b""
