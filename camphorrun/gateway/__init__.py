"""The gateway: one process of an entry host on the users' platform.

Public: ``GatewayDaemon``.
"""

from .daemon import GatewayDaemon

__all__ = ["GatewayDaemon"]
