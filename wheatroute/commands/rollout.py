"""`wheatroute rollout`: replaces the program of all nodes in stages."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from wheatroute.commands.exit_status import exit_with_error
from wheatroute.commands.store_access import (
    STORE_URL_FORMAT,
    machine_name,
    run_until_interrupted,
    run_with_store,
)
from wheatroute.rollout.errors import PlanError

if TYPE_CHECKING:
    from wheatroute.rollout.rollout_status import RolloutStatus

POLL_INTERVAL_S = 1.0
# Exit status if the rollout was rolled back or has not ended yet.
NOT_ENDED_STATUS = 3
# Phases in which `status --wait` stops waiting.
PHASES_NOT_WAITED_FOR = ("ended", "none", "held")


@click.group()
@click.option(
    "--at", "url", envvar="WHEATROUTE_ROLLOUTS", help=f"{STORE_URL_FORMAT}; also WHEATROUTE_ROLLOUTS"
)
@click.pass_context
def rollout(context: click.Context, url: str) -> None:
    """Replaces the program in stages.

    Exit status 2: invalid input, 3: not possible in the current state, 4: the store failed, retry later.
    """
    context.obj = url


@rollout.command("start")
@click.argument("file", type=click.Path())
@click.option("--why", required=True)
@click.pass_obj
def rollout_start(url: str, file: str, why: str) -> None:
    """Starts the rollout planned in FILE."""
    from wheatroute.rollout import operator, plan

    try:
        rollout_plan = plan.read_plan(file)
    except PlanError as error:
        exit_with_error(str(error))
    number = run_with_store(url, lambda store: operator.start(store, rollout_plan, why))
    click.echo(f"rollout {number} begun")


@rollout.command("status")
@click.option("--json", "as_json", is_flag=True)
@click.option(
    "--wait", "wait_s", type=float, default=0.0, metavar="SECONDS", help="wait up to this long for the end"
)
@click.pass_obj
def rollout_status(url: str, as_json: bool, wait_s: float) -> None:
    """Shows the stage, a row per node, and the findings of the analysis.

    With --wait, the exit status is 3 if the rollout was rolled back or has not ended.
    """
    shows_progress = not as_json and sys.stdout.isatty()
    status = _wait_for_end(url, wait_s, shows_progress)
    _print_status(status, as_json)
    has_succeeded = status.phase == "ended" and not status.reason
    sys.exit(NOT_ENDED_STATUS if wait_s and not has_succeeded else 0)


def _wait_for_end(url: str, wait_s: float, shows_progress: bool) -> RolloutStatus:
    """Returns the status of the rollout once it has ended or is held, or after `wait_s`."""
    import time

    from wheatroute.rollout import operator

    deadline = time.monotonic() + wait_s
    while True:
        status = run_with_store(url, operator.read_status)
        if status.phase in PHASES_NOT_WAITED_FOR or time.monotonic() >= deadline:
            return status
        if shows_progress:
            click.clear()
            _print_status(status, as_json=False)
        time.sleep(POLL_INTERVAL_S)


def _print_status(status: RolloutStatus, as_json: bool) -> None:
    import json

    from wheatroute.rollout import operator_output

    click.echo(
        json.dumps(status.to_document()) if as_json else "\n".join(operator_output.status_lines(status))
    )


@rollout.command("log")
@click.pass_obj
def rollout_log(url: str) -> None:
    """Shows every step of all rollouts, with the evidence for each decision."""
    from wheatroute.rollout import operator, operator_output

    progress = run_with_store(url, operator.read_progress)
    click.echo("\n".join(operator_output.log_lines(progress)))


@rollout.command("hold")
@click.option("--why", required=True)
@click.pass_obj
def rollout_hold(url: str, why: str) -> None:
    """Holds the rollout: nothing changes until `go` or `back`."""
    from wheatroute.rollout import operator

    record = run_with_store(url, lambda store: operator.hold(store, why))
    click.echo(f"held by record {record}")


@rollout.command("go")
@click.pass_obj
def rollout_go(url: str) -> None:
    """Resumes a held rollout; a stage in which it was held counts as passed."""
    from wheatroute.rollout import operator

    record = run_with_store(url, operator.resume)
    click.echo(f"resumed by record {record}")


@rollout.command("back")
@click.option("--why", required=True)
@click.pass_obj
def rollout_back(url: str, why: str) -> None:
    """Rolls all nodes back to the old program."""
    from wheatroute.rollout import operator

    record = run_with_store(url, lambda store: operator.roll_back(store, why))
    click.echo(f"rolling back by record {record}")


@rollout.command("control")
@click.option("--name", default="", help="name of this machine; by default its host name")
@click.pass_obj
def rollout_control(url: str, name: str) -> None:
    """Runs a controller, which analyses the nodes and performs the steps.

    Any number of controllers may run; only one of them acts.
    """
    from wheatroute.agreement import operator
    from wheatroute.agreement.directory_store import DirectoryStore
    from wheatroute.agreement.version_store import running_store
    from wheatroute.net.log import open_log
    from wheatroute.rollout.controller import Controller

    if not url:
        exit_with_error("rollout: no store given: use --at or set WHEATROUTE_ROLLOUTS")

    async def control() -> None:
        store = operator.store_from_url(url)
        if isinstance(store, DirectoryStore):
            store.create()
        async with running_store(store):
            await Controller(store, open_log(f"controller-{machine_name(name)}")).run()

    run_until_interrupted(control)
