"""`wheatroute rig`: runs several processes with injected faults between them."""

from __future__ import annotations

import sys

import click

from wheatroute.commands.exit_status import exit_with_error

PERCENT = 100
VIOLATION_STATUS = 1


@click.group()
def rig() -> None:
    """Runs several processes on loopback with injected faults and checks their behaviour from outside."""


@rig.command("run")
@click.argument("file", type=click.Path())
@click.option(
    "--into", "folder", type=click.Path(), help="folder for the records of the run; by default beside FILE"
)
@click.option("--json", "as_json", is_flag=True)
def rig_run(file: str, folder: str | None, as_json: bool) -> None:
    """Runs the scenario in FILE; exit status 1 if a guarantee was violated."""
    import json
    from pathlib import Path

    import trio

    from wheatroute.agreement.errors import first_error
    from wheatroute.rig.processes import RigError
    from wheatroute.rig.run_report import summary_lines
    from wheatroute.rig.scenario import ScenarioError, read_scenario
    from wheatroute.rig.scenario_player import play

    try:
        scenario = read_scenario(file)
        run_folder = Path(folder or Path(file).with_suffix(""))
        if run_folder.exists() and any(run_folder.iterdir()):
            raise ScenarioError(f"{run_folder}: is not empty, name another folder with --into")
        with click.progressbar(length=PERCENT, label=scenario.name, file=sys.stderr) as progress_bar:

            def show_progress(done: float) -> None:
                progress_bar.update(int(done * PERCENT) - progress_bar.pos)

            summary = trio.run(play, scenario, run_folder, show_progress)
    except (ScenarioError, RigError, BaseExceptionGroup) as error:
        cause = first_error(error)
        if not isinstance(cause, ScenarioError | RigError):
            raise
        exit_with_error(str(cause))
    click.echo(json.dumps(summary) if as_json else "\n".join(summary_lines(summary, run_folder)))
    sys.exit(VIOLATION_STATUS if summary["broken"] else 0)


@rig.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def rig_report(folder: str) -> None:
    """Draws the timeline of the run recorded in FOLDER, and writes report.md there."""
    from pathlib import Path

    from wheatroute.rig.run_report import write_report

    try:
        click.echo(str(write_report(Path(folder))))
    except FileNotFoundError as error:
        exit_with_error(f"{folder}: contains no run: {error.filename} is missing")
