"""What an experiment showed: tables with intervals, paired by seed, and plots.

Owns how runs become a page. Its intervals are of the median over seeds by the order statistics of the
binomial law, which assume no shape; differences are taken seed by seed, as two policies on a seed met the
same requests. It must never mix runs of different points of a sweep.
"""

from __future__ import annotations

from math import comb
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

Point = tuple[tuple[str, str], ...]
FIGURES = (
    ("utility", "worth"),
    ("handled", "served"),
    ("bounced", "refused"),
    ("late", "late"),
    ("p50", "p50 s"),
    ("p99", "p99 s"),
    ("collapses", "collapses"),
)


def median(figures: list[float]) -> float:
    """The median of at least one figure."""
    ordered, half = sorted(figures), len(figures) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def interval(figures: list[float], sure: float = 0.95) -> tuple[float, float, float]:
    """Lower and upper end for the median, and how sure that is (less than asked where runs are few)."""
    ordered, n = sorted(figures), len(figures)
    best = (ordered[0], ordered[-1], 1.0 - 2.0 * 0.5**n)
    for k in range(1, n // 2):
        held = 1.0 - 2.0 * sum(comb(n, i) for i in range(k + 1)) / 2**n
        if held < sure:
            break
        best = (ordered[k], ordered[n - 1 - k], held)
    return best


def groups(kept: list[dict[str, Any]]) -> dict[Point, dict[str, list[dict[str, Any]]]]:
    """Runs by point of the sweeps and by policy, in the order in which they are kept."""
    out: dict[Point, dict[str, list[dict[str, Any]]]] = {}
    for run in kept:
        point = tuple((key, str(value)) for key, value in run["point"].items())
        out.setdefault(point, {}).setdefault(run["policy"], []).append(run)
    return out


def page(name: str, kept: list[dict[str, Any]], against: str = "design") -> str:
    """The page in Markdown."""
    lines = [
        f"# {name}",
        "",
        f"{len(kept)} runs. Medians over seeds; in brackets the interval that holds "
        "the median at 95% (at what is said where runs are too few for that).",
        "",
    ]
    for point, policies in groups(kept).items():
        if point:
            lines += ["## " + ", ".join(f"{key} {value}" for key, value in point), ""]
        lines += [
            "| policy | " + " | ".join(title for _, title in FIGURES) + " | less the design's worth |"
            " broken rules |",
            "| --- |" + " --- |" * (len(FIGURES) + 2),
        ]
        base = {run["seed"]: run["figures"]["utility"] for run in policies.get(against, [])}
        for policy, its in policies.items():
            cells = []
            for figure, _ in FIGURES:
                cells.append(_cell([run["figures"][figure] for run in its]))
            paired = [run["figures"]["utility"] - base[run["seed"]] for run in its if run["seed"] in base]
            cells.append(_cell(paired) if paired and policy != against else "-")
            cells.append(str(sum(sum(run["figures"]["breaks"]) for run in its)))
            lines.append(f"| {policy} | " + " | ".join(cells) + " |")
        lines.append("")
        lines += _delays(policies) + [""]
    return "\n".join(lines)


def _cell(figures: list[float]) -> str:
    low, high, held = interval(figures)
    sure = "" if held >= 0.95 or len(figures) == 1 else f" at {100 * held:.0f}%"
    spread = f" [{low:.3g}, {high:.3g}{sure}]" if len(figures) > 1 else ""
    return f"{median(figures):.3g}{spread}"


def delays(runs: list[dict[str, Any]]) -> HdrHistogram:
    """The delays of all runs in one histogram, microseconds."""
    whole = HdrHistogram(1, 3_600_000_000, 3)
    for run in runs:
        whole.decode_and_add(run["delays"])
    return whole


def _delays(policies: dict[str, list[dict[str, Any]]]) -> list[str]:
    parts = (50.0, 90.0, 99.0, 99.9)
    lines = [
        "| delay of what was served, s | " + " | ".join(f"p{part:g}" for part in parts) + " |",
        "| --- |" + " --- |" * len(parts),
    ]
    for policy, its in policies.items():
        whole = delays(its)
        lines.append(
            f"| {policy} | "
            + " | ".join(f"{whole.get_value_at_percentile(part) / 1e6:.3f}" for part in parts)
            + " |"
        )
    return lines


def plots(kept: list[dict[str, Any]], folder: Path) -> list[str]:
    """Worth over time at each point, and over each swept figure, as SVG; returns the files' names."""
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    matplotlib.rcParams["svg.hashsalt"] = "wheatroute"
    made = []
    for number, (point, policies) in enumerate(groups(kept).items()):
        figure, axes = plt.subplots(figsize=(8, 4))
        for policy, its in policies.items():
            length = min(len(run["by_second"]) for run in its)
            axes.plot(
                range(length),
                [median([run["by_second"][at] for run in its]) for at in range(length)],
                label=policy,
            )
        axes.set(xlabel="s", ylabel="worth", title=", ".join(f"{key} {value}" for key, value in point))
        made.append(_drawn(figure, axes, folder / f"time_{number}.svg"))
    keys = list(kept[0]["point"]) if kept else []
    for number, key in enumerate(keys):
        figure, axes = plt.subplots(figsize=(8, 4))
        for policy in dict.fromkeys(run["policy"] for run in kept):
            at: dict[Any, list[float]] = {}
            for run in kept:
                if run["policy"] == policy:
                    at.setdefault(run["point"][key], []).append(run["figures"]["utility"])
            axes.plot([str(value) for value in at], [median(its) for its in at.values()], "o-", label=policy)
        axes.set(xlabel=key, ylabel="worth")
        made.append(_drawn(figure, axes, folder / f"sweep_{number}.svg"))
    return made


def _drawn(figure: Any, axes: Any, path: Path) -> str:
    import matplotlib.pyplot as plt

    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
    return path.name
