"""Messages between entries and agents, with their codec and authentication."""

from .attempts import (
    AttemptId,
    AttemptUnknown,
    Cancel,
    ClaimLost,
    Dispatch,
    LoadReport,
    NotStarted,
    ResultAck,
    ResultEnd,
    ResultPart,
    Resume,
    StageCost,
)
from .codec import SCHEMA_VERSION, MessageError, decode_message, encode_message
from .control import (
    DrainNotice,
    GetOutcome,
    Hello,
    OutcomeReply,
    Ping,
    Pong,
    StoreOutcome,
)
from .sealing import MAX_FRAME_BYTES, FrameSealer, KeyRing, SharedKey

__all__ = [
    "MAX_FRAME_BYTES",
    "SCHEMA_VERSION",
    "AttemptId",
    "AttemptUnknown",
    "Cancel",
    "ClaimLost",
    "Dispatch",
    "DrainNotice",
    "FrameSealer",
    "GetOutcome",
    "Hello",
    "KeyRing",
    "LoadReport",
    "MessageError",
    "NotStarted",
    "OutcomeReply",
    "Ping",
    "Pong",
    "ResultAck",
    "ResultEnd",
    "ResultPart",
    "Resume",
    "SharedKey",
    "StageCost",
    "StoreOutcome",
    "decode_message",
    "encode_message",
]
