"""The tenants' quotas at this node, as token buckets. No I/O."""

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import MIN_SAMPLES, UPDATE_INTERVAL_S


class TenantQuotas:
    """One token bucket for each tenant; a request takes a token or is beyond its tenant's quota."""

    def __init__(self, state: BalancerState, limiter: ConcurrencyLimiter) -> None:
        self._state, self._limiter = state, limiter
        self.tokens: list[float] = []
        self.apply_settings()

    def apply_settings(self) -> None:
        """Takes over changed settings: buckets shrink at once, those of new tenants are half full."""
        capacities = [self._capacity(rate) for rate in self.rates()]
        new = [capacity / 2 for capacity in capacities[len(self.tokens) :]]
        self.tokens = [*map(min, self.tokens, capacities), *new]

    def rates(self) -> list[float]:
        """The tenants' quotas at this node, a second: an even part, or its part of the traffic if more.

        With even parts, the few nodes that carry most of the traffic would take it for beyond the quotas.
        """
        quotas = [one.quota for one in self._state.settings.tenants]
        traffic = min(1.0, self._limiter.peak_rate / (sum(quotas) or 1.0))
        fraction = max(1.0 / self._state.settings.nodes, traffic)
        return [fraction * quota for quota in quotas]

    @staticmethod
    def _capacity(rate: float) -> float:
        """The capacity of a bucket, in tokens.

        It has a minimum, as with many nodes a node's part of a small quota might never hold a whole token.
        """
        return max(MIN_SAMPLES / 4 if rate else 0.0, 2.0 * rate * UPDATE_INTERVAL_S)

    def refill(self, interval_s: float) -> None:
        """Adds the tokens of an interval."""
        for tenant, rate in enumerate(self.rates()):
            self.tokens[tenant] = min(self._capacity(rate), self.tokens[tenant] + rate * interval_s)

    def take(self, tenant: int) -> int:
        """Takes a token; returns the tenant whose quota is used, -1 if the request is beyond it."""
        if tenant < 0 or self.tokens[tenant] < 1.0:
            return -1
        self.tokens[tenant] -= 1.0
        return tenant

    def give_back(self, tenant: int) -> None:
        """Puts the token of a request back that was never sent: its client may send it again."""
        self.tokens[tenant] += 1.0
