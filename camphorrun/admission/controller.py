"""Decides at the entry whether a request is accepted, before any stage costs anything.

Priority 0 is the highest. Costs are in units of the caller's choice, the
same for requests and capacity; the entry uses predicted busy seconds of endpoints.
"""

import math
from dataclasses import dataclass
from functools import singledispatch

from .shares import PriorityDemand

DEADLINE_UNREACHABLE = "deadline_unreachable"
OVER_SHARE = "over_share"
OVERLOADED = "overloaded"

REALLOCATION_INTERVAL_SECONDS = 0.1
# Share of the capacity that is handed out; adapted by the share of missed deadlines.
INITIAL_UTILISATION = 0.97
MIN_UTILISATION = 0.7
# Share of the reported capacity that is admitted even while a backlog is drained.
MIN_DRAIN_SHARE = 0.5
MAX_UTILISATION = 1.0
MAX_MISS_SHARE = 0.02
OUTCOME_DECAY_SECONDS = 2.0
DECREASE_FACTOR = 0.97
INCREASE_STEP = 0.02
# While the backlog takes longer than this share of the usual deadline, no more is
# admitted than is completed; while it takes less, no less is. A reported capacity may
# be wrong in either direction, completions are not.
BACKLOG_SHARE = 0.12
# Pipelines that need longer than that without any wait may use up to this share.
MAX_BACKLOG_SHARE = 0.4
BACKLOG_NEED_FACTOR = 1.5
MIN_NEED_WEIGHT = 0.0005
GROWTH_FACTOR = 1.1
COMPLETION_DECAY_SECONDS = 1.0
# Reported limits move while they are probed, so the capacity is smoothed.
CAPACITY_SMOOTHING_SECONDS = 2.0
MEAN_WEIGHT = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that asks to be admitted.

    ``predicted_s`` is the predicted time to completion, queue waits included,
    ``weight`` the share of the client account relative to others, and ``need_s`` the
    predicted time without any wait, 0 if it is unknown.
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
            raise ValueError("expected weight above 0 and cost of 0 or more")


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run; ``release`` must follow."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request may not run, and nothing ran."""

    code: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Predictive:
    """Refuse what would miss its deadline, then by priority and fair share.

    ``margin`` multiplies the predicted time, to allow for its error.
    """

    margin: float = 1.0


@dataclass(frozen=True, slots=True)
class AdmitAll:
    """Admit every request (baseline)."""


class AdmissionController:
    """Admission of one entry.

    Parameters
    ----------
    policy : Predictive or AdmitAll
        Decision policy.
    max_requests : int
        Requests that may be in flight.
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
        self._counted_at = -math.inf
        self._adapted_at = -math.inf
        self._completed_cost_per_s = 0.0
        self._last_completion_at = -math.inf
        self._mean_remaining_s = 0.0
        self._min_need_s = math.inf
        self._mean_need_s = 0.0
        self.in_flight = 0
        self.outstanding_cost = 0.0

    def admit(self, request: AdmissionRequest, now: float) -> Admitted | Refused:
        """Decide on a request; an admitted one must be released."""
        refused = decide(self._policy, self, request, now)
        if refused is not None:
            return refused
        self.in_flight += 1
        self.outstanding_cost += request.cost
        return Admitted()

    def release(self, account: str, cost: float, now: float) -> None:
        """Record the end of an admitted request."""
        self.abandon(0.0)
        self.release_cost(cost, now)

    def release_cost(self, cost: float, now: float) -> None:
        """Record completed work of an admitted request that goes on elsewhere."""
        self.outstanding_cost = max(0.0, self.outstanding_cost - cost)
        self._completed_cost_per_s = (
            self._completion_rate(now) + cost / COMPLETION_DECAY_SECONDS
        )
        self._last_completion_at = now

    def abandon(self, cost: float) -> None:
        """Record the end of an admitted request; ``cost`` of it was not worked off."""
        self.in_flight = max(0, self.in_flight - 1)
        self.outstanding_cost = max(0.0, self.outstanding_cost - cost)

    def withdraw(self, request: AdmissionRequest) -> None:
        """Undo the admission of a request that another service refused."""
        self.abandon(request.cost)
        priority_demand = self._demand_by_priority.get(request.priority)
        if priority_demand is not None:
            priority_demand.refund(request.account, request.cost)

    def scarcity(self, now: float) -> float:
        """Return the offered demand as a share of what is admitted."""
        rate = self._allowed_rate(now)
        demand = sum(
            priority_demand.total.rate_at(now)
            for priority_demand in self._demand_by_priority.values()
        )
        if rate <= 0:
            return math.inf
        return demand / rate

    def on_capacity(self, capacity_cost_per_s: float, now: float) -> None:
        """Set the capacity available to this entry."""
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
        """Learn from an admitted request whether too much was admitted."""
        if self._counted_at > -math.inf:
            retained = math.exp(-(now - self._counted_at) / OUTCOME_DECAY_SECONDS)
            self._outcome_count *= retained
            self._miss_count *= retained
        self._counted_at = now
        self._outcome_count += 1.0
        self._miss_count += 0.0 if met_deadline else 1.0
        if now - self._adapted_at >= OUTCOME_DECAY_SECONDS / 4:
            self._adapted_at = now
            self._adapt(now)

    def tracked_accounts(self) -> int:
        """Return how many client accounts are remembered."""
        return sum(
            len(priority_demand.accounts)
            for priority_demand in self._demand_by_priority.values()
        )

    def is_below_request_limit(self) -> bool:
        """Return whether another request may be in flight."""
        return self.in_flight < self._max_requests

    def check_share(self, request: AdmissionRequest, now: float) -> str:
        """Count the demand of a request; return why it is refused, or nothing."""
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
        """Learn the time without wait; the least prediction serves if none is given."""
        if request.need_s > 0:
            need_s = self._mean_need_s or request.need_s
            self._mean_need_s = need_s + MEAN_WEIGHT * (request.need_s - need_s)
            return
        need_s = min(self._min_need_s, request.predicted_s)
        self._min_need_s = need_s + MIN_NEED_WEIGHT * (request.predicted_s - need_s)

    def retry_after_s(self) -> float:
        """Return when the work that is outstanding now will be done."""
        if self._capacity <= 0:
            return MAX_RETRY_AFTER_SECONDS
        backlog_s = self.outstanding_cost / self._capacity
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, backlog_s))

    def _completion_rate(self, now: float) -> float:
        age_s = now - self._last_completion_at
        return self._completed_cost_per_s * math.exp(-age_s / COMPLETION_DECAY_SECONDS)

    def _allowed_rate(self, now: float) -> float:
        """Return the cost per second to admit, less while a backlog is drained."""
        rate = self._capacity * self._utilisation
        if math.isinf(rate):
            return rate
        completed = self._completion_rate(now)
        max_backlog = completed * self._max_backlog_s()
        if self.outstanding_cost > max_backlog:
            lowest = self._capacity * MIN_DRAIN_SHARE
            # The longer the backlog, the faster it is drained.
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
            # The misses come from the backlog, which is drained already.
            return
        if self._exceeds_miss_share():
            lowered = self._utilisation * DECREASE_FACTOR
            self._utilisation = max(MIN_UTILISATION, lowered)
        else:
            raised = self._utilisation + INCREASE_STEP
            self._utilisation = min(MAX_UTILISATION, raised)

    def _reallocate(self, now: float) -> None:
        """Divide the capacity anew, from the highest priority down."""
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
    """Return the refusal of a request, or None to admit it."""
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
        If the name is unknown.
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise ValueError(f"admission: expected one of {known}, got {name!r}")
    return _POLICIES[name]()
