"""Exact quantiles over a sliding window of latencies, without sorting the whole window at each update.

The samples between two updates form an interval, which is sorted once; the oldest interval is sorted again
when some of its samples leave the window. A quantile is found by a binary search over the sorted intervals.
No clock, no I/O.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from itertools import chain, takewhile
from math import sqrt

# time in seconds on the caller's clock, latency in seconds, latency in multiples of its request class's mean
Sample = tuple[float, float, float]


class SortedInterval:
    """The samples between two updates, oldest first, and their latencies in ascending order."""

    __slots__ = ("samples", "raw", "relative", "mean", "squared_deviations")

    def __init__(self, samples: list[Sample]) -> None:
        self.samples = samples
        self.raw = sorted(latency for _, latency, _ in samples)
        self.relative = sorted(relative for _, _, relative in samples)
        self.mean = sum(self.relative) / len(samples)
        self.squared_deviations = sum((relative - self.mean) ** 2 for relative in self.relative)


def value_at_rank(lists: list[list[float]], rank: int) -> float:
    """Returns the value at a rank, counted from 0, among the values of several sorted lists.

    At least one list must not be empty. This is a binary search over all lists at once: each round halves the
    longest remaining range.
    """
    low, high = [0] * len(lists), [len(values) for values in lists]
    while True:
        widest = max(range(len(lists)), key=lambda i: high[i] - low[i])
        pivot = lists[widest][(low[widest] + high[widest]) // 2]
        below = [bisect_left(values, pivot, *ends) for values, *ends in zip(lists, low, high, strict=True)]
        up_to = [bisect_right(values, pivot, *ends) for values, *ends in zip(lists, low, high, strict=True)]
        if rank < sum(below):
            high = below
        elif rank >= sum(up_to):
            low = up_to
        else:
            return pivot


class SlidingWindow:
    """Holds the samples of the last `length` seconds; call `update` before reading `count` or a quantile."""

    def __init__(self, length: float) -> None:
        self.count = 0  # number of samples at the last update
        self._length = length
        self._new_samples: list[Sample] = []
        self._intervals: deque[SortedInterval] = deque()

    def add(self, now: float, latency: float, relative: float) -> None:
        """Adds a latency, given in seconds and in multiples of its class's mean."""
        self._new_samples.append((now, latency, relative))

    def relative_since(self, since: float) -> list[float]:
        """Returns the relative latencies of the samples from the time `since` on, sorted.

        Only the new samples and those of the newest interval are searched.
        """
        before = self._intervals[-1].samples if self._intervals else ()
        recent = takewhile(
            lambda sample: sample[0] >= since, chain(reversed(self._new_samples), reversed(before))
        )
        return sorted(relative for _, _, relative in recent)

    def update(self, now: float) -> None:
        """Makes an interval of the new samples, and drops exactly the samples older than the window."""
        intervals, oldest = self._intervals, now - self._length
        if self._new_samples:
            intervals.append(SortedInterval(self._new_samples))
            self._new_samples = []
        while intervals and intervals[0].samples[-1][0] < oldest:
            intervals.popleft()
        if intervals and intervals[0].samples[0][0] < oldest:
            intervals[0] = SortedInterval(
                intervals[0].samples[bisect_left(intervals[0].samples, (oldest,)) :]
            )
        self.count = sum(len(interval.samples) for interval in intervals)

    def latency(self, quantile: float) -> float:
        """Returns a quantile (0 to 1) of the latencies, in seconds; the window must not be empty."""
        return value_at_rank(
            [interval.raw for interval in self._intervals], min(self.count - 1, int(self.count * quantile))
        )

    def relative(self, quantile: float) -> float:
        """Returns a quantile (0 to 1) of the relative latencies, in multiples of the class's mean."""
        return value_at_rank(
            [interval.relative for interval in self._intervals],
            min(self.count - 1, int(self.count * quantile)),
        )

    def spread(self) -> float:
        """Returns standard deviation over mean of the relative latencies; 1 if the mean is 0."""
        mean = sum(interval.mean * len(interval.samples) for interval in self._intervals) / self.count
        squared_deviations = sum(
            interval.squared_deviations + (interval.mean - mean) ** 2 * len(interval.samples)
            for interval in self._intervals
        )
        return sqrt(squared_deviations / self.count) / mean if mean else 1.0
