"""The token buckets of all tenants, from which edge nodes lease tokens. A state machine without I/O.

All usage of the edge nodes is taken from the buckets of one primary, which keeps the sum within the limit
even when nodes are isolated: the shares of an isolated node stay reserved until it is connected again and
reports what it used without a grant.

A new primary restores the bucket levels of the previous primary, and lowers them by the recent usage that
nodes report to it. Times are in seconds of the monotonic clock, rates in tokens per second.
"""

from __future__ import annotations

from math import inf

import msgspec

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant, UsageReport, UsageResponse
from wheatroute.control.edge_nodes import EdgeNodes
from wheatroute.control.tenant_buckets import ISOLATED_FRACTION, TenantBuckets, TokenBucket

# Fraction of the allowed slack (`bounds.quota_slack`) that is the capacity of the excess bucket.
SLACK_FRACTION = 0.35
# Fraction of the allowed excess rate (`bounds.quota_excess`) at which the excess bucket is refilled.
EXCESS_FRACTION = 0.25
# Key of the reserve that is shared by all nodes that have not reported to this primary. It takes the place of
# a node's name, since their names are unknown.
MISSING_NODES_KEY = "missing nodes"
# If restored levels are at most this old, the tokens that the rate has added since then are credited.
LEVELS_VALID_S = 2.0
# Initial level of the limit's bucket, as a fraction of its capacity, on a primary that is not the first one:
# it doesn't know the recent grants of the previous primary at first.
INITIAL_LEVEL = 0.4


class BucketLevels(msgspec.Struct, frozen=True):
    """The number of tokens in each of a tenant's two buckets."""

    limit: float
    excess: float = msgspec.field(name="extra")


