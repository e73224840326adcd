"""Ejection of slow and failing endpoints, and their return through probes."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from .endpoints import EjectionState, EndpointState

MIN_SAMPLES = 4
# An endpoint is slow at this multiple of the median latency of its service.
SLOW_FACTOR = 3.0
# An endpoint fails if its failure rate exceeds that of the median by this much, and
# is more than this multiple of it: timeouts of a service in overload are no outlier.
FAILURE_MARGIN = 0.35
FAILURE_FACTOR = 2.0
FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 120.0
EJECTED_DIVISOR = 3
PROBES_TO_RETURN = 3
# Ejections are forgotten after this time without a new one.
FORGIVE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class EjectionChange:
    """A change of the ejection state of an endpoint, for counters and logs."""

    host: str
    state: EjectionState
    reason: str


class OutlierDetector:
    """Watches the endpoints of one service.

    The caller evaluates it periodically, for instance every 0.25 s, with all endpoints
    of a service. Endpoints whose link is down are left out on both sides: they need no
    ejection, and they do not use up the share that may be ejected.
    """

    def __init__(
        self,
        *,
        first_ejection_s: float = FIRST_EJECTION_SECONDS,
        maximum_ejection_s: float = MAX_EJECTION_SECONDS,
    ):
        self._first_ejection_s = first_ejection_s
        self._maximum_ejection_s = maximum_ejection_s

    def evaluate(
        self, states: Sequence[EndpointState], now: float
    ) -> list[EjectionChange]:
        """Eject outliers, start probes and reinstate; return the changes."""
        live = [state for state in states if state.link_up]
        changes = []
        typical = _typical_slowness(live)
        for state in live:
            change = self._advance(state, typical, now)
            if change is not None:
                changes.append(change)
        changes.extend(self._eject_outliers(live, typical, now))
        return changes

    def _advance(
        self, state: EndpointState, typical: float, now: float
    ) -> EjectionChange | None:
        """Move an ejected or probing endpoint on."""
        if state.ejection is EjectionState.EJECTED and now >= state.ejected_until:
            state.forget_results()
            state.ejection = EjectionState.PROBING
            return EjectionChange(state.host, state.ejection, "probe")
        if state.ejection is EjectionState.PROBING:
            return self._judge_probes(state, typical, now)
        if now - state.ejected_until > FORGIVE_SECONDS:
            state.ejections = 0
        return None

    def _judge_probes(
        self, state: EndpointState, typical: float, now: float
    ) -> EjectionChange | None:
        if state.failure_rate > 0 or _is_slow(state, typical):
            return self._eject(state, "probe_failed", now)
        if state.samples < PROBES_TO_RETURN:
            return None
        state.ejection = EjectionState.ACTIVE
        return EjectionChange(state.host, state.ejection, "reinstated")

    def _eject_outliers(
        self, live: Sequence[EndpointState], typical: float, now: float
    ) -> list[EjectionChange]:
        """Eject the worst active endpoints, as far as the share allows."""
        out = sum(1 for state in live if state.ejection is not EjectionState.ACTIVE)
        allowed = len(live) // EJECTED_DIVISOR - out
        active = [s for s in live if s.ejection is EjectionState.ACTIVE]
        outliers = _outliers(active, typical)
        chosen = outliers[: max(0, min(allowed, len(active) - 1))]
        return [self._eject(state, reason, now) for state, reason in chosen]

    def _eject(self, state: EndpointState, reason: str, now: float) -> EjectionChange:
        duration_s = self._first_ejection_s * 2.0 ** min(state.ejections, 16)
        state.ejections += 1
        state.ejected_until = now + min(self._maximum_ejection_s, duration_s)
        state.ejection = EjectionState.EJECTED
        return EjectionChange(state.host, state.ejection, reason)


def _typical_slowness(live: Sequence[EndpointState]) -> float:
    known = [
        state.slowness
        for state in live
        if state.ejection is EjectionState.ACTIVE and state.slowness > 0
    ]
    return median(known) if known else 0.0


def _outliers(
    active: Sequence[EndpointState], typical: float
) -> list[tuple[EndpointState, str]]:
    """Return failing endpoints, worst first, then slow ones."""
    if len(active) < 2:
        return []
    typical_rate = median(state.failure_rate for state in active)
    known = [state for state in active if state.samples >= MIN_SAMPLES]
    bound = max(typical_rate + FAILURE_MARGIN, typical_rate * FAILURE_FACTOR)
    failing = [s for s in known if s.failure_rate > bound]
    slow = [s for s in known if s not in failing and _is_slow(s, typical)]
    failing.sort(key=lambda state: -state.failure_rate)
    slow.sort(key=lambda state: -state.slowness)
    return [(s, "failing") for s in failing] + [(s, "slow") for s in slow]


def _is_slow(state: EndpointState, typical: float) -> bool:
    return 0 < typical * SLOW_FACTOR < state.slowness
