"""Exit statuses that commands share, and the function that ends a command with an error."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

BAD_INPUT_STATUS = 2


def exit_with_error(message: str, status: int = BAD_INPUT_STATUS) -> NoReturn:
    """Writes a message to standard error and ends the process with the exit status."""
    click.echo(message, err=True)
    sys.exit(status)
