"""`wheatroute fleet`: simulates fleets in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import click

from wheatroute.commands.exit_status import exit_with_error

Result = TypeVar("Result")


@click.group()
def fleet() -> None:
    """Simulates fleets in virtual time: runs experiments, writes reports, traces single requests."""


@fleet.command("run")
@click.argument("file", type=click.Path())
@click.option(
    "--into", "folder", type=click.Path(), help="folder for the records of runs; by default beside FILE"
)
@click.option("--workers", type=click.IntRange(1), help="number of processes; by default one per core")
def fleet_run(file: str, folder: str | None, workers: int | None) -> None:
    """Runs the experiment in FILE; resumes one that was interrupted."""
    import os
    from pathlib import Path

    from wheatroute.fleet.experiment import read_experiment
    from wheatroute.fleet.records import stored_lines
    from wheatroute.fleet.runner import run_experiment

    experiment = _result_or_exit(lambda: read_experiment(file))
    into = Path(folder or Path(file).with_suffix(""))
    with click.progressbar(length=1, label=experiment.name) as progress_bar:

        def show_progress(done: int, total: int) -> None:
            progress_bar.length = total
            progress_bar.update(1)

        count = run_experiment(experiment, into, workers or os.cpu_count() or 1, show_progress)
    click.echo(f"{into}: {count} runs played, {len(stored_lines(into))} kept")


@fleet.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--plots/--no-plots", default=True, help="draw plots beside the report")
def fleet_report(folder: str, plots: bool) -> None:
    """Writes report.md in FOLDER: tables with confidence intervals, paired by seed, and plots."""
    from pathlib import Path

    from wheatroute.fleet import report
    from wheatroute.fleet.records import read_records

    into = Path(folder)
    records = read_records(into)
    if not records:
        exit_with_error(f"{folder}: contains no records of runs")
    text = report.markdown_report(into.name, records)
    for name in report.draw_plots(records, into) if plots else ():
        text += f"\n![{name}]({name})\n"
    into.joinpath("report.md").write_text(text, encoding="utf-8")
    click.echo(f"{into / 'report.md'}: {len(records)} runs")


@fleet.command("trace")
@click.argument("file", type=click.Path())
@click.option(
    "--request",
    "--command",
    "number",
    type=click.IntRange(0),
    required=True,
    help="number of the request in order of arrival, from 0",
)
@click.option("--policy", default="design", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def fleet_trace(file: str, number: int, policy: str, seed: int) -> None:
    """Repeats the run at the first point of the experiment in FILE and prints the trace of one request."""
    from wheatroute.fleet.traced_run import trace_request

    for line in _result_or_exit(lambda: trace_request(file, policy, seed, number)):
        click.echo(line)


def _result_or_exit(function: Callable[[], Result]) -> Result:
    """Returns the function's result; ends the process if the plan or experiment file has errors."""
    from wheatroute.fleet.plan import PlanError

    try:
        return function()
    except PlanError as error:
        exit_with_error(str(error))
