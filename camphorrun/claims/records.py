"""Claim records and their encoding.

One log value holds a batch of records; within a batch the order counts, so a record's
position is its offset and its index. Records are MessagePack arrays: fields added at
the end by a later version are ignored by this one.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec

SCHEMA_VERSION = 1
MAX_INLINE_BYTES = 2048
MAX_BATCH_RECORDS = 256

Digest = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
Name = Annotated[str, msgspec.Meta(max_length=128)]
Inline = Annotated[bytes, msgspec.Meta(max_length=MAX_INLINE_BYTES)]
Natural = Annotated[int, msgspec.Meta(ge=0)]


class Start(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An agent claims the key before it calls the endpoint.

    ``incarnation`` and ``token`` together identify one claim attempt.
    """

    key: Digest
    stamp_ms: Natural
    body_digest: Digest
    host: Name
    incarnation: Name
    token: Name


class Void(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An entry rules out every later ``Start`` of the key."""

    key: Digest
    stamp_ms: Natural
    host: Name


class Finish(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Outcome of the call that the ``Start`` at (offset, index) allowed.

    ``data`` is None when the result is too large to be stored inline.
    """

    key: Digest
    start_offset: Natural
    start_index: Natural
    ok: bool
    code: Name
    data: Inline | None
    digest: Digest


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The owner of the ``Start`` at (offset, index) did not call and never will."""

    key: Digest
    start_offset: Natural
    start_index: Natural


ClaimRecord = Start | Void | Finish | Withdraw


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Place of a record in the stream."""

    offset: int
    index: int


@dataclass(frozen=True, slots=True)
class DecodedBatch:
    """Readable records with their indices, and the number that was skipped."""

    records: tuple[tuple[int, ClaimRecord], ...]
    unreadable: int


_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(tuple[int, list[msgspec.Raw]])
_RECORD = msgspec.msgpack.Decoder(ClaimRecord)
_FAULTS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)


def encode_batch(records: list[ClaimRecord]) -> bytes:
    """Return one log value that holds the records in order."""
    return _ENCODER.encode((SCHEMA_VERSION, records))


def decode_batch(value: bytes) -> DecodedBatch:
    """Return the readable records of a log value.

    Indices count unreadable records too, so that readers of different versions give
    each record the same position.

    Examples
    --------
    >>> decode_batch(b"no batch")
    DecodedBatch(records=(), unreadable=1)
    """
    try:
        _, raws = _BATCH.decode(value)
    except _FAULTS:
        return DecodedBatch((), 1)
    records = []
    unreadable = 0
    for index, raw in enumerate(raws):
        try:
            records.append((index, _RECORD.decode(raw)))
        except _FAULTS:
            unreadable += 1
    return DecodedBatch(tuple(records), unreadable)
