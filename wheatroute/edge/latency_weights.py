"""Derives the weights by which traffic is split among servers from their relative latency. No I/O.

Relative latency is the time to first token divided by the time that is expected for the same number of prompt
tokens (see `wheatroute.edge.prefill`). It is smoothed for each server, and shrunk towards 1 while the server
has few samples.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.split import clamped_weights

UPDATE_INTERVAL_S = 1.0
SMOOTHING = 0.2  # weight of the newest sample
PRIOR_SAMPLES = 3.0  # the mean has the weight of this many samples, beside a server's own samples
SAMPLE_HALF_LIFE_S = 10.0  # age in seconds at which a server's own samples have half their weight
# Dead band: latencies within these multiples of the mean count as the mean.
DEAD_BAND_MIN_RATIO, DEAD_BAND_MAX_RATIO = 0.75, 1.35


class _SmoothedLatency:
    """Smoothed relative latency of one server."""

    __slots__ = ("ratio", "weight", "updated_at")

    def __init__(self) -> None:
        self.ratio = 1.0
        self.weight = 0.0  # effective number of samples in `ratio`
        self.updated_at = 0.0


@dataclass(frozen=True, slots=True)
class _WeightUpdate:
    """When the weights of a service were last computed, and for which servers."""

    at: float
    server_ids: tuple[str, ...]


class LatencyWeights:
    """Keeps the relative latency of servers, and weights that are inversely related to it."""

    def __init__(self) -> None:
        self._latencies: dict[str, _SmoothedLatency] = {}
        self._weights: dict[str, float] = {}
        self._last_updates: dict[str, _WeightUpdate] = {}  # last update of each service's weights

    def record(self, server_id: str, ratio: float, now: float) -> None:
        """Adds a sample; `ratio` is a latency in multiples of the expected one."""
        latency = self._latencies.setdefault(server_id, _SmoothedLatency())
        age_factor = 1.0 / (1.0 + (now - latency.updated_at) / SAMPLE_HALF_LIFE_S)
        previous_weight = latency.weight * min(1.0 - SMOOTHING, age_factor)
        latency.ratio += (ratio - latency.ratio) / (previous_weight + 1.0)
        latency.weight = previous_weight + 1.0
        latency.updated_at = now

    def relative_latency(self, server_id: str, now: float) -> float:
        """Returns a server's latency in multiples of the mean, shrunk towards 1 while there are few samples.

        A latency near the mean counts as the mean, because a weight that changed with every response would
        move prompts away from the servers that have them cached.
        """
        latency = self._latencies.get(server_id)
        if latency is None:
            return 1.0
        weight = latency.weight / (1.0 + (now - latency.updated_at) / SAMPLE_HALF_LIFE_S)
        expected = (PRIOR_SAMPLES + weight * latency.ratio) / (PRIOR_SAMPLES + weight)
        return 1.0 if DEAD_BAND_MIN_RATIO < expected < DEAD_BAND_MAX_RATIO else expected

    def update(self, service: str, server_ids: tuple[str, ...], now: float) -> None:
        """Recomputes a service's weights if its servers have changed or the last update is a second old."""
        last = self._last_updates.get(service)
        if last is not None and last.server_ids == server_ids and now - last.at < UPDATE_INTERVAL_S:
            return
        self._last_updates[service] = _WeightUpdate(now, server_ids)
        weights = clamped_weights([self.relative_latency(server_id, now) for server_id in server_ids])
        self._weights.update(zip(server_ids, weights, strict=True))

    def weight(self, server_id: str) -> float:
        """Returns a server's weight, 1 before its first update."""
        return self._weights.get(server_id, 1.0)

    def forget(self, server_id: str) -> None:
        """Drops the latency and weight of a server that has left."""
        self._latencies.pop(server_id, None)
        self._weights.pop(server_id, None)
