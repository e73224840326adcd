"""Messages of the relay and their codec."""

from dataclasses import dataclass

import msgspec

from ..core import CamphorrunError, LogRecord

SCHEMA_VERSION = 1
RELAY_PATH = "/v1/relay"


class RelayError(CamphorrunError):
    """A relay request that failed or a frame that was refused."""

    default_code = "relay_unavailable"


@dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Ask for one page of a snapshot above ``position``.

    An empty ``snapshot_id`` asks for the first page of the present snapshot.
    """

    stream: str
    position: int = 0
    snapshot_id: str = ""
    page: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotPage:
    """One page; ``pages`` is 0 when the peer is not above the asked position."""

    stream: str
    position: int
    snapshot_id: str
    page: int
    pages: int
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class FetchRecords:
    """Ask for records of a stream from ``offset`` on."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class Records:
    """Consecutive records; empty when the peer does not keep them."""

    stream: str
    records: tuple[LogRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Announce:
    """Address of a daemon, for peers whose host list does not have it yet."""

    host: str
    address: str
    role: str
    service: str
    availability_zone: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Announced:
    """The announcement was received."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is authentic but cannot be served."""

    code: str


RelayRequest = FetchSnapshot | FetchRecords | Announce
RelayReply = SnapshotPage | Records | Announced | Refused

_TYPES = (
    FetchSnapshot,
    SnapshotPage,
    FetchRecords,
    Records,
    Announce,
    Announced,
    Refused,
)
_DECODERS = {kind.__name__: msgspec.msgpack.Decoder(kind) for kind in _TYPES}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_ENCODER = msgspec.msgpack.Encoder()


def encode_relay(message: RelayRequest | RelayReply) -> bytes:
    """Return the MessagePack form of a message.

    Examples
    --------
    >>> decode_relay(encode_relay(FetchRecords("fleet", 7)))
    FetchRecords(stream='fleet', offset=7)
    """
    return _ENCODER.encode((SCHEMA_VERSION, type(message).__name__, message))


def decode_relay(data: bytes) -> RelayRequest | RelayReply:
    """Return the message held by ``data``; unknown fields are ignored.

    Raises
    ------
    RelayError
        With code ``bad_message`` or ``unknown_kind``.
    """
    try:
        _, kind, body = _ENVELOPE.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RelayError(f"expected an envelope: {exc}", code="bad_message") from exc
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise RelayError(f"unknown kind {kind[:40]!r}", code="unknown_kind")
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RelayError(f"{kind}: {exc}", code="bad_message") from exc
