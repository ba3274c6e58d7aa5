"""`wheatroute rig`: several processes with faults between them."""

from __future__ import annotations

import sys

import click

from wheatroute.commands.exit_status import exit_with_error

PERCENT = 100
BROKEN_PROMISE_STATUS = 1


@click.group()
def rig() -> None:
    """Plays several processes on loopback with faults between them, judged from outside."""


@rig.command("run")
@click.argument("file", type=click.Path())
@click.option("--into", "folder", type=click.Path(), help="where all of it is kept; by default beside FILE")
@click.option("--json", "as_json", is_flag=True)
def rig_run(file: str, folder: str | None, as_json: bool) -> None:
    """Plays the script of FILE; exit status 1 if a promise was broken."""
    import json
    from pathlib import Path

    import trio

    from wheatroute.agreement.operator_errors import first_error
    from wheatroute.rig import script
    from wheatroute.rig.processes import RigError

    try:
        rig_script = script.read(file)
        into = Path(folder or Path(file).with_suffix(""))
        if into.exists() and any(into.iterdir()):
            raise script.ScriptError(f"{into}: holds something already, name another folder with --into")
        with click.progressbar(length=PERCENT, label=rig_script.name, file=sys.stderr) as progress_bar:

            def show_progress(done: float) -> None:
                progress_bar.update(int(done * PERCENT) - progress_bar.pos)

            summary = trio.run(script.play, rig_script, into, show_progress)
    except (script.ScriptError, RigError, BaseExceptionGroup) as error:
        found = first_error(error)
        if not isinstance(found, script.ScriptError | RigError):
            raise
        exit_with_error(str(found))
    click.echo(json.dumps(summary) if as_json else "\n".join(script.lines(summary, into)))
    sys.exit(BROKEN_PROMISE_STATUS if summary["broken"] else 0)


@rig.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def rig_report(folder: str) -> None:
    """Draws the timeline of a run that FOLDER keeps, and writes report.md there."""
    from pathlib import Path

    from wheatroute.rig import script

    try:
        click.echo(str(script.report(Path(folder))))
    except FileNotFoundError as error:
        exit_with_error(f"{folder}: keeps no run: {error.filename} is missing")
