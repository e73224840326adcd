"""Records of the configuration streams and their stable envelope."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core import CamphorrunError

SCHEMA_VERSION = 1
# Bounds of one record, so that a single record cannot exhaust a reader's memory.
MAX_NAME_CHARACTERS = 200
MAX_BODY_BYTES = 64 * 1024

FLEET_STREAM = "fleet"
ACCOUNTS_STREAM = "accounts"


class RecordError(CamphorrunError):
    """A value of a configuration stream that cannot be read."""

    default_code = "unreadable_record"


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Compare-and-set of one key; its version is the offset it gets.

    ``expected`` is the version it replaces, 0 for none. ``body`` is the JSON form
    of the document, empty when ``deleted``.
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
    """State of one key at position ``as_of``, written before its records expire."""

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

    ``base`` is ``expected`` of a change and ``version`` of a carry record.
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
    """Return the value to append for a record.

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
    """Return the record held by a value; a newer schema keeps its number.

    Raises
    ------
    RecordError
        If the envelope is malformed or out of bounds.
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
        raise RecordError("kind, name and change_id: expected 1 to 200 characters")
    if len(envelope.body) > MAX_BODY_BYTES:
        raise RecordError(f"body: more than {MAX_BODY_BYTES} bytes", field="body")
    if envelope.schema < 1 or envelope.base < 0:
        raise RecordError("schema or version out of range")
    is_carry = envelope.type is _RecordType.CARRY
    if is_carry and not 1 <= envelope.base <= envelope.as_of:
        raise RecordError("version: expected 1 to as_of", field="version")
