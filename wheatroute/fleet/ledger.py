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

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.decide import Balancer
from wheatroute.fleet import results
from wheatroute.fleet.nodes import DecisionsFactory, Node
from wheatroute.fleet.requests import RequestOutcome
from wheatroute.fleet.world import World

WHERE = {
    "_arrived": "too late on arrival",
    "_run_timers": "time ran out",
    "_shed_queue": "foretold wait",
    "_retry": "no further attempt",
    "_drain_queue": "waiting",
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

    def _arrived(self, number: int, *more: Any) -> None:
        self._came[number] = self._state.now
        super()._arrived(number, *more)

    def _close(self, request: Any, *more: Any) -> None:
        self._came.pop(request.number, None)
        super()._close(request, *more)

    def _finish(self, request: Any) -> None:
        client = sys._getframe(1).f_code.co_name
        cause = WHERE.get(client, client)
        if client == "_run_timers":
            back = ", attempt back" if request.servers else ", never sent"
            cause += ", attempt out" if request.attempts_in_flight else back
        elif client == "_retry":
            last = self._node.requests[request.number].attempts
            cause += ", after " + "/".join(str(one.outcome.name) for one in last if one.outcome is not None)
        servers = [one for one in self._node.servers if one.is_alive]
        self._noes.append(
            No(
                self._state.now,
                self._node.depth,
                self._node.requests[request.number].client_request.index,
                request.class_number,
                cause,
                len(request.servers),
                self._state.now - self._came.get(request.number, self._state.now),
                self._limiter.limit if self._limiter.limit < inf else -1.0,
                self._limiter.in_flight,
                sum(one.held < one.cores for one in servers) / max(1, len(servers)),
                sum(one.held / one.cores for one in servers) / max(1, len(servers)),
            )
        )
        super()._finish(request)


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
