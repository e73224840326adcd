"""State of an endpoint as an entry sees it: load, latency and health."""

import math
from dataclasses import dataclass, field
from enum import Enum

from ..messages import LoadReport
from .reported_load import ReportedLoad

# Smoothing factor of the latency.
LATENCY_WEIGHT = 0.2
# Smoothing factor of the ratio of latency to expected latency. It is lower, because a
# short call that waited behind a long one has a high ratio.
RELATIVE_LATENCY_WEIGHT = 0.1
# Smoothing factor of the failure rate. It is low, so that failures spread over an
# overloaded service do not make a single endpoint an outlier.
FAILURE_WEIGHT = 0.07
# Time constant with which the reported load of other entries decays, because an old
# report says little about the present load.
REPORT_DECAY_SECONDS = 4.0
# The same for a load that the replica itself reports: this multiple of its service
# time, in which its queue changes, within these bounds.
REPLICA_DECAY_SERVICE_TIMES = 2.0
MIN_REPLICA_DECAY_SECONDS = 0.3
# Assumed before the first report or result.
DEFAULT_SERVICE_SECONDS = 0.1
DEFAULT_LIMIT = 8


class EjectionState(Enum):
    """Whether an endpoint gets all work, no work, or single probes."""

    ACTIVE = "active"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(frozen=True, slots=True)
class StageRequest:
    """Attributes of an attempt that the choice of an endpoint depends on.

    ``prefix`` identifies the longest prefix of the prompt that other requests share,
    and ``prefix_tokens`` is its length. ``input_bytes`` lists availability zones with
    the bytes of inputs stored there. ``exclude`` contains hosts that must not be
    chosen, for instance because an earlier attempt failed there. ``prompt_tokens`` is
    the length of the whole prompt if the endpoints are engines, otherwise 0.
    """

    service: str
    model: str = ""
    priority: int = 0
    input_units: int = 1
    output_units: int = 0
    prefix: str = ""
    remaining_s: float = math.inf
    exclude: frozenset[str] = frozenset()
    prefix_tokens: int = 0
    input_bytes: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    kind: str = ""


