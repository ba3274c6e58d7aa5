"""The report of an experiment: tables with confidence intervals, paired by seed, and plots. Writes the plots.

The intervals are for the median over seeds. They follow from order statistics and the binomial distribution
and assume no shape of the distribution. Differences between policies are taken per seed, because all policies
get the same requests for the same seed. Runs at different points of the sweeps are never mixed.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import comb
from pathlib import Path
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from wheatroute.fleet.policies import DESIGN
from wheatroute.fleet.records import RunRecord, new_histogram

CONFIDENCE = 0.95  # intended confidence of the intervals
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_S = 1e6

Point = tuple[tuple[str, str], ...]  # swept keys and their values
RunsByPolicy = dict[str, list[RunRecord]]


class Column(NamedTuple):
    """Describes a column of the report: a field of `Figures` and its title."""

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
    """Holds a confidence interval for a median; `confidence` is the probability that it covers the median."""

    low: float
    high: float
    confidence: float


def median(values: Sequence[float]) -> float:
    """Returns the median of at least one value."""
    ordered, half = sorted(values), len(values) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def interval(values: Sequence[float], confidence: float = CONFIDENCE) -> Interval:
    """Returns the narrowest interval that covers the median with at least this confidence.

    If there are too few values for this confidence, the interval is their range with its lower confidence.
    """
    ordered, n = sorted(values), len(values)
    best = Interval(ordered[0], ordered[-1], 1.0 - 2.0 * 0.5**n)
    for k in range(1, n // 2):
        reached = 1.0 - 2.0 * sum(comb(n, i) for i in range(k + 1)) / 2**n
        if reached < confidence:
            break
        best = Interval(ordered[k], ordered[n - 1 - k], reached)
    return best


def group_runs(runs: list[RunRecord]) -> dict[Point, RunsByPolicy]:
    """Returns the runs by point of the sweeps and by policy, in the order of `runs`."""
    groups: dict[Point, RunsByPolicy] = {}
    for run in runs:
        point = tuple((key, str(value)) for key, value in run.point.items())
        groups.setdefault(point, {}).setdefault(run.policy, []).append(run)
    return groups


def markdown_report(name: str, runs: list[RunRecord], reference: str = DESIGN) -> str:
    """Returns the report in Markdown; the policy `reference` is the one that the others are compared with."""
    lines = [
        f"# {name}",
        "",
        f"{len(runs)} runs. Medians over seeds; in brackets the 95% confidence interval of the median "
        "(with its confidence where there are too few runs for 95%).",
        "",
    ]
    for point, policies in group_runs(runs).items():
        if point:
            lines += ["## " + _title(point), ""]
        lines += [*_figures_table(policies, reference), "", *_latency_table(policies), ""]
    return "\n".join(lines)


def _title(point: Point) -> str:
    return ", ".join(f"{key} {value}" for key, value in point)


def _figures_table(policies: RunsByPolicy, reference: str) -> list[str]:
    titles = " | ".join(column.title for column in COLUMNS)
    lines = [
        f"| policy | {titles} | less the design's worth | broken rules |",
        "| --- |" + " --- |" * (len(COLUMNS) + 2),
    ]
    reference_values = {run.seed: run.figures.value for run in policies.get(reference, [])}
    for policy, runs in policies.items():
        cells = [_cell([getattr(run.figures, column.field) for run in runs]) for column in COLUMNS]
        differences = [
            run.figures.value - reference_values[run.seed] for run in runs if run.seed in reference_values
        ]
        cells.append(_cell(differences) if differences and policy != reference else "-")
        cells.append(str(sum(sum(run.figures.violations) for run in runs)))
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return lines


def _cell(values: list[float]) -> str:
    """Returns a median with its interval, and the interval's confidence if it is below `CONFIDENCE`."""
    if len(values) == 1:
        return f"{median(values):.3g}"
    low, high, confidence = interval(values)
    note = "" if confidence >= CONFIDENCE else f" at {100 * confidence:.0f}%"
    return f"{median(values):.3g} [{low:.3g}, {high:.3g}{note}]"


def merged_latencies(runs: list[RunRecord]) -> HdrHistogram:
    """Returns one histogram of the latencies of all runs, in microseconds."""
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
            f"{histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_S:.3f}"
            for percentile in PERCENTILES
        ]
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return lines


# plots


def draw_plots(runs: list[RunRecord], folder: Path) -> list[str]:
    """Draws the value over time per point and over each swept key, as SVG; returns the names of the files."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "wheatroute"  # makes the files reproducible byte by byte
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
        medians = [median(samples) for samples in values.values()]
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
