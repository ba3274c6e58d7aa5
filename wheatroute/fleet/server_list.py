"""The list service of a simulated fleet: sends full lists almost immediately, changes late. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from wheatroute.balancing.interface import ListEntry, ServerState
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.nodes import Node
from wheatroute.fleet.plan import NetworkPlan
from wheatroute.fleet.servers import Server

FULL_LIST_DELAY_S = 0.001  # from the start or request of a node until it receives the full list
SERVER_WEIGHT = 1.0  # in all list entries, since simulated servers don't announce a weight


def list_entry(server: Server, state: ServerState = ServerState.LIVE) -> ListEntry:
    """Returns the list entry of a server."""
    return (server.number, server.zone, server.model, server.cell, state, SERVER_WEIGHT, server.started_at)


class ServerList:
    """Sends nodes the server list of their tier; `tiers` is shared with `Membership`, which updates it."""

    def __init__(self, plan: NetworkPlan, engine: Engine, tiers: list[list[Server]], rng: Random) -> None:
        self.extra_delay_s = 0.0  # added by faults to the delay of changes
        self._plan = plan
        self._engine = engine
        self._tiers = tiers
        self._rng = rng

    def send_full(self, node: Node) -> None:
        """Sends a node the current full list of its tier."""
        entries = [list_entry(server) for server in self._tiers[node.depth] if server.is_alive]
        self._engine.call_later(FULL_LIST_DELAY_S, node.list_received, entries, True)

    def announce(self, server: Server, state: ServerState, nodes: Iterable[Node]) -> None:
        """Sends a server's new state to nodes; the delay is drawn for each node."""
        entry = list_entry(server, state)
        for node in nodes:
            jitter_s = self._plan.list_jitter_s * self._rng.random()
            delay_s = self._plan.list_delay_s + self.extra_delay_s + jitter_s
            self._engine.call_later(delay_s, node.list_received, [entry], False)
