"""The token buckets of one tenant at the primary. A state machine without I/O.

A tenant has two buckets: one for its rate limit, and a small one for the excess that is allowed beyond the
limit. A request within the limit is never rejected because of requests served beyond the limit, since the
excess bucket paid for those. The limit's bucket can go into debt: an isolated node reports its usage only
when it is connected again.

Invariants: the quota shares granted to nodes sum to at most `ISOLATED_FRACTION`, and their local bursts to at
most that fraction of the tokens that the limit's bucket held when they were granted. Each token leaves a
bucket once: by a grant, by a reserve, or by a charge for isolated usage.

Times are in seconds of the monotonic clock, rates in tokens per second.
"""

from __future__ import annotations

from typing import NamedTuple

from wheatroute.cluster.messages import QuotaDemand
from wheatroute.control.edge_nodes import NODE_LOST_S
from wheatroute.control.prior_usage import PriorUsage

# While the bucket is well filled, a node is also granted the tokens that it demands in this many seconds.
ADVANCE_S = 0.25
# Fraction of a bucket's capacity, below which nothing is granted in advance.
ADVANCE_MIN_LEVEL = 0.5
# Fraction of the limit that all nodes together may use while they are isolated.
ISOLATED_FRACTION = 0.9
# Interval at which the totals over all nodes are recomputed.
TOTALS_INTERVAL_S = 0.2
# Maximum debt of a bucket, in seconds of its rate. With a larger debt, all requests would be rejected for
# long after the limit was lowered.
MAX_DEBT_S = 2.0


class TokenBucket:
    """A token bucket: tokens are added at a rate, up to a capacity."""

    __slots__ = ("rate", "capacity", "tokens")

    def __init__(self, rate: float, capacity: float, level: float) -> None:
        """Creates a bucket whose initial tokens are the fraction `level` of its capacity."""
        self.rate, self.capacity, self.tokens = rate, capacity, capacity * level

    def add(self, tokens: float) -> float:
        """Adds tokens and returns the surplus that does not fit."""
        free = max(0.0, self.capacity - self.tokens)
        self.tokens += min(free, tokens)
        return max(0.0, tokens - free)

    def change_limit(self, rate: float, capacity: float) -> None:
        """Changes rate and capacity; tokens above the new capacity are dropped."""
        self.rate, self.capacity = rate, capacity
        self.tokens = min(capacity, self.tokens)


class Reserve:
    """Tokens set aside for a node that does not report, because it may be using that many.

    `updated_at` is the time up to which the tokens of the node's local rate are included.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self, tokens: float, updated_at: float) -> None:
        self.tokens, self.updated_at = tokens, updated_at


class Demand(NamedTuple):
    """A node's demand: the time of its report, and the rate in tokens per second."""

    reported_at: float
    rate: float


