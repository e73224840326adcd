"""Applies the faults of a scenario to a local system at their times."""

from functools import partial

from ..core import TimerService
from ..replay import Fault, Scenario
from ..standins import LogFaults
from .local_system import LocalEndpoint, LocalSystem


class FaultSchedule:
    """Faults of a scenario, applied while it runs.

    Parameters
    ----------
    system : LocalSystem
        The system that suffers the faults.
    scenario : Scenario
        Holds the faults.
    timers : TimerService
        Clock.
    speed : float
        Factor by which the trace is faster than recorded.
    """

    def __init__(
        self,
        system: LocalSystem,
        scenario: Scenario,
        timers: TimerService,
        speed: float = 1.0,
    ):
        self._system = system
        self._scenario = scenario
        self._timers = timers
        self._speed = speed
        self._handles = []
        self._originals = {
            name: tuple(group) for name, group in system.endpoints.items()
        }

    def start(self) -> None:
        """Schedule all faults, counted from now."""
        for fault in self._scenario.faults:
            apply = partial(self._apply, fault)
            delay_s = fault.at_s / self._speed
            self._handles.append(self._timers.call_after(delay_s, apply))

    def stop(self) -> None:
        """Cancel faults that are still to come."""
        for handle in self._handles:
            handle.cancel()

    def _apply(self, fault: Fault) -> None:
        _KINDS[fault.kind](self, fault)

    def _endpoints(self, fault: Fault) -> list[LocalEndpoint]:
        """Return the endpoints that a fault names, as numbered at the start."""
        services = [fault.service] if fault.service else list(self._originals)
        found = []
        for name in services:
            group = self._originals[name]
            numbers = fault.replicas or range(len(group))
            found.extend(group[number] for number in numbers)
        return found

    def _change_profile(self, fault: Fault) -> None:
        for endpoint in self._endpoints(fault):
            endpoint.server.change(**fault.fields)

    def _change_log(self, fault: Fault) -> None:
        self._system.log_server.set_faults(LogFaults(**fault.fields))

    def _lose_zone(self, fault: Fault) -> None:
        self._system.lose_zone(fault.zone)

    def _drain(self, fault: Fault) -> None:
        for endpoint in self._endpoints(fault):
            self._system.drain_endpoint(endpoint, replace=fault.replace)


_KINDS = {
    "profile": FaultSchedule._change_profile,
    "log": FaultSchedule._change_log,
    "zone_lost": FaultSchedule._lose_zone,
    "drain": FaultSchedule._drain,
}
