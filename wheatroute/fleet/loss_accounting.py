"""Loss accounting: records why the balancer gave up requests, its own state and the servers' true state.

Wraps the shipped balancer: records which method called `FinalAnswers.finish`, together with the true state of
the simulated servers. Changes no decision. Serves the analysis of simulated runs; the product never uses it.
No I/O.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Any, NamedTuple

from wheatroute.balancing.final_answers import FinalAnswers
from wheatroute.balancing.interface import Event
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.request import Request
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.balancing.tenant_quotas import TenantQuotas
from wheatroute.decide import Balancer
from wheatroute.fleet import results
from wheatroute.fleet.nodes import DecisionMakerFactory, Node
from wheatroute.fleet.requests import ClientRequest, RequestOutcome
from wheatroute.fleet.world import World

# Causes by the name of the method that gave up the request. For any other method, its name is the cause.
CAUSES = {
    "arrived": "too late on arrival",
    "_run_timers": "timed out",
    "shed": "predicted wait too long",
    "_retry": "no retry allowed",
    "drain": "queued",
}
UNLIMITED = -1.0  # `LossCause.limit` of a node without a limit
NEXT_TRY_GAP_S = 0.5  # a loss more than this after the previous one of its request belongs to a later try
MAX_TRIES_REPORTED = 3  # requests with more tries are counted with those that have this many


@dataclass(slots=True)
class LossCause:
    """Holds why a node gave up one request, and the state at that time."""

    lost_at: float
    depth: int  # depth of the tier that the node sends to
    client_request: int  # index of the client's request
    class_number: int
    cause: str
    attempts: int  # number of attempts that were sent for the request
    waited_s: float  # time since the request arrived at the node
    limit: float  # the node's concurrency limit
    in_flight: int  # the node's attempts in flight
    idle_fraction: float  # true fraction of the tier's servers that have a free core
    mean_load: float  # true mean number of jobs per core over the tier's servers


class LossRecordingBalancer(Balancer):
    """Extends the balancer: records each request that it gives up."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random, losses: list[LossCause]) -> None:
        super().__init__(settings, rng)
        self._node, self._losses = node, losses
        self._arrived_at: dict[int, float] = {}  # arrival times of requests that are not closed

        self._handlers[Event.ARRIVED] = self._arrived

    def _make_final_answers(self, state: BalancerState, quotas: TenantQuotas) -> FinalAnswers:
        return LossRecordingAnswers(self, state, quotas)

    def _arrived(self, number: int, *rest: Any) -> None:
        self._arrived_at[number] = self._state.now
        self._components.lifecycle.arrived(number, *rest)

    def forget_arrival(self, request: Request) -> None:
        """Forgets the arrival time of a request that is closed."""
        self._arrived_at.pop(request.number, None)

    def record_loss(self, request: Request, caller: str) -> None:
        """Records that a request is given up; `caller` is the name of the method that gives it up."""
        cause = CAUSES.get(caller, caller)
        if caller == "_run_timers":
            not_in_flight = ", attempts ended" if request.servers else ", never sent"
            cause += ", attempt in flight" if request.attempts_in_flight else not_in_flight
        elif caller == "_retry":
            attempts = self._node.requests[request.number].attempts
            cause += ", after " + "/".join(
                str(attempt.outcome.name) for attempt in attempts if attempt.outcome is not None
            )
        servers = [server for server in self._node.servers if server.is_alive]
        limiter = self._components.limiter
        self._losses.append(
            LossCause(
                self._state.now,
                self._node.depth,
                self._node.requests[request.number].client_request.index,
                request.class_number,
                cause,
                len(request.servers),
                self._state.now - self._arrived_at.get(request.number, self._state.now),
                limiter.limit if limiter.limit < inf else UNLIMITED,
                limiter.in_flight,
                sum(server.held_jobs < server.cores for server in servers) / max(1, len(servers)),
                sum(server.held_jobs / server.cores for server in servers) / max(1, len(servers)),
            )
        )


class LossRecordingAnswers(FinalAnswers):
    """Extends the final answers of a node: records each request that the node gives up."""

    def __init__(self, balancer: LossRecordingBalancer, state: BalancerState, quotas: TenantQuotas) -> None:
        super().__init__(state, quotas)
        self._balancer = balancer

    def finish(self, request: Request) -> None:
        """Records the loss with the name of the calling method, and gives the final answer."""
        self._balancer.record_loss(request, sys._getframe(1).f_code.co_name)
        super().finish(request)

    def close(self, request: Request, kept: int = -1) -> None:
        """Ends a request and cancels its attempts in flight except number `kept`; -1 keeps none."""
        self._balancer.forget_arrival(request)
        super().close(request, kept)


def loss_recording_factory(losses: list[LossCause]) -> DecisionMakerFactory:
    """Returns a factory of balancers that append each request that they give up to `losses`."""

    def make(node: Node, settings: DecisionSettings, rng: Random) -> Balancer:
        return LossRecordingBalancer(node, settings, rng, losses)

    return make


class LossByCause(NamedTuple):
    """Holds the value that was lost to one cause."""

    cause: str
    lost: float  # lost value as a fraction of the offered value of all requests
    requests: int


def losses_by_cause(world: World, losses: list[LossCause]) -> list[LossByCause]:
    """Returns the value lost to each cause, the largest loss first.

    For a request that was served late, the cause is its number of tries. For one that nodes gave up, it is
    the loss at the deepest of these nodes in the request's last try. For any other, it is the request's
    outcome.
    """
    causes = _deepest_causes(losses)
    lost: dict[str, float] = {}
    counts: dict[str, int] = {}
    total = 0.0
    for request in world.clients.requests:
        offered, earned = results.request_value(world, request)
        total += offered
        if earned < offered:
            cause = _cause_of(request, causes.get(request.index))
            lost[cause] = lost.get(cause, 0.0) + offered - earned
            counts[cause] = counts.get(cause, 0) + 1
    rows = [LossByCause(cause, lost[cause] / total, counts[cause]) for cause in lost]
    return sorted(rows, key=lambda row: -row.lost)


def _deepest_causes(losses: list[LossCause]) -> dict[int, LossCause]:
    """Returns, by request, the loss at the deepest node in its last try.

    This loss made the nodes above give up.
    """
    causes: dict[int, LossCause] = {}
    for loss in losses:
        known = causes.get(loss.client_request)
        is_next_try = known is not None and loss.lost_at > known.lost_at + NEXT_TRY_GAP_S
        if known is None or loss.depth >= known.depth or is_next_try:
            causes[loss.client_request] = loss
    return causes


def _cause_of(request: ClientRequest, loss: LossCause | None) -> str:
    if request.outcome is RequestOutcome.SERVED:
        return f"late, tries {min(request.tries, MAX_TRIES_REPORTED)}"
    if loss is not None:
        return f"tier {loss.depth}: {loss.cause}"
    return request.outcome.value or "open"
