"""Leases of tenants' quota tokens from the primary, and local tokens for times without one. No I/O.

Invariant: every grant of the primary is taken out of the tenant's single token bucket, so the leases of all
nodes add up to the rate limit. A node is isolated while it has no contact with a primary. For a tenant,
isolation begins when a lease request gets no response, and ends with the next grant. An isolated node uses
local tokens: the local rate and burst of its last grant, and an even share of the allowed usage beyond the
limit (`bounds.quota_slack`). To the next primary it reports how many local tokens it has used, and that
primary takes them out of the bucket.
Unused local tokens are kept until the next isolation; they cannot be used while a primary answers.
"""

from __future__ import annotations

from math import inf

import msgspec

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant
from wheatroute.edge.prompt_headers import TokenCount
from wheatroute.edge.usage_history import UsageHistory

DEMAND_WINDOW_S = 4.0  # window over which the demand of a tenant's clients is measured
MAX_LEASE_S = 0.4  # leased tokens beyond this many seconds of a tenant's demand are returned
MAX_LOCAL_BURST_S = 2.0  # an isolated node saves up at most this many seconds of its local rate
LOCAL_RATE_TTL_S = 3.0  # the last grant's local rate is used if isolation begins at most this long after it
# Default local rate, as a fraction of an even share of the rate limit. An isolated node uses it if it has
# received no grant yet, the last grant was too old (LOCAL_RATE_TTL_S), or the grant's local rate is 0.
DEFAULT_LOCAL_RATE_FRACTION = 0.5
# Tokens for this many seconds of the default local rate may be used in advance; otherwise a request that
# needs many tokens would never be admitted.
DEFAULT_LOCAL_BURST_S = 1.0
# Fraction of `bounds.quota_slack` that all isolated nodes together may use.
LOCAL_SLACK_FRACTION = 0.3


class IsolationPeriod(msgspec.Struct, frozen=True):
    """A completed isolation of one tenant's lease, and the local tokens that were used during it."""

    tenant: str
    duration_s: float
    tokens: float
    edge_node_count: int  # number of edge nodes from which this node's share was computed


class QuotaLease:
    """Tokens of one tenant that this node may use. Times are seconds of a monotonic clock."""

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
        "uses_local_tokens",
        "isolated_since",
        "isolated_usage_before",
        "edge_node_count",
        "refilled_at",
        "burst_credited_at",
        "usage",
    )

    def __init__(self, window_s: float) -> None:
        self.granted_tokens = 0.0
        self.demand_rate = 0.0  # tokens per second that clients requested, as of `demand_updated_at`
        self.demand_updated_at = 0.0
        # `wait_s` of the last grant: seconds until the primary's bucket holds the tokens that were requested
        self.retry_after_s = 0.0
        # Rate (tokens per second) and burst (tokens) of the last grant, for use in isolation.
        self.local_rate = 0.0
        self.local_burst = 0.0
        self.granted_at = -inf  # time of the last grant
        self.local_tokens = 0.0  # tokens without a grant, usable in isolation only
        self.isolated_usage = 0.0  # local tokens used since the process started
        self.isolated_usage_acknowledged = 0.0  # part of `isolated_usage` that a primary knows
        self.uses_local_tokens = False  # whether isolation has begun and no grant has ended it
        self.isolated_since = 0.0
        self.isolated_usage_before = 0.0  # `isolated_usage` when isolation began
        self.edge_node_count = 0  # number of edge nodes when isolation began, for the local rate
        self.refilled_at = 0.0
        self.burst_credited_at = -inf  # last time when the local burst was credited
        self.usage = UsageHistory(window_s)

    def begin_isolation(self, now: float, edge_node_count: int) -> None:
        """Enters isolation. Local tokens accrue from the last grant on, as nothing was granted since."""
        self.uses_local_tokens = True
        self.isolated_since = now
        self.isolated_usage_before = self.isolated_usage
        self.edge_node_count = edge_node_count
        if now - self.granted_at > LOCAL_RATE_TTL_S:
            # The grant's local rate is outdated: the demand at this and other nodes has changed since.
            self.local_rate, self.local_burst, self.granted_at = 0.0, 0.0, now
        self.refilled_at = self.granted_at


