"""Quantiles over a sliding window of latencies, at a cost that does not grow with the window.

Each sample is sorted once, among those of its interval between two updates, and a quantile is looked up
across the intervals. Quantiles are exact. No clock, no I/O.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from itertools import chain, takewhile
from math import sqrt

Sample = tuple[float, float, float]  # when, latency, latency in multiples of its request class's mean


class SortedInterval:
    """The samples between two updates, oldest first, and their figures in order."""

    __slots__ = ("samples", "raw", "relative", "mean", "square")

    def __init__(self, samples: list[Sample]) -> None:
        self.samples = samples
        self.raw = sorted(latency for _, latency, _ in samples)
        self.relative = sorted(relative for _, _, relative in samples)
        self.mean = sum(self.relative) / len(samples)
        self.square = sum((relative - self.mean) ** 2 for relative in self.relative)


def value_at_rank(lists: list[list[float]], rank: int) -> float:
    """The value of this rank, from 0, in several sorted lists that are not all empty.

    A binary search over all lists at once: each round halves the longest range left.
    """
    low, high = [0] * len(lists), [len(one) for one in lists]
    while True:
        widest = max(range(len(lists)), key=lambda i: high[i] - low[i])
        pivot = lists[widest][(low[widest] + high[widest]) // 2]
        below = [bisect_left(one, pivot, *ends) for one, *ends in zip(lists, low, high, strict=True)]
        up_to = [bisect_right(one, pivot, *ends) for one, *ends in zip(lists, low, high, strict=True)]
        if rank < sum(below):
            high = below
        elif rank >= sum(up_to):
            low = up_to
        else:
            return pivot


class SlidingWindow:
    """The samples of the last `length` seconds; call `update` before the quantiles are read."""

    def __init__(self, length: float) -> None:
        self.count = 0  # as of the last update
        self._length = length
        self._new_samples: list[Sample] = []
        self._intervals: deque[SortedInterval] = deque()

    def add(self, now: float, latency: float, relative: float) -> None:
        """Adds a latency, in seconds and in multiples of its class's mean."""
        self._new_samples.append((now, latency, relative))

    def relative_since(self, moment: float) -> list[float]:
        """Relative latencies since a moment, sorted; searches what came after the last update but one."""
        before = self._intervals[-1].samples if self._intervals else ()
        late = takewhile(
            lambda sample: sample[0] >= moment, chain(reversed(self._new_samples), reversed(before))
        )
        return sorted(relative for _, _, relative in late)

    def update(self, now: float) -> None:
        """Adds the new samples and drops those older than the window, to the sample."""
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
        """This quantile (0 to 1) of the latencies, in seconds."""
        return value_at_rank(
            [interval.raw for interval in self._intervals], min(self.count - 1, int(self.count * quantile))
        )

    def relative(self, quantile: float) -> float:
        """The same of the relative latencies, in multiples of the class's mean."""
        return value_at_rank(
            [interval.relative for interval in self._intervals],
            min(self.count - 1, int(self.count * quantile)),
        )

    def spread(self) -> float:
        """Standard deviation over mean of the relative values; 1 where there is no mean."""
        mean = sum(interval.mean * len(interval.samples) for interval in self._intervals) / self.count
        square = sum(
            interval.square + (interval.mean - mean) ** 2 * len(interval.samples)
            for interval in self._intervals
        )
        return sqrt(square / self.count) / mean if mean else 1.0
