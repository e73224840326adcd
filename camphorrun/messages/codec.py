"""Codec of messages: MessagePack with a schema version and the name of the class."""

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
    """A frame that is not authentic, or holds no valid message of a known kind."""

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
    """Return the message that ``data`` encodes; unknown fields are ignored.

    Raises
    ------
    MessageError
        With code ``bad_message`` if the data is malformed, and ``unknown_kind`` if this
        program version has no message of the kind.
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
