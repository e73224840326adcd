"""Bounded queue of one endpoint, ordered by priority and a queue policy.

Priority 0 is the highest. The order within a priority is fixed when an item arrives:
the laxity of all items falls equally fast, so the order by latest start never changes.
"""

import bisect
import itertools
from dataclasses import dataclass
from functools import singledispatch

QUEUE_FULL = "queue_full"
DEADLINE_UNREACHABLE = "deadline_unreachable"
# An item that tolerates latency is ordered as if it had to start this long after its
# arrival, unless its latest start is earlier.
TOLERANT_START_SECONDS = 5.0
# Once items that tolerate latency have waited this long, every TOLERANT_POP_INTERVAL-th
# pop returns the oldest of them regardless of priority. This bounds both their wait and
# the delay of other items.
TOLERANT_WAIT_SECONDS = 15.0
TOLERANT_POP_INTERVAL = 8


@dataclass(frozen=True, slots=True)
class QueueItem:
    """Work that is queued for an endpoint.

    ``token`` identifies the item. ``estimate_s`` is its predicted service time and
    ``downstream_s`` the predicted time of the stages that follow.
    ``tolerates_latency`` marks work of callers that tolerate long waits.
    """

    token: object
    priority: int
    enqueued_at: float
    deadline_at: float
    downstream_s: float
    estimate_s: float
    tolerates_latency: bool = False


@dataclass(frozen=True, slots=True)
class QueuePush:
    """Result of a push; ``displaced`` is the item that was removed to make room."""

    accepted: bool
    reason: str = ""
    displaced: QueueItem | None = None


@dataclass(frozen=True, slots=True)
class LeastLaxity:
    """Least laxity first: deadline minus own estimate and downstream time."""


@dataclass(frozen=True, slots=True)
class EarliestDeadline:
    """Earliest deadline first, without downstream time (baseline)."""


@dataclass(frozen=True, slots=True)
class FirstCome:
    """Order of arrival, without priorities (baseline)."""


@singledispatch
def order_key(policy: object, item: QueueItem) -> tuple[float, float]:
    """Return the sort key of an item under ``policy``; the least key goes first."""
    raise TypeError(f"unknown queue policy {type(policy).__name__}")


@order_key.register
def _(policy: LeastLaxity, item: QueueItem) -> tuple[float, float]:
    start_at = latest_start(policy, item)
    if item.tolerates_latency:
        start_at = min(start_at, item.enqueued_at + TOLERANT_START_SECONDS)
    return item.priority, start_at


@order_key.register
def _(policy: EarliestDeadline, item: QueueItem) -> tuple[float, float]:
    return item.priority, item.deadline_at


@order_key.register
def _(policy: FirstCome, item: QueueItem) -> tuple[float, float]:
    return 0, item.enqueued_at


@singledispatch
def latest_start(policy: object, item: QueueItem) -> float:
    """Return the last time at which ``item`` can start and meet its deadline."""
    return item.deadline_at


@latest_start.register
def _(policy: LeastLaxity, item: QueueItem) -> float:
    return item.deadline_at - item.estimate_s - item.downstream_s


@latest_start.register
def _(policy: EarliestDeadline, item: QueueItem) -> float:
    return item.deadline_at - item.estimate_s


@singledispatch
def serves_starved(policy: object) -> bool:
    """Return whether ``policy`` prevents starvation of latency-tolerant items."""
    return False


@serves_starved.register
def _(policy: LeastLaxity) -> bool:
    return True


@singledispatch
def may_displace(policy: object) -> bool:
    """Return whether an item may displace a queued one of lower priority."""
    return True


@may_displace.register
def _(policy: FirstCome) -> bool:
    return False


_POLICIES = {
    "least_laxity": LeastLaxity,
    "earliest_deadline": EarliestDeadline,
    "first_come": FirstCome,
}


