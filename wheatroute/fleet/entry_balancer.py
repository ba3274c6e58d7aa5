"""The load balancer between clients and entry nodes: by weight, in the client's zone if it can. No I/O."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from wheatroute.fleet.nodes import Node
from wheatroute.fleet.plan import FleetPlan

DETECTION_DELAY_S = 2.0  # until a dead node is left out


class EntryBalancer:
    """Chooses a node for each try of a client; notices a dead node late."""

    def __init__(self, plan: FleetPlan, entry_nodes: list[Node], rng: Random) -> None:
        self._entry_nodes = entry_nodes
        self._rng = rng
        self._excluded_from: dict[int, float] = {}  # by number of a dead node: when it is left out
        self._weights = _skewed_weights(plan.nodes, plan.clients.node_skew, rng)

    def choose(self, zone: int, now: float) -> Node | None:
        """A node for a client in this zone, which may be dead until that is noticed; None if none is left."""
        used = [node for node in self._entry_nodes if node.zone == zone and self._is_used(node, now)]
        used = used or [node for node in self._entry_nodes if self._is_used(node, now)]
        if not used:
            return None
        weights = list(accumulate(self._weights[node.number] for node in used))
        if not weights[-1]:
            return used[0]
        return used[bisect(weights, self._rng.random() * weights[-1])]

    def _is_used(self, node: Node, now: float) -> bool:
        if node.is_alive:
            self._excluded_from.pop(node.number, None)
            return True
        return now < self._excluded_from.setdefault(node.number, now + DETECTION_DELAY_S)


def _skewed_weights(count: int, skew: float, rng: Random) -> list[float]:
    """Weights from the least to the busiest node, which has `skew` times the mean, in random order."""
    ranks = list(range(count))
    rng.shuffle(ranks)
    least = max(0.0, 2.0 - skew)
    exponent = max(1.0, skew - 1.0)
    return [least + (skew - least) * (rank / max(1, count - 1)) ** exponent for rank in ranks]
