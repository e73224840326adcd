"""Parts that entry and agent daemons share: lifecycle, admin routes, host list."""

from .admin import AdminRoutes
from .configuration_sync import ConfigurationSync
from .hosts import HostWatcher
from .lifecycle import Lifecycle
from .policies import check_policies
from .server import start_server

__all__ = [
    "AdminRoutes",
    "ConfigurationSync",
    "HostWatcher",
    "Lifecycle",
    "check_policies",
    "start_server",
]
