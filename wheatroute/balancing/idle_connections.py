"""Whether attempts get lost on connections that were idle for long. No I/O.

Some paths (firewalls, address translation) forget an idle connection silently: an attempt on it is never
answered, though the server answers what comes on busy or new connections.
"""

from __future__ import annotations

from math import inf, log2

from wheatroute.balancing.parameters import MIN_SAMPLES, UPDATE_INTERVAL_S

IDLE_STEPS = 7  # idle times that are told apart: up to half a second, and its doublings
MAX_LOSS_RATIO = 3.0  # loss above which idle connections aren't used, over that of busy ones
DECAY = 0.97  # of the counts, each second


class IdleConnectionStatistics:
    """Attempts answered and lost, by how long their connection was idle."""

    def __init__(self) -> None:
        self.answered, self.lost = [0.0] * IDLE_STEPS, [0.0] * IDLE_STEPS
        self.max_idle_s = inf  # connections idle for this long are not used any more

    def step(self, idle_s: float) -> int:
        """The step that an idle time falls into, from 0 for a busy connection to `IDLE_STEPS - 1`."""
        if idle_s < UPDATE_INTERVAL_S / 2:
            return 0
        return min(IDLE_STEPS - 1, int(log2(2 * idle_s / UPDATE_INTERVAL_S)) + 1)

    def update(self) -> None:
        """Finds the shortest idle time from which on far more attempts get lost than on busy connections."""
        busy_loss = (self.lost[0] + 1.0) / (self.answered[0] + self.lost[0] + MIN_SAMPLES)
        self.max_idle_s = inf
        for i in range(1, IDLE_STEPS):
            lost, answered = sum(self.lost[i:]), sum(self.answered[i:])
            own_loss = self.lost[i] / (self.lost[i] + self.answered[i] + 1.0)
            if lost >= 3.0 and lost / (lost + answered) > MAX_LOSS_RATIO * busy_loss and own_loss > busy_loss:
                self.max_idle_s = UPDATE_INTERVAL_S / 2 * 2 ** (i - 1)
                break
        self.answered = [DECAY * one for one in self.answered]
        self.lost = [DECAY * one for one in self.lost]
