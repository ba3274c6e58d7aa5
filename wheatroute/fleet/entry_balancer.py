"""The load balancer between clients and entry nodes: weighted, preferring the client's zone. No I/O."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from wheatroute.fleet.nodes import Node
from wheatroute.fleet.plan import FleetPlan

# The end of a node is detected this long after the balancer first considers the dead node for a try.
DETECTION_DELAY_S = 2.0


class EntryBalancer:
    """Chooses a node for each try of a client; excludes a dead node only after the detection delay."""

    def __init__(self, plan: FleetPlan, entry_nodes: list[Node], rng: Random) -> None:
        self._entry_nodes = entry_nodes
        self._rng = rng
        # By number of a dead node: the time from which it is excluded.
        self._excluded_from: dict[int, float] = {}
        self._weights = _skewed_weights(plan.nodes, plan.clients.node_skew, rng)

    def choose(self, zone: int, now: float) -> Node | None:
        """Chooses a node for a client in this zone; None if no node is eligible.

        The node may be dead if that is not detected yet.
        """
        eligible = [node for node in self._entry_nodes if node.zone == zone and self._is_eligible(node, now)]
        eligible = eligible or [node for node in self._entry_nodes if self._is_eligible(node, now)]
        if not eligible:
            return None
        weights = list(accumulate(self._weights[node.number] for node in eligible))
        if not weights[-1]:
            return eligible[0]
        return eligible[bisect(weights, self._rng.random() * weights[-1])]

    def _is_eligible(self, node: Node, now: float) -> bool:
        if node.is_alive:
            self._excluded_from.pop(node.number, None)
            return True
        return now < self._excluded_from.setdefault(node.number, now + DETECTION_DELAY_S)


def _skewed_weights(count: int, skew: float, rng: Random) -> list[float]:
    """Returns weights of nodes in random order; that of the busiest node is about `skew` times the mean."""
    ranks = list(range(count))
    rng.shuffle(ranks)
    least = max(0.0, 2.0 - skew)
    exponent = max(1.0, skew - 1.0)
    return [least + (skew - least) * (rank / max(1, count - 1)) ** exponent for rank in ranks]
