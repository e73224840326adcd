"""Which daemon gathers the pieces of a stage service.

Load pattern: a stage replica takes one call at a time, so several daemons that send to
it for themselves compete for its slot with small calls. Every daemon derives the same
owner from the members that it sees; while views differ, calls are smaller but still
correct.
"""

from collections import Counter
from collections.abc import Sequence

import xxhash


def owner_orders(
    services: Sequence[str], members: Sequence[str]
) -> dict[str, list[str]]:
    """Return for each service the members in order of preference.

    The first members are spread, so that no member owns two services while another one
    owns none; the others follow in rendezvous order.

    Examples
    --------
    >>> orders = owner_orders(["a", "b"], ["m1", "m2", "m3"])
    >>> len({order[0] for order in orders.values()}), len(orders["a"])
    (2, 3)
    """
    taken: Counter[str] = Counter()
    orders = {}
    for service in sorted(services):
        order = sorted(members, key=lambda member: _weight(service, member))
        order.sort(key=lambda member: taken[member])
        if order:
            taken[order[0]] += 1
        orders[service] = order
    return orders


def _weight(service: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}|{member}")
