"""Concurrency limit and bounded queue of an endpoint; permits of shared rate limits.

Also how long replicas are cold, and the rate that they may get meanwhile; and the
account of held bytes.
"""

from .cold import ColdBelief, ColdBeliefs, ColdBounds, cold_rate
from .concurrency import ConcurrencyLimit, LatencySample
from .fit import LinearFit
from .memory import (
    Holder,
    Lease,
    Loss,
    MemoryAccount,
    PressureLevel,
    choose_closures,
    held_limit,
)
from .permits import (
    PERMIT_LIFETIME_SECONDS,
    SHARED_RULES,
    PermitAnswer,
    PermitPool,
    PoolRules,
)
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
    "PERMIT_LIFETIME_SECONDS",
    "SHARED_RULES",
    "ColdBelief",
    "ColdBeliefs",
    "ColdBounds",
    "ConcurrencyLimit",
    "EarliestDeadline",
    "FirstCome",
    "LatencySample",
    "Holder",
    "LeastLaxity",
    "Lease",
    "LinearFit",
    "Loss",
    "MemoryAccount",
    "PermitAnswer",
    "PermitPool",
    "PoolRules",
    "PressureLevel",
    "QueueItem",
    "QueuePush",
    "StageQueue",
    "choose_closures",
    "cold_rate",
    "held_limit",
    "queue_policy_by_name",
]
