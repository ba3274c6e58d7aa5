"""The command line: its single commands, and the groups in `wheatroute.commands`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from wheatroute import system
from wheatroute.commands.exit_status import exit_with_error
from wheatroute.commands.fleet import fleet
from wheatroute.commands.rig import rig
from wheatroute.commands.rollout import rollout
from wheatroute.commands.settings import settings

if TYPE_CHECKING:
    from wheatroute.config.settings import Settings
    from wheatroute.net.log import Logger
    from wheatroute.processor.discovery import WorkerDiscovery
    from wheatroute.processor.dispatcher import Dispatcher
    from wheatroute.processor.worker import SettingsFollower
    from wheatroute.processor.worker_settings import WorkerSettings


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="wheatroute")
def main() -> None:
    """Load balancing for services that call services."""


for command in (system.edge, system.control, settings, fleet, rollout, rig):
    main.add_command(command)


@main.command()
def node() -> None:
    """Runs one node, like `python -m wheatroute`; PROXY_CONFIG names its JSON file."""
    from wheatroute.__main__ import main as serve

    sys.exit(serve())


@main.command()
@click.argument("file", type=click.Path())
@click.option("--worker", type=click.IntRange(0), hidden=True, help="run as this worker of a supervisor")
@click.option("--descriptor", type=int, default=-1, hidden=True, help="file descriptor of an open listener")
def processor(file: str, worker: int | None, descriptor: int) -> None:
    """Runs the external processor that FILE describes: it selects the servers for other proxies' requests."""
    from wheatroute.processor import program

    if worker is None:
        sys.exit(program.run(file, _follow_agreement))
    sys.exit(program.run_worker(file, worker, descriptor, follow=_follow_agreement))


def _follow_agreement(
    settings: Settings,
    worker: int,
    worker_settings: WorkerSettings,
    dispatcher: Dispatcher,
    discovery: WorkerDiscovery,
    log: Logger,
) -> SettingsFollower:
    # Imported here so that a processor without [agreement] starts without the cost of the import.
    from wheatroute.agreement import processor as agreement

    return agreement.follow(settings, worker, worker_settings, dispatcher, discovery, log)


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Checks a processor's settings FILE and prints a line per error; exit status 2 if it has errors."""
    from wheatroute.config import settings_file
    from wheatroute.tls import ServerContext, TlsError

    try:
        checked = settings_file.read(file)
        if checked.processor is not None and (tls := checked.processor.tls) is not None:
            ServerContext(tls.certificate, tls.key, tls.client_authorities)
    except settings_file.ConfigError as error:
        exit_with_error(str(error))
    except TlsError as error:
        exit_with_error(f"{file}: processor.tls: {error}")
    role = "processor" if checked.processor is not None else "no processor"
    counts = f"{len(checked.pools)} pools, {len(checked.request_classes)} request classes"
    click.echo(f"{file}: good: {counts}, {role}")


@main.command()
@click.argument("file", type=click.Path())
def keep(file: str) -> None:
    """Supervises the node that FILE describes and runs the program version that the rollout names.

    The node keeps running when the supervisor ends.
    """
    import trio

    from wheatroute.agreement.errors import VersionStoreError, first_error
    from wheatroute.net.log import open_log
    from wheatroute.rollout.errors import SupervisorSettingsError
    from wheatroute.rollout.supervisor import run_supervisor
    from wheatroute.rollout.supervisor_settings import read_supervisor_settings

    try:
        supervisor_settings = read_supervisor_settings(file)
        trio.run(run_supervisor, supervisor_settings, open_log(f"supervisor-{supervisor_settings.name}"))
    except (SupervisorSettingsError, BaseExceptionGroup) as error:
        cause = first_error(error)
        if not isinstance(cause, SupervisorSettingsError | VersionStoreError):
            raise
        exit_with_error(str(cause))


if __name__ == "__main__":
    main()
