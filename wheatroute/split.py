"""Weights of the servers of a service, inverse to their latency and clamped around the mean weight.

Both data planes use it. A pure function; no I/O.
"""

from collections.abc import Sequence

MIN_WEIGHT_RATIO, MAX_WEIGHT_RATIO = 0.5, 2.0  # of the mean weight
ITERATIONS = 3  # the sum hardly changes after that


def clamped_weights(latencies: Sequence[float]) -> list[float]:
    """Return the weight of each server, from latencies above 0 in any unit.

    The sum is not quite 1 where the clamps bind.
    """
    weights = [1.0 / latency for latency in latencies]
    mean = 1.0 / max(1, len(weights))
    for _ in range(ITERATIONS):
        total = sum(weights)
        weights = [
            min(MAX_WEIGHT_RATIO * mean, max(MIN_WEIGHT_RATIO * mean, weight / total)) for weight in weights
        ]
    return weights
