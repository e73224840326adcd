"""Metrics of a daemon in the text format of Prometheus."""

from .registry import Metrics

__all__ = ["Metrics"]
