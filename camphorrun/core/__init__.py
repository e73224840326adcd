"""Foundations: errors with codes, timers, supervision and identifiers.

Public: ``CamphorrunError``, ``TimerService``, ``LoopTimerService``,
``ManualTimerService``, ``PauseDetector``, ``Supervisor``, ``SupervisionError``,
``new_identifier``, ``LogStore``, ``LogRecord``,
``LogPage``, ``LogError``, ``MemoryLog``, ``AppendFault``,
``bounded``, ``Lifecycle``, ``EventLog``, ``HostStory``, ``tell_story``,
``render_story``.
"""

from .errors import CamphorrunError
from .event_log import EventLog
from .identifiers import new_identifier
from .lifecycle import Lifecycle
from .log import LogError, LogPage, LogRecord, LogStore
from .memory_log import AppendFault, MemoryLog
from .request_story import HostStory, render_story, tell_story
from .supervision import SupervisionError, Supervisor
from .timers import (
    LoopTimerService,
    ManualTimerService,
    PauseDetector,
    Subscription,
    TimerHandle,
    TimerService,
)
from .waiting import bounded

__all__ = [
    "AppendFault",
    "CamphorrunError",
    "EventLog",
    "HostStory",
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
    "bounded",
    "new_identifier",
    "render_story",
    "tell_story",
]
