"""Which daemon of an availability zone reads the platform's store for the others.

Load pattern: every daemon that polls the store for the same records makes the store's
work, and its price, grow with the fleet. One daemon of a zone reads, and the others
ask it. The order is derived from the members alone, so nobody is elected; while views
of the members differ, a second reader does no harm.
"""

from collections.abc import Iterable

import xxhash


def reader_preference(addresses: Iterable[str]) -> list[str]:
    """Return the members of a zone in the order in which they read for the others.

    Examples
    --------
    >>> order = reader_preference(["m1", "m2", "m3"])
    >>> order == reader_preference(["m3", "m2", "m1"]), len(order)
    (True, 3)
    >>> [m for m in order if m != order[0]] == reader_preference(order[1:])
    True
    """
    return sorted(addresses, key=lambda address: xxhash.xxh64_intdigest(address))
