"""Logs that a limit on clients has acted, at most once per interval, so that a crowd can't flood the log."""

from __future__ import annotations

import logging
import time
from collections import Counter
from math import inf

LOG_INTERVAL_S = 1.0  # shortest time between two lines about the same limit


class LimitLog:
    """Counts how often each limit acts, and logs the counts as `client-limit`."""

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._counts: Counter[str] = Counter()  # times that each limit has acted since its last line
        self._logged_at: dict[str, float] = {}

    def record(self, limit: str) -> None:
        """Records that a limit has refused or closed something."""
        self._counts[limit] += 1
        now = time.monotonic()
        if now - self._logged_at.get(limit, -inf) < LOG_INTERVAL_S:
            return
        self._logged_at[limit] = now
        self._log.warning("client-limit", extra={"limit": limit, "count": self._counts.pop(limit)})
