"""The phases of a node's graceful shutdown. No I/O.

From SIGTERM until it is killed, a node has `KILL_AFTER_S` plus the longest deadline (at most
`MAX_DEADLINE_S`). For most of that time it keeps serving normally. If it stopped serving at once, clients
would find no node until it has started again, and by then the next node may be stopping. For the rest of the
time it closes idle connections and announces the close on others. The only node of its tier rejects requests
instead, because its clients have no other node to connect to.
"""

from math import inf

import trio

# A node is killed KILL_AFTER_S plus the longest deadline after SIGTERM; a longer deadline than MAX_DEADLINE_S
# counts as MAX_DEADLINE_S.
MAX_DEADLINE_S = 3.0
KILL_AFTER_S = 0.7
KILL_MARGIN_S = 0.4  # time before the kill by which every request must be answered
SERVING_RATIO = 0.85  # fraction of the time until that moment in which requests are accepted normally


class ShutdownState:
    """The progress of a node's shutdown."""

    def __init__(self) -> None:
        self.is_stopping = False  # responses announce the close, idle connections are closed
        self.is_rejecting = False  # new requests are rejected
        self.answer_by = inf  # time on trio's clock by which every request must have its response

    def begin(self, max_deadline_s: float) -> float:
        """Begins the shutdown; returns the seconds until every request must be answered."""
        remaining_s = min(max_deadline_s, MAX_DEADLINE_S) + KILL_AFTER_S - KILL_MARGIN_S
        self.answer_by = trio.current_time() + remaining_s
        return remaining_s
