"""Signals to stop, and to read the file again. Owns from when to when they are heeded, for every process.

That is from before anything listens until after all is over: one that comes too early, twice or in the last
moment ends nothing at once, and spoils no exit status. It must never decide how something stops.
"""

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import trio

STOPS = signal.SIGTERM, signal.SIGINT


def note_early() -> list[int]:
    """Signals to stop that come before they are heeded, or once they are no more; SIGHUP means nothing."""
    early: list[int] = []
    for number in STOPS:
        signal.signal(number, lambda number, _: early.append(number))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return early


def heeded() -> Any:
    """The signals, as a context to be opened before anything listens."""
    return trio.open_signal_receiver(*STOPS, signal.SIGHUP)


async def heed(
    signals: Any, stop: Callable[[], Awaitable[None]], read_anew: Callable[[], None], log: Any
) -> None:
    """SIGHUP also while it stops, as a list may move just then; a second signal to stop changes nothing."""
    async with trio.open_nursery() as nursery:
        stopping = False
        async for number in signals:
            if number == signal.SIGHUP:
                read_anew()
                continue
            log.info("stopping", signal=signal.Signals(number).name, **{"again": True} if stopping else {})
            if not stopping:
                nursery.start_soon(stop)
            stopping = True
