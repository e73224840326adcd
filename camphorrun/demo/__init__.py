"""The whole request path in one process, for demonstration and replay."""

from .demonstration import run_demo
from .local_system import LocalSystem, ServiceSpec
from .scenario_run import run_local, run_remote

__all__ = ["LocalSystem", "ServiceSpec", "run_demo", "run_local", "run_remote"]
