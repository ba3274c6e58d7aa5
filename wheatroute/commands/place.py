"""What groups of commands share that act on a place."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click


def at_place(at: str, what: Callable[[Any], Any]) -> Any:
    """What `what` gives at the place `at`; says a mistake and ends with its exit status."""
    from wheatroute.agreement import operator
    from wheatroute.agreement.errors import OperatorError

    if not at:
        click.echo("settings: no place: --at or WHEATROUTE_SETTINGS", err=True)
        sys.exit(2)
    try:
        return operator.run_with_store(at, what)
    except OperatorError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(trouble.exit_status)
