"""Endpoint selection, load estimates, outlier ejection, and stage owners."""

from .affinity import AffinityPolicy
from .duties import MAX_WEIGHT, MIN_WEIGHT, host_weight
from .endpoints import EjectionState, EndpointState, StageRequest
from .engine_load import EngineCall, EngineLoads, EngineTerms
from .engine_speed import SpeedReport
from .estimates import StageEstimator, load_share, service_capacity
from .explanations import CandidateCost
from .outliers import OutlierDetector
from .ownership import (
    UNSHARDED,
    owner_preferences,
    rendezvous_order,
    stage_shards,
)
from .policies import (
    BalancedPolicy,
    LeastReportedLoadPolicy,
    RandomPolicy,
    RoundRobinPolicy,
    routing_policy_by_name,
)
from .prefixes import PrefixIndex
from .readers import reader_preference
from .reported_load import ReportedLoad
from .router import NoEndpoint, RouteChoice, Router
from .stream_versions import StreamRecord, StreamStart, StreamVersions

__all__ = [
    "MAX_WEIGHT",
    "MIN_WEIGHT",
    "UNSHARDED",
    "AffinityPolicy",
    "BalancedPolicy",
    "CandidateCost",
    "EjectionState",
    "EndpointState",
    "EngineCall",
    "EngineLoads",
    "EngineTerms",
    "LeastReportedLoadPolicy",
    "NoEndpoint",
    "OutlierDetector",
    "PrefixIndex",
    "RandomPolicy",
    "ReportedLoad",
    "RoundRobinPolicy",
    "RouteChoice",
    "Router",
    "SpeedReport",
    "StageEstimator",
    "StageRequest",
    "StreamStart",
    "StreamRecord",
    "StreamVersions",
    "host_weight",
    "load_share",
    "owner_preferences",
    "reader_preference",
    "rendezvous_order",
    "routing_policy_by_name",
    "service_capacity",
    "stage_shards",
]
