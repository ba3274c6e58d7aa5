"""Policies that know nothing of servers: random and round robin. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.baselines.policy import Policy
from wheatroute.fleet.nodes import Node

FIRST_TURNS = 1_000_000  # round robin begins at a random one


class RandomChoice(Policy):
    """A server drawn uniformly."""

    def choose(self, candidates: list[int], class_number: int) -> int:
        """A uniform draw."""
        return candidates[int(self.rng.random() * len(candidates))]


class RoundRobin(Policy):
    """Servers in turn; each node begins at a place of its own."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random) -> None:
        super().__init__(node, settings, rng)
        self._turn = int(rng.random() * FIRST_TURNS)

    def choose(self, candidates: list[int], class_number: int) -> int:
        """The next server in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]
