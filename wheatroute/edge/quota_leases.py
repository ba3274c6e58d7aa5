"""Tokens of tenants that this node has leased from the primary. A state machine without I/O.

Invariant: what the primary grants is taken out of the one bucket of the tenant, so the leases of all nodes
sum to the rate limit. A node is isolated while it has no contact with a primary. It then uses the local rate
and burst of its last grant, and an even share of what the operators' rule allows beyond the limit: its local
tokens. It reports their usage to the next primary, which takes it out of the bucket. Local tokens that are
left over stay until the next isolation; they can't be used while a primary answers.
"""

from __future__ import annotations

from math import inf

import msgspec

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant
from wheatroute.edge.prompt_headers import TokenCount
from wheatroute.edge.usage_history import UsageHistory

DEMAND_WINDOW_S = 4.0  # over which the demand of a tenant's clients is measured
MAX_LEASE_S = 0.4  # seconds of that demand that a lease may hold without returning it
MAX_LOCAL_BURST_S = 2.0  # seconds of the local rate that an isolated node may save up
LOCAL_RATE_TTL_S = 3.0  # greatest age of the last grant whose local rate is used; checked as isolation begins
# of an even share of the rate limit, used while isolated without a valid local rate: there was no grant yet,
# it was too old (LOCAL_RATE_TTL_S), or its local rate is 0
DEFAULT_LOCAL_RATE_FRACTION = 0.5
DEFAULT_LOCAL_BURST_S = 1.0  # seconds of that rate usable in advance, else a large request would never fit
LOCAL_SLACK_FRACTION = 0.3  # of what the rule allows beyond the limit, that all isolated nodes use together


class IsolationPeriod(msgspec.Struct, frozen=True):
    """A time without contact to a primary, and the tokens of a tenant used meanwhile without a grant."""

    tenant: str
    duration_s: float
    tokens: float
    edge_node_count: int  # by which the node's share was computed


class QuotaLease:
    """Tokens of one tenant that this node may use. Times are those of a steady clock, in seconds."""

    __slots__ = (
        "granted_tokens",
        "demand_rate",
        "demand_updated_at",
        "retry_after_s",
        "local_rate",
        "local_burst",
        "granted_at",
        "local_tokens",
        "isolated_usage",
        "isolated_usage_acknowledged",
        "is_isolated",
        "isolated_since",
        "isolated_usage_before",
        "edge_node_count",
        "refilled_at",
        "burst_credited_at",
        "usage",
    )

    def __init__(self, window_s: float) -> None:
        self.granted_tokens = 0.0
        self.demand_rate = 0.0  # tokens a second that clients asked for, as of `demand_updated_at`
        self.demand_updated_at = 0.0
        self.retry_after_s = 0.0  # until the bucket holds tokens, by the last grant
        # of the last grant, for the time of isolation: tokens a second, and tokens
        self.local_rate = 0.0
        self.local_burst = 0.0
        self.granted_at = -inf  # when the last grant came
        self.local_tokens = 0.0  # usable while isolated; no primary has granted them
        self.isolated_usage = 0.0  # local tokens used since the process started
        self.isolated_usage_acknowledged = 0.0  # the part of it that a primary knows
        self.is_isolated = False
        self.isolated_since = 0.0
        self.isolated_usage_before = 0.0  # `isolated_usage` at that time
        self.edge_node_count = 0  # by which the local rate was computed at that time
        self.refilled_at = 0.0
        self.burst_credited_at = -inf  # when an isolation last began with the local burst
        self.usage = UsageHistory(window_s)

    def begin_isolation(self, now: float, edge_node_count: int) -> None:
        """Enter isolation; the local rate counts from the last grant on, as nothing was granted since."""
        self.is_isolated = True
        self.isolated_since = now
        self.isolated_usage_before = self.isolated_usage
        self.edge_node_count = edge_node_count
        if now - self.granted_at > LOCAL_RATE_TTL_S:
            # the demand has changed since, that of other nodes too
            self.local_rate, self.local_burst, self.granted_at = 0.0, 0.0, now
        self.refilled_at = self.granted_at


