"""Availability zones whose replicas get nothing, by order of the operator.

Load pattern: a zone is evacuated before its power or network is switched off. Requests
that still wait for its replicas then would be broken off, and each of them would take
part of the retry budget at the same time.
"""

from collections.abc import Iterable

from ..core import EventLog
from ..metrics import Metrics
from ..platform import evacuated_zone

EVACUATED = "evacuated"
ZONE_EVACUATED = "zone_evacuated"
# Retry-After while all replicas that may serve a request are in evacuated zones. A zone
# is out of use for seconds at least, and a caller that is refused again gains nothing.
EVACUATION_RETRY_AFTER_SECONDS = 5.0
# Time for which an order stays in force that a restored store lacks. The operator
# writes it again about two seconds after the store's return; the rest is for a store
# that is slow by then.
EVACUATION_REWRITE_SECONDS = 10.0
# Bounds the length of a log line; its field ``count`` has the full number.
MAX_LOGGED_ZONES = 8


class Evacuations:
    """Evacuated zones as known to this gateway, with their metrics and log lines.

    Attributes
    ----------
    zones : frozenset of str
        Evacuated availability zones; some may have no replicas.
    """

    __slots__ = ("_events", "_metrics", "zones")

    def __init__(self, metrics: Metrics, events: EventLog):
        self._metrics = metrics
        self._events = events
        self.zones: frozenset[str] = frozenset()

    def update(self, keys: Iterable[str], source: str) -> bool:
        """Apply the keys of all records in force; return whether the zones changed."""
        zones = frozenset(filter(None, map(evacuated_zone, keys)))
        if zones == self.zones:
            return False
        previous, self.zones = self.zones, zones
        self._metrics.evacuated_zones.set(len(zones))
        self._events.log_state_change(
            "evacuation",
            count=len(zones),
            zones=sorted(zones)[:MAX_LOGGED_ZONES],
            evacuated=sorted(zones - previous)[:MAX_LOGGED_ZONES],
            returned=sorted(previous - zones)[:MAX_LOGGED_ZONES],
            source=source,
        )
        return True

    def count_stop(self, service: str) -> None:
        """Count a send, or a wait for one, that an evacuation stopped."""
        self._metrics.evacuation_stops.labels(service).inc()
