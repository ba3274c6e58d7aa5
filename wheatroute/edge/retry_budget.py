"""This node's part of a service's retry budget; a state machine without I/O."""

from __future__ import annotations

from collections import deque

RATIO_USED = 0.7  # of the ratio: requests that a window owes may lie in another one
SLACK_USED = 0.7  # of the slack, divided evenly among the nodes


class RetryBudget:
    """Sends beyond the first of each request, within a sliding window, to one service.

    The ratio is of this node's own requests, so the parts of all nodes sum to the ratio of all requests; the
    slack is divided by the number of nodes.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.allow(ratio, slack, window_s)

    def allow(self, ratio: float, slack: float, window_s: float) -> None:
        """Other figures of the rule, in seconds where it is a time; what was counted stays."""
        self._ratio, self._slack, self._window_s = ratio * RATIO_USED, slack * SLACK_USED, window_s

    def requested(self, now: float) -> None:
        """A client's request for the service came."""
        self._requests.append(now)

    def repeat(self, now: float, nodes: int) -> bool:
        """Whether one more repeat may go out; counts it if so."""
        oldest = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, nodes)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True
