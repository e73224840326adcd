"""HTTP clients of external systems: log service, host list, weight store, endpoint."""

from .endpoint_client import (
    EXECUTED_HEADER,
    FENCING_HEADER,
    KEY_HEADER,
    EndpointCall,
    EndpointClient,
    EndpointReply,
    StreamPart,
)
from .errors import EndpointError, PlatformError
from .host_list import HostEntry, HostList, HostListClient
from .log_client import AppendReply, AppendRequest, LogClient
from .session import create_session
from .weight_store import WeightsRefusedError, WeightStoreClient

__all__ = [
    "EXECUTED_HEADER",
    "FENCING_HEADER",
    "KEY_HEADER",
    "AppendReply",
    "AppendRequest",
    "EndpointCall",
    "EndpointClient",
    "EndpointError",
    "EndpointReply",
    "HostEntry",
    "HostList",
    "HostListClient",
    "LogClient",
    "PlatformError",
    "StreamPart",
    "WeightStoreClient",
    "WeightsRefusedError",
    "create_session",
]
