"""Which line of the decisions said no, and whether it was right: the ledger of losses by cause.

Owns a probe round the module as it is shipped: it notes who called `_finish` and what this node believed, and
joins it with the true state of the servers. It changes no decision. For finding causes, not for the product.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Any

from wheatroute.balancing.final_answers import FinalAnswers
from wheatroute.balancing.interface import Event
from wheatroute.balancing.node_state import NodeState
from wheatroute.balancing.request import Request
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.balancing.tenant_quotas import TenantQuotas
from wheatroute.decide import Balancer
from wheatroute.fleet import results
from wheatroute.fleet.nodes import DecisionsFactory, Node
from wheatroute.fleet.requests import RequestOutcome
from wheatroute.fleet.world import World

WHERE = {
    "arrived": "too late on arrival",
    "_run_timers": "time ran out",
    "shed": "foretold wait",
    "_retry": "no further attempt",
    "drain": "waiting",
}


@dataclass(slots=True)
class No:
    """One request that a node gave up."""

    moment: float
    depth: int
    root: int
    kind: int
    cause: str
    attempts: int  # of it before
    waited: float  # since it came to this node
    room: float  # attempts that the node would have out
    out: int  # and has
    idle: float  # share of the tier's servers with a core free, in truth
    held: float  # mean held by a server of the tier over its cores, in truth


class Probed(Balancer):
    """The module with a note at each no."""

    def __init__(self, node: Node, terms: DecisionSettings, draw: Random, noes: list[No]) -> None:
        super().__init__(terms, draw)
        self._node, self._noes = node, noes
        self._came: dict[int, float] = {}  # requests without a no, and when they came
        self._handlers[Event.ARRIVED] = self._arrived

    def _make_final_answers(self, state: NodeState, quotas: TenantQuotas) -> FinalAnswers:
        return ProbedAnswers(self, state, quotas)

    def _arrived(self, number: int, *more: Any) -> None:
        self._came[number] = self._state.now
        self._components.lifecycle.arrived(number, *more)

    def closed(self, request: Request) -> None:
        """Forgets a request that has its answer."""
        self._came.pop(request.number, None)

    def note(self, request: Request, client: str) -> None:
        """Writes down a request that is given up, by the function that gives it up."""
        cause = WHERE.get(client, client)
        if client == "_run_timers":
            back = ", attempt back" if request.servers else ", never sent"
            cause += ", attempt out" if request.attempts_in_flight else back
        elif client == "_retry":
            last = self._node.requests[request.number].attempts
            cause += ", after " + "/".join(str(one.outcome.name) for one in last if one.outcome is not None)
        servers = [one for one in self._node.servers if one.is_alive]
        limiter = self._components.limiter
        self._noes.append(
            No(
                self._state.now,
                self._node.depth,
                self._node.requests[request.number].client_request.index,
                request.class_number,
                cause,
                len(request.servers),
                self._state.now - self._came.get(request.number, self._state.now),
                limiter.limit if limiter.limit < inf else -1.0,
                limiter.in_flight,
                sum(one.held < one.cores for one in servers) / max(1, len(servers)),
                sum(one.held / one.cores for one in servers) / max(1, len(servers)),
            )
        )


class ProbedAnswers(FinalAnswers):
    """The final answers of a node, with a note at each no."""

    def __init__(self, probed: Probed, state: NodeState, quotas: TenantQuotas) -> None:
        super().__init__(state, quotas)
        self._probed = probed

    def finish(self, request: Request) -> None:
        """Gives the final answer to a request for which no server has given one."""
        self._probed.note(request, sys._getframe(1).f_code.co_name)
        super().finish(request)

    def close(self, request: Request, kept: int = -1) -> None:
        """Ends a request and cancels its attempts in flight but `kept`."""
        self._probed.closed(request)
        super().close(request, kept)


def maker(noes: list[No]) -> DecisionsFactory:
    """A factory of balancers that note each request that they give up in `noes`."""

    def make(node: Node, terms: DecisionSettings, draw: Random) -> Balancer:
        return Probed(node, terms, draw, noes)

    return make


def losses(world: World, noes: list[No]) -> list[tuple[str, float, int]]:
    """Worth lost to each cause, as a share of all asked for; the deepest no of a request is its cause.

    What was served late has the cause "late", with where its time went: at the entry, or under way.
    """
    last: dict[int, No] = {}
    for no in noes:
        kept = last.get(no.root)
        # the deepest one of the last try says why those above had to give up
        if kept is None or no.depth >= kept.depth or no.moment > kept.moment + 0.5:
            last[no.root] = no
    lost: dict[str, list[float]] = defaultdict(lambda: [0.0, 0])
    total = 0.0
    for root in world.clients.requests:
        want, got = results.value(world, root)
        total += want
        if got < want:
            if root.outcome is RequestOutcome.SERVED:
                cause = "late, tries " + str(min(root.tries, 3))
            elif root.index in last:
                cause = f"tier {last[root.index].depth}: {last[root.index].cause}"
            else:
                cause = root.outcome.value or "open"
            lost[cause][0] += want - got
            lost[cause][1] += 1
    return sorted(
        ((cause, worth / total, int(count)) for cause, (worth, count) in lost.items()),
        key=lambda row: -row[1],
    )
