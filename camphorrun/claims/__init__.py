"""Claims on non-idempotent calls, kept in the log service.

Public: key timestamps (``new_key_prefix``, ``parse_key``, ``claim_key``), claim
records, ``ClaimLedger``, ``ClaimAppender``, ``ClaimFollower``, ``StartCoordinator`` for
agents and ``VoidCoordinator`` for entries; ``ClaimParticipant`` assembles them for a
daemon.
"""

from .batcher import CLAIMS_STREAM, ClaimAppender
from .coordinator import (
    Decided,
    StartCoordinator,
    StartGranted,
    StartLost,
    StartRefused,
    StartReply,
    Unknown,
    VoidCoordinator,
    Voided,
    VoidReply,
)
from .errors import ClaimError
from .follower import ClaimFollower
from .ledger import ClaimDecision, ClaimLedger, ClaimResult, ClaimState
from .participant import ClaimParticipant
from .records import (
    DecodedBatch,
    Finish,
    Position,
    Start,
    Void,
    Withdraw,
    decode_batch,
    encode_batch,
)
from .stamps import (
    KEY_LIFETIME_MS,
    ClaimKey,
    KeyStamp,
    claim_key,
    digest_body,
    new_key_prefix,
    parse_claim_key,
    parse_key,
)

__all__ = [
    "CLAIMS_STREAM",
    "KEY_LIFETIME_MS",
    "ClaimAppender",
    "ClaimDecision",
    "ClaimError",
    "ClaimFollower",
    "ClaimKey",
    "ClaimLedger",
    "ClaimParticipant",
    "ClaimResult",
    "ClaimState",
    "Decided",
    "DecodedBatch",
    "Finish",
    "KeyStamp",
    "Position",
    "Start",
    "StartCoordinator",
    "StartGranted",
    "StartLost",
    "StartRefused",
    "StartReply",
    "Unknown",
    "Void",
    "VoidCoordinator",
    "VoidReply",
    "Voided",
    "Withdraw",
    "claim_key",
    "decode_batch",
    "digest_body",
    "encode_batch",
    "new_key_prefix",
    "parse_claim_key",
    "parse_key",
]
