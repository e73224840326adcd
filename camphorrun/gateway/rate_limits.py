"""Rate limits of replicas, as their answers and other gateways tell them."""

from collections import OrderedDict
from collections.abc import Callable

from ..catalog import Boot
from .messages import RateLimitMessage

# Bound of the statements that are kept. The oldest belong to processes that ended long
# ago.
MAX_STATEMENTS = 4096
# A withdrawn limit is told to other gateways for this time; all have heard of it then.
WITHDRAWAL_SECONDS = 30.0
# A statement that another gateway repeats counts as newer only from this difference on.
# Each hop makes a statement look younger by the time of the message.
MIN_NEWER_SECONDS = 0.25


class RateLimits:
    """Latest statement of each start of a replica about its rate limit.

    Statements from different gateways are compared by their ages. A limit is stated
    when an answer with it arrives. That there is none is stated when the request was
    sent: the answer may be older than a limit that another answer names.

    Examples
    --------
    >>> limits = RateLimits()
    >>> limits.state(("i-1", 0), 2.0, at=5.0), limits.get(("i-1", 0))
    (True, 2.0)
    >>> limits.state(("i-1", 0), None, at=4.9), limits.get(("i-1", 0))
    (False, 2.0)
    """

    __slots__ = ("_listeners", "_statements")

    def __init__(self):
        self._statements: OrderedDict[Boot, tuple[float | None, float]] = OrderedDict()
        self._listeners: list[Callable[[Boot], None]] = []

    def subscribe(self, listener: Callable[[Boot], None]) -> None:
        """Register a listener that is called after each change of a limit."""
        self._listeners.append(listener)

    def get(self, boot: Boot) -> float | None:
        """Return the limit in requests per second, None if there is none."""
        statement = self._statements.get(boot)
        return statement[0] if statement is not None else None

    def state(self, boot: Boot, per_s: float | None, at: float) -> bool:
        """Record what a replica said at a time; return whether the limit changed."""
        known = self._statements.get(boot)
        if known is None and per_s is None:
            return False
        if known is not None and at <= known[1]:
            return False
        self._statements[boot] = (per_s, at)
        self._statements.move_to_end(boot)
        while len(self._statements) > MAX_STATEMENTS:
            self._statements.popitem(last=False)
        if known is not None and known[0] == per_s:
            return False
        for listener in self._listeners:
            listener(boot)
        return True

    def merge(self, messages: list[RateLimitMessage], now: float) -> list[Boot]:
        """Apply what another gateway knows; return the starts whose limit changed."""
        changed = []
        for message in messages:
            boot = (message.replica, message.started_ms)
            at = now - max(0.0, message.age_s)
            known = self._statements.get(boot)
            is_repeated = known is not None and known[0] == message.per_s
            if is_repeated and at - known[1] < MIN_NEWER_SECONDS:
                continue
            if self.state(boot, message.per_s, at):
                changed.append(boot)
        return changed

    def messages(self, boots: list[Boot], now: float) -> list[RateLimitMessage]:
        """Return the statements of some starts of replicas, as far as known."""
        return [
            RateLimitMessage(*boot, per_s, now - at)
            for boot in boots
            if boot in self._statements
            for per_s, at in [self._statements[boot]]
        ]

    def current_messages(self, now: float) -> list[RateLimitMessage]:
        """Return the limits in force and those that were withdrawn lately."""
        boots = [
            boot
            for boot, (per_s, at) in self._statements.items()
            if per_s is not None or now - at < WITHDRAWAL_SECONDS
        ]
        return self.messages(boots, now)

    def newer_messages(
        self, messages: list[RateLimitMessage], now: float
    ) -> list[RateLimitMessage]:
        """Return the statements that differ from those of another gateway."""
        differing = [
            (message.replica, message.started_ms)
            for message in messages
            if self.get((message.replica, message.started_ms)) != message.per_s
        ]
        return self.messages(differing, now)

    def in_force(self) -> list[Boot]:
        """Return the starts of replicas that have a limit."""
        return [
            boot for boot, (per_s, _) in self._statements.items() if per_s is not None
        ]
