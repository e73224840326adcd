"""Admission by predicted completion, priority and fair share."""

from .controller import (
    AdmissionController,
    AdmissionRequest,
    AdmitAll,
    Admitted,
    Predictive,
    Refused,
    admission_policy_by_name,
)
from .group import AdmissionGroup, AdmissionTicket, GroupRequest
from .shares import LevelDemand, water_level
from .starts import RetryDetector, check_feasibility

__all__ = [
    "AdmissionController",
    "AdmissionGroup",
    "AdmissionRequest",
    "AdmissionTicket",
    "AdmitAll",
    "Admitted",
    "GroupRequest",
    "LevelDemand",
    "Predictive",
    "Refused",
    "RetryDetector",
    "check_feasibility",
    "admission_policy_by_name",
    "water_level",
]
