"""Rate limits of replicas, as their answers and other gateways tell them.

A limit is announced by the replica, or follows from the time for which it is cold.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ..catalog import Boot
from ..limits import (
    SHARED_RULES,
    ColdBeliefs,
    ColdBounds,
    PoolRules,
    cold_rate,
)
from ..limits.cold import MIN_LONGER_SECONDS
from .messages import ColdMessage, RateLimitMessage

# Bound of the statements that are kept. The oldest belong to processes that ended long
# ago.
MAX_STATEMENTS = 4096
# A withdrawn limit is told to other gateways for this time; all have heard of it then.
WITHDRAWAL_SECONDS = 30.0
# A statement that another gateway repeats counts as newer only from this difference on.
# Each hop makes a statement look younger by the time of the message.
MIN_NEWER_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class LimitInForce:
    """Rate at which all gateways together may send, and the rules of its pool."""

    per_s: float
    rules: PoolRules

    @property
    def is_cold(self) -> bool:
        """Whether the replica is cold; a share of the limit may not be used then."""
        return self.rules.needs_majority


class RateLimits:
    """Latest statement of each start of a replica about its rate limit.

    Statements from different gateways are compared by their ages. A limit is stated
    when an answer with it arrives. That there is none is stated when the request was
    sent: the answer may be older than a limit that another answer names. A replica that
    is cold has a limit until it is warm; the lower of both limits is in force.

    Parameters
    ----------
    bounds : ColdBounds
        Bound of the requests that a cold replica gets.

    Examples
    --------
    >>> limits = RateLimits()
    >>> limits.state(("i-1", 0), 2.0, at=5.0), limits.get(("i-1", 0))
    (True, 2.0)
    >>> limits.state(("i-1", 0), None, at=4.9), limits.get(("i-1", 0))
    (False, 2.0)
    """

    __slots__ = ("_bounds", "_listeners", "_statements", "cold")

    def __init__(self, bounds: ColdBounds = ColdBounds()):  # noqa: B008
        self.cold = ColdBeliefs()
        self._bounds = bounds
        self._statements: OrderedDict[Boot, tuple[float | None, float]] = OrderedDict()
        self._listeners: list[Callable[[Boot], None]] = []

    def subscribe(self, listener: Callable[[Boot], None]) -> None:
        """Register a listener that is called after each change of a limit."""
        self._listeners.append(listener)

    def get(self, boot: Boot) -> float | None:
        """Return the announced limit in requests per second, None if there is none."""
        statement = self._statements.get(boot)
        return statement[0] if statement is not None else None

    def limit_in_force(self, boot: Boot, now: float) -> LimitInForce | None:
        """Return the lower of the announced limit and the cold limit, None without."""
        announced = self.get(boot) if self._statements else None
        belief = self.cold.get(boot, now) if self.cold else None
        if belief is None:
            return None if announced is None else LimitInForce(announced, SHARED_RULES)
        per_s, rules = cold_rate(belief.requests_per_s, self._bounds)
        if announced is not None:
            per_s = min(per_s, max(announced, SHARED_RULES.min_rate_per_s))
        return LimitInForce(per_s, rules)

    def mark_cold(
        self,
        boot: Boot,
        remaining_s: float,
        requests_per_s: float,
        now: float,
        *,
        is_certain: bool = True,
    ) -> bool:
        """Record that a replica is cold for some seconds; return whether it is news."""
        is_news = self.cold.extend(
            boot, remaining_s, requests_per_s, now, is_certain=is_certain
        )
        if is_news:
            self._notify(boot)
        return is_news

    def merge_cold(self, messages: list[ColdMessage], now: float) -> list[Boot]:
        """Apply what another gateway knows of cold replicas; return what is news."""
        changed = []
        for message in messages:
            boot = (message.replica, message.started_ms)
            if message.is_certain and self.cold.extend(
                boot, message.remaining_s, message.per_s, now, is_told=True
            ):
                self._notify(boot)
                changed.append(boot)
        return changed

    def cold_messages(
        self, boots: list[Boot], now: float, *, repeats: bool = False
    ) -> list[ColdMessage]:
        """Return the beliefs about some starts of replicas, as far as they are cold.

        A belief that another gateway told is passed on as certain only if ``repeats``
        is set. Otherwise it would seem to be younger with each message.
        """
        found = ((boot, self.cold.get(boot, now)) for boot in boots)
        return [
            ColdMessage(
                *boot,
                belief.requests_per_s,
                belief.until - now,
                belief.is_certain
                and (
                    repeats
                    or not belief.is_told
                    or belief.until - now >= MIN_LONGER_SECONDS
                ),
            )
            for boot, belief in found
            if belief is not None
        ]

    def current_cold_messages(self, now: float) -> list[ColdMessage]:
        """Return the certain beliefs about cold replicas."""
        messages = self.cold_messages(self.cold.in_force(now), now, repeats=True)
        return [message for message in messages if message.is_certain]

    def _notify(self, boot: Boot) -> None:
        for listener in self._listeners:
            listener(boot)

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
        self._notify(boot)
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

    def limited(self, now: float) -> set[Boot]:
        """Return the starts of replicas that have a limit or are cold."""
        return {*self.in_force(), *self.cold.in_force(now)}

    def in_force(self) -> list[Boot]:
        """Return the starts of replicas that have an announced limit."""
        return [
            boot for boot, (per_s, _) in self._statements.items() if per_s is not None
        ]
