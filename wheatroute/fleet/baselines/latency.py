"""Weighted random choice by the latency that the node has measured. No I/O."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from wheatroute.balancing.interface import AttemptOutcome, Report
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.baselines.policy import Policy
from wheatroute.fleet.nodes import Node

MEAN_WEIGHT = 0.05  # weight of the last response in the mean latency of its request class
LATENCY_WEIGHT = 0.2  # weight of the last response in the relative latency of its server
MIN_RELATIVE_LATENCY = 1e-3


class InverseLatency(Policy):
    """Chooses servers with a probability inversely proportional to their smoothed latency."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random) -> None:
        super().__init__(node, settings, rng)
        self._relative_latency: dict[int, float] = {}  # by server, in multiples of the class's mean
        self._mean_s: dict[int, float] = {}  # mean latency by request class

    def record_outcome(
        self, server: int, class_number: int, outcome: AttemptOutcome, elapsed_s: float, report: Report | None
    ) -> None:
        """Updates the smoothed latency of a server; timeouts count as latencies, errors don't."""
        if outcome not in (AttemptOutcome.SERVED, AttemptOutcome.TIMED_OUT):
            return
        mean_s = self._mean_s.get(class_number, elapsed_s) * (1.0 - MEAN_WEIGHT) + elapsed_s * MEAN_WEIGHT
        self._mean_s[class_number] = mean_s
        relative = elapsed_s / mean_s if mean_s else 1.0
        known = self._relative_latency.get(server, relative)
        self._relative_latency[server] = known * (1.0 - LATENCY_WEIGHT) + relative * LATENCY_WEIGHT

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Draws a server by weight; servers without a measured latency count with the mean of the others."""
        latencies = self._relative_latency
        known = [latencies[server] for server in candidates if server in latencies]
        mean = sum(known) / len(known) if known else 1.0
        weights = list(
            accumulate(1.0 / max(MIN_RELATIVE_LATENCY, latencies.get(server, mean)) for server in candidates)
        )
        return candidates[bisect(weights, self.rng.random() * weights[-1])]
