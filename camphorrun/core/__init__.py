"""Foundations: errors with codes, timers, supervision and identifiers.

Public: ``CamphorrunError``, ``TimerService``, ``LoopTimerService``,
``ManualTimerService``, ``PauseDetector``, ``Supervisor``, ``SupervisionError``,
``new_identifier``.
"""

from .errors import CamphorrunError
from .identifiers import new_identifier
from .supervision import SupervisionError, Supervisor
from .timers import (
    LoopTimerService,
    ManualTimerService,
    PauseDetector,
    Subscription,
    TimerHandle,
    TimerService,
)

__all__ = [
    "CamphorrunError",
    "LoopTimerService",
    "ManualTimerService",
    "PauseDetector",
    "Subscription",
    "SupervisionError",
    "Supervisor",
    "TimerHandle",
    "TimerService",
    "new_identifier",
]
