"""Starts a role of the router set: `python3 -m wheatroute.system ROLE`, or `wheatroute ROLE`.

Exit status: 0 after SIGTERM or SIGINT, 1 if the role cannot listen on one of its addresses, 2 if the settings
file is invalid.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING, NoReturn

import click

from wheatroute.early_signals import ignore_signals, record_early_signals

if TYPE_CHECKING:
    from logging import Logger

    from wheatroute.cluster.settings import Settings

BAD_SETTINGS_STATUS = 2
LISTEN_FAILED_STATUS = 1
# The keys of `listen` that each role requires.
REQUIRED_ADDRESSES = {
    "edge": ("front", "ready"),
    "control": ("control",),
}


def _read_settings(role: str) -> tuple[Settings, Logger]:
    """Reads the settings and opens the log; exits with a message if the settings are invalid."""
    # Imported here, so that a role loads only what it needs: this saves memory and startup time.
    from wheatroute.cluster.allocator import give_large_buffers_mappings_of_their_own
    from wheatroute.cluster.logs import open_log
    from wheatroute.cluster.settings import SettingsError, read_settings

    try:
        settings = read_settings()
        settings.require(REQUIRED_ADDRESSES[role])
    except SettingsError as error:
        click.echo(f"wheatroute: {error}", err=True)
        sys.exit(BAD_SETTINGS_STATUS)
    give_large_buffers_mappings_of_their_own()
    return settings, open_log(settings.node, role)


def _exit_without_address(log: Logger, error: OSError) -> NoReturn:
    log.error("listen-failed", extra={"error": str(error)})
    sys.exit(LISTEN_FAILED_STATUS)


def _exit_at_once() -> NoReturn:
    """Ends the process with status 0, without the interpreter's finalization.

    That has nothing left to do, but takes processor time: on a busy machine the platform would kill a process
    that has used its whole grace period for requests.
    """
    logging.shutdown()
    os._exit(0)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def system() -> None:
    """Starts a role of the router set; each reads the settings file that WHEATROUTE_SETTINGS names."""


@system.command()
def edge() -> None:
    """Accepts clients' requests and forwards them to model servers."""
    early_signals = record_early_signals()
    settings, log = _read_settings("edge")
    from wheatroute.edge.listeners import open_listeners

    try:
        listeners = open_listeners(settings)
    except OSError as error:
        _exit_without_address(log, error)
    # Imported after listening has begun, so that clients can wait in the listener's backlog meanwhile.
    import trio

    from wheatroute.edge.main import serve

    trio.run(serve, settings, listeners, log, early_signals)
    ignore_signals()
    _exit_at_once()


@system.command()
def control() -> None:
    """Keeps the configuration and the registry of servers, and distributes both to edge nodes."""
    early_signals = record_early_signals()
    settings, log = _read_settings("control")
    import asyncio

    from wheatroute.control.main import serve

    try:
        asyncio.run(serve(settings, log, early_signals))
    except OSError as error:
        _exit_without_address(log, error)


if __name__ == "__main__":
    system()
