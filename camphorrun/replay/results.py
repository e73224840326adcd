"""Result of one run: its figures, the stated outcomes, and comparison of runs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .records import NOT_RUN, RequestRecord
from .report import group, percentiles_ms, summarise
from .scenarios import Bound, Scenario


@dataclass(slots=True)
class EndpointWork:
    """What the stand-ins executed, which only a local run can know.

    Attributes
    ----------
    calls : dict of str to int
        Calls by service, failed ones included.
    executions : dict of str to int
        Executions by fingerprint of the call.
    effects : dict of str to int
        Executions by claim key.
    busy_s : dict of str to float
        Seconds in the batches of endpoints by fingerprint, cut-off calls included.
    cancelled : int
        Calls cut off by their agent.
    """

    calls: dict[str, int] = field(default_factory=dict)
    executions: dict[str, int] = field(default_factory=dict)
    effects: dict[str, int] = field(default_factory=dict)
    busy_s: dict[str, float] = field(default_factory=dict)
    cancelled: int = 0


@dataclass(slots=True)
class ReplayResult:
    """Everything measured in one run."""

    policy: str
    scenario: Scenario
    records: list[RequestRecord]
    duration_s: float = 0.0
    lag_s: list[float] = field(default_factory=list)
    retries: dict[str, int] = field(default_factory=dict)
    work: EndpointWork | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the figures as JSON values."""
        body = {
            "scenario": self.scenario.name,
            "policy": self.policy,
            "duration_s": round(self.duration_s, 2),
            "all": summarise(self.records).to_json(),
            "retries": self.retries,
            "loop_lag_ms": percentiles_ms(self.lag_s),
            "send_lag_ms": percentiles_ms(record.late_s for record in self.records),
            "bounds": [check.to_json() for check in check_bounds(self)],
        }
        for by in ("template", "account", "priority"):
            groups = group(self.records, by)
            body[f"by_{by}"] = {name: item.to_json() for name, item in groups.items()}
        if self.work is not None:
            body["missed_work_share"] = round(missed_work_share(self, self.records), 5)
            body["executed_s_per_answer"] = round(executed_s_per_answer(self), 5)
            body["endpoint_calls"] = self.work.calls
            body["cancelled_calls"] = self.work.cancelled
            body["duplicate_effects"] = duplicate_effects(self)
            body["false_refusals"] = len(false_refusals(self))
        return body

    def is_correct(self) -> bool:
        """Return whether every promise about answers and refusals was kept."""
        summary = summarise(self.records)
        if summary.wrong:
            return False
        return not duplicate_effects(self) and not false_refusals(self)


def duplicate_effects(result: ReplayResult) -> int:
    """Return how many executions of non-idempotent calls were one too many."""
    if result.work is None:
        return 0
    return sum(count - 1 for count in result.work.effects.values() if count > 1)


def missed_work_share(result: ReplayResult, records: list[RequestRecord]) -> float:
    """Return the share of busy seconds that went to requests that missed.

    The stand-ins know it exactly. Without them, the costs stated in outcomes serve,
    which do not include calls that were cut off.
    """
    if result.work is None:
        return summarise(records).missed_work_share
    useful_s = missed_s = 0.0
    marks = {}
    for record in records:
        for mark in record.fingerprints.values():
            marks[mark] = marks.get(mark, False) or record.in_time
    for mark, in_time in marks.items():
        busy_s = result.work.busy_s.get(mark, 0.0)
        useful_s += busy_s if in_time else 0.0
        missed_s += 0.0 if in_time else busy_s
    return missed_s / (useful_s + missed_s) if missed_s else 0.0


def executed_s_per_answer(result: ReplayResult) -> float:
    """Return endpoint seconds for each whole answer in time, all calls included."""
    if result.work is None:
        return summarise(result.records).busy_s_per_answer
    in_time = sum(record.in_time for record in result.records)
    return sum(result.work.busy_s.values()) / max(1, in_time)


def false_refusals(result: ReplayResult) -> list[RequestRecord]:
    """Return requests that got ``not_run`` although a call of theirs was executed.

    Requests that share a key share their calls, so a call counts only if no request
    with the same fingerprints ended otherwise.
    """
    if result.work is None:
        return []
    executions = result.work.executions
    excused = {
        mark
        for record in result.records
        if record.status != NOT_RUN
        for mark in record.fingerprints.values()
    }
    return [
        record
        for record in result.records
        if record.status == NOT_RUN
        and any(
            mark in executions and mark not in excused
            for mark in record.fingerprints.values()
        )
    ]


@dataclass(frozen=True, slots=True)
class BoundCheck:
    """A stated outcome with the figure that was measured.

    ``holds`` is None if the run cannot tell: no request is in the scope, or the figure
    needs what only stand-ins in this process know.
    """

    bound: Bound
    value: float
    holds: bool | None

    def to_json(self) -> dict[str, Any]:
        """Return the check as JSON values."""
        return {
            "outcome": describe(self.bound),
            "value": round(self.value, 5),
            "holds": self.holds,
            "reason": self.bound.reason,
        }


