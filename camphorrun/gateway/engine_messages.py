"""Exchange format of observed engine speeds: times become ages and back."""

import math

from ..routing import EngineLoads, SpeedReport
from .messages import EngineSpeedMessage


def encode_engine_speeds(loads: EngineLoads, now: float) -> list[EngineSpeedMessage]:
    """Return what this gateway has seen itself of the speed of each engine."""
    return [
        EngineSpeedMessage(
            service,
            host,
            round(report.log_sum, 3),
            round(report.weight, 3),
            round(now - report.sampled_at, 3),
        )
        for (service, host), report in loads.reports(now).items()
    ]


def merge_engine_speeds(
    loads: EngineLoads, messages: list[EngineSpeedMessage], now: float, source: str
) -> int:
    """Add the reports of another gateway; return how many could not be used."""
    reports = {
        (each.service, each.replica): SpeedReport(
            each.log_sum, each.weight, now - each.age_s
        )
        for each in messages
        if _is_valid(each)
    }
    loads.add_reports(source, reports)
    return sum(not _is_valid(each) for each in messages)


def _is_valid(message: EngineSpeedMessage) -> bool:
    """Return whether the numbers are possible; anything else would stay in sums."""
    is_finite = math.isfinite(message.log_sum) and math.isfinite(message.age_s)
    return (
        is_finite
        and message.age_s >= 0.0
        and 0.0 <= message.weight <= 1.0
        and abs(message.log_sum) <= SpeedReport.max_log_sum(message.weight)
    )
