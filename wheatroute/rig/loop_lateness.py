"""Measures the delay of the rig's own event loop, so that verdicts don't mistake it for the program's delay.

Clients, proxies, links and servers of a rig share one event loop. On a loaded machine each of them runs late:
it reads a response later than it arrived, or notices a deadline later than it passed. A probe on the same
loop measures by how much. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import time
from bisect import bisect_left
from dataclasses import dataclass, field

import trio

# Time for which the probe sleeps between two measurements.
PROBE_INTERVAL_S = 0.01
# The probe counts as punctual if it wakes up with at most this delay.
MIN_DELAY_S = 0.002
# At most this much delay of one request is excused because the rig itself was late.
MAX_EXCUSED_S = 1.0


@dataclass
class LoopLateness:
    """When the probe woke up late, in order of time, and by how much."""

    woke_at: list[float] = field(default_factory=list)
    delays_s: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Measures the delay until it is cancelled."""
        while True:
            due = time.monotonic() + PROBE_INTERVAL_S
            await trio.sleep_until(trio.current_time() + PROBE_INTERVAL_S)
            now = time.monotonic()
            self.record(now, now - due)

    def record(self, now: float, delay_s: float) -> None:
        """Records that the probe woke up at `now`, `delay_s` later than it asked for."""
        if delay_s > MIN_DELAY_S:
            self.woke_at.append(now)
            self.delays_s.append(delay_s)

    def excused_s(self, start: float, end: float) -> float:
        """Returns how much delay of a request between two times is excused.

        That is the delay of the event loop, but at most `MAX_EXCUSED_S`.
        """
        return min(MAX_EXCUSED_S, self.total_s(start, end))

    def total_s(self, start: float, end: float) -> float:
        """Returns the total delay of the event loop between two times."""
        first = bisect_left(self.woke_at, start)
        last = bisect_left(self.woke_at, end)
        while last < len(self.woke_at) and self.woke_at[last] - self.delays_s[last] < end:
            last += 1  # a delay that began before `end` and ended after it
        delays = zip(self.woke_at[first:last], self.delays_s[first:last], strict=True)
        return sum(max(0.0, min(end, woke) - max(start, woke - delay)) for woke, delay in delays)

    @property
    def worst_s(self) -> float:
        """The longest single delay."""
        return max(self.delays_s, default=0.0)
