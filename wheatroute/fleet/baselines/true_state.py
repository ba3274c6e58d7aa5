"""Policies that see the true state of all servers, as upper bounds: no real node can see it. No I/O."""

from __future__ import annotations

from math import inf

from wheatroute.fleet.baselines.policy import Policy


class JoinShortestQueue(Policy):
    """Chooses the server with the fewest jobs relative to its speed; knows which servers are dead or hang."""

    def load(self, number: int) -> float:
        """Returns the jobs per core of speed 1, including a new one; infinite if the server does no work."""
        server = self.node.servers[number]
        speed = server.current_speed() if server.is_alive else 0.0
        return (server.held_jobs + 1) / (server.cores * speed) if speed > 0.0 else inf

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Chooses the server with the least load, at random in a tie."""
        return min(candidates, key=lambda server: (self.load(server), self.rng.random()))


class TrueStateTwoChoices(JoinShortestQueue):
    """Applies power of two choices to the true state, the policy that mean-field results describe."""

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Draws two servers and chooses the one with less load, the first in a tie."""
        first, second = (candidates[int(self.rng.random() * len(candidates))] for _ in range(2))
        return min(first, second, key=self.load)


class TrueStateAdmission(JoinShortestQueue):
    """Joins the shortest queue and adds admission control: about the best that a policy can do."""

    def admits(self, class_number: int, time_left_s: float, candidates: list[int]) -> bool:
        """Returns whether the least loaded server would on average answer within the target latency."""
        if not candidates:
            return False
        least_load = min(map(self.load, candidates))
        latency_s = least_load * self.node.mean_call_work_s(class_number)
        return latency_s < self.request_classes[class_number].target_latency
