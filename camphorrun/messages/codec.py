"""Encoding of messages as MessagePack with a schema version and a kind."""

import msgspec

from ..core import CamphorrunError
from . import attempts, control

SCHEMA_VERSION = 1

_TYPES = (
    attempts.Dispatch,
    attempts.ResultPart,
    attempts.ResultEnd,
    attempts.NotStarted,
    attempts.ClaimLost,
    attempts.ResultAck,
    attempts.Cancel,
    attempts.Resume,
    attempts.AttemptUnknown,
    control.Hello,
    control.Ping,
    control.Pong,
    control.DrainNotice,
    control.StoreOutcome,
    control.GetOutcome,
    control.OutcomeReply,
)
_DECODERS = {kind.__name__: msgspec.msgpack.Decoder(kind) for kind in _TYPES}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_ENCODER = msgspec.msgpack.Encoder()


class MessageError(CamphorrunError):
    """A frame that does not hold a known, well-formed message."""

    default_code = "bad_message"


def encode_message(message: object) -> bytes:
    """Return the MessagePack form of a message.

    Examples
    --------
    >>> decode_message(encode_message(control.DrainNotice("cooling")))
    DrainNotice(reason='cooling')
    """
    return _ENCODER.encode((SCHEMA_VERSION, type(message).__name__, message))


def decode_message(data: bytes) -> object:
    """Return the typed message held by ``data``; unknown fields are ignored.

    Raises
    ------
    MessageError
        With code ``bad_message`` for malformed data and ``unknown_kind`` for a kind
        that this version does not know.
    """
    try:
        _, kind, body = _ENVELOPE.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise MessageError(f"expected an envelope: {exc}") from exc
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise MessageError(f"unknown kind {kind[:40]!r}", code="unknown_kind")
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise MessageError(f"{kind}: {exc}") from exc
