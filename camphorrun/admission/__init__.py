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
from .shares import LevelDemand, water_level

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "AdmitAll",
    "Admitted",
    "LevelDemand",
    "Predictive",
    "Refused",
    "policy_by_name",
    "water_level",
]
