"""Weights of hosts for duties that one member has for all others.

Load pattern: the owner of a stage service, the reader of the store and the owner of a
rate limit work for all members, while callers are distributed over the members without
regard to their size. A host with a fraction of a core would delay the whole service.

A member has each duty with a probability in proportion to its weight (weighted
rendezvous hashing). Weights are fixed for the life of a process and coarse, so that
small differences between hosts, and later changes of their limits, move no duty.
"""

import math
from collections.abc import Mapping

# The weight counts multiples of the limits of a small entry host (0.3 cores, 160 MB,
# 5 Mbit/s), rounded down to a power of two.
CORES_PER_WEIGHT = 0.25
MEMORY_MB_PER_WEIGHT = 128.0
LINK_MBPS_PER_WEIGHT = 5.0
MIN_WEIGHT = 1
# A host that is larger still gets no more duties, so that its loss moves a bounded
# share of them.
MAX_WEIGHT = 8
_HASH_RANGE = 2**64
# The largest float below 1.
_MAX_FRACTION = 1.0 - 2.0**-53


def host_weight(cores: float, memory_mb: float, link_mbps: float) -> int:
    """Return the weight of a host by its scarcest limit; a limit of 0 is not known.

    Examples
    --------
    >>> host_weight(0.29, 160, 5), host_weight(2.15, 552, 200), host_weight(0, 0, 0)
    (1, 4, 1)
    """
    limits = (
        (cores, CORES_PER_WEIGHT),
        (memory_mb, MEMORY_MB_PER_WEIGHT),
        (link_mbps, LINK_MBPS_PER_WEIGHT),
    )
    multiples = [limit / unit for limit, unit in limits if limit > 0]
    multiple = min(MAX_WEIGHT, max(MIN_WEIGHT, min(multiples, default=MIN_WEIGHT)))
    return 2 ** int(math.log2(multiple))


def duty_rank(
    hash_value: int, member: str, weights: Mapping[str, int] | None
) -> tuple[float, int]:
    """Return the rank of a member for a duty; the lowest one comes first.

    Parameters
    ----------
    hash_value : int
        Hash of duty and member, in 64 bits.
    member : str
        Member whose weight counts.
    weights : mapping of str to int, optional
        Weights of the members; 1 for a member without one. With equal weights the
        members are in the order of their hashes.
    """
    weight = max(MIN_WEIGHT, weights.get(member, MIN_WEIGHT)) if weights else 1
    fraction = min(_MAX_FRACTION, hash_value / _HASH_RANGE)
    return -math.log1p(-fraction) / weight, hash_value
