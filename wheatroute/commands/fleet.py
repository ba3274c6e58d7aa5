"""`wheatroute fleet`: fleets in virtual time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click


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

    told = _plan(lambda: experiment.read(file))
    into = Path(folder or Path(file).with_suffix(""))
    with click.progressbar(length=1, label=told.name) as bar:

        def tell(done: int, of: int) -> None:
            bar.length = of
            bar.update(1)

        count = experiment.carry_out(told, into, workers or os.cpu_count() or 1, tell)
    click.echo(f"{into}: {count} runs played, {len(experiment.kept(into))} kept")


@fleet.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--plots/--no-plots", default=True, help="draw plots beside the page")
def fleet_report(folder: str, plots: bool) -> None:
    """Writes report.md in FOLDER: tables with intervals, paired by seed, and plots."""
    from pathlib import Path

    from wheatroute.fleet import experiment, report

    into = Path(folder)
    kept = list(experiment.kept(into).values())
    if not kept:
        click.echo(f"{folder}: no runs are kept there", err=True)
        sys.exit(2)
    text = report.page(into.name, kept)
    for name in report.plots(kept, into) if plots else ():
        text += f"\n![{name}]({name})\n"
    into.joinpath("report.md").write_text(text, encoding="utf-8")
    click.echo(f"{into / 'report.md'}: {len(kept)} runs")


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

    for line in _plan(lambda: traced_run.trace_request(file, policy, seed, number)):
        click.echo(line)


def _plan(do: Callable[[], Any]) -> Any:
    from wheatroute.fleet import plan

    try:
        return do()
    except plan.PlanError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
