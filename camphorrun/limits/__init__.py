"""Adaptive concurrency limit and bounded priority queue of an endpoint."""

from .concurrency import ConcurrencyLimit, LatencySample
from .fit import LinearFit
from .queues import (
    EarliestDeadline,
    FirstCome,
    LeastLaxity,
    QueueItem,
    QueuePush,
    StageQueue,
    queue_policy_by_name,
)

__all__ = [
    "ConcurrencyLimit",
    "EarliestDeadline",
    "FirstCome",
    "LatencySample",
    "LeastLaxity",
    "LinearFit",
    "QueueItem",
    "QueuePush",
    "StageQueue",
    "queue_policy_by_name",
]
