"""The tenants' quotas at this node, enforced with token buckets. No I/O."""

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import MIN_SAMPLES, UPDATE_INTERVAL_S


class TenantQuotas:
    """Holds one token bucket per tenant; a request takes a token or is beyond its tenant's quota."""

    def __init__(self, state: BalancerState, limiter: ConcurrencyLimiter) -> None:
        self._state, self._limiter = state, limiter
        self.tokens: list[float] = []
        self.apply_settings()

    def apply_settings(self) -> None:
        """Applies changed settings: buckets shrink at once; the buckets of new tenants start half full."""
        capacities = [self._capacity(rate) for rate in self.rates()]
        new = [capacity / 2 for capacity in capacities[len(self.tokens) :]]
        self.tokens = [*map(min, self.tokens, capacities), *new]

    def rates(self) -> list[float]:
        """Returns the tenants' quotas at this node, in requests per second.

        A node's share is an equal part per node or its share of the traffic, whichever is larger. With equal
        parts only, the few nodes that carry most of the traffic would count much of it as beyond the quotas.
        """
        quotas = [tenant.quota for tenant in self._state.settings.tenants]
        traffic = min(1.0, self._limiter.peak_rate / (sum(quotas) or 1.0))
        fraction = max(1.0 / self._state.settings.nodes, traffic)
        return [fraction * quota for quota in quotas]

    @staticmethod
    def _capacity(rate: float) -> float:
        """Returns the capacity of a bucket in tokens, for a quota of `rate` requests per second.

        The capacity has a minimum, because with many nodes a bucket for a node's part of a small quota might
        never hold a whole token.
        """
        return max(MIN_SAMPLES / 4 if rate else 0.0, 2.0 * rate * UPDATE_INTERVAL_S)

    def refill(self, interval_s: float) -> None:
        """Adds the tokens of an interval."""
        for tenant, rate in enumerate(self.rates()):
            self.tokens[tenant] = min(self._capacity(rate), self.tokens[tenant] + rate * interval_s)

    def take_token(self, tenant: int) -> int:
        """Takes a token; returns `tenant`, or -1 if the request has no tenant or is beyond its quota."""
        if tenant < 0 or self.tokens[tenant] < 1.0:
            return -1
        self.tokens[tenant] -= 1.0
        return tenant

    def return_token(self, tenant: int) -> None:
        """Puts back the token of a request that was never sent, because its client may send it again."""
        self.tokens[tenant] += 1.0
