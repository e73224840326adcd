"""Retry budget, backoff with jitter and hedging decision."""

from .budgets import RetryBudget, Unbounded, budget_by_name
from .delays import Backoff
from .hedging import HedgePolicy, NoHedges, hedges_by_name

__all__ = [
    "Backoff",
    "HedgePolicy",
    "NoHedges",
    "RetryBudget",
    "Unbounded",
    "budget_by_name",
    "hedges_by_name",
]
