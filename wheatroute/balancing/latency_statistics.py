"""This node's latencies to the tier over a sliding window, and the hedge delay computed from them. No I/O."""

from __future__ import annotations

from math import inf

from wheatroute.balancing.parameters import HEDGE_MARGIN, LATENCY_WINDOW_S, MIN_SAMPLES, UPDATE_INTERVAL_S
from wheatroute.quantiles import SlidingWindow

# No hedges are sent while the median of the last second exceeds this multiple of the window's median.
ALL_SLOW_RATIO = 1.5


class LatencyStatistics:
    """Latency statistics by request class and over the sliding window; see each attribute for its unit."""

    def __init__(self) -> None:
        self.window = SlidingWindow(LATENCY_WINDOW_S)
        self.mean: list[float] = []  # moving average in seconds, by request class; 0: no sample yet
        self.min_mean = inf  # smallest mean of the request classes that have samples
        self.p95, self.hedge_after_s = 0.0, inf  # in seconds
        self.median = 0.0  # median of the window, in multiples of the class's mean
        self.latest_median = 0.0  # median of the last second, in multiples of the class's mean
        self.spread = 1.0  # standard deviation divided by mean of the latencies within a class
        self.sample_count: list[float] = []  # by request class, at most 5 * MIN_SAMPLES
        self.mean_work: list[float] = []  # moving average of the work hints, by request class

    def extend(self, classes: int) -> None:
        """Adds entries for all request classes with numbers below `classes`."""
        for values in (self.mean, self.sample_count, self.mean_work):
            values.extend([0.0] * (classes - len(values)))

    def relative_size(self, class_number: int, work: float) -> float:
        """Returns a request's hinted work in multiples of its class's mean; 1 without a hint.

        `add` divides latencies by this size, so that a request known to be heavy doesn't make its server look
        slow. The hint also updates the class's mean work.
        """
        if work <= 0.0:
            return 1.0
        mean = self.mean_work
        mean[class_number] += (work - mean[class_number]) / (MIN_SAMPLES if mean[class_number] else 1.0)
        return work / mean[class_number]

    def add(self, now: float, class_number: int, elapsed_s: float, is_served: bool, size: float) -> float:
        """Adds one latency; returns it, divided by `size`, in multiples of its class's mean.

        `size` is the request's `relative_size`. An attempt that timed out counts with its duration, but only
        attempts that were served change the mean of the class.
        """
        mean, raw = self.mean[class_number], elapsed_s
        elapsed_s /= size
        if is_served:
            # The mean changes slowly, so that it describes the class and not the present load.
            self.sample_count[class_number] = min(self.sample_count[class_number] + 1, 5 * MIN_SAMPLES)
            mean += (elapsed_s - mean) / self.sample_count[class_number]
            self.mean[class_number] = mean
            self.min_mean = min((mean for mean in self.mean if mean), default=inf)
        relative = elapsed_s / mean if mean else 1.0
        self.window.add(now, raw, relative)
        return relative

    def update_latest_median(self, now: float) -> None:
        """Updates the median of the last second; it is 0 if there are too few samples."""
        latest = self.window.relative_since(now - UPDATE_INTERVAL_S)
        self.latest_median = latest[len(latest) // 2] if len(latest) >= MIN_SAMPLES // 4 else 0.0

    def update(self, now: float) -> None:
        """Updates the window's quantiles and the hedge delay."""
        window = self.window
        window.update(now)
        if not window.count:
            self.hedge_after_s = inf
            return
        self.p95, self.median = window.latency(0.95), window.relative(0.5)
        has_samples = window.count >= MIN_SAMPLES
        self.hedge_after_s = self.p95 * (1.0 + HEDGE_MARGIN) if has_samples else inf
        self.spread = window.spread()

    @property
    def is_all_slow(self) -> bool:
        """Whether the whole tier is slowing down.

        No hedges are sent then: the hedge delay follows the p95, which rises later than the latencies, so
        every request would be hedged.
        """
        return self.latest_median > ALL_SLOW_RATIO * self.median > 0.0
