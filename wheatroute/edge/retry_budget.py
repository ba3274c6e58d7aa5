"""Limits retries to this node's share of a service's retry budget. No I/O."""

from __future__ import annotations

from collections import deque

# Fraction of the configured ratio that is used. It is below 1 because a window that contains a retry may not
# contain all the requests that allowed the retry.
RATIO_FRACTION = 0.7
SLACK_FRACTION = 0.7  # fraction of the configured slack that is used, divided evenly among the nodes


class RetryBudget:
    """Limits the retries and hedges of requests to one service within a sliding window.

    The ratio applies to this node's own requests, so the budgets of all nodes add up to the ratio of all
    requests. The slack, a number of retries beyond that, is divided by the number of nodes.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()
        self.configure(ratio, slack, window_s)

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Changes the limits and keeps the counts.

        `ratio` is the number of retries per request, `slack` the number of retries beyond that, and
        `window_s` the window in seconds.
        """
        self._ratio = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Counts a client's request to the service."""
        self._forget_before(now - self._window_s)
        self._request_times.append(now)

    def _forget_before(self, oldest: float) -> None:
        for times in (self._request_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()

    def try_retry(self, now: float, edge_node_count: int) -> bool:
        """Returns whether one more retry may be sent; if so, counts it."""
        self._forget_before(now - self._window_s)
        max_retries = self._ratio * len(self._request_times) + self._slack / max(1, edge_node_count)
        if len(self._retry_times) + 1 > max_retries:
            return False
        self._retry_times.append(now)
        return True
