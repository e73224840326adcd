"""Concurrency limit and bounded queue of an endpoint; permits of shared rate limits."""

from .concurrency import ConcurrencyLimit, LatencySample
from .fit import LinearFit
from .permits import PermitAnswer, PermitPool
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
    "PermitAnswer",
    "PermitPool",
    "QueueItem",
    "QueuePush",
    "StageQueue",
    "queue_policy_by_name",
]
