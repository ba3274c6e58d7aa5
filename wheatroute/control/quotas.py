"""The token buckets of all tenants, from which edge nodes lease. A state machine without I/O.

All that edge nodes use comes out of the buckets of one primary, so that their sum stays within the limit
whoever is isolated: a node reports afterwards what it used without a grant, and while it does not report, its
shares are reserved for it.

A new primary restores the levels of the one before, and lowers them by the recent usage that nodes report to
it. Times are in seconds of the steady clock, rates in tokens a second.
"""

from __future__ import annotations

from math import inf

import msgspec

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant, UsageReport, UsageResponse
from wheatroute.control.edge_nodes import EdgeNodes
from wheatroute.control.tenant_buckets import ISOLATED_FRACTION, TenantBuckets, TokenBucket

SLACK_FRACTION = 0.35  # of the quota rule's slack, which is the capacity of the excess bucket
EXCESS_FRACTION = 0.25  # of the excess rate that the quota rule allows beyond the limit
# In place of a node's name, the key of the common reserve for nodes that have not reported to this primary:
# their names are unknown.
MISSING_NODES = "missing nodes"
LEVELS_VALID_S = 2.0  # age of the levels of the primary before, up to which the rate since then is added
INITIAL_LEVEL = 0.4  # of the limit's bucket, where nothing is known of recent grants


class BucketLevels(msgspec.Struct, frozen=True):
    """Tokens in the buckets of a tenant."""

    limit: float
    excess: float = msgspec.field(name="extra")


class QuotaBuckets:
    """The buckets of all tenants with a limit.

    `slack` (tokens) and `excess` (a fraction of the limit) are what the quota rule allows beyond the limit.
    `is_first` tells a primary before which there was none: its buckets are full at first.
    """

    def __init__(self, slack: float, excess: float, is_first: bool) -> None:
        self._limit_level, self._excess_level = (1.0, 1.0) if is_first else (INITIAL_LEVEL, 0.0)
        self._tenants: dict[str, TenantBuckets] = {}
        self._restored: dict[str, BucketLevels] = {}  # of tenants that are not configured here yet
        self._restored_age_s = inf
        self._term_began, self._expected_nodes = -inf, 0
        self._nodes_accounted: set[str] = set()  # that have reported their usage before this primary
        self._window_s = 0.0  # that the recent usage of a node covers if nothing is missing
        self.change_rule(slack, excess)

    def change_rule(self, slack: float, excess: float) -> None:
        """Changes the figures of the quota rule; tokens are kept as far as they fit."""
        self._slack = slack * SLACK_FRACTION
        self._excess = excess * EXCESS_FRACTION
        for buckets in self._tenants.values():
            buckets.excess.change_limit(buckets.limit.rate * self._excess, self._slack)

    def configure(self, tenants: list[Tenant], now: float) -> None:
        """Applies the tenants' limits; tokens are kept as far as they fit."""
        limited = {tenant.name: tenant for tenant in tenants if tenant.rate_per_s > 0}
        for name in [name for name in self._tenants if name not in limited]:
            # kept for a tenant that gets a limit again: what it used before still counts
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

    # the beginning of a primary's term

    def begin_term(self, now: float, node_count: int, window_s: float) -> None:
        """Begins a primary's term.

        `node_count` is how many edge nodes the primary before counted; `window_s` is how far back the recent
        usage goes that nodes report to this one, in seconds.
        """
        self._term_began, self._expected_nodes, self._window_s = now, node_count, window_s

    def restore(self, levels: dict[str, BucketLevels], age_s: float = inf) -> None:
        """Starts from the levels that the primary before shared last, `age_s` seconds ago.

        Nodes report what they have used since then, so the rate of that time is added; not where the levels
        are too old. No bucket begins with more than it would without the levels.
        """
        # kept for tenants that are not known yet: a new primary commits the configuration later
        self._restored, self._restored_age_s = dict(levels), age_s
        for name, buckets in self._tenants.items():
            self._apply_restored(name, buckets)

    def _apply_restored(self, name: str, buckets: TenantBuckets) -> None:
        """Lowers buckets to their restored levels, if there are any; once."""
        levels = self._restored.pop(name, None)
        if levels is None:
            return
        is_recent = self._restored_age_s <= LEVELS_VALID_S
        added_since = buckets.limit.rate * self._restored_age_s if is_recent else 0.0
        buckets.set_initial_tokens(min(buckets.limit.tokens, levels.limit + added_since))
        buckets.excess.tokens = min(buckets.excess.tokens, levels.excess)

    def levels(self) -> dict[str, BucketLevels]:
        """The tokens in all buckets, for the next primary."""
        return {
            name: BucketLevels(buckets.limit.tokens, buckets.excess.tokens)
            for name, buckets in self._tenants.items()
        }

    def account(self, now: float, report: UsageReport) -> None:
        """Takes in what a node used before this primary's term, from its first report with recent usage."""
        if report.recent_usage_span_s is None or report.node in self._nodes_accounted:
            return
        self._nodes_accounted.add(report.node)
        if report.recent_usage_span_s < self._window_s:
            # The process started within the window, and what the one before it used is unknown: the reports
            # never become complete, so initial tokens are not raised (`_correct_initial_tokens`).
            self._expected_nodes = 0
        for buckets in self._tenants.values():
            buckets.release(MISSING_NODES)  # reserved anew for the nodes that are still missing
        for name, demand in report.tenants.items():
            tenant_buckets = self._tenants.get(name)
            if tenant_buckets is not None:
                tenant_buckets.refill(now)
                tenant_buckets.prior_usage.add(demand.recent_usage, now - self._term_began)
                tenant_buckets.isolated_usage[report.node] = demand.isolated_usage  # part of its recent usage
        self._correct_initial_tokens()

    def _correct_initial_tokens(self) -> None:
        """Lowers initial tokens by the usage reported so far; raises them once all nodes have reported."""
        is_complete = 0 < self._expected_nodes <= len(self._nodes_accounted)
        for buckets in self._tenants.values():
            tokens = buckets.max_initial_tokens()
            if is_complete or tokens < buckets.initial_tokens:
                buckets.set_initial_tokens(tokens)
        if is_complete:
            self._expected_nodes = 0

    # nodes that do not report

    def reserve(self, now: float, nodes: EdgeNodes) -> None:
        """Reserves, for nodes that do not report, the shares of each tenant that they may be using."""
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
                buckets.reserve(MISSING_NODES, self._term_began, share * buckets.limit.rate, burst, now)

    def release(self, node: str) -> None:
        """Returns the reserves of a node that reports."""
        for buckets in self._tenants.values():
            if node in buckets.reserves:
                buckets.release(node)

    # grants

    def grant(
        self, now: float, node: str, tenant: str, demand: QuotaDemand, known_fraction: float = 1.0
    ) -> QuotaGrant:
        """Grants a node the tokens that it wants, and some in advance while the bucket is well filled.

        `known_fraction` is the fraction of all nodes whose demand is known.
        """
        buckets = self._tenants.get(tenant)
        if buckets is None:  # the tenant has no limit here: the node may know an older configuration
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
    """The response to one node's report, of the primary that began to lead in that epoch."""
    nodes.report(now, report)
    buckets.account(now, report)
    buckets.release(report.node)
    known_fraction = nodes.known_fraction(now)
    grants = {
        tenant: buckets.grant(now, report.node, tenant, demand, known_fraction)
        for tenant, demand in report.tenants.items()
    }
    node_count = nodes.count(now)  # first, as it forgets the load of lost nodes
    return UsageResponse(grants, nodes.load_elsewhere(report.node), node_count, leadership_epoch)
