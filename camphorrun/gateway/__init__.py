"""The gateway daemon, which serves callers on the hosts of the users' platform.

Public: ``GatewayDaemon``.
"""

from .daemon import GatewayDaemon

__all__ = ["GatewayDaemon"]
