"""Retry budget, backoff with jitter and hedging decision."""

from .budgets import RetryBudget, Unbounded, budget_by_name
from .delays import Backoff
from .hedging import HedgePolicy

__all__ = ["Backoff", "HedgePolicy", "RetryBudget", "Unbounded", "budget_by_name"]
