"""Computes the delay after which a request is hedged. No I/O.

The delay is the p95 of this node's times to first token over a sliding window, plus a margin.

Source: J. Dean, L. A. Barroso, "The Tail at Scale", CACM 2013.
"""

from __future__ import annotations

from math import inf

from wheatroute.quantiles import SlidingWindow

WINDOW_S = 10.0
MARGIN = 0.1  # fraction of the p95 that is added to it
MIN_SAMPLES = 20  # no request is hedged while the window holds fewer
UPDATE_INTERVAL_S = 0.5
QUANTILE = 0.95


class HedgeTimer:
    """Keeps a sliding window of times to first token, and the hedge delay that follows from it.

    An attempt that ended late without a first token counts with its duration (see `EdgeAttemptRunner`).
    """

    def __init__(self) -> None:
        self._window = SlidingWindow(WINDOW_S)
        self._updated_at = -inf
        self._delay_s = inf

    def record(self, now: float, latency_s: float) -> None:
        """Adds a time to first token, in seconds."""
        self._window.add(now, latency_s, 1.0)

    @property
    def p95_s(self) -> float:
        """The p95 in seconds as of the last call of `delay_s`, 0 while there are too few samples."""
        return self._delay_s / (1.0 + MARGIN) if self._delay_s < inf else 0.0

    def delay_s(self, now: float) -> float:
        """Returns the seconds after which a hedge may be sent, infinity while there are too few samples."""
        if now - self._updated_at >= UPDATE_INTERVAL_S:
            self._updated_at = now
            self._window.update(now)
            has_samples = self._window.count >= MIN_SAMPLES
            self._delay_s = self._window.latency(QUANTILE) * (1.0 + MARGIN) if has_samples else inf
        return self._delay_s
