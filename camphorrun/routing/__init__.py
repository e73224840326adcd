"""Endpoint selection, load estimates, outlier ejection and baselines."""

from .affinity import AffinityPolicy
from .endpoints import EjectionState, EndpointState, StageRequest
from .estimates import StageEstimator, load_share, service_capacity
from .outliers import OutlierDetector
from .ownership import WHOLE, owner_orders, stage_shards
from .policies import (
    BalancedPolicy,
    LeastReportedLoadPolicy,
    RandomPolicy,
    RoundRobinPolicy,
    policy_by_name,
)
from .prefixes import PrefixIndex
from .readers import reader_order
from .router import NoEndpoint, RouteChoice, Router

__all__ = [
    "WHOLE",
    "AffinityPolicy",
    "BalancedPolicy",
    "EjectionState",
    "EndpointState",
    "LeastReportedLoadPolicy",
    "NoEndpoint",
    "OutlierDetector",
    "PrefixIndex",
    "RandomPolicy",
    "RoundRobinPolicy",
    "RouteChoice",
    "Router",
    "StageEstimator",
    "StageRequest",
    "load_share",
    "owner_orders",
    "reader_order",
    "policy_by_name",
    "service_capacity",
    "stage_shards",
]
