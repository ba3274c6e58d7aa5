"""Tokens of tenants that this node has leased from the primary; a state machine without I/O."""

from __future__ import annotations

from math import inf

import msgspec

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant
from wheatroute.edge.usage_history import UsageHistory

RATE_MEMORY = 4.0  # seconds over which the need of a tenant's clients is measured
KEEP_S = 0.4  # seconds of that need which a lease may hold without giving it back
ALONE_KEEP_S = 2.0  # seconds of its part that a node without word may save up
OWN_RATE_VALID_S = 3.0  # seconds from the primary's word within which a node's part of a rate still holds
ALONE_SHARE = 0.5  # of an even part of the rate that a node uses which never had word from the primary
UNTOLD_S = 1.0  # seconds of that part that such a node may use ahead, else a large request never fits
ALONE_SLACK = 0.3  # of what the rule allows beyond the limit that nodes without word use together


class AloneSpell(msgspec.Struct, frozen=True):
    """A time without word from the primary, and the tokens that this node used of its own part meanwhile."""

    tenant: str
    seconds: float
    tokens: float
    nodes: int  # edge nodes that its part was reckoned by


class TenantLease:
    """Tokens of one tenant that this node may use."""

    __slots__ = (
        "balance",
        "asked_rate",
        "asked_at",
        "wait_s",
        "local_rate",
        "local_burst",
        "heard",
        "own",
        "used_alone",
        "told_alone",
        "alone",
        "alone_since",
        "alone_before",
        "alone_nodes",
        "filled_at",
        "credited_at",
        "history",
    )

    def __init__(self, window_s: float) -> None:
        self.balance = 0.0  # granted by a primary
        self.asked_rate = 0.0  # tokens a second that clients asked for of late
        self.asked_at = 0.0
        self.wait_s = 0.0  # until tokens are there, by the primary's word
        self.local_rate = (
            0.0  # part of the tenant's rate for this node, while it has no word from the primary
        )
        self.local_burst = 0.0  # part of what the tenant's bucket held then
        self.heard = -inf  # when the primary's last word on this tenant came
        self.own = 0.0  # of its own part, what it may use while alone; no primary has granted that
        self.used_alone = 0.0  # of its own part, since the process began
        self.told_alone = 0.0  # how much of that a primary has heard of
        self.alone = False  # since then this node lives on its own part
        self.alone_since = 0.0
        self.alone_before = 0.0  # `used_alone` at that time
        self.alone_nodes = 0
        self.filled_at = 0.0
        self.credited_at = -inf  # when this node last began to live on its own part with something in hand
        self.history = UsageHistory(window_s)


