"""Parts that entry and agent daemons share: lifecycle, admin routes, host list."""

from .admin import AdminRoutes
from .configuration_sync import ConfigurationSync
from .hosts import HostWatcher
from .lifecycle import Lifecycle
from .server import start_server

__all__ = [
    "AdminRoutes",
    "ConfigurationSync",
    "HostWatcher",
    "Lifecycle",
    "start_server",
]
