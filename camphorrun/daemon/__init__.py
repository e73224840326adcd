"""Components shared by the entry and agent daemons.

These are the base class of a daemon, its HTTP server and admin routes, the readers of
the configuration and the host list, the relay and the claims.
"""

from ..core import Lifecycle
from .admin import AdminRoutes
from .announcer import Announcer
from .base import ACCOUNTS_STREAM, DRAIN_POLL_SECONDS, FLEET_STREAM, Daemon
from .claims import ClaimMetrics, build_claim_participant
from .configuration_sync import ConfigurationSync
from .hosts import HostWatcher
from .policies import check_policies
from .relay_node import RelayNode
from .server import start_server

__all__ = [
    "ACCOUNTS_STREAM",
    "DRAIN_POLL_SECONDS",
    "Daemon",
    "FLEET_STREAM",
    "AdminRoutes",
    "Announcer",
    "ClaimMetrics",
    "ConfigurationSync",
    "HostWatcher",
    "Lifecycle",
    "RelayNode",
    "check_policies",
    "build_claim_participant",
    "start_server",
]
