"""Expected waits for stages, and the choice of the shard that makes a stage.

Load pattern: results of megabytes belong into the zone in which they will be used, but
a burst in one zone fills its replicas while those of other zones are idle. Owners tell
the wait with each reply; a shard elsewhere is chosen once the wait at home exceeds its
own by more than the move is worth, or than the request can spare.
"""

import math
from collections.abc import Mapping

# A forecast loses this much of its wait a second, because queues drain meanwhile.
FORECAST_DECAY_PER_SECOND = 0.7


class WaitForecasts:
    """Last known waits by service, shard, size of results and rank.

    Examples
    --------
    >>> waits = WaitForecasts()
    >>> waits.record("s", "a", 10, 1, 0.9, now=0.0)
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

    def record(
        self,
        service: str,
        shard: str,
        result_bytes: int,
        priority: int,
        wait_s: float,
        *,
        now: float,
    ) -> None:
        """Take over the wait that an owner told."""
        shard_waits = self._waits.setdefault((service, shard), {})
        shard_waits[result_bytes, priority] = wait_s, now

    def age_s(
        self, service: str, shard: str, result_bytes: int, priority: int, *, now: float
    ) -> float:
        """Return the time since a wait was told, infinite if it never was."""
        shard_waits = self._waits.get((service, shard), {})
        _, seen_at = shard_waits.get((result_bytes, priority), (0.0, -math.inf))
        return now - seen_at

    def wait_s(
        self, service: str, shard: str, result_bytes: int, priority: int, *, now: float
    ) -> float:
        """Return the wait to expect; requests that are less urgent do not count."""
        shard_waits = self._waits.get((service, shard), {})
        waits_s = (
            wait_s - (now - seen_at) * FORECAST_DECAY_PER_SECOND
            for (size, known_priority), (wait_s, seen_at) in shard_waits.items()
            if size == result_bytes and known_priority <= priority
        )
        return max(0.0, max(waits_s, default=0.0))

    def best_shard(
        self,
        service: str,
        shards: Mapping[str, float],
        result_bytes: int,
        priority: int,
        *,
        now: float,
    ) -> str:
        """Return the shard with the least cost.

        ``shards`` maps each candidate to the seconds that are added to its wait because
        it is not the nearest one.
        """

        def cost_s(shard: str) -> tuple[float, str]:
            wait_s = self.wait_s(service, shard, result_bytes, priority, now=now)
            return wait_s + shards[shard], shard

        return min(shards, key=cost_s)
