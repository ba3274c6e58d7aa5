"""`wheatroute settings`: settings on which all processes agree."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click

from wheatroute.agreement.errors import InvalidInputError
from wheatroute.commands.place import at_place


@click.group()
@click.option(
    "--at",
    envvar="WHEATROUTE_SETTINGS",
    help="a directory, or etcd://HOST:PORT,HOST:PORT/PREFIX; also WHEATROUTE_SETTINGS",
)
@click.pass_context
def settings(context: click.Context, at: str) -> None:
    """Settings on which all processes agree. Exit status 2: bad input, 3: decide anew, 4: ask later."""
    context.obj = at


def _put(at: str, what: Callable[[Any], Any], wait: float) -> None:
    """Says what was put, and with `wait` what became of it: exit status 0 only once it is in force."""
    from wheatroute.agreement import operator

    version = at_place(at, what)
    click.echo(f"version {version.number} put, from {version.parent}, {version.digest[:12]}")
    if wait > 0.0:
        version = at_place(at, lambda place: operator.wait_for_outcome(place, version.number, wait))
        click.echo(f"version {version.number}: {', '.join(version.outcomes) or 'still under way'}")
        sys.exit(0 if version.state == "in force" else 3)


_WAIT = click.option("--wait", type=float, default=0.0, metavar="SECONDS", help="until it is in force or not")
_OVER = click.option("--over", type=click.IntRange(0), default=0, help="a version under way to be replaced")


@settings.command("put")
@click.argument("file", type=click.Path())
@click.option("--why", required=True)
@_OVER
@_WAIT
@click.pass_obj
def settings_put(at: str, file: str, why: str, over: int, wait: float) -> None:
    """Puts the table "settings" of FILE, JSON or TOML: every process checks it before it comes into force."""
    from wheatroute.agreement import operator

    content, left = _checked(file)
    if left:
        click.echo(f"left out, as each process has its own: {', '.join(left)}", err=True)
    _put(at, lambda place: operator.put_version(place, content, why, over), wait)


def _checked(file: str) -> tuple[dict[str, Any], list[str]]:
    from wheatroute.agreement import version_content
    from wheatroute.agreement.errors import OperatorError

    try:
        return version_content.read_content(file)
    except OperatorError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(trouble.exit_status)


@settings.command("check")
@click.argument("file", type=click.Path())
def settings_check(file: str) -> None:
    """Says what is wrong with FILE as a version, a line each."""
    content, _ = _checked(file)
    told = content.get("file", {}).get("traffic_types") or content["settings"]["traffic-types"]
    click.echo(f"{file}: good: {len(told)} request classes")


@settings.command("back")
@click.argument("number", type=click.IntRange(1))
@click.option("--why", required=True)
@_OVER
@_WAIT
@click.pass_obj
def settings_back(at: str, number: int, why: str, over: int, wait: float) -> None:
    """Puts a new version with the content of version NUMBER."""
    from wheatroute.agreement import operator

    async def back(place: Any) -> Any:
        history = await operator.read_history(place)
        if number not in history.versions:
            raise InvalidInputError(f"there is no version {number}")
        return await operator.put_version(place, history.versions[number].content, why, over)

    _put(at, back, wait)


@settings.command("status")
@click.option("--json", "as_json", is_flag=True)
@click.option("--wait", type=float, default=0.0, metavar="SECONDS", help="until all act on the one in force")
@click.pass_obj
def settings_status(at: str, as_json: bool, wait: float) -> None:
    """A row a process: phase, version, confirmed how long ago, why it holds back."""
    import json
    import time

    import trio

    from wheatroute.agreement import operator, operator_output

    async def look(place: Any) -> Any:
        until = time.monotonic() + wait
        while True:
            told = await operator.agreement_status(place)
            if operator.is_settled(told) or time.monotonic() >= until:
                return told
            await trio.sleep(operator.POLL_INTERVAL_S)

    told = at_place(at, look)
    click.echo(json.dumps(told) if as_json else "\n".join(operator_output.status_lines(told)))
    sys.exit(0 if operator.is_settled(told) or not wait else 3)


@settings.command("log")
@click.pass_obj
def settings_log(at: str) -> None:
    """All versions: who put them, why, and what became of them."""
    from wheatroute.agreement import operator, operator_output

    click.echo("\n".join(operator_output.log_lines(at_place(at, operator.read_history))))


@settings.command("diff")
@click.argument("first", type=click.IntRange(1))
@click.argument("second", type=click.IntRange(1))
@click.pass_obj
def settings_diff(at: str, first: int, second: int) -> None:
    """What differs between two versions; ! marks what two processes may not hold unlike at once."""
    from wheatroute.agreement import operator, operator_output

    async def look(place: Any) -> Any:
        return operator_output.diff_lines(await operator.read_history(place), first, second)

    click.echo("\n".join(at_place(at, look)))


@settings.command("relay")
@click.option("--into", "directory", type=click.Path(), required=True, help="the directory to keep")
@click.option("--within", type=click.FloatRange(0.1, 3600.0), default=10.0, show_default=True)
@click.option("--name", default="", help="of this machine; by default its host name")
@click.pass_obj
def settings_relay(at: str, directory: str, within: float, name: str) -> None:
    """Asks the place for all processes of this machine, and keeps a directory like it, which they ask."""
    import socket

    import trio

    from wheatroute.agreement import operator
    from wheatroute.agreement.errors import OperatorError, VersionStoreError
    from wheatroute.agreement.relay import run_relay
    from wheatroute.agreement.version_follower import EXCHANGE_TIMEOUT_FRACTION
    from wheatroute.net.log import open_log

    if not at:
        click.echo("settings: no place: --at or WHEATROUTE_SETTINGS", err=True)
        sys.exit(2)
    called = name or socket.gethostname()
    try:
        trio.run(
            run_relay,
            lambda lasts: operator.store_from_url(at, EXCHANGE_TIMEOUT_FRACTION * lasts / 3.0),
            directory,
            f"relay-{called}",
            within,
            open_log(called),
        )
    except KeyboardInterrupt:
        sys.exit(0)
    except (OperatorError, VersionStoreError) as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
