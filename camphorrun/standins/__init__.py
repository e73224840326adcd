"""Stand-ins of the platform and of endpoints, for tests and the demo."""

from .endpoint_server import EndpointProfile, EndpointServer, EndpointUsage
from .host_list_server import HostListServer
from .log_server import LogFaults, LogServer
from .operations import fingerprint, input_units, run_operation, streamed_text

__all__ = [
    "EndpointProfile",
    "EndpointServer",
    "EndpointUsage",
    "HostListServer",
    "LogFaults",
    "LogServer",
    "fingerprint",
    "input_units",
    "run_operation",
    "streamed_text",
]
