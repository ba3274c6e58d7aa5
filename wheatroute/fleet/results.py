"""Figures of a run, computed from the state of its clients and servers. No I/O.

A request counts once, whatever the number of its client's tries. Requests that arrive before the end of the
plan's warm-up don't count.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from wheatroute.fleet.requests import ClientRequest, RequestOutcome
from wheatroute.fleet.stored_keys import KEY
from wheatroute.fleet.world import World

ROUNDING_S = 1e-9  # tolerance for rounding errors of times that are computed as sums
UNANSWERED = (
    RequestOutcome.LEFT,
    RequestOutcome.LOST,
    RequestOutcome.UNREACHED,
    RequestOutcome.OPEN,
)


class RequestValue(NamedTuple):
    """Holds the value that a request offered and the value that it earned."""

    offered: float
    earned: float


@dataclass(slots=True)
class ValueSum:
    """Sums the values of several requests."""

    offered: float = 0.0
    earned: float = 0.0

    def add(self, value: RequestValue) -> None:
        """Adds the value of one request."""
        self.offered += value.offered
        self.earned += value.earned

    def fraction_earned(self) -> float:
        """Returns the fraction of the offered value that was earned; 1 if none was offered."""
        return self.earned / self.offered if self.offered else 1.0


def request_value(world: World, request: ClientRequest) -> RequestValue:
    """Returns the value of one request.

    A response within the target latency earns all of the value. A later response that still meets the
    deadline earns the fraction `late_value` of the class.
    """
    request_class = world.plan.request_classes[request.class_number]
    excess_factor = 1.0 if request.is_within_quota else world.plan.clients.excess_value_factor
    offered = request_class.value * excess_factor
    if request.outcome is not RequestOutcome.SERVED:
        return RequestValue(offered, 0.0)
    if request.ended_at <= request.target_at + ROUNDING_S:
        return RequestValue(offered, offered)
    is_in_time = request.ended_at <= request.deadline_at + ROUNDING_S
    return RequestValue(offered, offered * (request_class.late_value if is_in_time else 0.0))


def quantile(ordered: list[float], fraction: float) -> float:
    """Returns a quantile of sorted values; 0 if there are none."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0


def counted_requests(world: World) -> list[ClientRequest]:
    """Returns the requests that arrived after the warm-up."""
    counted_from = world.clients.start + world.plan.warmup_s
    return [request for request in world.clients.requests if request.arrived_at >= counted_from]


@dataclass(frozen=True, slots=True)
class Figures:
    """Holds the figures of one run.

    Unless stated otherwise, fractions are relative to the requests that count. `unanswered` includes requests
    whose node died or could not be reached.
    """

    requests: int = field(metadata={KEY: "commands"})
    value: float = field(metadata={KEY: "utility"})  # fraction of the offered value that was earned
    served: float = field(metadata={KEY: "handled"})
    rejected: float = field(metadata={KEY: "bounced"})
    failed: float = field(metadata={KEY: "terminated"})
    unanswered: float = field(metadata={KEY: "left"})
    late: float  # fraction of requests that were served after their target latency
    # fraction of the offered value that was earned, by request class
    value_by_class: list[float] = field(metadata={KEY: "by_kind"})
    # fraction earned by each tenant's requests within its quota
    value_by_tenant: list[float] = field(metadata={KEY: "by_customer"})
    # quantiles of the latency of served requests, from the arrival to the answer, over all their tries
    latency_p50_s: float = field(metadata={KEY: "p50"})
    latency_p95_s: float = field(metadata={KEY: "p95"})
    latency_p99_s: float = field(metadata={KEY: "p99"})
    tries: float  # mean number of tries per request
    collapses: int  # number of collapses of servers
    violations: list[int] = field(metadata={KEY: "breaks"})  # number of violations of each of the four rules
    # maximum work sent to a warming server, as a fraction of its budget
    max_warmup_load: float = field(metadata={KEY: "worst_cold"})
    events: int  # number of calls that the engine made


def figures(world: World) -> Figures:
    """Returns the figures of a completed run."""
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


class _ValueSums(NamedTuple):
    total: ValueSum
    by_class: list[ValueSum]
    by_tenant: list[ValueSum]


def _values(world: World, requests: list[ClientRequest]) -> _ValueSums:
    """Sums the values of requests; those beyond a tenant's quota don't count for the tenant."""
    values = _ValueSums(
        ValueSum(),
        [ValueSum() for _ in world.plan.request_classes],
        [ValueSum() for _ in world.plan.tenants],
    )
    for request in requests:
        earned = request_value(world, request)
        values.total.add(earned)
        values.by_class[request.class_number].add(earned)
        if request.is_within_quota and request.tenant >= 0:
            values.by_tenant[request.tenant].add(earned)
    return values


def value_by_second(world: World) -> list[float]:
    """Returns, for each second of the run, the earned fraction of the value of the second's new requests."""
    seconds: list[ValueSum] = []
    for request in world.clients.requests:
        second = int(request.arrived_at - world.clients.start)
        while len(seconds) <= second:
            seconds.append(ValueSum())
        seconds[second].add(request_value(world, request))
    return [earned.fraction_earned() for earned in seconds]
