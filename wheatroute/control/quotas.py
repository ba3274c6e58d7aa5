"""The tokens of each tenant, from which edge nodes lease; a state machine without I/O.

All that edge nodes may use comes out of the one place, so their sum keeps to the limit whoever is cut off: a
node tells afterwards what it used without a grant, and while it is silent its parts are kept for it.
"""

from __future__ import annotations

from math import inf

import msgspec

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant, UsageReport, UsageResponse
from wheatroute.control.edge_nodes import EdgeNodes
from wheatroute.control.tenant_tokens import ALONE_SHARE, Bucket, TenantTokens

SLACK_USED = 0.35  # of the rule's slack, the size of the bucket beyond the limit
EXCESS_USED = 0.25  # of the part of the rate that the rule allows beyond the limit
MISSING = "missing nodes"  # for which parts are kept together: they haven't told this primary anything
LEVELS_VALID_S = 2.0  # age of the levels of the primary before up to which a bucket goes on from them
START_FILLED = 0.4  # of the limit's bucket, where nothing is known of what was granted just before


class BucketLevels(msgspec.Struct, frozen=True):
    """Tokens that a tenant's buckets hold."""

    limit: float
    extra: float


class QuotaBuckets:
    """The buckets of all tenants with a limit.

    `slack`, in tokens, and `excess`, a part of the limit, are what the rule allows beyond it.
    """

    def __init__(self, slack: float, excess: float, first: bool) -> None:
        self._filled, self._extra_filled = (1.0, 1.0) if first else (START_FILLED, 0.0)
        self._tenants: dict[str, TenantTokens] = {}
        self._told: dict[str, BucketLevels] = {}  # of tenants that haven't been configured here yet
        self._told_age = inf
        self._began, self._expected = -inf, 0
        self._accounted: set[str] = set()  # nodes that have told what they used before
        self._window_s = 0.0  # that an account goes back if nothing is missing
        self.allow(slack, excess)

    def allow(self, slack: float, excess: float) -> None:
        """Other figures of the rule; what the buckets hold stays, as far as there is room."""
        self._slack = slack * SLACK_USED
        self._excess = excess * EXCESS_USED
        for tenant in self._tenants.values():
            tenant.extra.resize(tenant.limit.rate * self._excess, self._slack)

    def levels(self) -> dict[str, BucketLevels]:
        """What the buckets hold, for the next primary."""
        return {
            name: BucketLevels(tenant.limit.tokens, tenant.extra.tokens)
            for name, tenant in self._tenants.items()
        }

    def restore(self, levels: dict[str, BucketLevels], age: float = inf) -> None:
        """Goes on from the levels that the primary before told last, so many seconds ago.

        What nodes have used since then they tell, so the rate of that time counts as well; where levels are
        too old for that, it doesn't. A bucket never begins with more than it would without them.
        """
        # kept for tenants that aren't known yet: a new primary commits the configuration after it has begun
        self._told, self._told_age = dict(levels), age
        for name, tenant in self._tenants.items():
            self._lower(name, tenant)

    def _lower(self, name: str, tenant: TenantTokens) -> None:
        """Has a bucket begin with what the primary before told of it, if it did; only once."""
        held = self._told.pop(name, None)
        if held is None:
            return
        since = tenant.limit.rate * self._told_age if self._told_age <= LEVELS_VALID_S else 0.0
        tenant.begin_with(min(tenant.limit.tokens, held.limit + since))
        tenant.extra.tokens = min(tenant.extra.tokens, held.extra)

    def begin(self, now: float, nodes: int, window_s: float) -> None:
        """A new primary begins, after one that counted so many edge nodes; accounts go back a window."""
        self._began, self._expected, self._window_s = now, nodes, window_s

    def withhold(self, now: float, nodes: EdgeNodes) -> None:
        """Keeps, for nodes that are silent, the parts of each tenant that they may be using."""
        silent = nodes.silent(now)
        missing = nodes.missing(now)
        for tenant in self._tenants.values() if silent or missing else ():
            tenant.fill(now)
            for node, heard in silent.items():
                if share := tenant.told_shares.get(node, 0.0):
                    rate = share * tenant.limit.rate
                    tenant.withhold(node, heard, rate, tenant.told.get(node, 0.0), now)
            if missing:
                part = ALONE_SHARE * missing
                tokens = part * max(0.0, tenant.limit.tokens)
                tenant.withhold(MISSING, self._began, part * tenant.limit.rate, tokens, now)

    def account(self, now: float, report: UsageReport) -> None:
        """Takes in what a node used before this primary began, the first time that it tells."""
        if report.recent_usage_span_s is None or report.node in self._accounted:
            return
        self._accounted.add(report.node)
        if report.recent_usage_span_s < self._window_s:
            self._expected = 0  # what a process before that one has used is not known any more
        for tenant in self._tenants.values():
            tenant.release(MISSING)  # kept anew, for those that are missing still
        for name, need in report.tenants.items():
            told = self._tenants.get(name)
            if told is not None:
                told.fill(now)
                told.prior_usage.add(need.recent_usage, now - self._began)
                told.alone[report.node] = need.isolated_usage  # part of its account
        whole = 0 < self._expected <= len(self._accounted)
        for tenant in self._tenants.values():
            left = tenant.most_left()
            if whole or left < tenant.begun_with:
                tenant.begin_with(left)
        if whole:
            self._expected = 0

    def heard(self, node: str) -> None:
        """A node tells what it has used itself."""
        for tenant in self._tenants.values():
            if node in tenant.withheld:
                tenant.release(node)

    def configure(self, tenants: list[Tenant], now: float) -> None:
        """Other limits; what a bucket holds stays, as far as its new size allows."""
        limited = {tenant.name: tenant for tenant in tenants if tenant.rate_per_s > 0}
        for name in [name for name in self._tenants if name not in limited]:
            # a tenant that gets a limit again soon has used what it had used
            before = self._tenants.pop(name)
            self._told[name] = BucketLevels(before.limit.tokens, before.extra.tokens)
        for name, told in limited.items():
            if tenant := self._tenants.get(name):
                tenant.fill(now)
                tenant.limit.resize(told.rate_per_s, told.burst)
                tenant.extra.resize(told.rate_per_s * self._excess, self._slack)
                continue
            limit = Bucket(told.rate_per_s, told.burst, self._filled)
            extra = Bucket(told.rate_per_s * self._excess, self._slack, self._extra_filled)
            self._tenants[name] = TenantTokens(limit, extra, now)
            self._lower(name, self._tenants[name])

    def grant(self, now: float, node: str, tenant: str, need: QuotaDemand, known: float = 1.0) -> QuotaGrant:
        """Tokens for one node: what it wants, and some ahead while there is plenty.

        `known` is the part of all nodes that have told their needs.
        """
        tokens = self._tenants.get(tenant)
        if tokens is None:
            return QuotaGrant(need.wanted)
        tokens.fill(now)
        tokens.charge(node, need)
        tokens.put(need.returned)
        share = tokens.share(node, need.demand_rate, now, known)
        granted, wait_s = 0.0, 0.0
        if tokens.take(need.wanted):
            granted = need.wanted + tokens.ahead(need.demand_rate)
        else:
            wait_s = tokens.wait(need.wanted)
        return QuotaGrant(granted, wait_s, share * tokens.limit.rate, tokens.part(node, share))


def answer(
    buckets: QuotaBuckets, nodes: EdgeNodes, now: float, report: UsageReport, lead: int = -1
) -> UsageResponse:
    """The answer to one node's report, by the primary that began to lead in that epoch."""
    nodes.report(now, report)
    buckets.account(now, report)
    buckets.heard(report.node)
    known = nodes.known(now)
    grants = {
        tenant: buckets.grant(now, report.node, tenant, need, known)
        for tenant, need in report.tenants.items()
    }
    edges = nodes.count(now)
    return UsageResponse(grants, nodes.elsewhere(report.node), edges, lead)
