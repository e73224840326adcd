"""Admission of requests that use several services.

One number for the whole capacity hides the bottleneck, so each service has a controller
of its own and a request is admitted only if all of its services admit it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .controller import (
    OVERLOADED,
    AdmissionController,
    AdmissionRequest,
    Predictive,
    Refused,
)


@dataclass(frozen=True, slots=True)
class GroupRequest:
    """A request that asks to be admitted.

    ``predicted_s`` is the predicted time to completion, queue waits included,
    ``needs`` the predicted service seconds by service, and ``need_s`` the predicted
    time without any wait, 0 if it is unknown.
    """

    account: str
    weight: float
    priority: int
    remaining_s: float
    predicted_s: float
    needs: Mapping[str, float]
    need_s: float = 0.0

    def for_service(self, service: str) -> AdmissionRequest:
        """Return the part of one service."""
        return AdmissionRequest(
            self.account,
            self.weight,
            self.priority,
            self.remaining_s,
            self.predicted_s,
            self.needs[service],
            self.need_s,
        )


@dataclass(slots=True)
class AdmissionTicket:
    """An admitted request; ``open`` is the cost that was not released, by service."""

    request: GroupRequest
    unreleased_cost: dict[str, float]
    spent_s: dict[str, float] = field(default_factory=dict)

    def slowest_service(self) -> str:
        """Return the service where most time beyond the prediction was spent."""
        needs = self.request.needs
        return max(needs, key=lambda name: self.spent_s.get(name, 0.0) - needs[name])


class AdmissionGroup:
    """Admission of one entry over all services.

    Parameters
    ----------
    policy : Predictive or AdmitAll
        Decision policy.
    max_requests : int
        Requests that may be in flight.

    Examples
    --------
    >>> group = AdmissionGroup()
    >>> group.on_capacity({"encode": 0.0, "generate": 8.0}, 0.0)
    >>> group.admit(GroupRequest("a", 1.0, 0, 4.0, 0.5, {"encode": 0.1}), 0.0).code
    'overloaded'
    """

    def __init__(self, policy: object = Predictive(), max_requests: int = 2000):
        self._policy = policy
        self._max_requests = max_requests
        self._controllers: dict[str, AdmissionController] = {}
        self.in_flight = 0

    def admit(self, request: GroupRequest, now: float) -> AdmissionTicket | Refused:
        """Decide on a request; ``finish`` must follow for an admitted one."""
        controllers = {name: self._controller(name) for name in request.needs}
        if self.in_flight >= self._max_requests:
            waits = [item.retry_after_s() for item in controllers.values()]
            return Refused(OVERLOADED, max(waits, default=0.0))
        # The scarcest service decides first, so that the demand which it refuses does
        # not count as demand at the others.
        ordered = sorted(controllers, key=lambda name: -controllers[name].scarcity(now))
        admitted: list[str] = []
        for name in ordered:
            decision = controllers[name].admit(request.for_service(name), now)
            if isinstance(decision, Refused):
                for earlier in admitted:
                    controllers[earlier].withdraw(request.for_service(earlier))
                return decision
            admitted.append(name)
        self.in_flight += 1
        return AdmissionTicket(request, dict(request.needs))

    def finish_stage(
        self,
        ticket: AdmissionTicket,
        service: str,
        cost: float,
        spent_s: float,
        now: float,
    ) -> None:
        """Record that a stage ended after ``spent_s``; ``cost`` of it was completed."""
        ticket.spent_s[service] = ticket.spent_s.get(service, 0.0) + spent_s
        released = min(cost, ticket.unreleased_cost.get(service, 0.0))
        ticket.unreleased_cost[service] = (
            ticket.unreleased_cost.get(service, 0.0) - released
        )
        self._controller(service).release_cost(released, now)

    def finish(
        self, ticket: AdmissionTicket, met_deadline: bool | None, now: float
    ) -> None:
        """Record the end of a request; None says nothing about its deadline."""
        self.in_flight = max(0, self.in_flight - 1)
        for name, cost in ticket.unreleased_cost.items():
            self._controller(name).abandon(cost)
        if met_deadline is None or not ticket.request.needs:
            return
        if not met_deadline:
            self._controller(ticket.slowest_service()).on_outcome(False, now)
            return
        for name in ticket.request.needs:
            self._controller(name).on_outcome(True, now)

    def on_capacity(self, capacities: Mapping[str, float], now: float) -> None:
        """Set the service seconds a second of each service for this entry."""
        for name, capacity in capacities.items():
            self._controller(name).on_capacity(capacity, now)
        for name in tuple(self._controllers):
            if name not in capacities and not self._controllers[name].in_flight:
                del self._controllers[name]

    def _controller(self, service: str) -> AdmissionController:
        controller = self._controllers.get(service)
        if controller is None:
            controller = AdmissionController(self._policy, self._max_requests)
            self._controllers[service] = controller
        return controller
