"""Load-balancing weights of servers: inverse to their latency, clamped around the mean weight.

Both data planes use it: the decisions of a node (`wheatroute/balancing`) and the edge (`wheatroute/edge`).
No I/O, no state.
"""

from collections.abc import Sequence

MIN_WEIGHT_RATIO, MAX_WEIGHT_RATIO = 0.5, 2.0  # bounds of a weight, as multiples of the mean weight
ITERATIONS = 3  # rounds of normalizing and clamping; further rounds hardly change the sum


def clamped_weights(latencies: Sequence[float]) -> list[float]:
    """Returns each server's weight, which is proportional to 1 / latency and clamped.

    `latencies` may be in any unit and must be greater than 0. Each weight is clamped to between 0.5 and 2
    times the mean weight. The weights sum to 1, but only approximately if any of them is clamped.
    """
    weights = [1.0 / latency for latency in latencies]
    mean = 1.0 / max(1, len(weights))
    for _ in range(ITERATIONS):
        total = sum(weights)
        weights = [
            min(MAX_WEIGHT_RATIO * mean, max(MIN_WEIGHT_RATIO * mean, weight / total)) for weight in weights
        ]
    return weights
