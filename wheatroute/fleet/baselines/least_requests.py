"""Policies that use the node's own attempts in flight: least requests and power of two choices. No I/O."""

from __future__ import annotations

from wheatroute.fleet.baselines.policy import Policy


class LeastRequests(Policy):
    """Chooses the server with the fewest attempts of this node in flight."""

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Chooses the server with the fewest attempts of this node in flight, at random in a tie."""
        return min(candidates, key=lambda server: (self.in_flight.get(server, 0), self.rng.random()))


class PowerOfTwoChoices(Policy):
    """Chooses the better of two random servers.

    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Draws two servers and chooses the one with fewer attempts in flight, the first in a tie."""
        first, second = (candidates[int(self.rng.random() * len(candidates))] for _ in range(2))
        return min(first, second, key=lambda server: self.in_flight.get(server, 0))
