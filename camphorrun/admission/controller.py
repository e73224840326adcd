"""Admission control of an entry host: accepts or refuses a request before it runs.

Priority 0 is the highest. Costs may be in any unit that requests and capacity share;
the entry uses the predicted busy seconds of endpoints.
"""

import math
from dataclasses import dataclass
from functools import singledispatch

from .shares import PriorityDemand

DEADLINE_UNREACHABLE = "deadline_unreachable"
OVER_SHARE = "over_share"
OVERLOADED = "overloaded"

REALLOCATION_INTERVAL_SECONDS = 0.1
# Share of the capacity that is admitted. It starts at the initial value and is adapted
# between the bounds by the share of missed deadlines.
INITIAL_UTILISATION = 0.97
MIN_UTILISATION = 0.7
# Least share of the reported capacity that is admitted while a backlog drains.
MIN_DRAIN_SHARE = 0.5
MAX_UTILISATION = 1.0
MAX_MISS_SHARE = 0.02
OUTCOME_DECAY_SECONDS = 2.0
DECREASE_FACTOR = 0.97
INCREASE_STEP = 0.02
# Target backlog, as a share of the mean remaining time to the deadline. Above it less
# cost is admitted than is completed, below it at least as much. A reported capacity may
# be wrong in either direction, whereas the completion rate is measured.
BACKLOG_SHARE = 0.12
# Pipelines with long service times get a larger target: this factor times their time
# without queue waits, up to this share of the remaining time.
MAX_BACKLOG_SHARE = 0.4
BACKLOG_NEED_FACTOR = 1.5
# Rate at which the smallest prediction follows larger ones.
MIN_NEED_WEIGHT = 0.0005
GROWTH_FACTOR = 1.1
COMPLETION_DECAY_SECONDS = 1.0
# Endpoints vary the reported limits when they probe them, so the capacity is smoothed.
CAPACITY_SMOOTHING_SECONDS = 2.0
# Smoothing factor of the means over requests.
MEAN_WEIGHT = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request at one service, to be admitted or refused.

    ``remaining_s`` is the time to the deadline, ``predicted_s`` the predicted time to
    completion including queue waits, and ``need_s`` the predicted time without queue
    waits, 0 if unknown. ``weight`` is the share of the client account relative to
    others.
    """

    account: str
    weight: float
    priority: int
    remaining_s: float
    predicted_s: float
    cost: float
    need_s: float = 0.0

    def __post_init__(self):
        if not self.weight > 0 or not self.cost >= 0:
            raise ValueError(
                f"expected weight > 0 and cost >= 0, got {self.weight} and {self.cost}"
            )


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted; the caller must call ``release`` when it ends."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused; no part of it ran."""

    code: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Predictive:
    """Refuse requests that would miss their deadline, then by priority and fair share.

    ``margin`` multiplies the predicted time to allow for prediction errors.
    """

    margin: float = 1.0


@dataclass(frozen=True, slots=True)
class AdmitAll:
    """Admit every request (baseline)."""


