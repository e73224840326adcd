"""Choice of the daemon that reads the platform's store for its availability zone.

Load pattern: if every daemon polled the store for the same records, the load and the
price of the store would grow with the fleet. One daemon of a zone reads, and the others
get the records from it. The order of readers follows from the membership alone, without
an election. While memberships differ, there may be a second reader, which is harmless.
"""

from collections.abc import Iterable, Mapping

import xxhash

from .duties import duty_rank


def reader_preference(
    addresses: Iterable[str], weights: Mapping[str, int] | None = None
) -> list[str]:
    """Return the members of a zone in order of preference as its store reader.

    Members without a weight count as 1.

    Examples
    --------
    >>> order = reader_preference(["m1", "m2", "m3"])
    >>> order == reader_preference(["m3", "m2", "m1"]), len(order)
    (True, 3)
    >>> [m for m in order if m != order[0]] == reader_preference(order[1:])
    True
    """

    def rank(address: str) -> tuple[float, int]:
        return duty_rank(xxhash.xxh64_intdigest(address), address, weights)

    return sorted(addresses, key=rank)
