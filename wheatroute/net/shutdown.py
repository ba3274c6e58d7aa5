"""The phases in which a node shuts down gracefully. No I/O.

From SIGTERM until it is killed a node has `KILL_AFTER_S` and the longest deadline. It goes on as ever for
most of that time. Then it closes idle connections and announces the end on others; the only node of its
tier has nobody to leave its clients to, so it rejects requests instead. Clients would otherwise find no
node until it has started again, and by then the next one may be stopping.
"""

from math import inf

import trio

MAX_DEADLINE_S = 3.0  # a node is killed after this or the longest deadline, whichever is less,
KILL_AFTER_S = 0.7  # and this
KILL_MARGIN_S = 0.4  # before it is killed everything is answered
SERVING_RATIO = 0.85  # of the time until then, in which requests are accepted as ever


class ShutdownState:
    """How far the shutdown of a node is."""

    def __init__(self) -> None:
        self.is_stopping = False  # responses announce the end, idle connections are closed
        self.is_rejecting = False  # requests are rejected
        self.answer_by = inf  # on trio's clock: then every request must have its response

    def begin(self, max_deadline_s: float) -> float:
        """Begins the shutdown; returns the seconds until everything must be answered."""
        remaining_s = min(max_deadline_s, MAX_DEADLINE_S) + KILL_AFTER_S - KILL_MARGIN_S
        self.answer_by = trio.current_time() + remaining_s
        return remaining_s