@dataclass(slots=True)
class EndpointState:
    """Load, latency and health of an endpoint as this entry sees them.

    Attributes
    ----------
    in_flight : int
        Attempts of this entry that have not ended.
    reported : ReportedLoad, optional
        Load and speed that the replica reports itself, without an agent.
    latency_s : float
        Smoothed latency of recent successful attempts of this entry.
    failure_rate : float
        Smoothed share of failed attempts.
    samples : int
        Results since the statistics were last reset.
    is_relative : bool
        Whether results come with the expected latency of their call. Endpoints are then
        compared by the ratio of both, because their calls differ in size.
    ejected_until : float
        Time at which the present ejection ends.
    ejections : int
        Number of recent ejections; each doubles the duration of the next one.
    """

    host: str
    availability_zone: str
    service: str
    in_flight: int = 0
    report: LoadReport | None = None
    reported: ReportedLoad | None = None
    report_at: float = -math.inf
    in_flight_at_report: int = 0
    latency_s: float = 0.0
    failure_rate: float = 0.0
    samples: int = 0
    link_up: bool = True
    link_changed_at: float = -math.inf
    draining: bool = False
    ejection: EjectionState = EjectionState.ACTIVE
    ejected_until: float = -math.inf
    ejections: int = 0
    probe_successes: int = 0
    probe_failures: int = 0
    last_result_at: float = field(default=-math.inf)
    is_relative: bool = False
    recent_latency_s: float = 0.0
    recent_expected_s: float = 0.0

    def on_dispatch(self) -> None:
        """Count an attempt that is being sent."""
        self.in_flight += 1

    def on_result(
        self, ok: bool, latency_s: float | None, now: float, expected_s: float = 0.0
    ) -> None:
        """Record the result of an attempt; the latency of a failure is ignored.

        ``latency_s`` is None for a success whose time says nothing about the endpoint.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self.samples += 1
        self.last_result_at = now
        self._record_failure(ok)
        if ok and latency_s is not None:
            self._record_latency(latency_s, expected_s)

    def on_cancel(self) -> None:
        """Remove an attempt that ended without a result, such as a cancelled one."""
        self.in_flight = max(0, self.in_flight - 1)

    def on_abandoned(
        self, waited_s: float, now: float, expected_s: float = 0.0
    ) -> None:
        """Remove an attempt that was cancelled after ``waited_s``.

        If it waited longer than expected, the wait is recorded as a lower bound of its
        latency. A slow endpoint is thus noticed although hedges at other endpoints
        answer first. While the endpoint reports a queue, the wait is ignored, because
        it says nothing about the speed of the endpoint.
        """
        self.on_cancel()
        is_recent = now - self.report_at < self._decay_s
        queued = self.report.queued if self.report is not None and is_recent else 0
        expected_latency_s = expected_s or self.latency_s
        if not queued and expected_latency_s > 0 and waited_s > expected_latency_s:
            self.samples += 1
            self.last_result_at = now
            self._record_latency(waited_s, expected_s)

    def on_report(self, report: LoadReport, now: float) -> None:
        """Store a load report and the number of own attempts in flight with it."""
        self.report = report
        self.report_at = now
        self.in_flight_at_report = self.in_flight

    def on_reported_load(self, reported: ReportedLoad, now: float) -> None:
        """Store a load that the replica itself has just reported.

        The attempts of this entry are a small part of it: the report has those of all
        entries.
        """
        self.reported = reported
        load = reported.latest
        self.on_report(LoadReport(load.running, load.slots, load.waiting), now)

    def on_link(self, up: bool, now: float) -> None:
        """Record that the link to the agent went up or down."""
        self.link_up = up
        self.link_changed_at = now
        if not up:
            self.in_flight = 0
            self.report = None

    def set_draining(self, draining: bool) -> None:
        """Record that the host is being drained."""
        self.draining = draining

    def reset_statistics(self) -> None:
        """Reset the latency and failure statistics, after an ejection."""
        self.samples = 0
        self.failure_rate = 0.0
        self.latency_s = 0.0
        self.recent_latency_s = 0.0
        self.recent_expected_s = 0.0

    @property
    def comparable_latency(self) -> float:
        """Latency to compare with other endpoints of the service; 0 if unknown.

        It is in seconds, or a ratio to the expected latency if ``is_relative`` is set.
        """
        if not self.is_relative:
            return self.latency_s
        if self.recent_expected_s <= 0:
            return 0.0
        return self.recent_latency_s / self.recent_expected_s

    @property
    def limit(self) -> int:
        """Concurrency limit of the last report, or a default."""
        return max(1, self.report.limit) if self.report else DEFAULT_LIMIT

    def load(self, now: float) -> float:
        """Return the predicted number of calls at the endpoint, queued and running."""
        if self.report is None:
            return float(self.in_flight)
        total = self.report.in_flight + self.report.queued
        other_entries = max(0, total - self.in_flight_at_report)
        age_s = max(0.0, now - self.report_at)
        return self.in_flight + other_entries * math.exp(-age_s / self._decay_s)

    @property
    def _decay_s(self) -> float:
        """Time constant with which the load of other entries decays."""
        if self.reported is None:
            return REPORT_DECAY_SECONDS
        decay_s = REPLICA_DECAY_SERVICE_TIMES * self.service_time_s()
        return min(REPORT_DECAY_SECONDS, max(MIN_REPLICA_DECAY_SECONDS, decay_s))

    def utilisation(self, now: float) -> float:
        """Return the predicted load as a multiple of the concurrency limit."""
        return self.load(now) / self.limit

    def service_time_s(self) -> float:
        """Return the service time of a call: reported, measured here, or a default."""
        if self.report is not None and self.report.service_time_s > 0:
            return self.report.service_time_s
        return self.latency_s or DEFAULT_SERVICE_SECONDS

    def predicted_wait_s(self, now: float) -> float:
        """Return the predicted queue wait of a new call."""
        excess_calls = self.load(now) + 1.0 - self.limit
        if excess_calls <= 0:
            return 0.0
        return excess_calls / self.limit * self.service_time_s()

    def score(self, now: float) -> float:
        """Return a score by which endpoints are compared; the lowest one is best.

        It is the service time at the present speed, multiplied by a factor that grows
        with the utilisation, also below saturation, and by one that grows with the
        failure rate, so that fast failures do not look like low load.
        """
        healthy = max(0.05, 1.0 - self.failure_rate)
        slowdown = self.reported.relative_slowdown(now) if self.reported else 1.0
        return self._base_time_s() * slowdown * (1.0 + self.utilisation(now)) / healthy

    def _base_time_s(self) -> float:
        if self.is_relative:
            return DEFAULT_SERVICE_SECONDS * (self.comparable_latency or 1.0)
        return self.service_time_s()

    def _record_failure(self, ok: bool) -> None:
        failed = 0.0 if ok else 1.0
        weight = max(FAILURE_WEIGHT, 1.0 / self.samples)
        self.failure_rate += weight * (failed - self.failure_rate)

    def _record_latency(self, latency_s: float, expected_s: float) -> None:
        retained = 1.0 - RELATIVE_LATENCY_WEIGHT
        self.recent_latency_s = self.recent_latency_s * retained + latency_s
        self.recent_expected_s = self.recent_expected_s * retained + expected_s
        if self.latency_s <= 0:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
