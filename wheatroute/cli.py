"""The command line. Owns its subcommands, nothing of what they do."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="wheatroute")
def main() -> None:
    """Load balancing for services that call services."""


@main.command()
def node() -> None:
    """One node on sockets, as `python -m wheatroute`; PROXY_CONFIG names its JSON file."""
    from wheatroute.__main__ import main as serve
    sys.exit(serve())


@main.command()
@click.argument("file", type=click.Path())
@click.option("--worker", type=click.IntRange(0), hidden=True, help="be this worker of a keeper")
@click.option("--descriptor", type=int, default=-1, hidden=True, help="accept on this open listener")
def processor(file: str, worker: int | None, descriptor: int) -> None:
    """The external processor that FILE describes: other proxies ask it where to send."""
    from wheatroute.processor import service
    sys.exit(service.run(file) if worker is None else service.serve(file, worker, descriptor))


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Checks FILE whole and says what is wrong, a line each; exit status 2 if anything is."""
    from wheatroute import config
    from wheatroute.tls import Contexts, TlsError
    try:
        told = config.read(file)
        if told.processor is not None and (tls := told.processor.tls) is not None:
            Contexts(tls.certificate, tls.key, tls.client_authorities)
    except (config.ConfigError, TlsError) as trouble:
        told_by = "" if isinstance(trouble, config.ConfigError) else f"{file}: processor.tls: "
        click.echo(f"{told_by}{trouble}", err=True)
        sys.exit(2)
    front = "processor" if told.processor is not None else "no front"
    click.echo(f"{file}: good: {len(told.pools)} pools, {len(told.traffic_types)} traffic types, {front}")


@main.group()
def fleet() -> None:
    """Plays fleets in virtual time: experiments, their reports, one command's story."""


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
@click.option("--command", "number", type=click.IntRange(0), required=True, help="in the order of arrival")
@click.option("--policy", default="design", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def fleet_trace(file: str, number: int, policy: str, seed: int) -> None:
    """Plays the first point of the experiment in FILE again and tells the story of one command."""
    from wheatroute.fleet import trace
    for line in _plan(lambda: trace.story(file, policy, seed, number)):
        click.echo(line)


def _plan(do: Callable[[], Any]) -> Any:
    from wheatroute.fleet import plan
    try:
        return do()
    except plan.PlanError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)


if __name__ == "__main__":
    main()
