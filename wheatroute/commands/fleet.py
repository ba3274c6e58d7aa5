"""`wheatroute fleet`: fleets in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import click

from wheatroute.commands.exit_status import exit_with_error

Result = TypeVar("Result")


@click.group()
def fleet() -> None:
    """Plays fleets in virtual time: experiments, their reports, one request's story."""


@fleet.command("run")
@click.argument("file", type=click.Path())
@click.option("--into", "folder", type=click.Path(), help="where runs are kept; by default beside FILE")
@click.option("--workers", type=click.IntRange(1), help="processes; by default one a core")
def fleet_run(file: str, folder: str | None, workers: int | None) -> None:
    """Plays the experiment of FILE; one that was stopped goes on where it was."""
    import os
    from pathlib import Path

    from wheatroute.fleet import experiment

    plan = _or_exit(lambda: experiment.read(file))
    into = Path(folder or Path(file).with_suffix(""))
    with click.progressbar(length=1, label=plan.name) as progress_bar:

        def show_progress(done: int, total: int) -> None:
            progress_bar.length = total
            progress_bar.update(1)

        count = experiment.carry_out(plan, into, workers or os.cpu_count() or 1, show_progress)
    click.echo(f"{into}: {count} runs played, {len(experiment.kept(into))} kept")


@fleet.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--plots/--no-plots", default=True, help="draw plots beside the page")
def fleet_report(folder: str, plots: bool) -> None:
    """Writes report.md in FOLDER: tables with intervals, paired by seed, and plots."""
    from pathlib import Path

    from wheatroute.fleet import experiment, report

    into = Path(folder)
    runs = list(experiment.kept(into).values())
    if not runs:
        exit_with_error(f"{folder}: no runs are kept there")
    text = report.page(into.name, runs)
    for name in report.plots(runs, into) if plots else ():
        text += f"\n![{name}]({name})\n"
    page = into / "report.md"
    page.write_text(text, encoding="utf-8")
    click.echo(f"{page}: {len(runs)} runs")


@fleet.command("trace")
@click.argument("file", type=click.Path())
@click.option(
    "--request", "--command", "number", type=click.IntRange(0), required=True, help="in the order of arrival"
)
@click.option("--policy", default="design", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def fleet_trace(file: str, number: int, policy: str, seed: int) -> None:
    """Plays the first point of the experiment in FILE again and tells the story of one request."""
    from wheatroute.fleet import traced_run

    for line in _or_exit(lambda: traced_run.trace_request(file, policy, seed, number)):
        click.echo(line)


def _or_exit(read: Callable[[], Result]) -> Result:
    """Returns what `read` does; ends the process if a plan has errors."""
    from wheatroute.fleet.plan import PlanError

    try:
        return read()
    except PlanError as error:
        exit_with_error(str(error))
