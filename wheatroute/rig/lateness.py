"""How late the rig's own event loop is, so that its verdicts don't take that for the program's delay.

Clients, proxies, links and servers of a rig share one loop. On a laden machine each of them runs late, and an
answer is then read, or a deadline noticed, later than it came. A probe on the same loop measures by how much.
Times are of the steady clock, in seconds.
"""

from __future__ import annotations

import time
from bisect import bisect_left
from dataclasses import dataclass, field

import trio

PROBE_INTERVAL = 0.01  # seconds that the probe asks to sleep
NOTICED = 0.002  # seconds of delay below which a wake-up counts as punctual
MOST_EXCUSED = 1.0  # seconds of its own delay that the rig allows for one request


@dataclass
class LoopLateness:
    """When the probe woke late, in order of time, and by how much."""

    woke: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Measures for as long as the rig stands."""
        while True:
            due = time.monotonic() + PROBE_INTERVAL
            await trio.sleep_until(trio.current_time() + PROBE_INTERVAL)
            now = time.monotonic()
            self.note(now, now - due)

    def note(self, now: float, delay: float) -> None:
        """The probe woke at `now`, so much later than it asked for."""
        if delay > NOTICED:
            self.woke.append(now)
            self.delays.append(delay)

    def between(self, start: float, end: float) -> float:
        """Seconds by which the loop was late in this span, at most `MOST_EXCUSED`."""
        return min(MOST_EXCUSED, self.total(start, end))

    def total(self, start: float, end: float) -> float:
        """Seconds by which the loop was late in this span."""
        first = bisect_left(self.woke, start)
        last = bisect_left(self.woke, end)
        while last < len(self.woke) and self.woke[last] - self.delays[last] < end:
            last += 1  # a delay that began in the span and ended after it
        spans = zip(self.woke[first:last], self.delays[first:last], strict=True)
        return sum(max(0.0, min(end, woke) - max(start, woke - delay)) for woke, delay in spans)

    @property
    def worst(self) -> float:
        """The longest single delay, in seconds."""
        return max(self.delays, default=0.0)
