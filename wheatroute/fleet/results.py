"""Figures of a run, from the accounts of its clients and servers. No I/O.

A request counts once, with all its client's tries. Requests that arrive before the plan's warm-up ends don't
count.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from wheatroute.fleet.requests import ClientRequest, RequestOutcome
from wheatroute.fleet.world import World

ROUNDING_S = 1e-9  # of moments that follow from sums


class Value(NamedTuple):
    """What a request could earn, and what it did."""

    offered: float
    earned: float


@dataclass(slots=True)
class ValueSum:
    """Values of several requests together."""

    offered: float = 0.0
    earned: float = 0.0

    def add(self, value: Value) -> None:
        """Adds one request's."""
        self.offered += value.offered
        self.earned += value.earned

    def fraction_earned(self) -> float:
        """The part that was earned; 1 where nothing was offered."""
        return self.earned / self.offered if self.offered else 1.0


def value(world: World, request: ClientRequest) -> Value:
    """The value of one request: whole within its target latency, a part of it until its deadline."""
    request_class = world.plan.request_classes[request.class_number]
    excess_factor = 1.0 if request.is_within_quota else world.plan.clients.excess_value_factor
    offered = request_class.value * excess_factor
    if request.outcome is not RequestOutcome.SERVED:
        return Value(offered, 0.0)
    if request.ended_at <= request.target_at + ROUNDING_S:
        return Value(offered, offered)
    is_in_time = request.ended_at <= request.deadline_at + ROUNDING_S
    return Value(offered, offered * (request_class.late_value if is_in_time else 0.0))


def quantile(ordered: list[float], fraction: float) -> float:
    """A quantile of ordered figures; 0 where there are none."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0


def counted_requests(world: World) -> list[ClientRequest]:
    """The requests that arrived after the warm-up."""
    counted_from = world.clients.start + world.plan.warmup_s
    return [request for request in world.clients.requests if request.arrived_at >= counted_from]


def figures(world: World) -> dict[str, Any]:
    """One run's figures, under the keys that runs are stored with; times are in seconds."""
    requests = counted_requests(world)
    total = ValueSum()
    by_class = [ValueSum() for _ in world.plan.request_classes]
    by_tenant = [ValueSum() for _ in world.plan.tenants]
    outcomes = dict.fromkeys(RequestOutcome, 0)
    latencies = []
    late = 0
    for request in requests:
        earned = value(world, request)
        total.add(earned)
        by_class[request.class_number].add(earned)
        if request.is_within_quota and request.tenant >= 0:
            by_tenant[request.tenant].add(earned)
        outcomes[request.outcome] += 1
        if request.outcome is RequestOutcome.SERVED:
            latencies.append(request.ended_at - request.arrived_at)
            late += request.ended_at > request.target_at
    latencies.sort()
    count = max(1, len(requests))
    unanswered = (
        outcomes[RequestOutcome.LEFT]
        + outcomes[RequestOutcome.LOST]
        + outcomes[RequestOutcome.UNREACHED]
        + outcomes[RequestOutcome.OPEN]
    )
    return {
        "commands": len(requests),
        "utility": total.fraction_earned(),
        "handled": outcomes[RequestOutcome.SERVED] / count,
        "bounced": outcomes[RequestOutcome.REJECTED] / count,
        "terminated": outcomes[RequestOutcome.FAILED] / count,
        "left": unanswered / count,
        "late": late / count,
        "by_kind": [earned.fraction_earned() for earned in by_class],
        "by_customer": [earned.fraction_earned() for earned in by_tenant],
        "p50": quantile(latencies, 0.5),
        "p95": quantile(latencies, 0.95),
        "p99": quantile(latencies, 0.99),
        "tries": sum(request.tries for request in requests) / count,
        "collapses": sum(server.collapse.count for tier in world.tiers for server in tier),
        "breaks": list(world.rules.counts.values()),
        "worst_cold": world.rules.max_warmup_load,
        "events": world.engine.call_count,
    }
