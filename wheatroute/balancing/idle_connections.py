"""Detects that attempts are lost on connections that were idle for long. No I/O.

Some network paths (firewalls, address translation) silently drop the state of an idle connection. An attempt
on such a connection is never answered, although the server answers attempts on busy or new connections.
"""

from __future__ import annotations

from math import inf, log2

from wheatroute.balancing.parameters import MIN_SAMPLES, UPDATE_INTERVAL_S

IDLE_BUCKETS = 7  # buckets of idle time: up to half a second, then doubling
# Idle connections aren't used if the fraction of attempts that are lost on them exceeds this multiple of the
# fraction lost on busy connections.
MAX_LOSS_RATIO = 3.0
DECAY = 0.97  # factor applied to the counts at each update, once per `UPDATE_INTERVAL_S`


class IdleConnectionStatistics:
    """Counts answered and lost attempts by how long their connection was idle."""

    def __init__(self) -> None:
        self.answered, self.lost = [0.0] * IDLE_BUCKETS, [0.0] * IDLE_BUCKETS
        self.max_idle_s = inf  # connections idle for this long are closed instead of used

    def bucket(self, idle_s: float) -> int:
        """Returns the bucket of an idle time, from 0 for a busy connection to `IDLE_BUCKETS - 1`."""
        if idle_s < UPDATE_INTERVAL_S / 2:
            return 0
        return min(IDLE_BUCKETS - 1, int(log2(2 * idle_s / UPDATE_INTERVAL_S)) + 1)

    def update(self) -> None:
        """Sets `max_idle_s` to the shortest idle time above which far more attempts are lost."""
        busy_loss = (self.lost[0] + 1.0) / (self.answered[0] + self.lost[0] + MIN_SAMPLES)
        self.max_idle_s = inf
        for i in range(1, IDLE_BUCKETS):
            lost, answered = sum(self.lost[i:]), sum(self.answered[i:])
            own_loss = self.lost[i] / (self.lost[i] + self.answered[i] + 1.0)
            if lost >= 3.0 and lost / (lost + answered) > MAX_LOSS_RATIO * busy_loss and own_loss > busy_loss:
                self.max_idle_s = UPDATE_INTERVAL_S / 2 * 2 ** (i - 1)
                break
        self.answered = [DECAY * count for count in self.answered]
        self.lost = [DECAY * count for count in self.lost]
