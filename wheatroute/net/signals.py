"""Signal handling of every process: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.

Signals are handled from before the process listens until it ends. A signal that arrives too early, twice or
at the last moment therefore neither terminates the process at once nor changes its exit status. The callbacks
determine how a process stops. I/O: installs signal handlers.
"""

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractContextManager

import trio

from wheatroute.early_signals import STOP_SIGNALS
from wheatroute.net.log import Logger


def open_signal_receiver() -> AbstractContextManager[AsyncIterator[int]]:
    """Returns a context manager that receives the signals; enter it before the process listens."""
    return trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP)


async def handle_signals(
    signals: AsyncIterator[int], stop: Callable[[], Awaitable[None]], reload: Callable[[], None], log: Logger
) -> None:
    """Runs `stop` on the first stop signal and `reload` on each SIGHUP, even while the process stops."""
    async with trio.open_nursery() as nursery:
        is_stopping = False
        async for number in signals:
            if number == signal.SIGHUP:
                reload()
                continue
            log.info("stopping", signal=signal.Signals(number).name, **{"again": True} if is_stopping else {})
            if not is_stopping:
                nursery.start_soon(stop)
            is_stopping = True
