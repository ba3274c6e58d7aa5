"""Waits for a condition of the rig's processes, with allowance for the rig's own delay."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

from wheatroute.rig.loop_lateness import LoopLateness
from wheatroute.rig.processes import RigError

WAIT_TIMEOUT_S = 20.0  # for the start of a process, or another condition that a run waits for
CHECK_INTERVAL_S = 0.01


async def wait_until(
    lateness: LoopLateness,
    condition: Callable[[], object],
    description: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> None:
    """Waits until a condition is true; raises `RigError` with the description after the timeout.

    The timeout is extended by the time that this process's event loop ran late during the wait, at most to
    twice its length.
    """
    start = time.monotonic()
    while not condition():
        now = time.monotonic()
        if now > start + timeout_s + min(timeout_s, lateness.total_s(start, now)):
            raise RigError(f"waited {now - start:.1f} s until {description}")
        await trio.sleep(CHECK_INTERVAL_S)
