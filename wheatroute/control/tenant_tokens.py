"""The tokens of one tenant at the primary; a state machine without I/O.

A tenant has two buckets: one of its limit, and a small one of what the rule allows beyond it. What fits the
limit is never refused for what was served beyond it, as that came out of the other bucket. The limit's bucket
may owe tokens: nodes that had no word from a primary tell later what they used.
"""

from __future__ import annotations

from wheatroute.cluster.messages import QuotaDemand
from wheatroute.control.edge_nodes import NODE_LOST
from wheatroute.control.prior_usage import PriorUsage

AHEAD_S = 0.25  # seconds of a node's own need that it is granted ahead, while the bucket is well filled
FILLED = 0.5  # of a bucket: below, nothing is granted ahead
ALONE_SHARE = 0.9  # of the limit that nodes may use together while they have no word from the primary
SUM_INTERVAL = 0.2  # seconds after which sums over nodes are taken anew
LONGEST_DEBT_S = 2.0  # seconds of its rate that a bucket may owe: a lower limit is no reason to refuse all


class Bucket:
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


class Withheld:
    """Tokens that are kept for a node that is silent, until when."""

    __slots__ = ("tokens", "until")

    def __init__(self, tokens: float, until: float) -> None:
        self.tokens, self.until = tokens, until


class TenantTokens:
    """Both buckets of one tenant, and which nodes need them."""

    __slots__ = (
        "limit",
        "extra",
        "filled_at",
        "needs",
        "told",
        "told_shares",
        "alone",
        "withheld",
        "prior_usage",
        "begun_with",
        "_rates",
        "_shares",
        "_parts",
        "_summed_at",
    )

    def __init__(self, limit: Bucket, extra: Bucket, now: float) -> None:
        self.limit, self.extra, self.filled_at = limit, extra, now
        self.needs: dict[str, tuple[float, float]] = {}  # by node: when, tokens a second asked for
        self.told: dict[str, float] = {}  # by node: its part of the bucket as it was told last
        self.told_shares: dict[str, float] = {}  # by node: its part of the rate as it was told last
        self.alone: dict[str, float] = {}  # by node: what its process has used alone, as it told last
        self.withheld: dict[str, Withheld] = {}  # by node that is silent
        self.prior_usage = PriorUsage()
        self._rates = self._shares = self._parts = 0.0  # sums over the nodes of `needs`
        self._summed_at = now
        self.begun_with = limit.tokens  # what the limit's bucket is taken to have held at the beginning

    def part(self, node: str, share: float) -> float:
        """A node's part of what the limit's bucket holds; the parts that nodes know sum to no more."""
        before = self.told.get(node, 0.0)
        others = self._parts - before
        part = max(0.0, min(share * self.limit.tokens, ALONE_SHARE * self.limit.tokens - others))
        self.told[node] = part
        self._parts += part - before
        return part

    def share(self, node: str, rate: float, now: float, known: float) -> float:
        """A node's share of what nodes may use without a primary, by its need among all nodes'.

        `known` is the part of the nodes whose needs are known; others may have shares of an earlier primary.
        The shares that were told sum to no more than there is, however needs have changed since.
        """
        self._need(node, rate, now)
        before = self.told_shares.get(node, 0.0)
        others = self._shares - before
        share = 0.0
        if self._rates > 0:
            share = max(0.0, min(known * ALONE_SHARE * rate / self._rates, ALONE_SHARE - others))
        self.told_shares[node] = share
        self._shares += share - before
        return share

    def _need(self, node: str, rate: float, now: float) -> None:
        """A node tells its need; the sums over all nodes of late go along."""
        if now - self._summed_at >= SUM_INTERVAL:
            self._sum(now)
        if node in self.needs:
            self._rates -= self.needs[node][1]
        else:
            self._shares += self.told_shares.get(node, 0.0)
            self._parts += self.told.get(node, 0.0)
        self.needs[node] = (now, rate)
        self._rates += rate

    def _sum(self, now: float) -> None:
        """Forgets the needs of nodes that are lost, and takes all sums anew."""
        self._summed_at = now
        self.needs = {name: need for name, need in self.needs.items() if now - need[0] <= NODE_LOST}
        self._rates = sum(rate for _, rate in self.needs.values())
        self._shares = sum(self.told_shares.get(name, 0.0) for name in self.needs)
        self._parts = sum(self.told.get(name, 0.0) for name in self.needs)

    def withhold(self, node: str, since: float, rate: float, tokens: float, now: float) -> None:
        """Keeps for a node that is silent since then what it may be using: its parts as they were told."""
        held = self.withheld.get(node)
        if held is None:
            held = self.withheld[node] = Withheld(0.0, since)
            self._withhold(held, tokens)
        self._withhold(held, rate * (now - held.until))
        held.until = now

    def _withhold(self, held: Withheld, tokens: float) -> None:
        taken = max(0.0, min(tokens, self.limit.tokens - self.lowest))
        self.limit.tokens -= taken
        held.tokens += taken

    def release(self, node: str) -> None:
        """The node tells by itself what it has used."""
        if held := self.withheld.pop(node, None):
            self.put(held.tokens)

    def begin_with(self, tokens: float) -> None:
        """Another view of what the limit's bucket held at the beginning."""
        self.limit.tokens = min(self.limit.size, self.limit.tokens + tokens - self.begun_with)
        self.begun_with = tokens

    def most_left(self) -> float:
        """What it can have held then, by what nodes have told of prior_usage use."""
        return max(self.lowest, self.prior_usage.max_level(self.limit.rate, self.limit.size))

    @property
    def lowest(self) -> float:
        """What the limit's bucket may owe at most, below none."""
        return -LONGEST_DEBT_S * self.limit.rate

    def charge(self, node: str, need: QuotaDemand) -> None:
        """Takes out what a node has used without a grant, each token once; the bucket may owe them then."""
        before = self.alone.get(node, need.isolated_usage_acknowledged)
        if need.isolated_usage < before:  # another process of that name
            before = need.isolated_usage_acknowledged
        self.alone[node] = need.isolated_usage
        self.limit.tokens = max(self.lowest, self.limit.tokens - (need.isolated_usage - before))

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
