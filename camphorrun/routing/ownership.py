"""Which daemon gathers the pieces of a stage service.

Load pattern: a stage replica takes one call at a time, so several daemons that send to
it for themselves compete for its slot with small calls. Every daemon derives the same
owner from the members that it sees; while views differ, calls are smaller but still
correct.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

import xxhash

# A service with fewer replicas has one owner: its calls would be too small otherwise.
MIN_SHARDED_REPLICAS = 6
# A zone with fewer replicas belongs to the shard of another one, so that the loss of
# one replica leaves no zone without any.
MIN_SHARD_REPLICAS = 2
# The shard of a service that is not divided.
UNSHARDED = ""


def stage_shards(replicas: Mapping[str, int]) -> dict[str, str]:
    """Return the shard of each availability zone, given its number of replicas.

    Load pattern: results of megabytes are dear to move between zones, and a call of a
    replica takes what has come in since the last one. With several replicas a zone,
    calls of an owner for each zone are as full as those of one owner for all.

    Examples
    --------
    >>> stage_shards({"a": 4, "b": 4, "c": 1})
    {'a': 'a', 'b': 'b', 'c': 'a'}
    >>> stage_shards({"a": 1, "b": 1, "c": 1})
    {'a': '', 'b': '', 'c': ''}
    """
    large_zones = sorted(
        zone for zone, count in replicas.items() if count >= MIN_SHARD_REPLICAS
    )
    if sum(replicas.values()) < MIN_SHARDED_REPLICAS or len(large_zones) < 2:
        return dict.fromkeys(replicas, UNSHARDED)
    smallest_zone = min(large_zones, key=lambda zone: (replicas[zone], zone))
    return {zone: zone if zone in large_zones else smallest_zone for zone in replicas}


def owner_preferences(
    services: Sequence[str], members: Sequence[str]
) -> dict[str, list[str]]:
    """Return for each service the members in order of preference.

    The first members are spread, so that no member owns two services while another one
    owns none; the others follow in rendezvous order.

    Examples
    --------
    >>> orders = owner_preferences(["a", "b"], ["m1", "m2", "m3"])
    >>> len({order[0] for order in orders.values()}), len(orders["a"])
    (2, 3)
    """
    owned_services: Counter[str] = Counter()
    orders = {}
    for service in sorted(services):
        order = sorted(members, key=lambda member: _rendezvous_weight(service, member))
        order.sort(key=lambda member: owned_services[member])
        if order:
            owned_services[order[0]] += 1
        orders[service] = order
    return orders


def _rendezvous_weight(service: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}|{member}")
