"""Policies that ignore the state of servers: random and round robin. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.baselines.policy import Policy
from wheatroute.fleet.nodes import Node

MAX_START_TURN = 1_000_000  # round robin starts at a random turn below this


class RandomChoice(Policy):
    """Chooses servers uniformly at random."""

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Chooses a server uniformly at random."""
        return candidates[int(self.rng.random() * len(candidates))]


class RoundRobin(Policy):
    """Chooses servers in turn; each node starts at a random turn."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random) -> None:
        super().__init__(node, settings, rng)
        self._turn = int(rng.random() * MAX_START_TURN)

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Chooses the next server in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]
