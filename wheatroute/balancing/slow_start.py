"""How much a server that has just started may get: credit that grows with its warm-up. No I/O.

A server that warms up fails if it gets too many times its usual rate, so each node gives it a part of what
warm servers of its model get.
"""

from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import SMOOTHING, TICK_INTERVAL_S, UPDATE_INTERVAL_S


class SlowStart:
    """The credit of servers that warm up, in attempts."""

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self.caution = 1.0  # factor by which less is sent while the number of nodes is uncertain

    def warmth(self, server: int) -> float:
        """The least fraction of its full capacity that a server can have by now; 1 when it is warm."""
        settings, started_at = self._state.settings, self._state.servers.started_at[server]
        if not started_at:
            return 1.0
        age = self._state.now - started_at
        if age >= settings.warmup_s:
            return 1.0
        initial = settings.warmup_initial_share
        return initial + (1.0 - initial) * max(0.0, age) / settings.warmup_s

    def refill(self, members: list[int], interval_s: float) -> None:
        """Adds the credit of an interval for those of the members that warm up.

        Half of the rate that the settings allow: other nodes send too, at random, and servers now carry
        less than they could. Only members have credit and are the measure; else a new server would get
        nothing until all nodes turned to it at once.
        """
        servers, settings = self._state.servers, self._state.settings
        rates = self._update_rates(members, interval_s)
        all_rates = [rate for of_model in rates.values() for rate in of_model]
        for server in members:
            warmth = self.warmth(server)
            if warmth < 1.0:
                similar = rates.get(servers.model[server]) or all_rates
                similar = similar or [max(servers.served_rate, default=0.0)]
                rate = settings.overload_multiple / 2 * warmth * sum(similar) / len(similar) / self.caution
                maximum = max(1.0, rate * settings.overload_window_s / 2)
                credit = max(-maximum, servers.slow_start_credit[server]) + rate * interval_s
                servers.slow_start_credit[server] = min(maximum, credit)

    def _update_rates(self, members: list[int], interval_s: float) -> dict[int, list[float]]:
        """Updates the members' served rates; returns those of warm ones not ejected, by model."""
        servers = self._state.servers
        smoothing = SMOOTHING * TICK_INTERVAL_S / UPDATE_INTERVAL_S
        rates: dict[int, list[float]] = {}
        for server in members:
            rate = servers.served_count[server] / interval_s
            servers.served_count[server] = 0
            servers.served_rate[server] += (rate - servers.served_rate[server]) * smoothing
            if self.warmth(server) >= 1.0 and not servers.ejected_until[server]:
                rates.setdefault(servers.model[server], []).append(servers.served_rate[server])
        return rates