class QuotaBuckets:
    """Grants tokens from the buckets of all tenants that have a rate limit.

    `slack` (tokens) and `excess` (a fraction of the limit) are the allowed usage beyond the limit. `is_first`
    is true on the first primary that the system ever had: its buckets start full.
    """

    def __init__(self, slack: float, excess: float, is_first: bool) -> None:
        # initial levels of a tenant's buckets, as fractions of their capacities
        self._limit_level, self._excess_level = (1.0, 1.0) if is_first else (INITIAL_LEVEL, 0.0)
        self._tenants: dict[str, TenantBuckets] = {}
        # levels to apply once their tenant is configured
        self._restored: dict[str, BucketLevels] = {}
        self._restored_age_s = inf
        self._term_started_at, self._expected_nodes = -inf, 0
        # nodes that have reported their usage from before this term
        self._nodes_with_prior_usage: set[str] = set()
        self._window_s = 0.0  # time that a node's recent usage covers if it is complete
        self.set_allowance(slack, excess)

    def set_allowance(self, slack: float, excess: float) -> None:
        """Sets the allowed usage beyond the limit; drops tokens above an excess bucket's new capacity."""
        self._slack = slack * SLACK_FRACTION
        self._excess = excess * EXCESS_FRACTION
        for buckets in self._tenants.values():
            buckets.excess.change_limit(buckets.limit.rate * self._excess, self._slack)

    def configure(self, tenants: list[Tenant], now: float) -> None:
        """Applies the tenants' limits; tokens above a lower capacity are dropped."""
        limited = {tenant.name: tenant for tenant in tenants if tenant.rate_per_s > 0}
        for name in [name for name in self._tenants if name not in limited]:
            # Keeps the levels: if the tenant gets a limit again, its earlier usage still counts.
            removed = self._tenants.pop(name)
            self._restored[name] = BucketLevels(removed.limit.tokens, removed.excess.tokens)
        for name, tenant in limited.items():
            if buckets := self._tenants.get(name):
                buckets.refill(now)
                buckets.limit.change_limit(tenant.rate_per_s, tenant.burst)
                buckets.excess.change_limit(tenant.rate_per_s * self._excess, self._slack)
                continue
            limit = TokenBucket(tenant.rate_per_s, tenant.burst, self._limit_level)
            excess = TokenBucket(tenant.rate_per_s * self._excess, self._slack, self._excess_level)
            self._tenants[name] = TenantBuckets(limit, excess, now)
            self._apply_restored(name, self._tenants[name])

    # start of a primary's term

    def begin_term(self, now: float, node_count: int, window_s: float) -> None:
        """Begins a primary's term.

        `node_count` is the number of edge nodes that the previous primary counted. `window_s` is the time in
        seconds that the recent usage in a node's report covers if it is complete.
        """
        self._term_started_at, self._expected_nodes, self._window_s = now, node_count, window_s

    def restore(self, levels: dict[str, BucketLevels], age_s: float = inf) -> None:
        """Restores the levels that the previous primary shared last, `age_s` seconds ago.

        If the levels are at most `LEVELS_VALID_S` old, the tokens that the rate has added since then are
        credited, since nodes report what they have used in that time. No bucket starts with more tokens than
        it would without the levels.
        """
        # Keeps the levels of tenants that are still unknown: a new primary commits the configuration later.
        self._restored, self._restored_age_s = dict(levels), age_s
        for name, buckets in self._tenants.items():
            self._apply_restored(name, buckets)

    def _apply_restored(self, name: str, buckets: TenantBuckets) -> None:
        """Lowers a tenant's buckets to their restored levels, if there are any, and discards these levels."""
        levels = self._restored.pop(name, None)
        if levels is None:
            return
        is_recent = self._restored_age_s <= LEVELS_VALID_S
        added_since = buckets.limit.rate * self._restored_age_s if is_recent else 0.0
        buckets.set_initial_tokens(min(buckets.limit.tokens, levels.limit + added_since))
        buckets.excess.tokens = min(buckets.excess.tokens, levels.excess)

    def levels(self) -> dict[str, BucketLevels]:
        """Returns the levels of all buckets by tenant, to be shared with the other control nodes."""
        return {
            name: BucketLevels(buckets.limit.tokens, buckets.excess.tokens)
            for name, buckets in self._tenants.items()
        }

    def apply_prior_usage(self, now: float, report: UsageReport) -> None:
        """Accounts for a node's usage before this term, which its first report with recent usage contains."""
        if report.recent_usage_span_s is None or report.node in self._nodes_with_prior_usage:
            return
        self._nodes_with_prior_usage.add(report.node)
        if report.recent_usage_span_s < self._window_s:
            # The node's process started within the window, and the usage of its previous process is unknown.
            # The reports therefore never become complete, so that initial tokens are not raised
            # (`_correct_initial_tokens`).
            self._expected_nodes = 0
        for buckets in self._tenants.values():
            # `reserve` sets tokens aside again for the nodes that are still missing.
            buckets.release(MISSING_NODES_KEY)
        for name, demand in report.tenants.items():
            tenant_buckets = self._tenants.get(name)
            if tenant_buckets is not None:
                tenant_buckets.refill(now)
                tenant_buckets.prior_usage.add(demand.recent_usage, now - self._term_started_at)
                # The recent usage includes the isolated usage, which `charge` must not charge again.
                tenant_buckets.isolated_usage[report.node] = demand.isolated_usage
        self._correct_initial_tokens()

    def _correct_initial_tokens(self) -> None:
        """Lowers initial tokens by the usage reported so far; raises them once all nodes have reported."""
        is_complete = 0 < self._expected_nodes <= len(self._nodes_with_prior_usage)
        for buckets in self._tenants.values():
            tokens = buckets.max_initial_tokens()
            if is_complete or tokens < buckets.initial_tokens:
                buckets.set_initial_tokens(tokens)
        if is_complete:
            self._expected_nodes = 0

    # reserves for nodes that do not report

    def reserve(self, now: float, nodes: EdgeNodes) -> None:
        """Sets aside, for nodes that do not report, the tokens of each tenant that they may be using."""
        unresponsive = nodes.unresponsive(now)
        missing_fraction = nodes.missing_fraction(now)
        for buckets in self._tenants.values() if unresponsive or missing_fraction else ():
            buckets.refill(now)
            for node, last_contact in unresponsive.items():
                if share := buckets.quota_shares.get(node, 0.0):
                    burst = buckets.local_bursts.get(node, 0.0)
                    buckets.reserve(node, last_contact, share * buckets.limit.rate, burst, now)
            if missing_fraction:
                share = ISOLATED_FRACTION * missing_fraction
                burst = share * max(0.0, buckets.limit.tokens)
                buckets.reserve(
                    MISSING_NODES_KEY, self._term_started_at, share * buckets.limit.rate, burst, now
                )

    def release(self, node: str) -> None:
        """Returns the reserves of a node to the buckets, once it reports."""
        for buckets in self._tenants.values():
            if node in buckets.reserves:
                buckets.release(node)

    # grants

    def grant(
        self, now: float, node: str, tenant: str, demand: QuotaDemand, known_fraction: float = 1.0
    ) -> QuotaGrant:
        """Grants a node the tokens that it requests, and some in advance while the bucket is well filled.

        If the buckets hold too few tokens, none are granted, and `QuotaGrant.wait_s` is the time until they
        hold enough. `known_fraction` is the fraction of all nodes whose demand is known.
        """
        buckets = self._tenants.get(tenant)
        if buckets is None:  # the tenant has no limit any more; the node may have an older configuration
            return QuotaGrant(demand.wanted)
        buckets.refill(now)
        buckets.charge(node, demand)
        buckets.add(demand.returned)
        share = buckets.quota_share(node, demand.demand_rate, now, known_fraction)
        tokens, wait_s = 0.0, 0.0
        if buckets.take(demand.wanted):
            tokens = demand.wanted + buckets.take_in_advance(demand.demand_rate)
        else:
            wait_s = buckets.seconds_until(demand.wanted)
        return QuotaGrant(tokens, wait_s, share * buckets.limit.rate, buckets.local_burst(node, share))


def handle_usage_report(
    buckets: QuotaBuckets, nodes: EdgeNodes, now: float, report: UsageReport, leadership_epoch: int = -1
) -> UsageResponse:
    """Applies one node's usage report and returns the response to it.

    `leadership_epoch` is the epoch in which this primary began to lead.
    """
    nodes.report(now, report)
    buckets.apply_prior_usage(now, report)
    buckets.release(report.node)
    known_fraction = nodes.known_fraction(now)
    grants = {
        tenant: buckets.grant(now, report.node, tenant, demand, known_fraction)
        for tenant, demand in report.tenants.items()
    }
    # `count` drops the load of lost nodes, so it is called before `load_elsewhere`.
    node_count = nodes.count(now)
    return UsageResponse(grants, nodes.load_elsewhere(report.node), node_count, leadership_epoch)
