"""Quantiles over a sliding window of latencies, at a cost that does not grow with the window.

Owns the samples of the window: each is sorted once, among those of its second, and a quantile is looked up
across the seconds. It decides nothing, has no clock, and never rounds: what it tells is exact.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from itertools import chain, takewhile
from math import sqrt

Sample = tuple[float, float, float]  # when, latency, latency in multiples of its request class's mean


class Sheaf:
    """The samples between two settlings, oldest first, and their figures in order."""

    __slots__ = ("samples", "raw", "shares", "mean", "square")

    def __init__(self, samples: list[Sample]) -> None:
        self.samples = samples
        self.raw = sorted(took for _, took, _ in samples)
        self.shares = sorted(share for _, _, share in samples)
        self.mean = sum(self.shares) / len(samples)
        self.square = sum((share - self.mean) ** 2 for share in self.shares)


def ranked(lists: list[list[float]], rank: int) -> float:
    """The figure of this rank, from 0, among several sorted lists that are not all empty."""
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


class Window:
    """The samples of the last `length` seconds; `settle` before the figures are asked for."""

    def __init__(self, length: float) -> None:
        self.count = 0  # as of the last settling
        self._length = length
        self._fresh: list[Sample] = []
        self._sheaves: deque[Sheaf] = deque()

    def add(self, now: float, took: float, share: float) -> None:
        self._fresh.append((now, took, share))

    def shares_since(self, moment: float) -> list[float]:
        """In order; only what came after the last settling but one is looked through."""
        before = self._sheaves[-1].samples if self._sheaves else ()
        late = takewhile(lambda sample: sample[0] >= moment, chain(reversed(self._fresh), reversed(before)))
        return sorted(share for _, _, share in late)

    def settle(self, now: float) -> None:
        """Takes in what is new and lets go of what is older than the window, to the sample."""
        sheaves, oldest = self._sheaves, now - self._length
        if self._fresh:
            sheaves.append(Sheaf(self._fresh))
            self._fresh = []
        while sheaves and sheaves[0].samples[-1][0] < oldest:
            sheaves.popleft()
        if sheaves and sheaves[0].samples[0][0] < oldest:
            sheaves[0] = Sheaf(sheaves[0].samples[bisect_left(sheaves[0].samples, (oldest,)) :])
        self.count = sum(len(sheaf.samples) for sheaf in sheaves)

    def latency(self, part: float) -> float:
        """Seconds that this part of the latencies stays below."""
        return ranked([sheaf.raw for sheaf in self._sheaves], min(self.count - 1, int(self.count * part)))

    def share(self, part: float) -> float:
        """The same in multiples of the class's mean."""
        return ranked([sheaf.shares for sheaf in self._sheaves], min(self.count - 1, int(self.count * part)))

    def spread(self) -> float:
        """Standard deviation over mean of the shares; 1 where there is no mean."""
        mean = sum(sheaf.mean * len(sheaf.samples) for sheaf in self._sheaves) / self.count
        square = sum(sheaf.square + (sheaf.mean - mean) ** 2 * len(sheaf.samples) for sheaf in self._sheaves)
        return sqrt(square / self.count) / mean if mean else 1.0
