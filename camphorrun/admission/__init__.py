"""Admission control by predicted completion time, priority and fair share."""

from .controller import (
    AdmissionController,
    AdmissionRequest,
    AdmitAll,
    Admitted,
    Predictive,
    Refused,
    admission_policy_by_name,
)
from .feasibility import RetryDetector, check_feasibility
from .group import AdmissionGroup, AdmissionTicket, GroupRequest
from .shares import PriorityDemand, fair_rate_per_weight

__all__ = [
    "AdmissionController",
    "AdmissionGroup",
    "AdmissionRequest",
    "AdmissionTicket",
    "AdmitAll",
    "Admitted",
    "GroupRequest",
    "PriorityDemand",
    "Predictive",
    "Refused",
    "RetryDetector",
    "check_feasibility",
    "admission_policy_by_name",
    "fair_rate_per_weight",
]
