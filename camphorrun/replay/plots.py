"""Plots of replay results; matplotlib is a development dependency."""

from collections import Counter
from pathlib import Path

from .report import summarise
from .results import ReplayResult

WINDOW_SECONDS = 1.0


def write_plots(results: list[ReplayResult], directory: Path) -> list[Path]:
    """Write goodput, latency and cost by stage of some runs; return the files.

    The import is here so that the program runs without matplotlib.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    directory.mkdir(parents=True, exist_ok=True)
    name = results[0].scenario.name
    paths = []
    for kind, draw in (
        ("goodput", _draw_goodput),
        ("latency", _draw_latency),
        ("cost", _draw_cost),
    ):
        figure, axes = pyplot.subplots(figsize=(8, 4.5))
        draw(axes, results)
        axes.set_title(f"{name}: {kind}")
        axes.legend()
        path = directory / f"{name}-{kind}.png"
        figure.savefig(path, dpi=110, bbox_inches="tight")
        pyplot.close(figure)
        paths.append(path)
    return paths


def _draw_goodput(axes, results: list[ReplayResult]) -> None:
    offered = Counter(int(record.at_s) for record in results[0].records)
    seconds = range(max(offered, default=0) + 1)
    axes.step(
        seconds,
        [offered[s] for s in seconds],
        where="post",
        color="grey",
        label="offered",
    )
    for result in results:
        done = Counter(int(r.at_s + r.latency_s) for r in result.records if r.in_time)
        axes.step(
            seconds, [done[s] for s in seconds], where="post", label=result.policy
        )
    axes.set_xlabel("time (s)")
    axes.set_ylabel("requests a second")


def _draw_latency(axes, results: list[ReplayResult]) -> None:
    for result in results:
        values = sorted(record.latency_s for record in result.records if record.whole)
        shares = [(index + 1) / len(result.records) for index in range(len(values))]
        axes.plot(values, shares, label=result.policy)
    axes.set_xlabel("latency (s)")
    axes.set_ylabel("share of offered requests answered")


def _draw_cost(axes, results: list[ReplayResult]) -> None:
    width = 0.8 / len(results)
    stages = sorted(
        {name for result in results for name in summarise(result.records).stages}
    )
    for number, result in enumerate(results):
        summary = summarise(result.records)
        heights = [
            summary.stages[name].busy_s / max(1, summary.in_time)
            if name in summary.stages
            else 0.0
            for name in stages
        ]
        positions = [index + number * width for index in range(len(stages))]
        axes.bar(positions, heights, width, label=result.policy)
    axes.set_xticks(range(len(stages)), stages, rotation=30)
    axes.set_ylabel("busy seconds per answer in time")
