"""Relative latency of the servers, and the weights of the split that follow from it. No I/O.

Latency is the time to first token in multiples of what is expected for the same number of prompt tokens (see
`wheatroute.edge.prefill`). It is smoothed by server, and pulled towards the mean while there are few samples.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.split import clamped_weights

UPDATE_INTERVAL_S = 1.0
SMOOTHING = 0.2  # weight of the newest sample
PRIOR_SAMPLES = 3.0  # samples that the mean stands for beside a server's own
SAMPLE_HALF_LIFE_S = 10.0  # seconds after which a server's own samples count half
# latencies within these multiples of the mean count as the mean
DEAD_BAND_MIN_RATIO, DEAD_BAND_MAX_RATIO = 0.75, 1.35


class _LatencySample:
    """Smoothed relative latency of one server."""

    __slots__ = ("ratio", "weight", "updated_at")

    def __init__(self) -> None:
        self.ratio = 1.0
        self.weight = 0.0  # samples that the ratio stands for
        self.updated_at = 0.0


@dataclass(frozen=True, slots=True)
class _WeightUpdate:
    """When the weights of a service were last computed, and for which servers."""

    at: float
    server_ids: tuple[str, ...]


class LatencyWeights:
    """Weights by server, inverse to relative latency."""

    def __init__(self) -> None:
        self._samples: dict[str, _LatencySample] = {}
        self._weights: dict[str, float] = {}
        self._last_updates: dict[str, _WeightUpdate] = {}  # by service

    def record(self, server_id: str, ratio: float, now: float) -> None:
        """Add a sample: a latency in multiples of the expected one."""
        sample = self._samples.setdefault(server_id, _LatencySample())
        age_factor = 1.0 / (1.0 + (now - sample.updated_at) / SAMPLE_HALF_LIFE_S)
        previous_weight = sample.weight * min(1.0 - SMOOTHING, age_factor)
        sample.ratio += (ratio - sample.ratio) / (previous_weight + 1.0)
        sample.weight = previous_weight + 1.0
        sample.updated_at = now

    def relative_latency(self, server_id: str, now: float) -> float:
        """Return a server's latency in multiples of the mean; the mean while there are few samples.

        What lies near the mean counts as the mean: a weight that moves with every response would move prompts
        away from the servers that have them cached.
        """
        sample = self._samples.get(server_id)
        if sample is None:
            return 1.0
        weight = sample.weight / (1.0 + (now - sample.updated_at) / SAMPLE_HALF_LIFE_S)
        expected = (PRIOR_SAMPLES + weight * sample.ratio) / (PRIOR_SAMPLES + weight)
        return 1.0 if DEAD_BAND_MIN_RATIO < expected < DEAD_BAND_MAX_RATIO else expected

    def update(self, service: str, server_ids: tuple[str, ...], now: float) -> None:
        """Compute the weights of a service anew, once a second or if its servers have changed."""
        last = self._last_updates.get(service)
        if last is not None and last.server_ids == server_ids and now - last.at < UPDATE_INTERVAL_S:
            return
        self._last_updates[service] = _WeightUpdate(now, server_ids)
        weights = clamped_weights([self.relative_latency(server_id, now) for server_id in server_ids])
        self._weights.update(zip(server_ids, weights, strict=True))

    def weight(self, server_id: str) -> float:
        """Return a server's weight; 1 before the first update."""
        return self._weights.get(server_id, 1.0)

    def forget(self, server_id: str) -> None:
        """Drop a server that has left."""
        self._samples.pop(server_id, None)
        self._weights.pop(server_id, None)
