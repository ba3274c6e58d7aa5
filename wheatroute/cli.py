"""The command line: its plain commands, and the groups that `wheatroute.commands` holds."""

from __future__ import annotations

import sys
from typing import Any

import click

from wheatroute import system
from wheatroute.commands.fleet import fleet
from wheatroute.commands.rig import rig
from wheatroute.commands.rollout import rollout
from wheatroute.commands.settings import settings


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="wheatroute")
def main() -> None:
    """Load balancing for services that call services."""


for command in (system.edge, system.control, settings, fleet, rollout, rig):
    main.add_command(command)


@main.command()
def node() -> None:
    """One node on sockets, as `python -m wheatroute`; PROXY_CONFIG names its JSON file."""
    from wheatroute.__main__ import main as serve

    sys.exit(serve())


@main.command()
@click.argument("file", type=click.Path())
@click.option("--worker", type=click.IntRange(0), hidden=True, help="be this worker of a supervisor")
@click.option("--descriptor", type=int, default=-1, hidden=True, help="accept on this open listener")
def processor(file: str, worker: int | None, descriptor: int) -> None:
    """The external processor that FILE describes: other proxies ask it where to send."""
    from wheatroute.processor import service

    def follow(*parts: Any) -> Any:
        from wheatroute.agreement import processor as agreement  # off unless the file names a place

        return agreement.follow(*parts)

    if worker is None:
        sys.exit(service.run(file, follow))
    sys.exit(service.serve(file, worker, descriptor, follow=follow))


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Checks FILE whole and says what is wrong, a line each; exit status 2 if anything is."""
    from wheatroute import config
    from wheatroute.tls import ServerContext, TlsError

    try:
        told = config.read(file)
        if told.processor is not None and (tls := told.processor.tls) is not None:
            ServerContext(tls.certificate, tls.key, tls.client_authorities)
    except (config.ConfigError, TlsError) as trouble:
        told_by = "" if isinstance(trouble, config.ConfigError) else f"{file}: processor.tls: "
        click.echo(f"{told_by}{trouble}", err=True)
        sys.exit(2)
    front = "processor" if told.processor is not None else "no front"
    click.echo(f"{file}: good: {len(told.pools)} pools, {len(told.traffic_types)} request classes, {front}")


@main.command()
@click.argument("file", type=click.Path())
def keep(file: str) -> None:
    """Runs the node that FILE describes, in the version that the rollout says; ends without the node."""
    import trio

    from wheatroute.agreement.errors import VersionStoreError, first_error
    from wheatroute.net.log import open_log
    from wheatroute.rollout.errors import SupervisorSettingsError
    from wheatroute.rollout.supervisor import run_supervisor
    from wheatroute.rollout.supervisor_settings import read_supervisor_settings

    try:
        told = read_supervisor_settings(file)
        trio.run(run_supervisor, told, open_log(f"supervisor-{told.name}"))
    except (SupervisorSettingsError, BaseExceptionGroup) as trouble:
        found = first_error(trouble)
        if not isinstance(found, SupervisorSettingsError | VersionStoreError):
            raise
        click.echo(str(found), err=True)
        sys.exit(2)


if __name__ == "__main__":
    main()
