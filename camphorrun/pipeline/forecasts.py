"""Expected waits for stages, and the choice of the shard that makes a stage.

Load pattern: results of megabytes belong into the zone in which they will be used, but
a burst in one zone fills its replicas while those of other zones are idle. Owners tell
the wait with each reply; a shard elsewhere is chosen once the wait at home exceeds its
own by more than the move is worth, or than the request can spare.
"""

import math
from collections.abc import Mapping

# A forecast loses this much of its wait a second, because queues drain meanwhile.
FORECAST_DECAY = 0.7


class WaitForecasts:
    """Last known waits by service, shard, size of results and rank.

    Examples
    --------
    >>> waits = WaitForecasts()
    >>> waits.note("s", "a", 10, 1, 0.9, now=0.0)
    >>> waits.wait_s("s", "a", 10, 1, now=0.0), waits.wait_s("s", "a", 10, 0, now=0.0)
    (0.9, 0.0)
    >>> waits.best_shard("s", {"a": 0.0, "b": 0.3}, 10, 1, now=0.0)
    'b'
    >>> waits.best_shard("s", {"a": 0.0, "b": 0.3}, 10, 1, now=1.3)
    'a'
    """

    __slots__ = ("_waits",)

    def __init__(self):
        self._waits: dict[
            tuple[str, str], dict[tuple[int, int], tuple[float, float]]
        ] = {}

    def note(
        self,
        service: str,
        shard: str,
        result_bytes: int,
        rank: int,
        wait_s: float,
        *,
        now: float,
    ) -> None:
        """Take over the wait that an owner told."""
        known = self._waits.setdefault((service, shard), {})
        known[result_bytes, rank] = wait_s, now

    def age_s(
        self, service: str, shard: str, result_bytes: int, rank: int, *, now: float
    ) -> float:
        """Return the time since a wait was told, infinite if it never was."""
        known = self._waits.get((service, shard), {})
        _, seen_at = known.get((result_bytes, rank), (0.0, -math.inf))
        return now - seen_at

    def wait_s(
        self, service: str, shard: str, result_bytes: int, rank: int, *, now: float
    ) -> float:
        """Return the wait to expect; requests that are less urgent do not count."""
        known = self._waits.get((service, shard), {})
        waits_s = (
            wait_s - (now - seen_at) * FORECAST_DECAY
            for (size, other), (wait_s, seen_at) in known.items()
            if size == result_bytes and other <= rank
        )
        return max(0.0, max(waits_s, default=0.0))

    def best_shard(
        self,
        service: str,
        shards: Mapping[str, float],
        result_bytes: int,
        rank: int,
        *,
        now: float,
    ) -> str:
        """Return the shard with the least cost.

        ``shards`` maps each candidate to the seconds that are added to its wait because
        it is not the nearest one.
        """

        def cost_s(shard: str) -> tuple[float, str]:
            wait_s = self.wait_s(service, shard, result_bytes, rank, now=now)
            return wait_s + shards[shard], shard

        return min(shards, key=cost_s)
