"""How long replicas are cold, and what they may get meanwhile.

Load pattern: a replica that starts, or returns with its availability zone, has the
lowest load of its service, so all senders choose it at once. It tolerates a few
requests per second until its caches and connections are filled; a burst in the first
seconds takes it down again. The replicas of a zone return together, and some senders
hear of it later than others.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ..catalog import Boot
from .permits import (
    BURST_SECONDS,
    COMMON_PERMITS,
    PERMIT_LIFETIME_SECONDS,
    PoolRules,
)

# Window of the bound on the requests that a cold replica gets.
WINDOW_SECONDS = 1.0
# Allowance for the time between the last check of a permit and the send.
SEND_SECONDS = 0.1
# A replica that is cold for longer repeats it.
MAX_COLD_SECONDS = 300.0
# Bound of the beliefs that are kept.
MAX_BELIEFS = 4096
# A belief of another gateway counts from this difference on. Each message makes what is
# left look longer by the time that it takes.
MIN_LONGER_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """Bound of the requests that a cold replica gets in one second.

    It is ``overrun`` times the requests per second that the replica tolerates, plus
    ``tolerance`` requests.
    """

    overrun: float = 1.5
    tolerance: float = 5.0

    def allowed(self, requests_per_s: float) -> float:
        """Return the requests that a replica may get in one second."""
        return requests_per_s * self.overrun + self.tolerance


def cold_rate(requests_per_s: float, bounds: ColdBounds) -> tuple[float, PoolRules]:
    """Return the rate and the rules of the pool of a cold replica.

    A request is sent up to the lifetime of a permit after the permit became effective,
    so the requests of one window have the permits of a longer one.

    Examples
    --------
    >>> rate, rules = cold_rate(9.6, ColdBounds())
    >>> rate, round(rules.max_burst, 3)
    (9.6, 4.4)
    >>> cold_rate(4.0, ColdBounds(overrun=0.1, tolerance=0.0))[0]
    0.0
    """
    allowed = bounds.allowed(requests_per_s)
    span_s = WINDOW_SECONDS + PERMIT_LIFETIME_SECONDS + SEND_SECONDS
    rate = max(0.0, min(requests_per_s, (allowed - 1.0) / span_s))
    wanted_burst = 1.0 + COMMON_PERMITS + BURST_SECONDS * rate
    burst = max(0.0, min(allowed - rate * span_s, wanted_burst))
    return rate, PoolRules(needs_majority=True, min_rate_per_s=0.0, max_burst=burst)


@dataclass(frozen=True, slots=True)
class ColdBelief:
    """Until when one start of a replica is cold, and the rate that it tolerates.

    Attributes
    ----------
    is_certain : bool
        Whether the belief comes from an observation whose age is known. A registration
        that a new gateway lists may be old.
    is_told : bool
        Whether another gateway told it.
    announced_until : float
        Value of ``until`` when the belief last was news.
    """

    until: float
    requests_per_s: float
    is_certain: bool
    is_told: bool
    announced_until: float


class ColdBeliefs:
    """Starts of replicas that are cold; a belief only grows and ends by time.

    Examples
    --------
    >>> beliefs = ColdBeliefs()
    >>> beliefs.extend(("i-1", 0), 3.0, 9.6, now=10.0)
    True
    >>> beliefs.extend(("i-1", 0), 1.0, 9.6, now=11.0)
    False
    >>> beliefs.get(("i-1", 0), 12.9).requests_per_s, beliefs.get(("i-1", 0), 13.0)
    (9.6, None)
    """

    __slots__ = ("_beliefs",)

    def __init__(self):
        self._beliefs: OrderedDict[Boot, ColdBelief] = OrderedDict()

    def get(self, boot: Boot, now: float) -> ColdBelief | None:
        """Return the belief about a start of a replica, None if it is warm."""
        belief = self._beliefs.get(boot)
        return belief if belief is not None and now < belief.until else None

    def extend(
        self,
        boot: Boot,
        remaining_s: float,
        requests_per_s: float,
        now: float,
        *,
        is_certain: bool = True,
        is_told: bool = False,
    ) -> bool:
        """Record that a replica is cold for some seconds; return whether it is news.

        It is news if the replica was warm or not certainly cold before, or is cold for
        noticeably longer. An observation replaces an uncertain belief, also if it is
        shorter.
        """
        known = self.get(boot, now)
        until = now + min(remaining_s, MAX_COLD_SECONDS)
        if until <= now or (known is not None and known.is_certain and not is_certain):
            return False
        is_longer = known is None or known.is_certain != is_certain
        announced_until = until
        if not is_longer:
            is_longer = until >= known.announced_until + MIN_LONGER_SECONDS
            if until <= known.until or (is_told and not is_longer):
                return False
            announced_until = until if is_longer else known.announced_until
        self._beliefs[boot] = ColdBelief(
            until, requests_per_s, is_certain, is_told, announced_until
        )
        self._beliefs.move_to_end(boot)
        while len(self._beliefs) > MAX_BELIEFS:
            self._beliefs.popitem(last=False)
        return is_longer

    def in_force(self, now: float) -> list[Boot]:
        """Return the starts of replicas that are cold now."""
        return [b for b, belief in self._beliefs.items() if now < belief.until]

    def remove_ended(self, now: float) -> list[Boot]:
        """Remove the beliefs that have ended and return their starts."""
        ended = [b for b, belief in self._beliefs.items() if now >= belief.until]
        for boot in ended:
            del self._beliefs[boot]
        return ended

    def __len__(self) -> int:
        return len(self._beliefs)
