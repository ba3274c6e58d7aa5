"""`wheatroute settings`: manages versions of the settings on which all processes agree."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import click

from wheatroute.agreement.errors import InvalidInputError
from wheatroute.commands.exit_status import exit_with_error
from wheatroute.commands.store_access import (
    STORE_URL_FORMAT,
    machine_name,
    run_until_interrupted,
    run_with_store,
)

if TYPE_CHECKING:
    from wheatroute.agreement.agreement_status import AgreementStatus
    from wheatroute.agreement.version_store import VersionStore
    from wheatroute.agreement.versions import Version

# Exit status if the version did not come into force, or if not all processes act on it.
NOT_IN_FORCE_STATUS = 3
DIGEST_CHARACTERS = 12


@click.group()
@click.option(
    "--at", "url", envvar="WHEATROUTE_SETTINGS", help=f"{STORE_URL_FORMAT}; also WHEATROUTE_SETTINGS"
)
@click.pass_context
def settings(context: click.Context, url: str) -> None:
    """Manages versions of the settings on which all processes agree.

    Exit status 2: invalid input, 3: conflict with the current state, 4: the store failed, retry later.
    """
    context.obj = url


_wait_option = click.option(
    "--wait",
    "wait_s",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="wait up to this long for the outcome",
)
_over_option = click.option(
    "--over", type=click.IntRange(0), default=0, help="number of a pending version to replace"
)


def _put(url: str, put: Callable[[VersionStore], Awaitable[Version]], wait_s: float) -> None:
    """Puts a version and prints its number.

    If `wait_s` is positive, ends the process, with exit status 0 only if the version came into force.
    """
    from wheatroute.agreement import operator

    version = run_with_store(url, put)
    digest = version.digest[:DIGEST_CHARACTERS]
    click.echo(f"version {version.number} put, from {version.parent}, {digest}")
    if wait_s <= 0.0:
        return
    number = version.number
    version = run_with_store(url, lambda store: operator.wait_for_outcome(store, number, wait_s))
    click.echo(f"version {number}: {', '.join(version.outcomes) or 'still under way'}")
    sys.exit(0 if version.state == "in force" else NOT_IN_FORCE_STATUS)


@settings.command("put")
@click.argument("file", type=click.Path())
@click.option("--why", required=True)
@_over_option
@_wait_option
@click.pass_obj
def settings_put(url: str, file: str, why: str, over: int, wait_s: float) -> None:
    """Puts the shared settings in FILE as a new version.

    FILE is a JSON or TOML file with a table "settings", or the TOML file of a processor. Every process checks
    the version before it comes into force.
    """
    from wheatroute.agreement import operator

    content, left_out = _read_content(file)
    if left_out:
        click.echo(f"ignored, because each process has its own: {', '.join(left_out)}", err=True)
    _put(url, lambda store: operator.put_version(store, content, why, over), wait_s)


def _read_content(file: str) -> tuple[dict[str, Any], list[str]]:
    """Returns a version's content and the ignored keys; ends the process if the file has errors."""
    from wheatroute.agreement import version_content
    from wheatroute.agreement.errors import OperatorError

    try:
        return version_content.read_content(file)
    except OperatorError as error:
        exit_with_error(str(error), error.exit_status)


@settings.command("check")
@click.argument("file", type=click.Path())
def settings_check(file: str) -> None:
    """Checks FILE as a version and prints a line per error."""
    content, _ = _read_content(file)
    request_classes = content.get("file", {}).get("traffic_types") or content["settings"]["traffic-types"]
    click.echo(f"{file}: good: {len(request_classes)} request classes")


@settings.command("back")
@click.argument("number", type=click.IntRange(1))
@click.option("--why", required=True)
@_over_option
@_wait_option
@click.pass_obj
def settings_back(url: str, number: int, why: str, over: int, wait_s: float) -> None:
    """Puts a new version with the content of version NUMBER."""
    from wheatroute.agreement import operator

    async def put_again(store: VersionStore) -> Version:
        history = await operator.read_history(store)
        if number not in history.versions:
            raise InvalidInputError(f"version {number} does not exist")
        return await operator.put_version(store, history.versions[number].content, why, over)

    _put(url, put_again, wait_s)


@settings.command("status")
@click.option("--json", "as_json", is_flag=True)
@click.option(
    "--wait",
    "wait_s",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="wait up to this long until all processes act on the version in force",
)
@click.pass_obj
def settings_status(url: str, as_json: bool, wait_s: float) -> None:
    """Shows a row per process: phase, version, age of its confirmation, why it is conservative.

    With --wait, the exit status is 3 if not all processes act on the version in force.
    """
    import json

    from wheatroute.agreement import operator_output

    status = run_with_store(url, lambda store: _wait_until_settled(store, wait_s))
    click.echo(
        json.dumps(status.to_document()) if as_json else "\n".join(operator_output.status_lines(status))
    )
    sys.exit(0 if status.is_settled or not wait_s else NOT_IN_FORCE_STATUS)


async def _wait_until_settled(store: VersionStore, wait_s: float) -> AgreementStatus:
    """Returns the status once all processes act on the active version, or after `wait_s`."""
    import time

    import trio

    from wheatroute.agreement import operator

    deadline = time.monotonic() + wait_s
    while True:
        status = await operator.agreement_status(store)
        if status.is_settled or time.monotonic() >= deadline:
            return status
        await trio.sleep(operator.POLL_INTERVAL_S)


@settings.command("log")
@click.pass_obj
def settings_log(url: str) -> None:
    """Shows all versions: author, reason and outcome."""
    from wheatroute.agreement import operator, operator_output

    history = run_with_store(url, operator.read_history)
    click.echo("\n".join(operator_output.log_lines(history)))


@settings.command("diff")
@click.argument("first", type=click.IntRange(1))
@click.argument("second", type=click.IntRange(1))
@click.pass_obj
def settings_diff(url: str, first: int, second: int) -> None:
    """Shows the differences of two versions; ! marks settings that must not differ between processes."""
    from wheatroute.agreement import operator, operator_output

    async def read_difference(store: VersionStore) -> list[str]:
        return operator_output.diff_lines(await operator.read_history(store), first, second)

    click.echo("\n".join(run_with_store(url, read_difference)))


@settings.command("relay")
@click.option("--into", "directory", type=click.Path(), required=True, help="directory to update")
@click.option("--within", "within_s", type=click.FloatRange(0.1, 3600.0), default=10.0, show_default=True)
@click.option("--name", default="", help="name of this machine; by default its host name")
@click.pass_obj
def settings_relay(url: str, directory: str, within_s: float, name: str) -> None:
    """Relays the store to all processes of this machine, through a directory that they read instead."""
    from wheatroute.agreement import operator
    from wheatroute.agreement.node import MAX_ENDPOINTS_PER_EXCHANGE
    from wheatroute.agreement.relay import run_relay
    from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION
    from wheatroute.net.log import open_log

    if not url:
        exit_with_error("settings: no store given: use --at or set WHEATROUTE_SETTINGS")
    machine = machine_name(name)

    def open_store(confirmation_ttl_s: float) -> VersionStore:
        exchange_timeout_s = EXCHANGE_TIMEOUT_FRACTION * confirmation_ttl_s
        return operator.store_from_url(url, exchange_timeout_s / MAX_ENDPOINTS_PER_EXCHANGE)

    async def relay() -> None:
        await run_relay(open_store, directory, f"relay-{machine}", within_s, open_log(machine))

    run_until_interrupted(relay)