class AdmissionController:
    """Admission control of one entry for one service.

    Parameters
    ----------
    policy : Predictive or AdmitAll
        Decision policy.
    max_requests : int
        Maximum number of requests in flight.
    """

    def __init__(self, policy: object = Predictive(), max_requests: int = 2000):
        if max_requests < 1:
            raise ValueError(f"max_requests: expected 1 or more, got {max_requests}")
        self._policy = policy
        self._max_requests = max_requests
        self._capacity = math.inf
        self._capacity_at = -math.inf
        self._utilisation = INITIAL_UTILISATION
        self._demand_by_priority: dict[int, PriorityDemand] = {}
        self._next_reallocation_at = -math.inf
        self._outcome_count = 0.0
        self._miss_count = 0.0
        self._outcomes_updated_at = -math.inf
        self._adapted_at = -math.inf
        self._completed_cost_per_s = 0.0
        self._last_completion_at = -math.inf
        self._mean_remaining_s = 0.0
        self._min_need_s = math.inf
        self._mean_need_s = 0.0
        self.in_flight = 0
        self.outstanding_cost = 0.0

    def admit(self, request: AdmissionRequest, now: float) -> Admitted | Refused:
        """Admit or refuse a request; ``release`` must follow an admission."""
        refused = decide(self._policy, self, request, now)
        if refused is not None:
            return refused
        self.in_flight += 1
        self.outstanding_cost += request.cost
        return Admitted()

    def release(self, account: str, cost: float, now: float) -> None:
        """Record that an admitted request ended and its cost was completed."""
        self.abandon(0.0)
        self.release_cost(cost, now)

    def release_cost(self, cost: float, now: float) -> None:
        """Record completed cost of an admitted request that is still in flight."""
        self.outstanding_cost = max(0.0, self.outstanding_cost - cost)
        self._completed_cost_per_s = (
            self._completion_rate(now) + cost / COMPLETION_DECAY_SECONDS
        )
        self._last_completion_at = now

    def abandon(self, cost: float) -> None:
        """Record that an admitted request ended with ``cost`` not completed."""
        self.in_flight = max(0, self.in_flight - 1)
        self.outstanding_cost = max(0.0, self.outstanding_cost - cost)

    def withdraw(self, request: AdmissionRequest) -> None:
        """Undo the admission of a request that another service refused."""
        self.abandon(request.cost)
        priority_demand = self._demand_by_priority.get(request.priority)
        if priority_demand is not None:
            priority_demand.refund(request.account, request.cost)

    def scarcity(self, now: float) -> float:
        """Return the ratio of the offered demand to the admitted rate."""
        rate = self._allowed_rate(now)
        demand = sum(
            priority_demand.total.rate_at(now)
            for priority_demand in self._demand_by_priority.values()
        )
        if rate <= 0:
            return math.inf
        return demand / rate

    def on_capacity(self, capacity_cost_per_s: float, now: float) -> None:
        """Update the smoothed capacity by a report; a report of 0 applies at once."""
        reported = max(0.0, capacity_cost_per_s)
        if math.isinf(self._capacity) or reported == 0.0:
            self._capacity = reported
            self._next_reallocation_at = now
        else:
            age_s = max(0.0, now - self._capacity_at)
            weight = 1.0 - math.exp(-age_s / CAPACITY_SMOOTHING_SECONDS)
            self._capacity += weight * (reported - self._capacity)
        self._capacity_at = now

    def on_outcome(self, met_deadline: bool, now: float) -> None:
        """Record whether an admitted request met its deadline, and adapt."""
        if self._outcomes_updated_at > -math.inf:
            retained = math.exp(
                -(now - self._outcomes_updated_at) / OUTCOME_DECAY_SECONDS
            )
            self._outcome_count *= retained
            self._miss_count *= retained
        self._outcomes_updated_at = now
        self._outcome_count += 1.0
        self._miss_count += 0.0 if met_deadline else 1.0
        if now - self._adapted_at >= OUTCOME_DECAY_SECONDS / 4:
            self._adapted_at = now
            self._adapt(now)

    def tracked_accounts(self) -> int:
        """Return the number of client accounts whose demand is tracked."""
        return sum(
            len(priority_demand.accounts)
            for priority_demand in self._demand_by_priority.values()
        )

    def is_below_request_limit(self) -> bool:
        """Return whether fewer than ``max_requests`` requests are in flight."""
        return self.in_flight < self._max_requests

    def check_share(self, request: AdmissionRequest, now: float) -> str:
        """Count the demand of a request; return the refusal code, empty if admitted."""
        self._record_need(request)
        change_s = request.remaining_s - self._mean_remaining_s
        self._mean_remaining_s += MEAN_WEIGHT * change_s
        priority_demand = self._demand_by_priority.setdefault(
            request.priority, PriorityDemand()
        )
        priority_demand.add(request.account, request.weight, request.cost, now)
        if now >= self._next_reallocation_at:
            self._reallocate(now)
        if priority_demand.try_admit(request.account, request.cost, now):
            return ""
        return OVER_SHARE if priority_demand.rate_per_weight > 0 else OVERLOADED

    def _record_need(self, request: AdmissionRequest) -> None:
        """Update the mean time without queue waits.

        If a request states none, the smallest recent prediction is used instead.
        """
        if request.need_s > 0:
            need_s = self._mean_need_s or request.need_s
            self._mean_need_s = need_s + MEAN_WEIGHT * (request.need_s - need_s)
            return
        need_s = min(self._min_need_s, request.predicted_s)
        self._min_need_s = need_s + MIN_NEED_WEIGHT * (request.predicted_s - need_s)

    def retry_after_s(self) -> float:
        """Return the time to complete the outstanding work, within fixed bounds."""
        if self._capacity <= 0:
            return MAX_RETRY_AFTER_SECONDS
        backlog_s = self.outstanding_cost / self._capacity
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, backlog_s))

    def _completion_rate(self, now: float) -> float:
        age_s = now - self._last_completion_at
        return self._completed_cost_per_s * math.exp(-age_s / COMPLETION_DECAY_SECONDS)

    def _allowed_rate(self, now: float) -> float:
        """Return the cost per second to admit; it is lowered while a backlog drains."""
        rate = self._capacity * self._utilisation
        if math.isinf(rate):
            return rate
        completed = self._completion_rate(now)
        max_backlog = completed * self._max_backlog_s()
        if self.outstanding_cost > max_backlog:
            lowest = self._capacity * MIN_DRAIN_SHARE
            # The rate falls as the backlog grows, so a long backlog drains faster.
            drained = completed * max_backlog / self.outstanding_cost
            return max(lowest, min(rate, drained))
        if self._exceeds_miss_share():
            return rate
        growth = 1.0 if self.outstanding_cost > max_backlog / 2 else GROWTH_FACTOR
        return max(rate, min(completed * growth, self._capacity))

    def _max_backlog_s(self) -> float:
        mean_remaining_s = self._mean_remaining_s
        if mean_remaining_s <= 0:
            return 0.0
        need_s = self._mean_need_s or self._min_need_s
        max_backlog_s = max(
            BACKLOG_SHARE * mean_remaining_s, BACKLOG_NEED_FACTOR * need_s
        )
        return min(MAX_BACKLOG_SHARE * mean_remaining_s, max_backlog_s)

    def _exceeds_miss_share(self) -> bool:
        return self._miss_count > self._outcome_count * MAX_MISS_SHARE

    def _adapt(self, now: float) -> None:
        max_backlog = self._completion_rate(now) * self._max_backlog_s()
        if self.outstanding_cost > max_backlog:
            # The backlog causes the misses, and the lowered rate already drains it.
            return
        if self._exceeds_miss_share():
            lowered = self._utilisation * DECREASE_FACTOR
            self._utilisation = max(MIN_UTILISATION, lowered)
        else:
            raised = self._utilisation + INCREASE_STEP
            self._utilisation = min(MAX_UTILISATION, raised)

    def _reallocate(self, now: float) -> None:
        """Divide the admitted rate among the priorities, the highest one first."""
        self._next_reallocation_at = now + REALLOCATION_INTERVAL_SECONDS
        unallocated = self._allowed_rate(now)
        for priority in sorted(self._demand_by_priority):
            priority_demand = self._demand_by_priority[priority]
            priority_demand.remove_idle_accounts(now)
            if priority_demand.accounts:
                unallocated = priority_demand.allocate(unallocated, now)
            else:
                del self._demand_by_priority[priority]


