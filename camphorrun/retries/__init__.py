"""Retry budget, backoff with jitter and hedging decision."""

from .backoff import Backoff
from .budgets import RetryBudget, UnlimitedRetries, retry_budget_by_name
from .hedging import HedgePolicy, NoHedging, hedging_policy_by_name

__all__ = [
    "Backoff",
    "HedgePolicy",
    "NoHedging",
    "RetryBudget",
    "UnlimitedRetries",
    "retry_budget_by_name",
    "hedging_policy_by_name",
]
