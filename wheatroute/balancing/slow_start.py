"""Slow start: limits the attempts to a server that has just started, by a credit. No I/O.

A server that is warming up fails if it gets too large a multiple of its usual rate, so each node sends it a
fraction of what warm servers of its model get; the fraction grows during the warm-up.
"""

from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import SMOOTHING, TICK_INTERVAL_S, UPDATE_INTERVAL_S


class SlowStart:
    """Maintains the slow-start credit, in attempts, of servers that are warming up."""

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self.caution = 1.0  # divisor of the rate while the number of nodes is uncertain

    def warmup_fraction(self, server: int) -> float:
        """Returns the fraction of its full capacity that a server has at least; 1 once it is warm."""
        settings, started_at = self._state.settings, self._state.servers.started_at[server]
        if not started_at:
            return 1.0
        age = self._state.now - started_at
        if age >= settings.warmup_s:
            return 1.0
        initial = settings.warmup_initial_share
        return initial + (1.0 - initial) * max(0.0, age) / settings.warmup_s

    def refill(self, members: list[int], interval_s: float) -> None:
        """Adds the credit of an interval to the members that are warming up.

        The rate is half of what the settings allow, because other nodes send at random times too and servers
        now carry less than they could. Only members of the subset get credit, and the rate is computed from
        the served rates of members only. Otherwise a new server would get nothing until all nodes sent to it
        at once.
        """
        servers, settings = self._state.servers, self._state.settings
        rates = self._update_rates(members, interval_s)
        all_rates = [rate for of_model in rates.values() for rate in of_model]
        for server in members:
            fraction = self.warmup_fraction(server)
            if fraction < 1.0:
                similar = rates.get(servers.model[server]) or all_rates
                similar = similar or [max(servers.served_rate, default=0.0)]
                rate = settings.overload_multiple / 2 * fraction * sum(similar) / len(similar) / self.caution
                maximum = max(1.0, rate * settings.overload_window_s / 2)
                credit = max(-maximum, servers.slow_start_credit[server]) + rate * interval_s
                servers.slow_start_credit[server] = min(maximum, credit)

    def _update_rates(self, members: list[int], interval_s: float) -> dict[int, list[float]]:
        """Updates the served rates of the members; returns those of warm, not ejected members by model."""
        servers = self._state.servers
        smoothing = SMOOTHING * TICK_INTERVAL_S / UPDATE_INTERVAL_S
        rates: dict[int, list[float]] = {}
        for server in members:
            rate = servers.served_count[server] / interval_s
            servers.served_count[server] = 0
            servers.served_rate[server] += (rate - servers.served_rate[server]) * smoothing
            if self.warmup_fraction(server) >= 1.0 and not servers.ejected_until[server]:
                rates.setdefault(servers.model[server], []).append(servers.served_rate[server])
        return rates