@singledispatch
def decide(
    policy: object,
    controller: AdmissionController,
    request: AdmissionRequest,
    now: float,
) -> Refused | None:
    """Return the refusal of a request by ``policy``, or None to admit it."""
    raise TypeError(f"unknown admission policy {type(policy).__name__}")


@decide.register
def _(
    policy: AdmitAll,
    controller: AdmissionController,
    request: AdmissionRequest,
    now: float,
) -> Refused | None:
    return None


@decide.register
def _(
    policy: Predictive,
    controller: AdmissionController,
    request: AdmissionRequest,
    now: float,
) -> Refused | None:
    if request.predicted_s * policy.margin > request.remaining_s:
        return Refused(DEADLINE_UNREACHABLE, controller.retry_after_s())
    if not controller.is_below_request_limit():
        return Refused(OVERLOADED, controller.retry_after_s())
    reason = controller.check_share(request, now)
    return Refused(reason, controller.retry_after_s()) if reason else None


_POLICIES = {"predictive": Predictive, "admit_all": AdmitAll}


def admission_policy_by_name(name: str) -> object:
    """Return the admission policy for a settings value.

    Raises
    ------
    ValueError
        If there is no policy of that name.
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise ValueError(f"admission: expected one of {known}, got {name!r}")
    return _POLICIES[name]()
