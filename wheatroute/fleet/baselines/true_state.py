"""Policies that see the true state of all servers, which no real node can: upper bounds. No I/O."""

from __future__ import annotations

from math import inf

from wheatroute.fleet.baselines.policy import Policy


class JoinShortestQueue(Policy):
    """The server with the least held over its speed; servers that are dead or hang are seen."""

    def load(self, number: int) -> float:
        """Jobs with one more, for each core of speed 1; infinite for a server that does nothing."""
        server = self.node.servers[number]
        speed = server.current_speed() if server.is_alive else 0.0
        return (server.held_jobs + 1) / (server.cores * speed) if speed > 0.0 else inf

    def choose(self, candidates: list[int], class_number: int) -> int:
        """The server with the least load; ties at random."""
        return min(candidates, key=lambda server: (self.load(server), self.rng.random()))


class TrueStateTwoChoices(JoinShortestQueue):
    """Power of two choices by true state, the policy of the mean-field results."""

    def choose(self, candidates: list[int], class_number: int) -> int:
        """The one of two draws with less load; the first in a tie."""
        first, second = (candidates[int(self.rng.random() * len(candidates))] for _ in range(2))
        return min(first, second, key=self.load)


class TrueStateAdmission(JoinShortestQueue):
    """Join the shortest queue, with admission control: about the best that a policy can do."""

    def admits(self, class_number: int, time_left_s: float, candidates: list[int]) -> bool:
        """Whether the server with the least load would answer within the target latency, in the mean."""
        if not candidates:
            return False
        least_load = min(map(self.load, candidates))
        latency_s = least_load * self.node.mean_call_work_s(class_number)
        return latency_s < self.request_classes[class_number].target_latency