class TenantBuckets:
    """Both buckets of one tenant, and the shares of them that nodes were granted."""

    __slots__ = (
        "limit",
        "excess",
        "prior_usage",
        "isolated_usage",
        "quota_shares",
        "local_bursts",
        "reserves",
        "initial_tokens",
        "_refilled_at",
        "_demands",
        "_total_demand",
        "_total_share",
        "_total_local_burst",
        "_totals_at",
    )

    def __init__(self, limit: TokenBucket, excess: TokenBucket, now: float) -> None:
        self.limit, self.excess = limit, excess
        self.prior_usage = PriorUsage()
        # by node: the isolated usage that it reported last, and the share and local burst granted to it last
        self.isolated_usage: dict[str, float] = {}
        self.quota_shares: dict[str, float] = {}
        self.local_bursts: dict[str, float] = {}
        self.reserves: dict[str, Reserve] = {}
        # tokens that the limit's bucket is assumed to have held at the start of the term
        self.initial_tokens = limit.tokens
        self._refilled_at = now
        self._demands: dict[str, Demand] = {}
        # sums over the nodes in `_demands`
        self._total_demand = self._total_share = self._total_local_burst = 0.0
        self._totals_at = now

    # shares of nodes

    def quota_share(self, node: str, rate: float, now: float, known_fraction: float) -> float:
        """Grants a node the share of the limit that it may use while isolated, in proportion to its demand.

        `known_fraction` is the fraction of the nodes whose demand is known. Only this fraction of the limit
        is granted, since the other nodes may hold shares from an earlier primary. Granted shares never sum to
        more than `ISOLATED_FRACTION`, however demands change.
        """
        self._update_demand(node, rate, now)
        previous = self.quota_shares.get(node, 0.0)
        others = self._total_share - previous
        share = 0.0
        if self._total_demand > 0:
            by_demand = known_fraction * ISOLATED_FRACTION * rate / self._total_demand
            share = max(0.0, min(by_demand, ISOLATED_FRACTION - others))
        self.quota_shares[node] = share
        self._total_share += share - previous
        return share

    def local_burst(self, node: str, share: float) -> float:
        """Grants the tokens of the limit's bucket that a node with this share may use while isolated."""
        previous = self.local_bursts.get(node, 0.0)
        others = self._total_local_burst - previous
        tokens = self.limit.tokens
        burst = max(0.0, min(share * tokens, ISOLATED_FRACTION * tokens - others))
        self.local_bursts[node] = burst
        self._total_local_burst += burst - previous
        return burst

    def _update_demand(self, node: str, rate: float, now: float) -> None:
        """Sets a node's demand and updates the totals."""
        if now - self._totals_at >= TOTALS_INTERVAL_S:
            self._compute_totals(now)
        if node in self._demands:
            self._total_demand -= self._demands[node].rate
        else:
            self._total_share += self.quota_shares.get(node, 0.0)
            self._total_local_burst += self.local_bursts.get(node, 0.0)
        self._demands[node] = Demand(now, rate)
        self._total_demand += rate

    def _compute_totals(self, now: float) -> None:
        """Forgets the demand of lost nodes and recomputes the totals."""
        self._totals_at = now
        self._demands = {
            node: demand for node, demand in self._demands.items() if now - demand.reported_at <= NODE_LOST_S
        }
        self._total_demand = sum(demand.rate for demand in self._demands.values())
        self._total_share = sum(self.quota_shares.get(node, 0.0) for node in self._demands)
        self._total_local_burst = sum(self.local_bursts.get(node, 0.0) for node in self._demands)

    # nodes that are or were isolated

    def reserve(self, node: str, since: float, rate: float, burst: float, now: float) -> None:
        """Sets aside the tokens that a node without a report since `since` may have used up to now.

        These are `rate` (its local rate in tokens per second) times the seconds since then, and `burst` (its
        local burst in tokens), which is added once.
        """
        reserve = self.reserves.get(node)
        if reserve is None:
            reserve = self.reserves[node] = Reserve(0.0, since)
            self._move_to(reserve, burst)
        self._move_to(reserve, rate * (now - reserve.updated_at))
        reserve.updated_at = now

    def _move_to(self, reserve: Reserve, tokens: float) -> None:
        moved = max(0.0, min(tokens, self.limit.tokens - self.min_tokens))
        self.limit.tokens -= moved
        reserve.tokens += moved

    def release(self, node: str) -> None:
        """Returns a node's reserve to the buckets: the node now reports its usage."""
        if reserve := self.reserves.pop(node, None):
            self.add(reserve.tokens)

    def charge(self, node: str, demand: QuotaDemand) -> None:
        """Charges a node's isolated usage, each token once; the bucket may go into debt."""
        charged = self.isolated_usage.get(node, demand.isolated_usage_acknowledged)
        if demand.isolated_usage < charged:  # a new process of that node, counting from zero
            charged = demand.isolated_usage_acknowledged
        self.isolated_usage[node] = demand.isolated_usage
        self.limit.tokens = max(self.min_tokens, self.limit.tokens - (demand.isolated_usage - charged))

    # start of a primary's term

    def set_initial_tokens(self, tokens: float) -> None:
        """Corrects the tokens assumed for the start of the term; adds the difference to the present ones."""
        self.limit.tokens = min(self.limit.capacity, self.limit.tokens + tokens - self.initial_tokens)
        self.initial_tokens = tokens

    def max_initial_tokens(self) -> float:
        """The most tokens that the limit's bucket can have held when the term began, given prior usage."""
        return max(self.min_tokens, self.prior_usage.max_level(self.limit.rate, self.limit.capacity))

    @property
    def min_tokens(self) -> float:
        """The lower bound of the limit's bucket: its maximum debt as a negative number of tokens."""
        return -MAX_DEBT_S * self.limit.rate

    # tokens in and out

    def refill(self, now: float) -> None:
        """Adds the tokens that both rates yield for the time since the last call."""
        seconds = now - self._refilled_at
        self._refilled_at = now
        self.add(self.limit.rate * seconds)
        self.excess.add(self.excess.rate * seconds)

    def add(self, tokens: float) -> None:
        """Adds tokens to the limit's bucket; the surplus goes into the excess bucket.

        This way a tenant whose burst is smaller than one request still gets its rate, from the excess bucket.
        """
        self.excess.add(self.limit.add(tokens))

    def take(self, tokens: float) -> bool:
        """Takes the cost of one request; returns false if neither bucket holds enough tokens.

        Both buckets together may pay for a request larger than the capacity of the limit's bucket.
        """
        if tokens <= self.limit.tokens:
            self.limit.tokens -= tokens
            return True
        if tokens <= self.excess.tokens:
            self.excess.tokens -= tokens
            return True
        if tokens <= self.limit.capacity or tokens > self.limit.tokens + self.excess.tokens:
            return False
        self.limit.tokens -= tokens - self.excess.tokens
        self.excess.tokens = 0.0
        return True

    def seconds_until(self, tokens: float) -> float:
        """Seconds until the limit's bucket holds these tokens.

        If they exceed its capacity, the tokens in the excess bucket count too.
        """
        missing = tokens - self.limit.tokens
        if tokens > self.limit.capacity:
            missing -= self.excess.tokens
        return missing / self.limit.rate

    def take_in_advance(self, rate: float) -> float:
        """Takes the tokens that a node demands in `ADVANCE_S`, or as many as are left, and returns them.

        Takes none unless the limit's bucket is filled above `ADVANCE_MIN_LEVEL`.
        """
        if self.limit.tokens <= ADVANCE_MIN_LEVEL * self.limit.capacity:
            return 0.0
        tokens = min(self.limit.tokens, ADVANCE_S * rate)
        self.limit.tokens -= tokens
        return tokens
