"""Ordered, bounded queue of one endpoint.

Priority 0 is the highest. The order within a priority is fixed when an
item arrives: laxity falls equally fast for all items, so the latest start decides.
"""

import bisect
import itertools
from dataclasses import dataclass
from functools import singledispatch

QUEUE_FULL = "queue_full"
DEADLINE_UNREACHABLE = "deadline_unreachable"
# A patient item is ordered as if it had to start this long after its arrival.
TOLERANT_START_SECONDS = 5.0
# Once a patient item has waited this long, every PATIENT_TURN-th pop serves the oldest
# one whatever its priority is, which bounds both its wait and the cost to the others.
TOLERANT_WAIT_SECONDS = 15.0
TOLERANT_POP_INTERVAL = 8


@dataclass(frozen=True, slots=True)
class QueueItem:
    """Work that waits for an endpoint.

    ``downstream_s`` is the predicted need of the stages that follow and ``estimate_s``
    the own service time. ``tolerates_latency`` marks callers that tolerate latency.
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
    """Result of a push; ``displaced`` lost its place to the new item."""

    accepted: bool
    reason: str = ""
    displaced: QueueItem | None = None


@dataclass(frozen=True, slots=True)
class LeastLaxity:
    """Least time left after own estimate and downstream need first."""


@dataclass(frozen=True, slots=True)
class EarliestDeadline:
    """Earliest deadline first; ignores the downstream need (baseline)."""


@dataclass(frozen=True, slots=True)
class FirstCome:
    """Order of arrival, priorities ignored (baseline)."""


@singledispatch
def order_key(policy: object, item: QueueItem) -> tuple[float, float]:
    """Return the key by which ``policy`` orders items, least first."""
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
    """Return the last time at which starting ``item`` still makes sense."""
    return item.deadline_at


@latest_start.register
def _(policy: LeastLaxity, item: QueueItem) -> float:
    return item.deadline_at - item.estimate_s - item.downstream_s


@latest_start.register
def _(policy: EarliestDeadline, item: QueueItem) -> float:
    return item.deadline_at - item.estimate_s


@singledispatch
def serves_starved(policy: object) -> bool:
    """Return whether ``policy`` gives turns to patient items that waited long."""
    return False


@serves_starved.register
def _(policy: LeastLaxity) -> bool:
    return True


@singledispatch
def may_displace(policy: object) -> bool:
    """Return whether a more important item takes the place of a queued one."""
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
        If the name is unknown.

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
        Order and expiry of items.
    capacity : int
        Items that may wait.
    """

    def __init__(self, policy: object = LeastLaxity(), capacity: int = 256):
        if capacity < 1:
            raise ValueError(f"capacity: expected 1 or more, got {capacity}")
        self._policy = policy
        self._capacity = capacity
        self._arrival_numbers = itertools.count()
        self._pop_count = 0
        # Sorted by (key, arrival); tokens maps to the same tuples.
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
        """Return the next item that can still meet its deadline.

        Items that cannot are left for ``expire``, so that they are answered.
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
        """Return the longest waiting patient item if it is its turn."""
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
        """Return a queued item that is late or less important than ``item``."""
        for _, _, queued in self._entries:
            if latest_start(self._policy, queued) < now:
                return queued
        if not may_displace(self._policy):
            return None
        last = self._entries[-1][2]
        return last if last.priority > item.priority else None
