"""Records of the configuration streams, and the envelope that encodes them."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core import CamphorrunError

SCHEMA_VERSION = 1
# Size limits of a record, so that no single one exhausts the memory of a reader.
MAX_NAME_CHARACTERS = 200
MAX_BODY_BYTES = 64 * 1024

FLEET_STREAM = "fleet"
ACCOUNTS_STREAM = "accounts"


class RecordError(CamphorrunError):
    """A value of a configuration stream that can't be decoded."""

    default_code = "unreadable_record"


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Compare-and-set of one key.

    A change wins if the version of its key is ``expected`` when it is applied; 0 means
    that the key does not exist. The new version is the offset of the change in the
    stream. ``body`` is the JSON form of the document, empty if ``deleted``.
    """

    change_id: str
    kind: str
    name: str
    expected: int
    body: bytes
    author: str = ""
    deleted: bool = False
    schema: int = SCHEMA_VERSION


@dataclass(frozen=True, slots=True)
class CarryRecord:
    """State of one key at offset ``as_of``, written before the key's records expire."""

    kind: str
    name: str
    version: int
    change_id: str
    body: bytes
    deleted: bool
    as_of: int
    schema: int = SCHEMA_VERSION


class _RecordType(Enum):
    CHANGE = "change"
    CARRY = "carry"


@dataclass(frozen=True, slots=True)
class _Envelope:
    """Fields that every schema version has; later versions may only add fields.

    ``base`` is ``expected`` of a change, or ``version`` of a carry record.
    """

    schema: int
    type: _RecordType
    kind: str
    name: str
    change_id: str
    base: int
    deleted: bool
    body: bytes
    author: str = ""
    as_of: int = 0


_DECODER = msgspec.msgpack.Decoder(_Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def encode_record(record: ConfigurationChange | CarryRecord) -> bytes:
    """Return the value to append to the stream for a record.

    Examples
    --------
    >>> change = ConfigurationChange("chg-1", "drain", "h1", 0, b"{}")
    >>> decode_record(encode_record(change)) == change
    True
    """
    is_change = isinstance(record, ConfigurationChange)
    envelope = _Envelope(
        schema=record.schema,
        type=_RecordType.CHANGE if is_change else _RecordType.CARRY,
        kind=record.kind,
        name=record.name,
        change_id=record.change_id,
        base=record.expected if is_change else record.version,
        deleted=record.deleted,
        body=record.body,
        author=record.author if is_change else "",
        as_of=0 if is_change else record.as_of,
    )
    return _ENCODER.encode(envelope)


def decode_record(value: bytes) -> ConfigurationChange | CarryRecord:
    """Return the record in a value of a stream.

    A record of a newer schema is decoded as well and keeps its schema number.

    Raises
    ------
    RecordError
        If the envelope is malformed, or a field is out of range.
    """
    try:
        envelope = _DECODER.decode(value)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RecordError(f"expected a configuration record: {exc}") from exc
    _check_bounds(envelope)
    if envelope.type is _RecordType.CHANGE:
        return ConfigurationChange(
            envelope.change_id,
            envelope.kind,
            envelope.name,
            envelope.base,
            envelope.body,
            envelope.author,
            envelope.deleted,
            envelope.schema,
        )
    return CarryRecord(
        envelope.kind,
        envelope.name,
        envelope.base,
        envelope.change_id,
        envelope.body,
        envelope.deleted,
        envelope.as_of,
        envelope.schema,
    )


def _check_bounds(envelope: _Envelope) -> None:
    names = (envelope.kind, envelope.name, envelope.change_id)
    if not all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names):
        raise RecordError("kind, name, change_id: expected 1 to 200 characters each")
    if len(envelope.body) > MAX_BODY_BYTES:
        raise RecordError(
            f"body: expected up to {MAX_BODY_BYTES} bytes, got {len(envelope.body)}",
            field="body",
        )
    if envelope.schema < 1 or envelope.base < 0:
        raise RecordError(
            "expected schema 1 or more and version 0 or more, "
            f"got {envelope.schema} and {envelope.base}"
        )
    is_carry = envelope.type is _RecordType.CARRY
    if is_carry and not 1 <= envelope.base <= envelope.as_of:
        raise RecordError(
            f"version: expected 1 to {envelope.as_of} (as_of), got {envelope.base}",
            field="version",
        )
