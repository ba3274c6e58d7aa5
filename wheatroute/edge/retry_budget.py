"""This node's share of a service's retry budget. A state machine without I/O."""

from __future__ import annotations

from collections import deque

RATIO_FRACTION = 0.7  # of the ratio that is used: the requests that allow a retry may lie in another window
SLACK_FRACTION = 0.7  # of the slack that is used, divided evenly among the nodes


class RetryBudget:
    """Attempts beyond the first of each request to one service, within a sliding window.

    The ratio is of this node's own requests, so the budgets of all nodes sum to the ratio of all requests;
    the slack is divided by the number of nodes.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()
        self.configure(ratio, slack, window_s)

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the bounds: retries a request, retries beyond that, and the window; the counts stay."""
        self._ratio = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Count a client's request for the service."""
        self._request_times.append(now)

    def try_retry(self, now: float, edge_node_count: int) -> bool:
        """Return whether one more retry may be sent; counts it if so."""
        oldest = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()
        max_retries = self._ratio * len(self._request_times) + self._slack / max(1, edge_node_count)
        if len(self._retry_times) + 1 > max_retries:
            return False
        self._retry_times.append(now)
        return True
