"""Adapter to the outer platform: translates its names, formats and calls.

The adapter makes no routing, admission or retry decisions.

Public: ``StoreClient``, ``StoreError``, ``CONFIGURATION_KEY``,
``CONFIGURATION_TOPIC``, ``REPLICA_TOPIC``, ``QUARANTINE_TOPIC``,
``decode_deployment``, ``decode_replica``,
``DecodeError``, ``CallerRequest``, ``PromptPart``, ``MAX_DEADLINE_SECONDS``,
``decode_caller_request``, ``encode_request``,
``ResponseInfo``, ``decode_response_info``, ``relay_headers``, ``refusal_headers``,
``check_counts``, ``event_id``, ``evacuated_zone``, ``ReplicaNotice``,
``decode_replica_notice``,
``StageItem``, ``StageItemResult``, ``StageFault``, ``encode_stage_call``,
``decode_stage_response``, ``encode_release``, ``encode_report_request``,
``decode_free_space``, ``decode_replica_load``.
"""

from .configuration import decode_deployment
from .errors import DecodeError, StoreError
from .evacuations import evacuated_zone
from .exchange import (
    MAX_DEADLINE_SECONDS,
    CallerRequest,
    PromptPart,
    ResponseInfo,
    decode_caller_request,
    decode_response_info,
    encode_request,
    event_id,
    readable_attempt_id,
    refusal_headers,
    relay_headers,
)
from .loads import decode_replica_load
from .notices import ReplicaNotice, decode_replica_notice
from .registrations import decode_replica
from .request_bounds import check_counts
from .stages import (
    StageFault,
    StageItem,
    StageItemResult,
    decode_free_space,
    decode_stage_response,
    decode_start_ms,
    encode_release,
    encode_report_request,
    encode_stage_call,
)
from .store import StoreClient
from .topics import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    QUARANTINE_TOPIC,
    REPLICA_TOPIC,
    STREAM_TOPIC,
    VERSION_TOPIC,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "MAX_DEADLINE_SECONDS",
    "QUARANTINE_TOPIC",
    "REPLICA_TOPIC",
    "STREAM_TOPIC",
    "VERSION_TOPIC",
    "CallerRequest",
    "DecodeError",
    "PromptPart",
    "ReplicaNotice",
    "ResponseInfo",
    "StageFault",
    "StageItem",
    "StageItemResult",
    "StoreClient",
    "StoreError",
    "check_counts",
    "decode_caller_request",
    "decode_deployment",
    "decode_replica",
    "decode_replica_load",
    "decode_free_space",
    "decode_stage_response",
    "decode_start_ms",
    "encode_release",
    "encode_request",
    "encode_report_request",
    "encode_stage_call",
    "evacuated_zone",
    "event_id",
    "readable_attempt_id",
    "refusal_headers",
    "relay_headers",
    "decode_replica_notice",
    "decode_response_info",
]
