"""Stand-ins of the platform and of endpoints, for tests and the demo."""

from .endpoint_server import EndpointProfile, EndpointServer, EndpointUsage
from .host_list_server import HostListServer
from .log_server import LogFaults, LogServer
from .operations import fingerprint, input_units, run_operation, streamed_text
from .orders import Order, OrderBook, OrderError, OrderState
from .prefix_cache import CacheEvent, CacheEvents, PrefixCache
from .tcp_forwarder import TcpForwarder
from .weight_server import WeightServer

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EndpointProfile",
    "EndpointServer",
    "EndpointUsage",
    "HostListServer",
    "LogFaults",
    "LogServer",
    "Order",
    "OrderBook",
    "OrderError",
    "OrderState",
    "PrefixCache",
    "WeightServer",
    "TcpForwarder",
    "fingerprint",
    "input_units",
    "run_operation",
    "streamed_text",
]
