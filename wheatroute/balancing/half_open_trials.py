"""When an ejected server may get the one request that decides whether it comes back. No I/O."""

from math import inf

from wheatroute.balancing.node_state import BalancerState


class HalfOpenTrials:
    """The ejected servers of the subset, and the next moment at which one of them may be tried."""

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self.ejected: list[int] = []
        self._due_at = -inf  # before this moment none may be tried

    def reset(self, ejected: list[int]) -> None:
        """Takes over another list of ejected servers."""
        self.ejected, self._due_at = ejected, -inf

    def reset_due_time(self) -> None:
        """Has `is_due` look up the next moment again, as a server's state has changed."""
        self._due_at = -inf

    def is_due(self) -> bool:
        """Whether any server may be tried by now; looked up no more often than that can change."""
        state, servers = self._state, self._state.servers
        if state.now < self._due_at:
            return False
        untried = [servers.ejected_until[one] for one in self.ejected if not servers.is_on_trial[one]]
        self._due_at = min(untried, default=inf)
        return self._due_at <= state.now
