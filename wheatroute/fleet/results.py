"""Figures of a run, from the accounts of its clients and servers. No I/O.

A request counts once, with all its client's tries. Requests that arrive before the plan's warm-up ends don't
count.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from wheatroute.fleet.requests import ClientRequest, RequestOutcome
from wheatroute.fleet.stored_keys import KEY
from wheatroute.fleet.world import World

ROUNDING_S = 1e-9  # of moments that follow from sums
UNANSWERED = (
    RequestOutcome.LEFT,
    RequestOutcome.LOST,
    RequestOutcome.UNREACHED,
    RequestOutcome.OPEN,
)


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


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run; fractions are of the requests that count unless said otherwise.

    `unanswered` includes requests whose node was lost or not reached.
    """

    requests: int = field(metadata={KEY: "commands"})
    value: float = field(metadata={KEY: "utility"})  # fraction earned of the value offered
    served: float = field(metadata={KEY: "handled"})
    rejected: float = field(metadata={KEY: "bounced"})
    failed: float = field(metadata={KEY: "terminated"})
    unanswered: float = field(metadata={KEY: "left"})
    late: float  # served after their target latency
    value_by_class: list[float] = field(metadata={KEY: "by_kind"})  # fraction earned
    value_by_tenant: list[float] = field(metadata={KEY: "by_customer"})  # fraction earned within quotas
    latency_p50_s: float = field(metadata={KEY: "p50"})  # of served requests, with all tries
    latency_p95_s: float = field(metadata={KEY: "p95"})
    latency_p99_s: float = field(metadata={KEY: "p99"})
    tries: float  # of a request, in the mean
    collapses: int  # of servers
    violations: list[int] = field(metadata={KEY: "breaks"})  # of each of the four rules
    # work sent to a warming server, of its budget
    max_warmup_load: float = field(metadata={KEY: "worst_cold"})
    events: int  # calls made by the engine


def figures(world: World) -> Figures:
    """The figures of a run that was played."""
    requests = counted_requests(world)
    count = max(1, len(requests))
    values = _values(world, requests)
    served = [request for request in requests if request.outcome is RequestOutcome.SERVED]
    latencies = sorted(request.ended_at - request.arrived_at for request in served)
    outcomes = Counter(request.outcome for request in requests)
    return Figures(
        requests=len(requests),
        value=values.total.fraction_earned(),
        served=len(served) / count,
        rejected=outcomes[RequestOutcome.REJECTED] / count,
        failed=outcomes[RequestOutcome.FAILED] / count,
        unanswered=sum(outcomes[outcome] for outcome in UNANSWERED) / count,
        late=sum(request.ended_at > request.target_at for request in served) / count,
        value_by_class=[earned.fraction_earned() for earned in values.by_class],
        value_by_tenant=[earned.fraction_earned() for earned in values.by_tenant],
        latency_p50_s=quantile(latencies, 0.5),
        latency_p95_s=quantile(latencies, 0.95),
        latency_p99_s=quantile(latencies, 0.99),
        tries=sum(request.tries for request in requests) / count,
        collapses=sum(server.collapse.count for tier in world.tiers for server in tier),
        violations=list(world.rules.counts.values()),
        max_warmup_load=world.rules.max_warmup_load,
        events=world.engine.call_count,
    )


class _Values(NamedTuple):
    total: ValueSum
    by_class: list[ValueSum]
    by_tenant: list[ValueSum]


def _values(world: World, requests: list[ClientRequest]) -> _Values:
    """Sums of values; those beyond a tenant's quota count for the total and the class alone."""
    values = _Values(
        ValueSum(),
        [ValueSum() for _ in world.plan.request_classes],
        [ValueSum() for _ in world.plan.tenants],
    )
    for request in requests:
        earned = value(world, request)
        values.total.add(earned)
        values.by_class[request.class_number].add(earned)
        if request.is_within_quota and request.tenant >= 0:
            values.by_tenant[request.tenant].add(earned)
    return values


def value_by_second(world: World) -> list[float]:
    """The fraction of value earned by the requests that arrived in each second of the run."""
    seconds: list[ValueSum] = []
    for request in world.clients.requests:
        second = int(request.arrived_at - world.clients.start)
        while len(seconds) <= second:
            seconds.append(ValueSum())
        seconds[second].add(value(world, request))
    return [earned.fraction_earned() for earned in seconds]
