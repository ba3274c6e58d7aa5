"""The tokens of each tenant, from which edge nodes lease; a state machine without I/O.

All that edge nodes may use comes out of the one place, so their sum keeps to the limit whoever is cut off. A
tenant has two buckets: one of its limit, and a small one of what the rule allows beyond it. What fits the
limit is never refused for what was served beyond it, as that came out of the other bucket.
"""

from __future__ import annotations

from math import inf

import msgspec

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaGrant, QuotaNeed, UsageAnswer, UsageReport
from wheatroute.control.earlier_use import EarlierUse
from wheatroute.control.edge_nodes import NODE_LOST, EdgeNodes

AHEAD_S = 0.25  # seconds of a node's own need that it is granted ahead, while the bucket is well filled
FILLED = 0.5  # of a bucket: below, nothing is granted ahead
SLACK_USED = 0.35  # of the rule's slack, the size of the bucket beyond the limit
EXCESS_USED = 0.25  # of the part of the rate that the rule allows beyond the limit
ALONE_SHARE = 0.9  # of the limit that nodes may use together while they have no word from the primary
LEVELS_VALID_S = 2.0  # age of the levels of the primary before up to which a bucket goes on from them
LONGEST_DEBT_S = 2.0  # seconds of its rate that a bucket may owe: a lower limit is no reason to refuse all
START_FILLED = 0.4  # of the limit's bucket, where nothing is known of what was granted just before


class BucketLevels(msgspec.Struct, frozen=True):
    """Tokens that a tenant's buckets hold."""

    limit: float
    extra: float


class _Bucket:
    """Tokens that come at a rate, up to a size."""

    __slots__ = ("rate", "size", "tokens")

    def __init__(self, rate: float, size: float, filled: float) -> None:
        self.rate, self.size, self.tokens = rate, size, size * filled

    def put(self, tokens: float) -> float:
        """Puts tokens in; returns those that it has no room for."""
        room = max(0.0, self.size - self.tokens)
        self.tokens += min(room, tokens)
        return max(0.0, tokens - room)

    def resize(self, rate: float, size: float) -> None:
        """Another limit; what it holds stays, as far as there is room."""
        self.rate, self.size = rate, size
        self.tokens = min(size, self.tokens)


class _TenantTokens:
    """Both buckets of one tenant, and which nodes need them."""

    __slots__ = ("limit", "extra", "filled_at", "needs", "told", "alone", "earlier", "begun_with")

    def __init__(self, limit: _Bucket, extra: _Bucket, now: float) -> None:
        self.limit, self.extra, self.filled_at = limit, extra, now
        self.needs: dict[str, tuple[float, float]] = {}  # by node: when, tokens a second asked for
        self.told: dict[str, float] = {}  # by node: its part of the bucket as it was told last
        self.alone: dict[str, float] = {}  # by node: what its process has used alone, as it told last
        self.earlier = EarlierUse()
        self.begun_with = limit.tokens  # what the limit's bucket is taken to have held at the beginning

    def part(self, node: str, share: float) -> float:
        """A node's part of what the limit's bucket holds; the parts that nodes know sum to no more."""
        others = sum(tokens for name, tokens in self.told.items() if name != node and name in self.needs)
        self.told[node] = max(0.0, min(share * self.limit.tokens, ALONE_SHARE * self.limit.tokens - others))
        return self.told[node]

    def share(self, node: str, rate: float, now: float) -> float:
        """A node's share of what nodes may use without a primary, by its need among all nodes'."""
        self.needs[node] = (now, rate)
        self.needs = {name: need for name, need in self.needs.items() if now - need[0] <= NODE_LOST}
        total = sum(need for _, need in self.needs.values())
        return ALONE_SHARE * rate / total if total > 0 else 0.0

    def begin_with(self, tokens: float) -> None:
        """Another view of what the limit's bucket held at the beginning."""
        self.limit.tokens = min(self.limit.size, self.limit.tokens + tokens - self.begun_with)
        self.begun_with = tokens

    def most_left(self) -> float:
        """What it can have held then, by what nodes have told of earlier use."""
        return max(self.lowest, self.earlier.most_left(self.limit.rate, self.limit.size))

    @property
    def lowest(self) -> float:
        """What the limit's bucket may owe at most, below none."""
        return -LONGEST_DEBT_S * self.limit.rate

    def charge(self, node: str, need: QuotaNeed) -> None:
        """Takes out what a node has used without a grant, each token once; the bucket may owe them then."""
        before = self.alone.get(node, need.alone_told)
        if need.alone < before:  # another process of that name
            before = need.alone_told
        self.alone[node] = need.alone
        self.limit.tokens = max(
            min(self.limit.tokens, self.lowest), self.limit.tokens - (need.alone - before)
        )

    def fill(self, now: float) -> None:
        """Time has passed."""
        seconds = now - self.filled_at
        self.filled_at = now
        self.put(self.limit.rate * seconds)
        self.extra.put(self.extra.rate * seconds)

    def put(self, tokens: float) -> None:
        """Tokens of the limit, which fill its bucket first; what that has no room for fills the other one.

        Where the burst is smaller than a request, the tenant's rate is served out of the other bucket.
        """
        self.extra.put(self.limit.put(tokens))

    def take(self, wanted: float) -> bool:
        """Takes what one request costs; false if neither bucket holds it.

        A request that is larger than the limit's whole bucket may be paid from both.
        """
        if wanted <= self.limit.tokens:
            self.limit.tokens -= wanted
            return True
        if wanted <= self.extra.tokens:
            self.extra.tokens -= wanted
            return True
        if wanted <= self.limit.size or wanted > self.limit.tokens + self.extra.tokens:
            return False
        self.limit.tokens -= wanted - self.extra.tokens
        self.extra.tokens = 0.0
        return True

    def wait(self, wanted: float) -> float:
        """Seconds until the limit's bucket holds what was wanted."""
        missing = wanted - self.limit.tokens
        if wanted > self.limit.size:
            missing -= self.extra.tokens
        return missing / self.limit.rate

    def ahead(self, rate: float) -> float:
        """Takes some more for a node that needs so many a second, while there is plenty."""
        if self.limit.tokens <= FILLED * self.limit.size:
            return 0.0
        given = min(self.limit.tokens, AHEAD_S * rate)
        self.limit.tokens -= given
        return given


