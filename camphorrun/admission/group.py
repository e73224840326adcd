"""Admission of requests that use several services.

A total capacity over all services would hide the bottleneck. Each service therefore has
its own controller, and a request is admitted only if all services that it uses admit
it.
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
    """A request over several services, to be admitted or refused.

    ``remaining_s`` is the time to the deadline, ``predicted_s`` the predicted time to
    completion including queue waits, and ``need_s`` the predicted time without queue
    waits, 0 if unknown. ``needs`` maps each service to the predicted service seconds.
    """

    account: str
    weight: float
    priority: int
    remaining_s: float
    predicted_s: float
    needs: Mapping[str, float]
    need_s: float = 0.0

    def for_service(self, service: str) -> AdmissionRequest:
        """Return the part of the request that one service must admit."""
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
    """An admitted request, with the cost that it still holds at each service.

    ``spent_s`` is the time spent so far, by service.
    """

    request: GroupRequest
    unreleased_cost: dict[str, float]
    spent_s: dict[str, float] = field(default_factory=dict)

    def slowest_service(self) -> str:
        """Return the service that exceeded its predicted time most."""
        needs = self.request.needs
        return max(needs, key=lambda name: self.spent_s.get(name, 0.0) - needs[name])


class AdmissionGroup:
    """Admission control of one entry over all services.

    Parameters
    ----------
    policy : Predictive or AdmitAll
        Decision policy.
    max_requests : int
        Maximum number of requests in flight.

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
        """Admit or refuse a request; ``finish`` must follow an admission."""
        controllers = {name: self._controller(name) for name in request.needs}
        if self.in_flight >= self._max_requests:
            waits = [item.retry_after_s() for item in controllers.values()]
            return Refused(OVERLOADED, max(waits, default=0.0))
        # The service with the highest ratio of demand to admitted rate decides first,
        # so that requests which it refuses do not count as demand at the others.
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
        """Record that a stage ended after ``spent_s`` and completed ``cost``."""
        ticket.spent_s[service] = ticket.spent_s.get(service, 0.0) + spent_s
        released = min(cost, ticket.unreleased_cost.get(service, 0.0))
        ticket.unreleased_cost[service] = (
            ticket.unreleased_cost.get(service, 0.0) - released
        )
        self._controller(service).release_cost(released, now)

    def finish(
        self, ticket: AdmissionTicket, met_deadline: bool | None, now: float
    ) -> None:
        """Record the end of a request.

        ``met_deadline`` is None if the end says nothing about the capacity, for example
        after a cancellation. A miss counts only for the slowest service.
        """
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
        """Set the capacity of each service, in service seconds per second."""
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