class QuotaLeases:
    """Tokens leased from the primary's buckets, by tenant.

    Whatever the primary grants is taken out of the one bucket of the tenant, so the nodes' leases sum to the
    limit. Without word from the primary a node lives on the part of the rate that it was told last, and on an
    even part of what the rule allows beyond the limit. What it uses of those it tells the primary that it
    reaches next, which takes it out of the bucket. What is left can't be used while a primary answers.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s  # over which the rule counts
        self._leases: dict[str, TenantLease] = {}

    def count_over(self, window_s: float) -> None:
        """Another window of the rule, in seconds."""
        self.window_s = window_s
        for lease in self._leases.values():
            lease.history.keep(window_s)

    def _lease(self, tenant: str) -> TenantLease:
        if tenant not in self._leases:
            self._leases[tenant] = TenantLease(self.window_s)
        return self._leases[tenant]

    def asked(self, tenant: str, tokens: float, now: float) -> None:
        """A client asks for tokens."""
        lease = self._lease(tenant)
        kept = max(0.0, 1.0 - (now - lease.asked_at) / RATE_MEMORY)
        lease.asked_rate = lease.asked_rate * kept + tokens / RATE_MEMORY
        lease.asked_at = now

    def asked_rate(self, tenant: str, now: float) -> float:
        """Tokens a second that clients asked for of late."""
        lease = self._lease(tenant)
        return lease.asked_rate * max(0.0, 1.0 - (now - lease.asked_at) / RATE_MEMORY)

    def take(self, tenant: str, tokens: float) -> bool:
        """Uses tokens of the lease; false if it doesn't hold so many."""
        lease = self._lease(tenant)
        if lease.balance + (lease.own if lease.alone else 0.0) < tokens:
            return False
        granted = min(lease.balance, tokens)
        lease.balance -= granted
        lease.own -= tokens - granted
        lease.used_alone += tokens - granted
        lease.history.add(lease.asked_at, tokens)
        return True

    def give_back(self, tenant: str, tokens: float) -> None:
        """A request that was charged never went out."""
        lease = self._lease(tenant)
        lease.balance += tokens
        lease.history.add(lease.asked_at, -tokens)

    def need(
        self, tenant: str, wanted: float, returned: float, now: float, recent: bool = False
    ) -> QuotaDemand:
        """What the primary is told and asked for; `recent` where it is to hear what was used of late."""
        lease = self._lease(tenant)
        return QuotaDemand(
            wanted,
            returned,
            self.asked_rate(tenant, now),
            lease.used_alone,
            lease.told_alone,
            self._recent(lease, now) if recent else (),
        )

    def owes(self, tenant: str) -> bool:
        """Whether tokens were used alone of which no primary has heard."""
        lease = self._lease(tenant)
        return lease.used_alone > lease.told_alone

    def _recent(self, lease: TenantLease, now: float) -> tuple[int, ...]:
        """Tokens used by slots of time, the newest first; those in hand may be used without another word."""
        slots = lease.history.by_age(now) or [0.0]
        slots[0] += lease.balance
        return tuple(round(tokens) for tokens in slots)

    def granted(
        self, tenant: str, grant: QuotaGrant, now: float, told_alone: float = 0.0
    ) -> AloneSpell | None:
        """The primary's answer to a need that told of so much used alone.

        Returns what a time without an answer came to, if this ends one.
        """
        lease = self._lease(tenant)
        spell = None
        if lease.alone:
            used = lease.used_alone - lease.alone_before
            spell = AloneSpell(tenant, now - lease.alone_since, used, lease.alone_nodes)
        lease.balance += grant.tokens
        lease.told_alone = max(lease.told_alone, told_alone)
        lease.wait_s, lease.local_rate, lease.local_burst = grant.wait_s, grant.local_rate, grant.local_burst
        lease.heard, lease.alone = now, False
        return spell

    def wait(self, tenant: str) -> float:
        """Seconds after which a refused client should come back."""
        return self._lease(tenant).wait_s

    def surplus(self, tenant: str, now: float) -> float:
        """Takes out what a lease holds beyond its need, to be given back to the primary."""
        lease = self._lease(tenant)
        surplus = max(0.0, lease.balance - KEEP_S * self.asked_rate(tenant, now))
        lease.balance -= surplus
        return surplus

    def refill_alone(self, tenant: Tenant, now: float, nodes: int, slack: float) -> None:
        """Without word from the primary; `slack` is what the rule allows beyond the limit, in tokens.

        The node's part of the rate counts from the primary's last word on: since then nobody has granted it
        any. Its part of what the bucket held then, and of the slack, it has at once, but once in a window.
        """
        lease = self._lease(tenant.name)
        reserve = ALONE_SLACK * slack / max(1, nodes)
        begins = not lease.alone
        if begins:
            lease.alone = True
            lease.alone_since, lease.alone_before, lease.alone_nodes = now, lease.used_alone, nodes
            if now - lease.heard > OWN_RATE_VALID_S:
                # its clients' need is another one by now, and other nodes' with it
                lease.local_rate, lease.local_burst, lease.heard = 0.0, 0.0, now
            lease.filled_at = lease.heard
        untold_rate = ALONE_SHARE * tenant.rate_per_s / max(1, nodes)
        rate = lease.local_rate or untold_rate
        ahead = lease.local_burst if lease.local_rate else untold_rate * UNTOLD_S
        if begins and now - lease.credited_at >= self.window_s:
            lease.credited_at = now
            lease.own += reserve + ahead
        most = reserve + max(rate * ALONE_KEEP_S, ahead)
        lease.own = min(most, lease.own + rate * (now - lease.filled_at))
        lease.filled_at = now

    def tenants(self) -> list[str]:
        """All tenants with a lease."""
        return list(self._leases)


def cost(tenant: Tenant, tokens: tuple[int, int] | None) -> float:
    """What a request is charged, in the unit of its tenant's limit."""
    if tenant.unit != "token_usage":
        return 1.0
    return float(sum(tokens)) if tokens is not None else tenant.uncached_tokens
