"""Schedule of half-open trials: the single request that decides whether a server is readmitted. No I/O."""

from math import inf

from wheatroute.balancing.node_state import BalancerState


class HalfOpenTrials:
    """Holds the ejected servers of the subset and the earliest time at which one of them may be tried."""

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self.ejected: list[int] = []
        self._due_at = -inf  # earliest time of the next trial; -inf: `is_due` must look it up

    def reset(self, ejected: list[int]) -> None:
        """Replaces the list of ejected servers."""
        self.ejected, self._due_at = ejected, -inf

    def reset_due_time(self) -> None:
        """Makes `is_due` look up the time of the next trial again; call it when a server's state changes."""
        self._due_at = -inf

    def is_due(self) -> bool:
        """Returns whether any server may be tried now; scans the servers only if that can have changed."""
        state, servers = self._state, self._state.servers
        if state.now < self._due_at:
            return False
        untried = [
            servers.ejected_until[server] for server in self.ejected if not servers.is_on_trial[server]
        ]
        self._due_at = min(untried, default=inf)
        return self._due_at <= state.now
