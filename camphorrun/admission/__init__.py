"""Admission by predicted completion, priority and fair share."""

from .controller import (
    AdmissionController,
    AdmissionRequest,
    AdmitAll,
    Admitted,
    Predictive,
    Refused,
    policy_by_name,
)
from .group import AdmissionGroup, AdmissionTicket, GroupRequest
from .shares import LevelDemand, water_level
from .starts import ReturnDetector, judge_start

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
    "ReturnDetector",
    "judge_start",
    "policy_by_name",
    "water_level",
]
