"""The report of a stored run: its summary as text, and a plot of served requests, versions and faults.

The plot shows which versions processes acted on according to their logs; the verdict never uses a log.
"""

from __future__ import annotations

import re
from collections import Counter
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from wheatroute.agreement.operator_output import table
from wheatroute.rig.run_folder import StoredRun, read_run, read_summary, read_violations

TIMELINE = "timeline.png"
REPORT = "report.md"
DPI = 120
PHASE_COLOURS = {"careful": "tab:red", "joint": "tab:orange", "in force": "tab:green"}
OTHER_COLOUR = "tab:gray"
_PHASE_LINE = re.compile(r'timestamp=(\S+) .*event=settings .*phase=("in force"|\S+) version=(\d+)')


class LoggedPhase(NamedTuple):
    """When a process began to act on a version, according to its log; in seconds since the load began."""

    start_s: float
    phase: str
    version: int


def summary_lines(summary: dict[str, object], folder: Path) -> list[str]:
    """Returns the table that is printed at the end of a run, and the timeline of the first violation."""
    rows = [[key, str(value)] for key, value in summary.items() if key not in ("name", "broken")]
    lines = [f"{summary['name']}: {folder}", *table(rows)]
    violations = read_violations(folder)
    if not violations:
        return [*lines, "no promise broken"]
    lines += [f"BROKEN: {violation.rule}, first by {violation.request_id}" for violation in violations]
    return [*lines, *violations[0].timeline]


def write_report(folder: Path) -> Path:
    """Writes `report.md` and the plot of a stored run, and returns the path of `report.md`.

    Raises `FileNotFoundError` if the folder has no stored run.
    """
    run = read_run(folder)
    summary = read_summary(folder)
    _draw_timeline(run, folder)
    text = "\n".join(f"    {line}" for line in summary_lines(summary, folder))
    path = folder / REPORT
    path.write_text(f"# {run.name}\n\n{text}\n\n![timeline]({TIMELINE})\n", encoding="utf-8")
    return path


def _draw_timeline(run: StoredRun, folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (service, phases) = pyplot.subplots(2, 1, figsize=(10, 6), sharex=True)
    _draw_service(service, run)
    _draw_phases(phases, run, folder)
    _mark_faults(service, phases, run)
    for published_at in run.publication_times[1:]:
        phases.axvline(published_at - run.clock.started_at, color="tab:blue", linewidth=1.0)
    phases.set_xlim(0.0, run.duration_s)
    figure.tight_layout()
    figure.savefig(folder / TIMELINE, dpi=DPI)
    pyplot.close(figure)


def _draw_service(axis: Any, run: StoredRun) -> None:
    """Plots the ratio of requests that each process served, by the second in which they were sent."""
    for name in run.process_names:
        sent: Counter[int] = Counter()
        served: Counter[int] = Counter()
        for request in run.requests:
            if request.node == name:
                second = int(request.sent_at - run.clock.started_at)
                sent[second] += 1
                served[second] += request.status == 200
        seconds = sorted(sent)
        ratios = [served[second] / sent[second] for second in seconds]
        axis.plot(seconds, ratios, drawstyle="steps-post", label=name)
    axis.set_ylabel("ratio of requests served, by second")
    axis.set_ylim(0.0, 1.05)
    axis.legend(loc="lower left")


def _draw_phases(axis: Any, run: StoredRun, folder: Path) -> None:
    """Draws a row for each process, with the versions that it acted on."""
    names = run.process_names
    for row, name in enumerate(names):
        phases = _read_phases(folder / f"{name}.log", run.clock.started_unix_s)
        ends = [phase.start_s for phase in phases[1:]] + [run.duration_s]
        for phase, end in zip(phases, ends, strict=False):
            colour = PHASE_COLOURS.get(phase.phase, OTHER_COLOUR)
            axis.barh(row, end - phase.start_s, left=phase.start_s, color=colour, height=0.6)
            axis.text(max(0.0, phase.start_s), row, str(phase.version), va="center", fontsize=7)
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("seconds; green: in force, orange: joint, red: careful (from the logs)")


def _mark_faults(service: Any, phases: Any, run: StoredRun) -> None:
    for fault in run.faults:
        at_s = fault.at - run.clock.started_at
        for axis in (service, phases):
            axis.axvline(at_s, color="black", linewidth=0.5, linestyle=":")
        service.text(at_s, 1.0, fault.text, rotation=90, va="top", fontsize=6)


def _read_phases(log: Path, started_unix_s: float) -> list[LoggedPhase]:
    """Reads from a process's log which versions it acted on."""
    phases = []
    for line in log.read_text(errors="replace").splitlines():
        if match := _PHASE_LINE.search(line):
            logged_at = datetime.fromisoformat(match[1].replace("Z", "+00:00")).timestamp()
            phases.append(LoggedPhase(logged_at - started_unix_s, match[2].strip('"'), int(match[3])))
    return phases
