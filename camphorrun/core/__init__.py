"""Base services: errors, timers, supervision, lifecycle, logs and identifiers.

Public: ``CamphorrunError``, ``TimerService``, ``LoopTimerService``,
``ManualTimerService``, ``PauseDetector``, ``Supervisor``, ``SupervisionError``,
``new_identifier``, ``LogStore``, ``LogRecord``,
``LogPage``, ``LogError``, ``MemoryLog``, ``AppendFault``,
``with_timeout``, ``Lifecycle``, ``EventLog``, ``HostTimeline``,
``build_request_timelines``, ``render_request_timeline``.
"""

from .errors import CamphorrunError
from .event_log import EventLog
from .identifiers import new_identifier
from .lifecycle import Lifecycle
from .log import LogError, LogPage, LogRecord, LogStore
from .memory_log import AppendFault, MemoryLog
from .request_timeline import (
    HostTimeline,
    build_request_timelines,
    render_request_timeline,
)
from .supervision import SupervisionError, Supervisor
from .timeouts import with_timeout
from .timers import (
    LoopTimerService,
    ManualTimerService,
    PauseDetector,
    Subscription,
    TimerHandle,
    TimerService,
)

__all__ = [
    "AppendFault",
    "CamphorrunError",
    "EventLog",
    "HostTimeline",
    "Lifecycle",
    "LogError",
    "LogPage",
    "LogRecord",
    "LogStore",
    "LoopTimerService",
    "ManualTimerService",
    "MemoryLog",
    "PauseDetector",
    "Subscription",
    "SupervisionError",
    "Supervisor",
    "TimerHandle",
    "TimerService",
    "with_timeout",
    "new_identifier",
    "render_request_timeline",
    "build_request_timelines",
]
