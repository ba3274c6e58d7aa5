"""Loss accounting: which step of the decisions gave up a request, what the node knew, and what was true.

Wraps the decision module as it is shipped: notes who called `FinalAnswers.finish` and joins it with the true
state of the servers. Changes no decision. For finding causes in the emulator, never used by the product. No
I/O.
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

# by the method of the decisions that gave up; those not named here are named by the method itself
CAUSES = {
    "arrived": "too late on arrival",
    "_run_timers": "time ran out",
    "shed": "foretold wait",
    "_retry": "no further attempt",
    "drain": "waiting",
}
UNLIMITED = -1.0  # `LossCause.limit` of a node without one
NEXT_TRY_S = 0.5  # a loss so much later belongs to another try of the client
MAX_TRIES_TOLD_APART = 3


@dataclass(slots=True)
class LossCause:
    """Why a node gave up one request."""

    moment: float
    depth: int  # of the tier that the node sends to
    client_request: int  # its index
    class_number: int
    cause: str
    attempts: int  # of the request before
    waited_s: float  # since it came to this node
    limit: float  # the node's concurrency limit
    in_flight: int  # attempts of the node
    idle_fraction: float  # of the tier's servers with a free core, in truth
    mean_load: float  # jobs held by a server of the tier over its cores, in truth


class LossNotingBalancer(Balancer):
    """The decision module with a note at each request that it gives up."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random, losses: list[LossCause]) -> None:
        super().__init__(settings, rng)
        self._node, self._losses = node, losses
        self._arrived_at: dict[int, float] = {}  # requests that are neither closed nor given up

        self._handlers[Event.ARRIVED] = self._arrived

    def _make_final_answers(self, state: BalancerState, quotas: TenantQuotas) -> FinalAnswers:
        return LossNotingAnswers(self, state, quotas)

    def _arrived(self, number: int, *more: Any) -> None:
        self._arrived_at[number] = self._state.now
        self._components.lifecycle.arrived(number, *more)

    def forget_arrival(self, request: Request) -> None:
        """Forgets when a request arrived that is closed."""
        self._arrived_at.pop(request.number, None)

    def note_loss(self, request: Request, caller: str) -> None:
        """Notes that a request is given up, by the name of the method that gives it up."""
        cause = CAUSES.get(caller, caller)
        if caller == "_run_timers":
            back = ", attempt back" if request.servers else ", never sent"
            cause += ", attempt out" if request.attempts_in_flight else back
        elif caller == "_retry":
            last = self._node.requests[request.number].attempts
            cause += ", after " + "/".join(str(one.outcome.name) for one in last if one.outcome is not None)
        servers = [one for one in self._node.servers if one.is_alive]
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
                sum(one.held_jobs < one.cores for one in servers) / max(1, len(servers)),
                sum(one.held_jobs / one.cores for one in servers) / max(1, len(servers)),
            )
        )


class LossNotingAnswers(FinalAnswers):
    """The final answers of a node, with a note at each request that it gives up."""

    def __init__(self, balancer: LossNotingBalancer, state: BalancerState, quotas: TenantQuotas) -> None:
        super().__init__(state, quotas)
        self._balancer = balancer

    def finish(self, request: Request) -> None:
        """Notes the loss, by its caller, and gives the final answer."""
        self._balancer.note_loss(request, sys._getframe(1).f_code.co_name)
        super().finish(request)

    def close(self, request: Request, kept: int = -1) -> None:
        """Ends a request and cancels its attempts in flight but `kept`."""
        self._balancer.forget_arrival(request)
        super().close(request, kept)


def loss_noting_factory(losses: list[LossCause]) -> DecisionMakerFactory:
    """A factory of balancers that add each request that they give up to `losses`."""

    def make(node: Node, settings: DecisionSettings, rng: Random) -> Balancer:
        return LossNotingBalancer(node, settings, rng, losses)

    return make


class LossByCause(NamedTuple):
    """What all requests with one cause have lost."""

    cause: str
    lost: float  # as a fraction of the value of all requests
    requests: int


def losses_by_cause(world: World, losses: list[LossCause]) -> list[LossByCause]:
    """Value lost to each cause, the greatest first.

    The cause of a request is the deepest node that gave it up in its last try; of one that was served late,
    the number of its tries; of any other, its outcome.
    """
    causes = _deepest_causes(losses)
    lost: dict[str, float] = {}
    counts: dict[str, int] = {}
    total = 0.0
    for request in world.clients.requests:
        offered, earned = results.value(world, request)
        total += offered
        if earned < offered:
            cause = _cause_of(request, causes.get(request.index))
            lost[cause] = lost.get(cause, 0.0) + offered - earned
            counts[cause] = counts.get(cause, 0) + 1
    rows = [LossByCause(cause, lost[cause] / total, counts[cause]) for cause in lost]
    return sorted(rows, key=lambda row: -row.lost)


def _deepest_causes(losses: list[LossCause]) -> dict[int, LossCause]:
    """By client request: the deepest loss of the last try, which is why the nodes above gave up."""
    causes: dict[int, LossCause] = {}
    for loss in losses:
        known = causes.get(loss.client_request)
        is_next_try = known is not None and loss.moment > known.moment + NEXT_TRY_S
        if known is None or loss.depth >= known.depth or is_next_try:
            causes[loss.client_request] = loss
    return causes


def _cause_of(request: ClientRequest, loss: LossCause | None) -> str:
    if request.outcome is RequestOutcome.SERVED:
        return f"late, tries {min(request.tries, MAX_TRIES_TOLD_APART)}"
    if loss is not None:
        return f"tier {loss.depth}: {loss.cause}"
    return request.outcome.value or "open"
