"""Metrics of a daemon, exposed by prometheus_client."""

from .registry import Metrics

__all__ = ["Metrics"]
