"""Attainment, cost by stage, refusals and latency of a replay."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from .records import ANSWERED, NO_RESPONSE, NOT_RUN, RequestRecord

PERCENTILES = (50, 95, 99, 100)
MAX_SECONDS = 3600
_COST_FIELDS = (
    "busy_s",
    "queue_s",
    "input_units",
    "output_units",
    "bytes_in",
    "bytes_out",
)


@dataclass(slots=True)
class StageTotals:
    """Cost of one stage, summed over requests.

    ``requests`` counts requests that reached the stage. ``missed_busy_s`` is the part
    of ``busy_s`` that was spent on requests that missed their deadline.
    """

    requests: int = 0
    busy_s: float = 0.0
    queue_s: float = 0.0
    input_units: int = 0
    output_units: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    missed_busy_s: float = 0.0

    def add(self, cost: dict[str, float], in_time: bool) -> None:
        """Add what a request spent in this stage."""
        self.requests += 1
        for name in _COST_FIELDS:
            setattr(self, name, getattr(self, name) + cost.get(name, 0))
        if not in_time:
            self.missed_busy_s += cost.get("busy_s", 0.0)


@dataclass(slots=True)
class Summary:
    """Figures of a group of requests."""

    offered: int = 0
    answered: int = 0
    in_time: int = 0
    refused: int = 0
    unknown: int = 0
    no_response: int = 0
    wrong: int = 0
    asked_again: int = 0
    codes: dict[str, int] = field(default_factory=dict)
    latency_ms: dict[str, float] = field(default_factory=dict)
    first_token_ms: dict[str, float] = field(default_factory=dict)
    gap_ms: dict[str, float] = field(default_factory=dict)
    stages: dict[str, StageTotals] = field(default_factory=dict)

    @property
    def attainment(self) -> float:
        """Whole answers within the deadline as a share of all offered requests."""
        return self.in_time / self.offered if self.offered else 1.0

    @property
    def busy_s(self) -> float:
        """Busy seconds of all stages."""
        return sum(stage.busy_s for stage in self.stages.values())

    @property
    def missed_work_share(self) -> float:
        """Share of busy seconds that went to requests that missed their deadline."""
        missed = sum(stage.missed_busy_s for stage in self.stages.values())
        return missed / self.busy_s if self.busy_s else 0.0

    @property
    def busy_s_per_answer(self) -> float:
        """Busy seconds for each whole answer within its deadline."""
        return self.busy_s / self.in_time if self.in_time else 0.0

    def to_json(self) -> dict[str, Any]:
        """Return the figures as JSON values."""
        body = asdict(self)
        body["attainment"] = round(self.attainment, 5)
        body["missed_work_share"] = round(self.missed_work_share, 5)
        body["busy_s_per_answer"] = round(self.busy_s_per_answer, 5)
        return body


def summarise(records: Iterable[RequestRecord]) -> Summary:
    """Return the figures of some requests."""
    records = list(records)
    summary = Summary(offered=len(records))
    codes: Counter = Counter()
    for record in records:
        _count(summary, record)
        if record.status != ANSWERED:
            codes[f"{record.status}:{record.code}"] += 1
        for name, cost in record.cost.items():
            totals = summary.stages.setdefault(name, StageTotals())
            totals.add(cost, record.in_time)
    summary.codes = dict(codes.most_common())
    answered = [record for record in records if record.whole]
    summary.latency_ms = percentiles_ms(record.latency_s for record in answered)
    summary.first_token_ms = percentiles_ms(
        record.first_token_s for record in answered if record.first_token_s >= 0
    )
    summary.gap_ms = percentiles_ms(gap for record in answered for gap in record.gaps_s)
    return summary


def _count(summary: Summary, record: RequestRecord) -> None:
    summary.answered += record.whole
    summary.in_time += record.in_time
    summary.refused += record.status == NOT_RUN
    summary.no_response += record.status == NO_RESPONSE
    summary.unknown += record.status not in (ANSWERED, NOT_RUN, NO_RESPONSE)
    summary.wrong += bool(record.fault)
    summary.asked_again += max(0, record.asked - 1)


def percentiles_ms(seconds: Iterable[float]) -> dict[str, float]:
    """Return percentiles in milliseconds, empty without values.

    Examples
    --------
    >>> percentiles_ms([0.1, 0.1, 0.1])["p50"]
    100.0
    """
    histogram = HdrHistogram(1, MAX_SECONDS * 1_000_000, 3)
    for value in seconds:
        histogram.record_value(max(1, round(value * 1_000_000)))
    if not histogram.get_total_count():
        return {}
    values = histogram.get_percentile_to_value_dict(PERCENTILES)
    return {f"p{percent}": round(values[percent] / 1000, 1) for percent in PERCENTILES}


_GROUPS: dict[str, Callable[[RequestRecord], str]] = {
    "template": lambda record: record.template,
    "account": lambda record: record.account,
    "priority": lambda record: str(record.priority),
}


def group(records: list[RequestRecord], by: str) -> dict[str, Summary]:
    """Return summaries by ``template``, ``account`` or ``priority``."""
    groups: dict[str, list[RequestRecord]] = {}
    for record in records:
        groups.setdefault(_GROUPS[by](record), []).append(record)
    return {name: summarise(groups[name]) for name in sorted(groups)}
