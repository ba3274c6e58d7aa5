"""Checks requests against the quotas of their tenants, counted over the whole fleet. No I/O."""

from __future__ import annotations

from wheatroute.fleet.plan import FleetPlan

BURST_S = 1.0  # seconds of quota that a tenant can accumulate


class TenantQuotas:
    """Keeps a token bucket for each tenant; a request costs one token."""

    def __init__(self, plan: FleetPlan, now: float) -> None:
        quota = plan.quota()
        self._rates = [tenant.portion * quota for tenant in plan.tenants]  # tokens per second
        self._tokens = list(self._rates)
        self._updated_at = [now] * len(self._rates)

    def take(self, tenant: int, now: float) -> bool:
        """Takes a token and returns True, or False if none is left; -1 means no tenant and so no quota."""
        if tenant < 0:
            return True
        rate = self._rates[tenant]
        refilled = self._tokens[tenant] + rate * (now - self._updated_at[tenant])
        tokens = min(max(1.0, rate * BURST_S), refilled)
        is_within = tokens >= 1.0
        self._updated_at[tenant] = now
        self._tokens[tenant] = tokens - 1.0 if is_within else tokens
        return is_within
