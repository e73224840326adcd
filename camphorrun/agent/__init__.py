"""The agent daemon, which runs beside one endpoint."""

from .daemon import AgentDaemon

__all__ = ["AgentDaemon"]