class QuotaBuckets:
    """The buckets of all tenants with a limit.

    `slack`, in tokens, and `excess`, a part of the limit, are what the rule allows beyond it.
    """

    def __init__(self, slack: float, excess: float, first: bool) -> None:
        self._filled, self._extra_filled = (1.0, 1.0) if first else (START_FILLED, 0.0)
        self._tenants: dict[str, _TenantTokens] = {}
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

    def _lower(self, name: str, tenant: _TenantTokens) -> None:
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

    def account(self, now: float, report: UsageReport) -> None:
        """Takes in what a node used before this primary began, the first time that it tells."""
        if report.recent_s is None or report.node in self._accounted:
            return
        self._accounted.add(report.node)
        if report.recent_s < self._window_s:
            self._expected = 0  # what a process before that one has used is not known any more
        for name, need in report.tenants.items():
            if tenant := self._tenants.get(name):
                tenant.fill(now)
                tenant.earlier.add(need.recent, now - self._began)
                tenant.alone[report.node] = need.alone  # part of its account
        whole = 0 < self._expected <= len(self._accounted)
        for tenant in self._tenants.values():
            left = tenant.most_left()
            if whole or left < tenant.begun_with:
                tenant.begin_with(left)
        if whole:
            self._expected = 0

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
            limit = _Bucket(told.rate_per_s, told.burst, self._filled)
            extra = _Bucket(told.rate_per_s * self._excess, self._slack, self._extra_filled)
            self._tenants[name] = _TenantTokens(limit, extra, now)
            self._lower(name, self._tenants[name])

    def grant(self, now: float, node: str, tenant: str, need: QuotaNeed) -> QuotaGrant:
        """Tokens for one node: what it wants, and some ahead while there is plenty."""
        tokens = self._tenants.get(tenant)
        if tokens is None:
            return QuotaGrant(need.wanted)
        tokens.fill(now)
        tokens.charge(node, need)
        tokens.put(need.returned)
        share = tokens.share(node, need.rate, now)
        granted, wait_s = 0.0, 0.0
        if tokens.take(need.wanted):
            granted = need.wanted + tokens.ahead(need.rate)
        else:
            wait_s = tokens.wait(need.wanted)
        return QuotaGrant(granted, wait_s, share * tokens.limit.rate, tokens.part(node, share))


def answer(
    buckets: QuotaBuckets, nodes: EdgeNodes, now: float, report: UsageReport, lead: int = -1
) -> UsageAnswer:
    """The answer to one node's report, by the primary that began to lead in that epoch."""
    nodes.report(now, report)
    buckets.account(now, report)
    grants = {
        tenant: buckets.grant(now, report.node, tenant, need) for tenant, need in report.tenants.items()
    }
    edges = nodes.count(now)
    return UsageAnswer(grants, nodes.elsewhere(report.node), edges, lead)
