"""Plain tables of replay results."""

from .report import Summary, group, percentiles_ms, summarise
from .results import (
    ReplayResult,
    check_bounds,
    duplicate_effects,
    executed_s_per_answer,
    false_refusals,
    missed_work_share,
)


def render_result(result: ReplayResult) -> str:
    """Return the report of one run as text."""
    lines = [f"{result.scenario.name}: policy {result.policy}"]
    lines += _group_lines(result)
    lines += _stage_lines(summarise(result.records))
    lines += _count_lines(result)
    lines += _bound_lines(result)
    return "\n".join(lines)


def _group_lines(result: ReplayResult) -> list[str]:
    columns = ("offered", "whole", "in time", "refused", "unknown", "none", "wrong")
    header = f"  {'requests':<30}" + "".join(f"{name:>9}" for name in columns)
    lines = [header + f"{'attain.':>9}{'p50 ms':>9}{'p99 ms':>9}"]
    lines.append(_summary_line("all", summarise(result.records)))
    for by in ("template", "account", "priority"):
        for name, summary in group(result.records, by).items():
            lines.append(_summary_line(f"{by} {name}", summary))
    return lines


def _summary_line(name: str, summary: Summary) -> str:
    counts = (
        summary.offered,
        summary.answered,
        summary.in_time,
        summary.refused,
        summary.unknown,
        summary.no_response,
        summary.wrong,
    )
    line = f"  {name:<30}" + "".join(f"{count:>9}" for count in counts)
    latency = summary.latency_ms
    line += f"{summary.attainment:>9.4f}"
    return line + f"{latency.get('p50', 0):>9.0f}{latency.get('p99', 0):>9.0f}"


def _stage_lines(summary: Summary) -> list[str]:
    lines = [
        f"  {'cost by stage':<20}{'requests':>9}{'busy s':>9}{'queue s':>9}"
        f"{'in units':>9}{'out units':>10}{'bytes in':>10}{'bytes out':>10}"
        f"{'missed s':>9}"
    ]
    for name, stage in summary.stages.items():
        lines.append(
            f"  {name:<20}{stage.requests:>9}{stage.busy_s:>9.2f}{stage.queue_s:>9.2f}"
            f"{stage.input_units:>9}{stage.output_units:>10}{stage.bytes_in:>10}"
            f"{stage.bytes_out:>10}{stage.missed_busy_s:>9.2f}"
        )
    return lines


def _count_lines(result: ReplayResult) -> list[str]:
    summary = summarise(result.records)
    lines = [
        f"  first token: {_line(summary.first_token_ms)}",
        f"  between tokens: {_line(summary.gap_ms)}",
        f"  event loop lag: {_line(percentiles_ms(result.lag_s))}",
        f"  not answered: {_counts(summary.codes)}",
        f"  retries: {_counts(result.retries)}",
    ]
    if result.work is not None:
        lines.append(f"  endpoint calls: {_counts(result.work.calls)}")
        share = missed_work_share(result, result.records)
        lines.append(
            f"  endpoint seconds per answer in time: "
            f"{executed_s_per_answer(result):.4f}; on missed requests: {share:.2%}"
        )
        lines.append(
            f"  duplicate effects: {duplicate_effects(result)}; "
            f"false refusals: {len(false_refusals(result))}"
        )
    return lines


def _bound_lines(result: ReplayResult) -> list[str]:
    lines = []
    for check in check_bounds(result):
        state = {True: "holds", False: "MISSED", None: "unknown"}[check.holds]
        body = check.to_json()
        lines.append(f"  {state:<8}{body['outcome']}: {body['value']:g}")
    return lines


def _line(percentiles: dict[str, float]) -> str:
    text = ", ".join(f"{name} {value:g} ms" for name, value in percentiles.items())
    return text or "none"


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def render_ratios(baseline: str, ratios: dict[str, float]) -> str:
    """Return the comparison with a baseline as text."""
    pairs = ", ".join(f"{name} {value:g}" for name, value in ratios.items())
    return f"  ratio to {baseline}: {pairs}"
