"""Work that is on its way to a stage service, and when it will be cleared.

Load pattern: a burst passes the first stage quickly and meets the slowest one seconds
later. A queue length that is seen there says nothing yet about what is on its way, so
requests went on being started that the slow stage could not take any more. Requests are
therefore announced to the owners of all their stages before any stage is spent.
"""

import math
from collections import deque

from ..catalog import StageCapacity

# Throughput is measured over this window, but only while something always waited.
WINDOW_SECONDS = 2.0
LEAST_WINDOW_SECONDS = 1.0
# Calls are rarely all full; without a measurement this share of full calls is assumed.
ASSUMED_FILL = 0.85
LEAST_SHARE = 0.3
# An announced request that has not arrived by then was given up on the way.
OVERDUE_SECONDS = 1.5


class StageDemand:
    """Announced pieces and measured throughput of one stage service.

    Parameters
    ----------
    capacity : StageCapacity
        Capacity of one replica.

    Examples
    --------
    >>> demand = StageDemand(StageCapacity(1, 2, 10, 0.4, 0.01, 1000, 4.0))
    >>> demand.announce(("r", 0), 17, arrives_at=0.5, rank=0)
    >>> round(demand.clear_s(0, 2.0, arrives_at=1.0, now=0.0, rank=0), 2)
    0.5
    """

    def __init__(self, capacity: StageCapacity):
        self._capacity = capacity
        self._announced: dict[object, tuple[int, float, int]] = {}
        self._made: deque[tuple[float, int]] = deque()
        self._backlogged_since = math.inf

    def announce(
        self, key: object, pieces: int, *, arrives_at: float, rank: int
    ) -> None:
        """Count pieces that will arrive; pieces that arrive are withdrawn first."""
        self._announced[key] = pieces, arrives_at, rank

    def withdraw(self, key: object) -> None:
        """Forget announced pieces, because they arrived or will not come."""
        self._announced.pop(key, None)

    def note_queue(self, waiting: int, now: float) -> None:
        """Note whether anything waits."""
        if not waiting:
            self._backlogged_since = math.inf
        elif now < self._backlogged_since:
            self._backlogged_since = now

    def note_made(self, pieces: int, now: float) -> None:
        """Count pieces that a call has made."""
        self._made.append((now, pieces))
        while self._made and self._made[0][0] < now - WINDOW_SECONDS:
            self._made.popleft()

    def rate(self, replicas: float, now: float) -> float:
        """Return the pieces a second that the replicas make while pieces wait.

        ``replicas`` counts a slow replica by its share of the usual speed.
        """
        batch = self._capacity.batch
        full = max(replicas, LEAST_SHARE) * batch / self._capacity.call_time_s(batch)
        since = max(self._backlogged_since, now - WINDOW_SECONDS)
        if now - since < LEAST_WINDOW_SECONDS:
            return full * ASSUMED_FILL
        made = sum(pieces for at, pieces in self._made if at >= since)
        return min(full, max(full * LEAST_SHARE, made / (now - since)))

    def clear_s(
        self,
        waiting: int,
        replicas: float,
        *,
        arrives_at: float,
        now: float,
        rank: int,
    ) -> float:
        """Return when all work before a request that arrives then will be cleared.

        Parameters
        ----------
        waiting : int
            Pieces that wait now.
        replicas : float
            Replicas that work.
        arrives_at : float
            When the pieces of the request arrive.
        now : float
            Present time.
        rank : int
            Urgency of the request; less urgent ones come after it.
        """
        ahead = waiting
        for key, (pieces, due_at, other) in list(self._announced.items()):
            if due_at + OVERDUE_SECONDS < now:
                del self._announced[key]
            elif due_at <= arrives_at and other <= rank:
                ahead += pieces
        return ahead / self.rate(replicas, now)