class QuotaLeases:
    """Holds the leases of all tenants.

    `window_s` (`bounds.quota_window_s`) is the window of the quota rule, in seconds: the recent usage covers
    one window, and the local burst is credited at most once per window.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._leases: dict[str, QuotaLease] = {}

    def set_window(self, window_s: float) -> None:
        """Changes the window of the quota rule, in seconds."""
        self.window_s = window_s
        for lease in self._leases.values():
            lease.usage.set_span(window_s)

    def _lease(self, tenant: str) -> QuotaLease:
        if tenant not in self._leases:
            self._leases[tenant] = QuotaLease(self.window_s)
        return self._leases[tenant]

    def tenants(self) -> list[str]:
        """Returns the names of all tenants with a lease."""
        return list(self._leases)

    # Demand of clients

    def record_demand(self, tenant: str, tokens: float, now: float) -> None:
        """Counts tokens that a client requests."""
        lease = self._lease(tenant)
        remaining = max(0.0, 1.0 - (now - lease.demand_updated_at) / DEMAND_WINDOW_S)
        lease.demand_rate = lease.demand_rate * remaining + tokens / DEMAND_WINDOW_S
        lease.demand_updated_at = now

    def demand_rate(self, tenant: str, now: float) -> float:
        """Returns the recent demand of a tenant's clients, in tokens per second."""
        lease = self._lease(tenant)
        return lease.demand_rate * max(0.0, 1.0 - (now - lease.demand_updated_at) / DEMAND_WINDOW_S)

    def demand(
        self, tenant: str, wanted: float, returned: float, now: float, with_recent_usage: bool = False
    ) -> QuotaDemand:
        """Returns a tenant's part of a usage report; `wanted` and `returned` are in tokens."""
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
        """Returns whether there is isolated usage that no primary has acknowledged."""
        lease = self._lease(tenant)
        return lease.isolated_usage > lease.isolated_usage_acknowledged

    def _recent_usage(self, lease: QuotaLease, now: float) -> tuple[int, ...]:
        """Returns the usage by time slot, newest first; leased tokens count as used in the newest slot."""
        slots = lease.usage.by_age(now) or [0.0]
        slots[0] += lease.granted_tokens
        return tuple(round(tokens) for tokens in slots)

    # Use and refund of tokens

    def try_use(self, tenant: str, tokens: float) -> bool:
        """Takes tokens from the lease; returns False and takes none if it holds too few."""
        lease = self._lease(tenant)
        if lease.granted_tokens + (lease.local_tokens if lease.uses_local_tokens else 0.0) < tokens:
            return False
        granted = min(lease.granted_tokens, tokens)
        lease.granted_tokens -= granted
        lease.local_tokens -= tokens - granted
        lease.isolated_usage += tokens - granted
        # `demand_updated_at` is close to the present time: `record_demand` is called right before this method
        # or, if the request first waits for a grant, right before that wait.
        lease.usage.add(lease.demand_updated_at, tokens)
        return True

    def refund(self, tenant: str, tokens: float) -> None:
        """Returns the tokens of a request that never ran to the lease.

        Refunded local tokens become granted ones: they still count in `isolated_usage`, so the primary takes
        them out of the bucket as it does with a grant. The usage is subtracted at the time of the tenant's
        last demand, which is at or after the time of the charge.
        """
        lease = self._lease(tenant)
        lease.granted_tokens += tokens
        lease.usage.add(lease.demand_updated_at, -tokens)

    # Grants of the primary

    def apply_grant(
        self, tenant: str, grant: QuotaGrant, now: float, isolated_usage: float = 0.0
    ) -> IsolationPeriod | None:
        """Applies a grant that the primary sent in response to a report with this isolated usage.

        Returns the isolation period that the grant ends, None if there was none.
        """
        lease = self._lease(tenant)
        period = None
        if lease.uses_local_tokens:
            used = lease.isolated_usage - lease.isolated_usage_before
            period = IsolationPeriod(tenant, now - lease.isolated_since, used, lease.edge_node_count)
        lease.granted_tokens += grant.tokens
        lease.isolated_usage_acknowledged = max(lease.isolated_usage_acknowledged, isolated_usage)
        lease.retry_after_s = grant.wait_s
        lease.local_rate, lease.local_burst = grant.local_rate, grant.local_burst
        lease.granted_at, lease.uses_local_tokens = now, False
        return period

    def retry_after_s(self, tenant: str) -> float:
        """Returns the seconds after which a client over its quota should retry."""
        return self._lease(tenant).retry_after_s

    def take_surplus(self, tenant: str, now: float) -> float:
        """Takes the tokens beyond the tenant's demand out of its lease, to be returned to the primary."""
        lease = self._lease(tenant)
        surplus = max(0.0, lease.granted_tokens - MAX_LEASE_S * self.demand_rate(tenant, now))
        lease.granted_tokens -= surplus
        return surplus

    # Local tokens in isolation

    def refill_isolated(self, tenant: Tenant, now: float, edge_node_count: int, slack: float) -> None:
        """Refills the local tokens of an isolated node.

        `slack` is the allowed usage beyond the limit, in tokens (`bounds.quota_slack`). The local
        rate accrues from the last grant on. The local burst and the share of the slack are credited as
        isolation begins, but at most once per window.
        """
        lease = self._lease(tenant.name)
        slack_share = LOCAL_SLACK_FRACTION * slack / max(1, edge_node_count)
        is_beginning = not lease.uses_local_tokens
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
    """Returns the charge for a request in the unit of its tenant's limit, which is tokens or requests."""
    if tenant.unit != "token_usage":
        return 1.0
    return float(token_count.total) if token_count is not None else tenant.uncached_tokens
