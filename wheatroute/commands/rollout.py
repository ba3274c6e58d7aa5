"""`wheatroute rollout`: a change of the program in stages."""

from __future__ import annotations

import sys

import click

from wheatroute.commands.place import at_place
from wheatroute.rollout.errors import PlanError


@click.group()
@click.option(
    "--at",
    envvar="WHEATROUTE_ROLLOUTS",
    help="a directory, or etcd://HOST:PORT,HOST:PORT/PREFIX; also WHEATROUTE_ROLLOUTS",
)
@click.pass_context
def rollout(context: click.Context, at: str) -> None:
    """A change of the program in stages. Exit status 2: bad input, 3: not as it stands, 4: ask later."""
    context.obj = at


@rollout.command("start")
@click.argument("file", type=click.Path())
@click.option("--why", required=True)
@click.pass_obj
def rollout_start(at: str, file: str, why: str) -> None:
    """Begins the rollout that FILE plans."""
    from wheatroute.rollout import operator, plan

    try:
        told = plan.read_plan(file)
    except PlanError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    click.echo(f"rollout {at_place(at, lambda place: operator.start(place, told, why))} begun")


@rollout.command("status")
@click.option("--json", "as_json", is_flag=True)
@click.option("--wait", type=float, default=0.0, metavar="SECONDS", help="until it has ended")
@click.pass_obj
def rollout_status(at: str, as_json: bool, wait: float) -> None:
    """The stage, a row a node, and what the judge sees; exit status 3 if it was taken back or is not over."""
    import json
    import time

    from wheatroute.rollout import operator, operator_output

    until = time.monotonic() + wait
    while True:
        told = at_place(at, operator.rollout_status)
        if told["phase"] in ("ended", "none", "held") or time.monotonic() >= until:
            break
        if not as_json and sys.stdout.isatty():
            click.clear()
            click.echo("\n".join(operator_output.status_lines(told)))
        time.sleep(1.0)
    click.echo(json.dumps(told) if as_json else "\n".join(operator_output.status_lines(told)))
    sys.exit(3 if wait and (told["phase"] != "ended" or told["reason"]) else 0)


@rollout.command("log")
@click.pass_obj
def rollout_log(at: str) -> None:
    """Every step of all rollouts, with the evidence of each verdict."""
    from wheatroute.rollout import operator, operator_output

    click.echo("\n".join(operator_output.log_lines(at_place(at, operator.read_progress))))


@rollout.command("hold")
@click.option("--why", required=True)
@click.pass_obj
def rollout_hold(at: str, why: str) -> None:
    """Nothing more changes until `go` or `back`."""
    from wheatroute.rollout import operator

    click.echo(f"held by record {at_place(at, lambda place: operator.hold(place, why))}")


@rollout.command("go")
@click.pass_obj
def rollout_go(at: str) -> None:
    """Goes on from where it is held; what was held in a stage counts as passed."""
    from wheatroute.rollout import operator

    click.echo(f"goes on by record {at_place(at, operator.resume)}")


@rollout.command("back")
@click.option("--why", required=True)
@click.pass_obj
def rollout_back(at: str, why: str) -> None:
    """All nodes go back to the old program."""
    from wheatroute.rollout import operator

    click.echo(f"goes back by record {at_place(at, lambda place: operator.roll_back(place, why))}")


@rollout.command("control")
@click.option("--name", default="", help="of this machine; by default its host name")
@click.pass_obj
def rollout_control(at: str, name: str) -> None:
    """Watches and judges, and takes the steps; any number of them may run, one of them acts."""
    import socket

    import trio

    from wheatroute.agreement import operator
    from wheatroute.agreement.directory_store import DirectoryStore
    from wheatroute.agreement.errors import OperatorError, VersionStoreError
    from wheatroute.agreement.version_store import running_store
    from wheatroute.net.log import open_log
    from wheatroute.rollout.controller import Controller

    if not at:
        click.echo("rollout: no place: --at or WHEATROUTE_ROLLOUTS", err=True)
        sys.exit(2)

    async def control() -> None:
        place = operator.store_from_url(at)
        if isinstance(place, DirectoryStore):
            place.create()
        async with running_store(place):
            await Controller(place, open_log(f"controller-{name or socket.gethostname()}")).run()

    try:
        trio.run(control)
    except KeyboardInterrupt:
        sys.exit(0)
    except (OperatorError, VersionStoreError) as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
