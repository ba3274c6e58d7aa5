"""Opens version stores for commands and turns errors of a store into exit statuses."""

from __future__ import annotations

import socket
import sys
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from wheatroute.commands.exit_status import exit_with_error

if TYPE_CHECKING:
    from wheatroute.agreement.version_store import VersionStore

Result = TypeVar("Result")
STORE_URL_FORMAT = "a directory, or etcd://HOST:PORT,HOST:PORT/PREFIX"


def run_with_store(url: str, action: Callable[[VersionStore], Awaitable[Result]]) -> Result:
    """Runs an action with the store at `url` and returns its result; ends the process if it fails."""
    from wheatroute.agreement import operator
    from wheatroute.agreement.errors import OperatorError

    if not url:
        exit_with_error("no store given: use --at, or set WHEATROUTE_SETTINGS or WHEATROUTE_ROLLOUTS")
    try:
        return operator.run_with_store(url, action)
    except OperatorError as error:
        exit_with_error(str(error), error.exit_status)


def run_until_interrupted(main: Callable[[], Awaitable[None]]) -> None:
    """Runs a service that uses a store until it is interrupted; ends the process if the store fails."""
    import trio

    from wheatroute.agreement.errors import OperatorError, VersionStoreError

    try:
        trio.run(main)
    except KeyboardInterrupt:
        sys.exit(0)
    except (OperatorError, VersionStoreError) as error:
        exit_with_error(str(error))


def machine_name(name: str) -> str:
    """Returns `name`, or this machine's host name if it is empty."""
    return name or socket.gethostname()
