"""What came of a run, in figures.

Owns the count of worth: a request counts once, from the first second on, with its client's tries folded in.
It must never look into a node: all it reads is the clients' account and the servers'.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wheatroute.fleet.clients import Root
    from wheatroute.fleet.world import World


def worth(world: World, root: Root) -> tuple[float, float]:
    """Asked for and earned by one request."""
    kind = world.plan.request_classes[root.kind]
    asked = kind.value * (1.0 if root.within else world.plan.clients.excess_value_factor)
    if root.answer != "served":
        return asked, 0.0
    if root.answered <= root.target + 1e-9:
        return asked, asked
    return asked, asked * (kind.late_value if root.answered <= root.stop + 1e-9 else 0.0)


def quantile(ordered: list[float], part: float) -> float:
    """A quantile of ordered figures; 0 where there are none."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0


def figures(world: World) -> dict[str, Any]:
    """One run's figures; shares are of worth unless their name says otherwise."""
    since = world.crowd.start + world.plan.warmup_s
    roots = [root for root in world.crowd.roots if root.arrived >= since]
    asked = earned = 0.0
    by_kind = [[0.0, 0.0] for _ in world.plan.request_classes]
    by_tenant = [[0.0, 0.0] for _ in world.plan.tenants]
    delays, ends = [], dict.fromkeys(("served", "refused", "failed", "left", "lost", "unreached", ""), 0)
    late = 0
    for root in roots:
        want, got = worth(world, root)
        asked += want
        earned += got
        for one, at in ((by_kind, root.kind), (by_tenant, root.tenant if root.within else -1)):
            if at >= 0:
                one[at][0] += want
                one[at][1] += got
        ends[root.answer] += 1
        if root.answer == "served":
            delays.append(root.answered - root.arrived)
            late += root.answered > root.target
    delays.sort()
    total = max(1, len(roots))
    servers = [server for tier in world.tiers for server in tier]
    return {
        "commands": len(roots),
        "utility": earned / asked if asked else 1.0,
        "handled": ends["served"] / total,
        "bounced": ends["refused"] / total,
        "terminated": ends["failed"] / total,
        "left": (ends["left"] + ends["lost"] + ends["unreached"] + ends[""]) / total,
        "late": late / total,
        "by_kind": [got / want if want else 1.0 for want, got in by_kind],
        "by_customer": [got / want if want else 1.0 for want, got in by_tenant],
        "p50": quantile(delays, 0.5),
        "p95": quantile(delays, 0.95),
        "p99": quantile(delays, 0.99),
        "tries": sum(root.tries for root in roots) / total,
        "collapses": sum(server.collapse.count for server in servers),
        "breaks": world.watch.breaks[1:],
        "worst_cold": world.watch.worst_cold,
        "events": world.engine.call_count,
    }
