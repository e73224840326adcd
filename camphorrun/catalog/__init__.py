"""Model of a deployment as a gateway sees it: routes, services, accounts, replicas.

Public: ``Deployment``, ``Route``, ``RouteKind``, ``StageTemplate``, ``Service``,
``StageCapacity``, ``EngineCapacity``, ``ColdLimits``, ``Account``, ``CallerLimits``,
``Replica``, ``ReplicaState``, ``ReplicaLoad``, ``Boot``, ``RecordView``, ``Record``,
``RecordPage``, ``home_regions``, ``zones_of_regions``, ``is_home``.
"""

from .deployment import (
    Account,
    CallerLimits,
    ColdLimits,
    Deployment,
    EngineCapacity,
    Route,
    RouteKind,
    Service,
    StageCapacity,
    StageTemplate,
)
from .homes import home_regions, is_home, zones_of_regions
from .records import Record, RecordPage, RecordView
from .replicas import Boot, Replica, ReplicaLoad, ReplicaState

__all__ = [
    "Account",
    "Boot",
    "CallerLimits",
    "ColdLimits",
    "Deployment",
    "EngineCapacity",
    "Record",
    "RecordPage",
    "RecordView",
    "Replica",
    "ReplicaLoad",
    "ReplicaState",
    "Route",
    "RouteKind",
    "Service",
    "StageCapacity",
    "StageTemplate",
    "home_regions",
    "is_home",
    "zones_of_regions",
]