def queue_policy_by_name(name: str) -> object:
    """Return the queue policy for a settings value.

    Raises
    ------
    ValueError
        If there is no policy of that name.

    Examples
    --------
    >>> queue_policy_by_name("first_come")
    FirstCome()
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise ValueError(f"queue: expected one of {known}, got {name!r}")
    return _POLICIES[name]()


class StageQueue:
    """Bounded queue ordered by a policy.

    Parameters
    ----------
    policy : LeastLaxity, EarliestDeadline or FirstCome
        Defines the order and the expiry of items.
    capacity : int
        Maximum number of queued items.
    """

    def __init__(self, policy: object = LeastLaxity(), capacity: int = 256):
        if capacity < 1:
            raise ValueError(f"capacity: expected 1 or more, got {capacity}")
        self._policy = policy
        self._capacity = capacity
        self._arrival_numbers = itertools.count()
        self._pop_count = 0
        # Sorted by (key, arrival number); _entries_by_token holds the same tuples.
        self._entries: list[tuple[tuple[float, float], int, QueueItem]] = []
        self._entries_by_token: dict[object, tuple] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, item: QueueItem, now: float) -> QueuePush:
        """Add an item, unless its deadline is unreachable or the queue is full."""
        if item.token in self._entries_by_token:
            raise ValueError(f"token {item.token!r} is already queued")
        if latest_start(self._policy, item) < now:
            return QueuePush(False, DEADLINE_UNREACHABLE)
        displaced = None
        if len(self._entries) >= self._capacity:
            displaced = self._displaceable(item, now)
            if displaced is None:
                return QueuePush(False, QUEUE_FULL)
            self.remove(displaced.token)
        entry = (order_key(self._policy, item), next(self._arrival_numbers), item)
        bisect.insort(self._entries, entry, key=lambda queued_entry: queued_entry[:2])
        self._entries_by_token[item.token] = entry
        return QueuePush(True, displaced=displaced)

    def pop(self, now: float) -> QueueItem | None:
        """Remove and return the next item that can still meet its deadline.

        Other items stay queued until ``expire`` returns them, so that the caller can
        answer them.
        """
        item = self._next_starved(now) or self._first_startable(now)
        if item is not None:
            self._pop_count += 1
            self.remove(item.token)
        return item

    def expire(self, now: float) -> list[QueueItem]:
        """Remove and return the items that can no longer meet their deadline."""
        expired = [
            entry[2]
            for entry in self._entries
            if latest_start(self._policy, entry[2]) < now
        ]
        for item in expired:
            self.remove(item.token)
        return expired

    def remove(self, token: object) -> QueueItem | None:
        """Remove an item, for instance one that was cancelled."""
        entry = self._entries_by_token.pop(token, None)
        if entry is None:
            return None
        index = bisect.bisect_left(
            self._entries, entry[:2], key=lambda queued_entry: queued_entry[:2]
        )
        del self._entries[index]
        return entry[2]

    def _first_startable(self, now: float) -> QueueItem | None:
        for _, _, item in self._entries:
            if latest_start(self._policy, item) >= now:
                return item
        return None

    def _next_starved(self, now: float) -> QueueItem | None:
        """Return the oldest starved latency-tolerant item, if this pop is its turn."""
        if (
            not serves_starved(self._policy)
            or (self._pop_count + 1) % TOLERANT_POP_INTERVAL
        ):
            return None
        waiting = [
            item
            for _, _, item in self._entries
            if item.tolerates_latency
            and now - item.enqueued_at >= TOLERANT_WAIT_SECONDS
            and latest_start(self._policy, item) >= now
        ]
        return min(waiting, key=lambda item: item.enqueued_at, default=None)

    def _displaceable(self, item: QueueItem, now: float) -> QueueItem | None:
        """Return a queued item that is late or has lower priority than ``item``."""
        for _, _, queued in self._entries:
            if latest_start(self._policy, queued) < now:
                return queued
        if not may_displace(self._policy):
            return None
        last = self._entries[-1][2]
        return last if last.priority > item.priority else None