class QuotaLeases:
    """Leases by tenant; `window_s` is the window of the operators' rule, in seconds."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._leases: dict[str, QuotaLease] = {}

    def set_window(self, window_s: float) -> None:
        """Change the window of the rule, in seconds."""
        self.window_s = window_s
        for lease in self._leases.values():
            lease.usage.set_span(window_s)

    def _lease(self, tenant: str) -> QuotaLease:
        if tenant not in self._leases:
            self._leases[tenant] = QuotaLease(self.window_s)
        return self._leases[tenant]

    def tenants(self) -> list[str]:
        """Return all tenants with a lease."""
        return list(self._leases)

    # demand

    def record_demand(self, tenant: str, tokens: float, now: float) -> None:
        """Count tokens that a client asks for."""
        lease = self._lease(tenant)
        remaining = max(0.0, 1.0 - (now - lease.demand_updated_at) / DEMAND_WINDOW_S)
        lease.demand_rate = lease.demand_rate * remaining + tokens / DEMAND_WINDOW_S
        lease.demand_updated_at = now

    def demand_rate(self, tenant: str, now: float) -> float:
        """Return the tokens a second that clients asked for lately."""
        lease = self._lease(tenant)
        return lease.demand_rate * max(0.0, 1.0 - (now - lease.demand_updated_at) / DEMAND_WINDOW_S)

    def demand(
        self, tenant: str, wanted: float, returned: float, now: float, with_recent_usage: bool = False
    ) -> QuotaDemand:
        """Return a tenant's part of a usage report, with tokens wanted and returned."""
        lease = self._lease(tenant)
        return QuotaDemand(
            wanted,
            returned,
            self.demand_rate(tenant, now),
            lease.isolated_usage,
            lease.isolated_usage_acknowledged,
            self._recent_usage(lease, now) if with_recent_usage else (),
        )

    def has_unacknowledged_usage(self, tenant: str) -> bool:
        """Return whether there is isolated usage that no primary knows."""
        lease = self._lease(tenant)
        return lease.isolated_usage > lease.isolated_usage_acknowledged

    def _recent_usage(self, lease: QuotaLease, now: float) -> tuple[int, ...]:
        """Return the usage by slots, the newest first; leased tokens count as used in the newest."""
        slots = lease.usage.by_age(now) or [0.0]
        slots[0] += lease.granted_tokens
        return tuple(round(tokens) for tokens in slots)

    # use

    def try_use(self, tenant: str, tokens: float) -> bool:
        """Use tokens of the lease; return False if it doesn't hold as many."""
        lease = self._lease(tenant)
        if lease.granted_tokens + (lease.local_tokens if lease.is_isolated else 0.0) < tokens:
            return False
        granted = min(lease.granted_tokens, tokens)
        lease.granted_tokens -= granted
        lease.local_tokens -= tokens - granted
        lease.isolated_usage += tokens - granted
        # `record_demand` precedes each use: that was now, or just before a wait for a grant
        lease.usage.add(lease.demand_updated_at, tokens)
        return True

    def refund(self, tenant: str, tokens: float) -> None:
        """Return tokens to the lease that a request used which never ran.

        Local tokens come back as granted ones too: they stay in `isolated_usage`, so the primary takes them
        out of the bucket, as it does with a grant. The usage is taken back as of the tenant's last demand,
        which is at or after the time of the charge.
        """
        lease = self._lease(tenant)
        lease.granted_tokens += tokens
        lease.usage.add(lease.demand_updated_at, -tokens)

    # grants

    def apply_grant(
        self, tenant: str, grant: QuotaGrant, now: float, isolated_usage: float = 0.0
    ) -> IsolationPeriod | None:
        """Apply the primary's grant, in response to a report with this isolated usage.

        Returns the period of isolation that it ends, if there was one.
        """
        lease = self._lease(tenant)
        period = None
        if lease.is_isolated:
            used = lease.isolated_usage - lease.isolated_usage_before
            period = IsolationPeriod(tenant, now - lease.isolated_since, used, lease.edge_node_count)
        lease.granted_tokens += grant.tokens
        lease.isolated_usage_acknowledged = max(lease.isolated_usage_acknowledged, isolated_usage)
        lease.retry_after_s = grant.wait_s
        lease.local_rate, lease.local_burst = grant.local_rate, grant.local_burst
        lease.granted_at, lease.is_isolated = now, False
        return period

    def retry_after_s(self, tenant: str) -> float:
        """Return the seconds after which a rejected client should retry."""
        return self._lease(tenant).retry_after_s

    def take_surplus(self, tenant: str, now: float) -> float:
        """Take out the tokens that a lease holds beyond its demand, to be returned to the primary."""
        lease = self._lease(tenant)
        surplus = max(0.0, lease.granted_tokens - MAX_LEASE_S * self.demand_rate(tenant, now))
        lease.granted_tokens -= surplus
        return surplus

    # isolation

    def refill_isolated(self, tenant: Tenant, now: float, edge_node_count: int, slack: float) -> None:
        """Refill the local tokens of an isolated node; `slack` is the rule's allowance beyond the limit.

        The local rate counts from the last grant on. The local burst and the share of the slack are there at
        once, but only once in a window.
        """
        lease = self._lease(tenant.name)
        slack_share = LOCAL_SLACK_FRACTION * slack / max(1, edge_node_count)
        is_beginning = not lease.is_isolated
        if is_beginning:
            lease.begin_isolation(now, edge_node_count)
        default_rate = DEFAULT_LOCAL_RATE_FRACTION * tenant.rate_per_s / max(1, edge_node_count)
        rate = lease.local_rate or default_rate
        burst = lease.local_burst if lease.local_rate else default_rate * DEFAULT_LOCAL_BURST_S
        if is_beginning and now - lease.burst_credited_at >= self.window_s:
            lease.burst_credited_at = now
            lease.local_tokens += slack_share + burst
        capacity = slack_share + max(rate * MAX_LOCAL_BURST_S, burst)
        lease.local_tokens = min(capacity, lease.local_tokens + rate * (now - lease.refilled_at))
        lease.refilled_at = now


def request_cost(tenant: Tenant, token_count: TokenCount | None) -> float:
    """Return what a request is charged, in the unit of its tenant's limit: tokens or requests."""
    if tenant.unit != "token_usage":
        return 1.0
    return float(token_count.total) if token_count is not None else tenant.uncached_tokens
