"""The report of an experiment: tables with intervals, paired by seed, and plots. Writes the plots' files.

Intervals are of the median over seeds, by order statistics and the binomial distribution, which assumes no
shape. Differences are taken seed by seed, as two policies on one seed meet the same requests. Runs of
different points of the sweeps are never mixed.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import comb
from pathlib import Path
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from wheatroute.fleet.policies import DESIGN
from wheatroute.fleet.records import RunRecord, new_histogram

CONFIDENCE = 0.95  # wanted of intervals
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS = 1e6  # in a second

Point = tuple[tuple[str, str], ...]  # swept keys and their values
RunsByPolicy = dict[str, list[RunRecord]]


class Column(NamedTuple):
    """A column of the report: a field of `Figures`, and its title."""

    field: str
    title: str


COLUMNS = (
    Column("value", "worth"),
    Column("served", "served"),
    Column("rejected", "refused"),
    Column("late", "late"),
    Column("latency_p50_s", "p50 s"),
    Column("latency_p99_s", "p99 s"),
    Column("collapses", "collapses"),
)


class Interval(NamedTuple):
    """An interval that holds the median with some confidence."""

    low: float
    high: float
    confidence: float


def median(figures: Sequence[float]) -> float:
    """The median of at least one figure."""
    ordered, half = sorted(figures), len(figures) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def interval(figures: Sequence[float], confidence: float = CONFIDENCE) -> Interval:
    """The narrowest interval for the median with this confidence; less confidence if figures are few."""
    ordered, n = sorted(figures), len(figures)
    best = Interval(ordered[0], ordered[-1], 1.0 - 2.0 * 0.5**n)
    for k in range(1, n // 2):
        reached = 1.0 - 2.0 * sum(comb(n, i) for i in range(k + 1)) / 2**n
        if reached < confidence:
            break
        best = Interval(ordered[k], ordered[n - 1 - k], reached)
    return best


def group_runs(runs: list[RunRecord]) -> dict[Point, RunsByPolicy]:
    """Runs by point of the sweeps and by policy, in the order in which they come."""
    groups: dict[Point, RunsByPolicy] = {}
    for run in runs:
        point = tuple((key, str(value)) for key, value in run.point.items())
        groups.setdefault(point, {}).setdefault(run.policy, []).append(run)
    return groups


def markdown_report(name: str, runs: list[RunRecord], baseline: str = DESIGN) -> str:
    """The report in Markdown; values of policies are compared with those of `baseline`."""
    lines = [
        f"# {name}",
        "",
        f"{len(runs)} runs. Medians over seeds; in brackets the interval that holds "
        "the median at 95% (at what is said where runs are too few for that).",
        "",
    ]
    for point, policies in group_runs(runs).items():
        if point:
            lines += ["## " + _title(point), ""]
        lines += [*_figures_table(policies, baseline), "", *_latency_table(policies), ""]
    return "\n".join(lines)


def _title(point: Point) -> str:
    return ", ".join(f"{key} {value}" for key, value in point)


def _figures_table(policies: RunsByPolicy, baseline: str) -> list[str]:
    titles = " | ".join(column.title for column in COLUMNS)
    lines = [
        f"| policy | {titles} | less the design's worth | broken rules |",
        "| --- |" + " --- |" * (len(COLUMNS) + 2),
    ]
    baseline_values = {run.seed: run.figures.value for run in policies.get(baseline, [])}
    for policy, runs in policies.items():
        cells = [_cell([getattr(run.figures, column.field) for run in runs]) for column in COLUMNS]
        differences = [
            run.figures.value - baseline_values[run.seed] for run in runs if run.seed in baseline_values
        ]
        cells.append(_cell(differences) if differences and policy != baseline else "-")
        cells.append(str(sum(sum(run.figures.violations) for run in runs)))
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return lines


def _cell(figures: list[float]) -> str:
    """A median with its interval, and that one's confidence if it is less than wanted."""
    if len(figures) == 1:
        return f"{median(figures):.3g}"
    low, high, confidence = interval(figures)
    note = "" if confidence >= CONFIDENCE else f" at {100 * confidence:.0f}%"
    return f"{median(figures):.3g} [{low:.3g}, {high:.3g}{note}]"


def merged_latencies(runs: list[RunRecord]) -> HdrHistogram:
    """The latencies of all runs in one histogram, in microseconds."""
    histogram = new_histogram()
    for run in runs:
        histogram.decode_and_add(run.latencies)
    return histogram


def _latency_table(policies: RunsByPolicy) -> list[str]:
    titles = " | ".join(f"p{percentile:g}" for percentile in PERCENTILES)
    lines = [
        f"| delay of what was served, s | {titles} |",
        "| --- |" + " --- |" * len(PERCENTILES),
    ]
    for policy, runs in policies.items():
        histogram = merged_latencies(runs)
        cells = [
            f"{histogram.get_value_at_percentile(percentile) / MICROSECONDS:.3f}"
            for percentile in PERCENTILES
        ]
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return lines


# plots


def draw_plots(runs: list[RunRecord], folder: Path) -> list[str]:
    """Draws value over time at each point, and over each swept key, as SVG; returns the files' names."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "wheatroute"  # the same bytes each time
    names = []
    for number, (point, policies) in enumerate(group_runs(runs).items()):
        names.append(_draw_over_time(point, policies, folder / f"time_{number}.svg"))
    for number, key in enumerate(runs[0].point if runs else ()):
        names.append(_draw_sweep(key, runs, folder / f"sweep_{number}.svg"))
    return names


def _draw_over_time(point: Point, policies: RunsByPolicy, path: Path) -> str:
    figure, axes = _new_figure()
    for policy, runs in policies.items():
        seconds = range(min(len(run.value_by_second) for run in runs))
        values = [median([run.value_by_second[second] for run in runs]) for second in seconds]
        axes.plot(seconds, values, label=policy)
    axes.set(xlabel="s", ylabel="worth", title=_title(point))
    return _save(figure, axes, path)


def _draw_sweep(key: str, runs: list[RunRecord], path: Path) -> str:
    figure, axes = _new_figure()
    for policy in dict.fromkeys(run.policy for run in runs):
        values: dict[Any, list[float]] = {}
        for run in runs:
            if run.policy == policy:
                values.setdefault(run.point[key], []).append(run.figures.value)
        medians = [median(figures) for figures in values.values()]
        axes.plot([str(value) for value in values], medians, "o-", label=policy)
    axes.set(xlabel=key, ylabel="worth")
    return _save(figure, axes, path)


def _new_figure() -> tuple[Any, Any]:
    import matplotlib.pyplot as plt

    return plt.subplots(figsize=(8, 4))


def _save(figure: Any, axes: Any, path: Path) -> str:
    import matplotlib.pyplot as plt

    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path.name
