"""Adapter to the users' platform: its names, formats and calls; it decides nothing.

Public: ``StoreClient``, ``StoreError``, ``CONFIGURATION_KEY``,
``CONFIGURATION_TOPIC``, ``REPLICA_TOPIC``, ``decode_deployment``, ``decode_replica``,
``DecodeError``, ``CallerRequest``, ``decode_caller_request``, ``encode_request``,
``ReplyFacts``, ``reply_facts``, ``relay_headers``, ``refusal_headers``, ``event_id``,
``ReplicaNotice``, ``replica_notice``,
``StageItem``, ``StageItemResult``, ``StageFault``, ``encode_stage_call``,
``decode_stage_reply``, ``encode_release``, ``encode_space_question``, ``decode_space``.
"""

from .configuration import decode_deployment
from .errors import DecodeError, StoreError
from .exchange import (
    CallerRequest,
    ReplyFacts,
    decode_caller_request,
    encode_request,
    event_id,
    refusal_headers,
    relay_headers,
    reply_facts,
)
from .notices import ReplicaNotice, replica_notice
from .registrations import decode_replica
from .stages import (
    StageFault,
    StageItem,
    StageItemResult,
    decode_space,
    decode_stage_reply,
    encode_release,
    encode_space_question,
    encode_stage_call,
)
from .store import StoreClient
from .topics import CONFIGURATION_KEY, CONFIGURATION_TOPIC, REPLICA_TOPIC

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "REPLICA_TOPIC",
    "CallerRequest",
    "DecodeError",
    "ReplicaNotice",
    "ReplyFacts",
    "StageFault",
    "StageItem",
    "StageItemResult",
    "StoreClient",
    "StoreError",
    "decode_caller_request",
    "decode_deployment",
    "decode_replica",
    "decode_space",
    "decode_stage_reply",
    "encode_release",
    "encode_request",
    "encode_space_question",
    "encode_stage_call",
    "event_id",
    "refusal_headers",
    "relay_headers",
    "replica_notice",
    "reply_facts",
]
