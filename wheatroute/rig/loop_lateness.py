"""How late the rig's own event loop is, so that its verdicts don't take that for the program's delay.

Clients, proxies, links and servers of a rig share one loop. On a loaded machine each of them runs late, and
an answer is then read, or a deadline noticed, later than it came. A probe on the same loop measures by how
much. Times are of the monotonic clock, in seconds.
"""

from __future__ import annotations

import time
from bisect import bisect_left
from dataclasses import dataclass, field

import trio

PROBE_INTERVAL_S = 0.01  # that the probe asks to sleep
MIN_DELAY_S = 0.002  # below which a wake-up counts as punctual
MAX_EXCUSED_S = 1.0  # of its own delay that the rig allows for one request


@dataclass
class LoopLateness:
    """When the probe woke late, in order of time, and by how much."""

    woke_at: list[float] = field(default_factory=list)
    delays_s: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Measures until it is cancelled."""
        while True:
            due = time.monotonic() + PROBE_INTERVAL_S
            await trio.sleep_until(trio.current_time() + PROBE_INTERVAL_S)
            now = time.monotonic()
            self.record(now, now - due)

    def record(self, now: float, delay_s: float) -> None:
        """The probe woke at `now`, so much later than it asked for."""
        if delay_s > MIN_DELAY_S:
            self.woke_at.append(now)
            self.delays_s.append(delay_s)

    def excused_s(self, start: float, end: float) -> float:
        """What a request between two moments is excused: the loop's delay, at most `MAX_EXCUSED_S`."""
        return min(MAX_EXCUSED_S, self.total_s(start, end))

    def total_s(self, start: float, end: float) -> float:
        """By how much the loop was late between two moments."""
        first = bisect_left(self.woke_at, start)
        last = bisect_left(self.woke_at, end)
        while last < len(self.woke_at) and self.woke_at[last] - self.delays_s[last] < end:
            last += 1  # a delay that began in the span and ended after it
        delays = zip(self.woke_at[first:last], self.delays_s[first:last], strict=True)
        return sum(max(0.0, min(end, woke) - max(start, woke - delay)) for woke, delay in delays)

    @property
    def worst_s(self) -> float:
        """The longest single delay."""
        return max(self.delays_s, default=0.0)
