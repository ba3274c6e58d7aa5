"""The token buckets of one tenant at the primary. A state machine without I/O.

A tenant has two buckets: one of its rate limit, and a small one of the excess that the quota rule allows
beyond it. A request that fits the limit is never rejected for what was served beyond the limit, since that
came out of the excess bucket. The limit's bucket may go into debt: nodes report afterwards what they used
while isolated.

Invariants: the quota shares that nodes were granted sum to at most `ISOLATED_FRACTION`, the local bursts to
at most that fraction of the tokens that the limit's bucket held when they were granted. Tokens leave a
bucket once: by a grant, by a reserve, or by a charge for isolated usage.

Times are in seconds of the steady clock, rates in tokens a second.
"""

from __future__ import annotations

from typing import NamedTuple

from wheatroute.cluster.messages import QuotaDemand
from wheatroute.control.edge_nodes import NODE_LOST_S
from wheatroute.control.prior_usage import PriorUsage

ADVANCE_S = 0.25  # of a node's own demand that it is granted in advance, while the bucket is well filled
ADVANCE_MIN_LEVEL = 0.5  # of a bucket's capacity, below which nothing is granted in advance
ISOLATED_FRACTION = 0.9  # of the limit that nodes may use together while they are isolated
TOTALS_INTERVAL_S = 0.2  # after which totals over nodes are computed anew
MAX_DEBT_S = 2.0  # of its rate that a bucket may owe: after a lower limit not all requests are rejected


class TokenBucket:
    """Tokens that are added at a rate, up to a capacity."""

    __slots__ = ("rate", "capacity", "tokens")

    def __init__(self, rate: float, capacity: float, level: float) -> None:
        """`level` is the fraction of the capacity that the bucket holds at first."""
        self.rate, self.capacity, self.tokens = rate, capacity, capacity * level

    def add(self, tokens: float) -> float:
        """Adds tokens; returns those that do not fit."""
        free = max(0.0, self.capacity - self.tokens)
        self.tokens += min(free, tokens)
        return max(0.0, tokens - free)

    def change_limit(self, rate: float, capacity: float) -> None:
        """Changes the limit; tokens are kept as far as they fit."""
        self.rate, self.capacity = rate, capacity
        self.tokens = min(capacity, self.tokens)


class Reserve:
    """Tokens set aside for a node that does not report, as it may be using that many.

    `updated_at` is the time up to which the tokens of its local rate are in them.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self, tokens: float, updated_at: float) -> None:
        self.tokens, self.updated_at = tokens, updated_at


class Demand(NamedTuple):
    """A node's demand: when it was reported, and its rate."""

    reported_at: float
    rate: float


class TenantBuckets:
    """Both buckets of one tenant, and what its nodes were granted of them."""

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
        # by node, as it was reported or granted last
        self.isolated_usage: dict[str, float] = {}
        self.quota_shares: dict[str, float] = {}
        self.local_bursts: dict[str, float] = {}
        self.reserves: dict[str, Reserve] = {}
        self.initial_tokens = limit.tokens  # that the limit's bucket is taken to have held at the beginning
        self._refilled_at = now
        self._demands: dict[str, Demand] = {}
        # over the nodes of `_demands`
        self._total_demand = self._total_share = self._total_local_burst = 0.0
        self._totals_at = now

    # the shares of nodes

    def quota_share(self, node: str, rate: float, now: float, known_fraction: float) -> float:
        """A node's share of the limit for the time that it is isolated, by its demand among all nodes'.

        `known_fraction` is the fraction of the nodes whose demand is known; the others may have shares of an
        earlier primary. Shares that were granted sum to no more than there is, however demands change.
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
        """Tokens of the limit's bucket that a node with this share may use while it is isolated."""
        previous = self.local_bursts.get(node, 0.0)
        others = self._total_local_burst - previous
        tokens = self.limit.tokens
        burst = max(0.0, min(share * tokens, ISOLATED_FRACTION * tokens - others))
        self.local_bursts[node] = burst
        self._total_local_burst += burst - previous
        return burst

    def _update_demand(self, node: str, rate: float, now: float) -> None:
        """Sets a node's demand, and the totals with it."""
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
        """Forgets the demand of lost nodes, and computes the totals anew."""
        self._totals_at = now
        self._demands = {
            node: demand for node, demand in self._demands.items() if now - demand.reported_at <= NODE_LOST_S
        }
        self._total_demand = sum(demand.rate for demand in self._demands.values())
        self._total_share = sum(self.quota_shares.get(node, 0.0) for node in self._demands)
        self._total_local_burst = sum(self.local_bursts.get(node, 0.0) for node in self._demands)

    # nodes that are isolated, or were

    def reserve(self, node: str, since: float, rate: float, burst: float, now: float) -> None:
        """Sets aside what a node that has not reported since `since` may be using, up to now.

        That is `rate`, its local rate in tokens a second, and once `burst`, its local burst in tokens.
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
        """Returns a node's reserve: the node reports what it has used."""
        if reserve := self.reserves.pop(node, None):
            self.add(reserve.tokens)

    def charge(self, node: str, demand: QuotaDemand) -> None:
        """Takes out what a node used while isolated, each token once; the bucket may go into debt."""
        charged = self.isolated_usage.get(node, demand.isolated_usage_acknowledged)
        if demand.isolated_usage < charged:  # another process of that name, whose count begins anew
            charged = demand.isolated_usage_acknowledged
        self.isolated_usage[node] = demand.isolated_usage
        self.limit.tokens = max(self.min_tokens, self.limit.tokens - (demand.isolated_usage - charged))

    # the beginning of a primary's term

    def set_initial_tokens(self, tokens: float) -> None:
        """Corrects what the limit's bucket is taken to have held at the beginning."""
        self.limit.tokens = min(self.limit.capacity, self.limit.tokens + tokens - self.initial_tokens)
        self.initial_tokens = tokens

    def max_initial_tokens(self) -> float:
        """The most tokens that the limit's bucket can have held at the beginning, by the prior usage."""
        return max(self.min_tokens, self.prior_usage.max_level(self.limit.rate, self.limit.capacity))

    @property
    def min_tokens(self) -> float:
        """The largest debt of the limit's bucket, as a negative number of tokens."""
        return -MAX_DEBT_S * self.limit.rate

    # tokens in and out

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last call."""
        seconds = now - self._refilled_at
        self._refilled_at = now
        self.add(self.limit.rate * seconds)
        self.excess.add(self.excess.rate * seconds)

    def add(self, tokens: float) -> None:
        """Adds tokens to the limit's bucket; those that do not fit go into the excess bucket.

        So a tenant whose burst is smaller than a request still gets its rate, out of the excess bucket.
        """
        self.excess.add(self.limit.add(tokens))

    def take(self, tokens: float) -> bool:
        """Takes the cost of one request; false if neither bucket holds it.

        A request that is larger than the capacity of the limit's bucket may be paid from both.
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
        """Seconds until the limit's bucket holds these tokens."""
        missing = tokens - self.limit.tokens
        if tokens > self.limit.capacity:
            missing -= self.excess.tokens
        return missing / self.limit.rate

    def take_in_advance(self, rate: float) -> float:
        """Takes tokens for the next requests of a node with this demand, while the bucket is well filled."""
        if self.limit.tokens <= ADVANCE_MIN_LEVEL * self.limit.capacity:
            return 0.0
        tokens = min(self.limit.tokens, ADVANCE_S * rate)
        self.limit.tokens -= tokens
        return tokens
