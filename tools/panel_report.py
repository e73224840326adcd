"""Tables, intervals and plots of the paired plays of ``tools.panel``."""

import base64
import html
import io
import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

import matplotlib
import numpy as np

matplotlib.use("Agg")
from matplotlib import pyplot as plt

RESAMPLES = 4000
CONFIDENCE = 0.95
# Prices below this worth in every tree are left out of the table.
LEAST_PRICE = 0.001
KIND_FIELDS = ("n", "in_aim", "late", "refused", "failed")


@dataclass(frozen=True)
class Play:
    """One day played on one tree."""

    tree: str
    day: str
    seed: int
    report: dict

    @property
    def pair(self) -> tuple[str, int]:
        """What the plays of all trees have in common."""
        return self.day, self.seed

    def figures(self) -> dict[str, float]:
        """Return worth, its parts and prices by name."""
        found = {"worth": self.report["G"], "served": self.report["served"]}
        found.update({name: value for name, _, value in self.report["parts"]})
        found["broken rules"] = float(len(self.report["breaks"]))
        found.update({f"price: {n}": cost for n, _, cost in self.report["prices"]})
        return found


def paired_interval(differences: list[float]) -> tuple[float, float, float]:
    """Return the mean of paired differences and its bootstrap interval.

    Examples
    --------
    >>> paired_interval([0.1, 0.1, 0.1])
    (0.1, 0.1, 0.1)
    """
    values = np.asarray(differences)
    rng = np.random.default_rng(0)
    means = rng.choice(values, (RESAMPLES, len(values))).mean(axis=1)
    tail = (1.0 - CONFIDENCE) / 2
    low, high = np.quantile(means, [tail, 1.0 - tail])
    return tuple(round(float(value), 4) for value in (values.mean(), low, high))


def write_report(plays: list[Play], trees: list[str], out: Path) -> None:
    """Print the comparison; write it as ``panel.json`` and ``panel.html`` too."""
    summary = _summary(plays, trees)
    text = _text(summary, trees)
    print(text)
    (out / "panel.json").write_text(json.dumps(summary, indent=1))
    page = f"<title>Panel</title><pre>{html.escape(text)}</pre>{_plot(plays, trees)}"
    (out / "panel.html").write_text(page)


def _summary(plays: list[Play], trees: list[str]) -> dict:
    by_tree = {
        tree: {play.pair: play for play in plays if play.tree == tree} for tree in trees
    }
    pairs = sorted(set.intersection(*(set(found) for found in by_tree.values())))
    summary = {"pairs": len(pairs), "days": {}, "mean": {}, "kinds": {}, "change": {}}
    for tree, found in by_tree.items():
        figures = [found[pair].figures() for pair in pairs]
        names = sorted({name for row in figures for name in row})
        summary["mean"][tree] = {
            name: float(np.mean([row.get(name, 0.0) for row in figures]))
            for name in names
        }
        summary["kinds"][tree] = _kinds([found[pair] for pair in pairs])
        for pair, row in zip(pairs, figures, strict=True):
            summary["days"].setdefault(" ".join(map(str, pair)), {})[tree] = row
    base = by_tree[trees[0]]
    for tree in trees[1:]:
        summary["change"][tree] = {
            name: paired_interval(
                [
                    by_tree[tree][pair].figures().get(name, 0.0)
                    - base[pair].figures().get(name, 0.0)
                    for pair in pairs
                ]
            )
            for name in summary["mean"][tree]
        }
    return summary


def _kinds(plays: list[Play]) -> dict[str, dict[str, int]]:
    totals: dict[str, dict[str, int]] = defaultdict(
        lambda: dict.fromkeys(KIND_FIELDS, 0)
    )
    for play in plays:
        for kind in play.report["classes"]:
            for field in KIND_FIELDS:
                totals[kind["name"]][field] += kind[field]
    return dict(totals)


def _text(summary: dict, trees: list[str]) -> str:
    lines = [f"{summary['pairs']} pairs; worth by day and seed: {', '.join(trees)}"]
    for day, row in summary["days"].items():
        worths = "  ".join(f"{row[tree]['worth']:7.3f}" for tree in trees)
        lines.append(f"  {day:40} {worths}")
    lines.append("mean")
    names = dict.fromkeys(name for tree in trees for name in summary["mean"][tree])
    for name in names:
        values = [summary["mean"][tree].get(name, 0.0) for tree in trees]
        if name.startswith("price") and max(map(abs, values)) < LEAST_PRICE:
            continue
        text = "  ".join(f"{value:7.4f}" for value in values)
        changes = [summary["change"][tree].get(name) for tree in trees[1:]]
        spans = "  ".join("{:+.4f} [{:+.4f}, {:+.4f}]".format(*c) for c in changes if c)
        lines.append(f"  {name[:52]:52} {text}  {spans}")
    lines.append("requests by kind: " + ", ".join(KIND_FIELDS))
    for tree in trees:
        for kind, row in summary["kinds"][tree].items():
            counts = "  ".join(f"{row[field]:6d}" for field in KIND_FIELDS)
            lines.append(f"  {tree:14} {kind:20} {counts}")
    return "\n".join(lines)


def _plot(plays: list[Play], trees: list[str]) -> str:
    """Return the worth of each pair as an image element."""
    figure, axes = plt.subplots(figsize=(9, 4))
    pairs = sorted({play.pair for play in plays})
    for tree in trees:
        known = {play.pair: play.report["G"] for play in plays if play.tree == tree}
        axes.plot([known.get(pair) for pair in pairs], "o-", label=tree)
    axes.set_xticks(range(len(pairs)), [f"{d} {s}" for d, s in pairs], rotation=90)
    axes.set_ylabel("worth")
    axes.legend()
    data = io.BytesIO()
    figure.savefig(data, format="png", bbox_inches="tight")
    plt.close(figure)
    encoded = base64.b64encode(data.getvalue()).decode()
    return f'<img src="data:image/png;base64,{encoded}">'
