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
MAX_EJECTED_DIVISOR = 3
PROBES_TO_REINSTATE = 3
# Ejections are forgotten after this time without a new one.
EJECTION_COUNT_RESET_SECONDS = 60.0


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
        linked = [state for state in states if state.link_up]
        changes = []
        median_latency = _median_latency(linked)
        for state in linked:
            change = self._advance_ejection(state, median_latency, now)
            if change is not None:
                changes.append(change)
        changes.extend(self._eject_outliers(linked, median_latency, now))
        return changes

    def _advance_ejection(
        self, state: EndpointState, median_latency: float, now: float
    ) -> EjectionChange | None:
        """Move an ejected or probing endpoint on."""
        if state.ejection is EjectionState.EJECTED and now >= state.ejected_until:
            state.reset_statistics()
            state.ejection = EjectionState.PROBING
            return EjectionChange(state.host, state.ejection, "probe")
        if state.ejection is EjectionState.PROBING:
            return self._check_probes(state, median_latency, now)
        if now - state.ejected_until > EJECTION_COUNT_RESET_SECONDS:
            state.ejections = 0
        return None

    def _check_probes(
        self, state: EndpointState, median_latency: float, now: float
    ) -> EjectionChange | None:
        if state.failure_rate > 0 or _is_slow(state, median_latency):
            return self._eject(state, "probe_failed", now)
        if state.samples < PROBES_TO_REINSTATE:
            return None
        state.ejection = EjectionState.ACTIVE
        return EjectionChange(state.host, state.ejection, "reinstated")

    def _eject_outliers(
        self, linked: Sequence[EndpointState], median_latency: float, now: float
    ) -> list[EjectionChange]:
        """Eject the worst active endpoints, as far as the share allows."""
        inactive = sum(
            1 for state in linked if state.ejection is not EjectionState.ACTIVE
        )
        allowed = len(linked) // MAX_EJECTED_DIVISOR - inactive
        active = [state for state in linked if state.ejection is EjectionState.ACTIVE]
        outliers = _outliers(active, median_latency)
        chosen = outliers[: max(0, min(allowed, len(active) - 1))]
        return [self._eject(state, reason, now) for state, reason in chosen]

    def _eject(self, state: EndpointState, reason: str, now: float) -> EjectionChange:
        duration_s = self._first_ejection_s * 2.0 ** min(state.ejections, 16)
        state.ejections += 1
        state.ejected_until = now + min(self._maximum_ejection_s, duration_s)
        state.ejection = EjectionState.EJECTED
        return EjectionChange(state.host, state.ejection, reason)


def _median_latency(linked: Sequence[EndpointState]) -> float:
    known = [
        state.comparable_latency
        for state in linked
        if state.ejection is EjectionState.ACTIVE and state.comparable_latency > 0
    ]
    return median(known) if known else 0.0


def _outliers(
    active: Sequence[EndpointState], median_latency: float
) -> list[tuple[EndpointState, str]]:
    """Return failing endpoints, worst first, then slow ones."""
    if len(active) < 2:
        return []
    median_failure_rate = median(state.failure_rate for state in active)
    known = [state for state in active if state.samples >= MIN_SAMPLES]
    max_failure_rate = max(
        median_failure_rate + FAILURE_MARGIN, median_failure_rate * FAILURE_FACTOR
    )
    failing = [state for state in known if state.failure_rate > max_failure_rate]
    slow = [
        state
        for state in known
        if state not in failing and _is_slow(state, median_latency)
    ]
    failing.sort(key=lambda state: -state.failure_rate)
    slow.sort(key=lambda state: -state.comparable_latency)
    return [(state, "failing") for state in failing] + [
        (state, "slow") for state in slow
    ]


def _is_slow(state: EndpointState, median_latency: float) -> bool:
    return 0 < median_latency * SLOW_FACTOR < state.comparable_latency
