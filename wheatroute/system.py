"""The roles of the router set: `python3 -m wheatroute.system ROLE`, or `wheatroute ROLE`.

Exit status: 0 after SIGTERM or SIGINT, 1 if an address can't be listened on, 2 for a bad settings file.
"""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from logging import Logger

    from wheatroute.cluster.settings import Settings

BAD_SETTINGS = 2
CANNOT_LISTEN = 1
REQUIRED_ADDRESSES = {"edge": ("front", "ready"), "control": ("control",)}  # keys of `listen` by role


def _read_settings(role: str) -> tuple[Settings, Logger]:
    """Read the settings and open the log; exits with a message if the settings are invalid."""
    # imported here: a role loads only what it needs, as memory and the time to start count
    from wheatroute.cluster.logs import open_log
    from wheatroute.cluster.settings import SettingsError, read_settings

    # until the role handles it: by default SIGHUP would end a process that has just started
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = read_settings()
        settings.require(REQUIRED_ADDRESSES[role])
    except SettingsError as error:
        click.echo(f"wheatroute: {error}", err=True)
        sys.exit(BAD_SETTINGS)
    return settings, open_log(settings.node, role)


def _exit_without_address(log: Logger, error: OSError) -> NoReturn:
    log.error("listen-failed", extra={"error": str(error)})
    sys.exit(CANNOT_LISTEN)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def system() -> None:
    """The roles of the router set; each reads the settings file that WHEATROUTE_SETTINGS names."""


@system.command()
def edge() -> None:
    """Takes clients' requests and carries them to model servers."""
    settings, log = _read_settings("edge")
    from wheatroute.edge.listeners import open_listeners

    try:
        listeners = open_listeners(settings)
    except OSError as error:
        _exit_without_address(log, error)
    # imported while clients can already wait in the listener's backlog
    import trio

    from wheatroute.edge.main import serve

    trio.run(serve, settings, listeners, log)


@system.command()
def control() -> None:
    """Keeps the configuration and the registry of servers, and hands both to edge nodes."""
    settings, log = _read_settings("control")
    import asyncio

    from wheatroute.control.main import serve

    try:
        asyncio.run(serve(settings, log))
    except OSError as error:
        _exit_without_address(log, error)


if __name__ == "__main__":
    system()
