"""Messages for the handshake, heartbeats, drains and stored outcomes."""

from dataclasses import dataclass, field

from .attempts import LoadReport


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each end of a link."""

    host: str
    availability_zone: str
    role: str
    incarnation: str
    nonce: bytes
    service: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat with the position that the sender has applied of each log stream."""

    nonce: int
    positions: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Pong:
    """Response to a heartbeat, with the positions and the load of its sender."""

    nonce: int
    positions: dict[str, int] = field(default_factory=dict)
    load: LoadReport = field(default_factory=LoadReport)
    draining: bool = False


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """Notice that the sender accepts no new work from now on."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreOutcome:
    """Request to keep the outcome of a keyed request for ``keep_s`` seconds."""

    key_digest: str
    account: str
    body_digest: str
    outcome: bytes
    keep_s: float


@dataclass(frozen=True, slots=True)
class GetOutcome:
    """Request for a stored outcome; ``query`` identifies the response."""

    query: int
    key_digest: str
    account: str


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Response to ``GetOutcome``; ``outcome`` is empty if none is stored."""

    query: int
    body_digest: str = ""
    outcome: bytes = b""
