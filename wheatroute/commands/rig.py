"""`wheatroute rig`: several processes with faults between them."""

from __future__ import annotations

import sys

import click


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

    from wheatroute.agreement.errors import first_error
    from wheatroute.rig import script
    from wheatroute.rig.processes import RigError

    try:
        told = script.read(file)
        into = Path(folder or Path(file).with_suffix(""))
        if into.exists() and any(into.iterdir()):
            raise script.ScriptError(f"{into}: holds something already, name another folder with --into")
        with click.progressbar(length=100, label=told.name, file=sys.stderr) as bar:

            def tell(done: float) -> None:
                bar.update(int(done * 100) - bar.pos)

            summary = trio.run(script.play, told, into, tell)
    except (script.ScriptError, RigError, BaseExceptionGroup) as trouble:
        found = first_error(trouble)
        if not isinstance(found, script.ScriptError | RigError):
            raise
        click.echo(str(found), err=True)
        sys.exit(2)
    click.echo(json.dumps(summary) if as_json else "\n".join(script.lines(summary, into)))
    sys.exit(1 if summary["broken"] else 0)


@rig.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def rig_report(folder: str) -> None:
    """Draws the timeline of a run that FOLDER keeps, and writes report.md there."""
    from pathlib import Path

    from wheatroute.rig import script

    try:
        click.echo(str(script.report(Path(folder))))
    except FileNotFoundError as trouble:
        click.echo(f"{folder}: keeps no run: {trouble.filename} is missing", err=True)
        sys.exit(2)
