"""Replicas that were lost, alone or with most of their availability zone.

Load pattern: a zone loses its power or network, and all of its replicas return at the
same time. They are cold then, but those of a process that went on keep their start.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from ..catalog import Replica

# A replica whose connections time out is usually only slow, or its gateway is. If this
# share of the replicas of a zone timed out lately, the zone was lost.
MIN_LOST_SHARE = 0.5
MIN_LOST_REPLICAS = 2
# Registrations of a zone's replicas expire at different times within a lease of a few
# seconds, and time-outs are noticed with the next requests.
LOST_ZONE_SECONDS = 10.0
# Bound of the replicas that are kept in each table; the oldest are dropped.
MAX_REPLICAS = 1024


@dataclass(frozen=True, slots=True)
class _Expiry:
    """Registration that expired, or was removed, at the time ``at``."""

    replica: Replica
    at: float


class ZoneLosses:
    """Decides which replicas count as lost until they are seen alive again."""

    __slots__ = ("_expiries", "_lost", "_timeouts")

    def __init__(self):
        # Time of the last time-out of a replica since it was seen alive.
        self._timeouts: OrderedDict[str, float] = OrderedDict()
        self._expiries: OrderedDict[str, _Expiry] = OrderedDict()
        self._lost: OrderedDict[str, None] = OrderedDict()

    def on_broken_connection(self, replica: Replica) -> None:
        """Count a replica as lost: another process may have its address."""
        _put(self._lost, replica.identifier, None)

    def on_timeout(
        self, replica: Replica, replicas: Iterable[Replica], now: float
    ) -> None:
        """Record a time-out; all that timed out lately are lost if the zone is.

        ``replicas`` are all that are registered.
        """
        _put(self._timeouts, replica.identifier, now)
        zone = replica.availability_zone
        members = [r.identifier for r in replicas if r.availability_zone == zone]
        since = now - LOST_ZONE_SECONDS
        silent = [name for name in members if self._timeouts.get(name, since) > since]
        if len(silent) >= max(MIN_LOST_REPLICAS, MIN_LOST_SHARE * len(members)):
            for name in silent:
                _put(self._lost, name, None)

    def on_expiries(
        self, expired: Iterable[Replica], remaining: Iterable[Replica], now: float
    ) -> None:
        """Record registrations that ended without a shutdown of their replicas.

        All whose registrations ended lately are lost if they were most of the replicas
        of their service in their zone; ``remaining`` are still registered.
        """
        groups = set()
        for replica in expired:
            _put(self._expiries, replica.identifier, _Expiry(replica, now))
            groups.add(_group(replica))
        remaining = list(remaining) if groups else []
        for group in groups:
            gone = [
                name
                for name, expiry in self._expiries.items()
                if _group(expiry.replica) == group
                and expiry.at > now - LOST_ZONE_SECONDS
            ]
            present = sum(_group(replica) == group for replica in remaining)
            if len(gone) > present:
                for name in gone:
                    _put(self._lost, name, None)

    def take(self, replica: Replica) -> bool:
        """Return whether a replica was lost, now that it is seen alive."""
        name = replica.identifier
        self._timeouts.pop(name, None)
        self._expiries.pop(name, None)
        was_lost = name in self._lost
        self._lost.pop(name, None)
        return was_lost


def _group(replica: Replica) -> tuple[str, str]:
    return replica.service, replica.availability_zone


def _put(table: OrderedDict, name: str, value: object) -> None:
    """Set an entry as the newest one, and drop the oldest beyond the bound."""
    table[name] = value
    table.move_to_end(name)
    if len(table) > MAX_REPLICAS:
        table.popitem(last=False)
