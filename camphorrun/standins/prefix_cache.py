"""Prefix cache of a stand-in engine, with events that come late and with gaps."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from ..core import TimerService

MAX_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the cache: ``stored`` or ``evicted``."""

    offset: int
    kind: str
    prefix: str


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Events from an offset on; a gap in the offsets is an event that got lost."""

    events: tuple[CacheEvent, ...]
    next_offset: int


class PrefixCache:
    """Least recently used prefixes in limited memory.

    Parameters
    ----------
    timers : TimerService
        Clock.
    capacity : int
        Prefixes that fit.
    event_lag_s : float
        Time until an event can be read.
    lose_every : int
        Every event with this number is never published; 0 loses none.
    """

    def __init__(
        self,
        timers: TimerService,
        capacity: int,
        event_lag_s: float = 0.0,
        lose_every: int = 0,
    ):
        self._timers = timers
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self._lose_every = lose_every
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._next_offset = 1
        self.hits = 0

    def use(self, prefix: str) -> bool:
        """Return whether a prefix is cached, and cache it."""
        hit = prefix in self._prefixes
        self.hits += hit
        if self._capacity <= 0:
            return False
        if not hit:
            self._add_event("stored", prefix)
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > self._capacity:
            evicted, _ = self._prefixes.popitem(last=False)
            self._add_event("evicted", evicted)
        return hit

    def events(self, offset: int) -> CacheEvents:
        """Return the published events from ``offset`` on."""
        horizon = self._timers.now() - self._event_lag_s
        events = tuple(
            event
            for at, event in self._events
            if event.offset >= offset and at <= horizon
        )
        following = events[-1].offset + 1 if events else offset
        return CacheEvents(events, following)

    def _add_event(self, kind: str, prefix: str) -> None:
        offset = self._next_offset
        self._next_offset += 1
        if self._lose_every and offset % self._lose_every == 0:
            return
        event = CacheEvent(offset, kind, prefix)
        self._events.append((self._timers.now(), event))
