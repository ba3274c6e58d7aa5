"""Choice of servers by recent probe results, which have a server's held requests and latency. No I/O.

After B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", 2024.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from wheatroute.balancing.interface import AttemptOutcome, CommandWriter, Report
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.baselines.policy import Policy
from wheatroute.fleet.nodes import Node

POOL_SIZE = 16  # number of probe results kept
PROBES_PER_REQUEST = 3
MAX_AGE_S = 1.0  # age up to which a probe result is usable
HOT_QUANTILE = 0.84  # servers that hold more requests than this quantile of the samples are hot
HELD_SAMPLES = 100  # number of latest probe results that HOT_QUANTILE is computed over
MIN_USABLE = 2  # with fewer usable probe results the choice is random


class ProbeResult(NamedTuple):
    """A server's answer to a probe."""

    received_at: float
    server: int
    held_jobs: float  # requests that the server holds
    latency_s: float  # latency of a request, as the server estimates it from its load and speed


class PooledProbing(Policy):
    """Chooses the fastest server that is not hot; if all are hot, the one with the fewest requests."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random) -> None:
        super().__init__(node, settings, rng)
        self._pool: list[ProbeResult] = []
        self._held_samples: list[float] = []

    def probe_ended(
        self, server: int, outcome: AttemptOutcome, elapsed_s: float, report: Report | None
    ) -> None:
        """Adds the result to the pool and drops the oldest one if the pool is full."""
        if outcome != AttemptOutcome.SERVED or not report:
            return
        held = report["held"]
        self._pool.append(ProbeResult(self.now, server, held, report["latency"]))
        self._held_samples = (self._held_samples + [held])[-HELD_SAMPLES:]
        if len(self._pool) > POOL_SIZE:
            self._pool.pop(0)

    def first_attempt_sent(self, number: int, writer: CommandWriter) -> None:
        """Probes random servers for later requests."""
        for _ in range(PROBES_PER_REQUEST):
            if self.live:
                writer.probe(self.live[int(self.rng.random() * len(self.live))])

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Chooses the server of the best usable result and removes it; random if too few are usable."""
        allowed = set(candidates)
        usable = [
            result
            for result in self._pool
            if self.now - result.received_at < MAX_AGE_S and result.server in allowed
        ]
        if len(usable) < MIN_USABLE:
            return candidates[int(self.rng.random() * len(candidates))]
        best = self._best(usable)
        self._pool.remove(best)
        self._count_sent(best.server)
        return best.server

    def _best(self, results: list[ProbeResult]) -> ProbeResult:
        hot_above = self._hot_threshold()
        cold = [result for result in results if result.held_jobs <= hot_above]
        if cold:
            return min(cold, key=lambda result: result.latency_s)
        return min(results, key=lambda result: result.held_jobs)

    def _hot_threshold(self) -> float:
        count = len(self._held_samples)
        return sorted(self._held_samples)[min(count - 1, int(count * HOT_QUANTILE))]

    def _count_sent(self, server: int) -> None:
        """Counts a request that was just sent to a server in the server's other results in the pool."""
        self._pool = [
            result._replace(held_jobs=result.held_jobs + (result.server == server)) for result in self._pool
        ]
