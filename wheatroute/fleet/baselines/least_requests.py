"""Policies by the node's own attempts in flight: least requests, and power of two choices. No I/O."""

from __future__ import annotations

from wheatroute.fleet.baselines.policy import Policy


class LeastRequests(Policy):
    """The server with the fewest attempts of this node in flight; ties at random."""

    def choose(self, candidates: list[int], class_number: int) -> int:
        """The server with the fewest attempts in flight."""
        return min(candidates, key=lambda server: (self.in_flight.get(server, 0), self.rng.random()))


class PowerOfTwoChoices(Policy):
    """The better of two random servers.

    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def choose(self, candidates: list[int], class_number: int) -> int:
        """The one of two draws with fewer attempts of this node in flight; the first in a tie."""
        first, second = (candidates[int(self.rng.random() * len(candidates))] for _ in range(2))
        return min(first, second, key=lambda server: self.in_flight.get(server, 0))
