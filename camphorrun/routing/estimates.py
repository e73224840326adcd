"""Predicted service time of a stage and queue wait of a service."""

from collections import OrderedDict
from collections.abc import Iterable

from ..limits import LinearFit
from .endpoints import DEFAULT_SERVICE_SECONDS, EjectionState, EndpointState

MAX_KINDS = 512
# Below this much work in the reports a share of it is noise.
MIN_REPORTED_CALLS = 4


class StageEstimator:
    """Learns the seconds that input and output units cost, by service and kind.

    A kind is an operation with its model.

    Examples
    --------
    >>> estimator = StageEstimator()
    >>> for units in range(1, 40):
    ...     estimator.observe("generate", "m", 10, units, 0.05 + 0.02 * units)
    >>> round(estimator.estimate_s("generate", "m", 10, 20), 2)
    0.45
    """

    def __init__(self, default_s: float = DEFAULT_SERVICE_SECONDS):
        self._default_s = default_s
        self._fits: OrderedDict[tuple[str, str], LinearFit] = OrderedDict()

    def observe(
        self,
        service: str,
        kind: str,
        input_units: int,
        output_units: int,
        service_time_s: float,
    ) -> None:
        """Add the service time of a successful attempt, without its queue wait."""
        key = (service, kind)
        fit = self._fits.get(key)
        if fit is None:
            fit = self._fits[key] = LinearFit(2)
            if len(self._fits) > MAX_KINDS:
                self._fits.popitem(last=False)
        self._fits.move_to_end(key)
        fit.observe((input_units, output_units), service_time_s)

    def estimate_s(
        self, service: str, kind: str, input_units: int, output_units: int
    ) -> float:
        """Return the predicted service time."""
        fit = self._fits.get((service, kind))
        if fit is None:
            return self._default_s
        return fit.predict((input_units, output_units))

    def queue_wait_s(
        self, service: str, states: Iterable[EndpointState], now: float
    ) -> float:
        """Return the queue wait to expect at the endpoint that routing will choose.

        The better half of the usable endpoints counts, because two are compared for
        each choice. Without a usable endpoint the wait is infinite.
        """
        waits = sorted(
            state.predicted_wait_s(now)
            for state in states
            if state.service == service and _is_usable(state)
        )
        if not waits:
            return float("inf")
        better_half = waits[: (len(waits) + 1) // 2]
        return sum(better_half) / len(better_half)


def service_capacity(states: Iterable[EndpointState]) -> float:
    """Return the service seconds a second that the usable endpoints can spend.

    The sum of their concurrency limits: each call in flight spends one second a second.
    """
    return float(sum(state.limit for state in states if _is_usable(state)))


def load_share(states: Iterable[EndpointState]) -> float:
    """Return this entry's share of the work that the last reports show; 0 if unknown.

    It shows entries that the host list still has and that send nothing any more.
    """
    own_calls = total_calls = 0
    for state in states:
        if _is_usable(state) and state.report is not None:
            total_calls += state.report.in_flight + state.report.queued
            own_calls += state.in_flight_at_report
    return (
        min(1.0, own_calls / total_calls) if total_calls >= MIN_REPORTED_CALLS else 0.0
    )


def _is_usable(state: EndpointState) -> bool:
    if not state.link_up or state.draining:
        return False
    return state.ejection is EjectionState.ACTIVE