def describe(bound: Bound) -> str:
    """Return a stated outcome as text.

    Examples
    --------
    >>> describe(Bound("attainment", at_least=0.99, priority=0))
    'attainment of priority 0 >= 0.99'
    """
    scope = [
        f"{name.replace('_', ' ')} {getattr(bound, name)}"
        for name in ("account", "except_account", "template", "priority")
        if getattr(bound, name) not in ("", None)
    ]
    text = bound.figure
    if scope:
        text += f" of {', '.join(scope)}"
    if bound.from_s > 0 or bound.until_s != float("inf"):
        text += f" from {bound.from_s:g} s to {bound.until_s:g} s"
    if bound.at_least is not None:
        text += f" >= {bound.at_least:g}"
    if bound.at_most is not None:
        text += f" <= {bound.at_most:g}"
    return text


def check_bounds(result: ReplayResult) -> list[BoundCheck]:
    """Compare the stated outcomes of the scenario with the run."""
    checks = []
    for bound in result.scenario.bounds:
        records = [record for record in result.records if _in_scope(record, bound)]
        hidden = result.work is None and bound.figure in _LOCAL_FIGURES
        if hidden or not records:
            checks.append(BoundCheck(bound, 0.0, None))
            continue
        value = _FIGURES[bound.figure](result, records, bound)
        holds = bound.at_least is None or value >= bound.at_least
        holds = holds and (bound.at_most is None or value <= bound.at_most)
        checks.append(BoundCheck(bound, value, holds))
    return checks


def _in_scope(record: RequestRecord, bound: Bound) -> bool:
    return (
        bound.account in ("", record.account)
        and record.account != bound.except_account
        and bound.template in ("", record.template)
        and bound.priority in (None, record.priority)
        and bound.from_s <= record.at_s < bound.until_s
    )


Figure = Callable[[ReplayResult, list[RequestRecord], Bound], float]


def _goodput(result: ReplayResult, records: list[RequestRecord], bound: Bound) -> float:
    """Return whole answers in time that ended within the window, by second."""
    until_s = min(bound.until_s, result.scenario.duration_s)
    done = 0
    for record in result.records:
        if not record.in_time or bound.template not in ("", record.template):
            continue
        done += bound.from_s <= record.at_s + record.latency_s < until_s
    return done / max(0.001, until_s - bound.from_s)


def _retry_share(
    result: ReplayResult, records: list[RequestRecord], bound: Bound
) -> float:
    return sum(result.retries.values()) / max(1, len(result.records))


def _amplification(
    result: ReplayResult, records: list[RequestRecord], bound: Bound
) -> float:
    """Return executed calls over calls that would do without any retry."""
    if result.work is None:
        return 0.0
    calls = sum(result.work.calls.values())
    return calls / max(1, calls - sum(result.retries.values()))


_FIGURES: dict[str, Figure] = {
    "attainment": lambda result, records, bound: summarise(records).attainment,
    "wrong": lambda result, records, bound: float(summarise(records).wrong),
    "no_response": lambda result, records, bound: float(summarise(records).no_response),
    "missed_work_share": lambda result, records, bound: missed_work_share(
        result, records
    ),
    "goodput_per_s": _goodput,
    "retry_share": _retry_share,
    "amplification": _amplification,
    "duplicate_effects": lambda result, records, bound: float(
        duplicate_effects(result)
    ),
    "false_refusals": lambda result, records, bound: float(len(false_refusals(result))),
    "unknown": lambda result, records, bound: float(summarise(records).unknown),
}
_LOCAL_FIGURES = frozenset({"amplification", "duplicate_effects", "false_refusals"})
FIGURES = tuple(_FIGURES)


def compare(result: ReplayResult, baseline: ReplayResult) -> dict[str, float]:
    """Return ratios of a run to a baseline with the same trace, seed and faults.

    A ratio above 1 means that the run has more of the figure than the baseline.
    """
    ours = summarise(result.records)
    theirs = summarise(baseline.records)
    ratios = {
        "attainment": _ratio(ours.attainment, theirs.attainment),
        "answered": _ratio(ours.answered, theirs.answered),
        "executed_s_per_answer": _ratio(
            executed_s_per_answer(result), executed_s_per_answer(baseline)
        ),
    }
    for name, totals in ours.stages.items():
        other = theirs.stages.get(name)
        if other is not None:
            ratios[f"busy_s_per_answer.{name}"] = _ratio(
                totals.busy_s / max(1, ours.in_time),
                other.busy_s / max(1, theirs.in_time),
            )
    return {name: round(value, 4) for name, value in ratios.items()}


def _ratio(value: float, other: float) -> float:
    if other:
        return value / other
    return 1.0 if not value else float("inf")
