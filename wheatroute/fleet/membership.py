"""The servers and nodes of a simulated fleet: which exist, and how they start and end. No I/O."""

from __future__ import annotations

from wheatroute.balancing.interface import ServerState
from wheatroute.fleet import random_streams
from wheatroute.fleet.calls import CallGraph
from wheatroute.fleet.decision_settings import decision_settings
from wheatroute.fleet.nodes import DecisionMakerFactory, Node, NodeEnvironment
from wheatroute.fleet.requests import RequestOutcome
from wheatroute.fleet.server_factory import ServerFactory
from wheatroute.fleet.server_list import ServerList
from wheatroute.fleet.servers import UPDATE_INTERVAL_S, Server


class Membership:
    """Creates, starts and ends servers, entry nodes and the sidecar nodes that send the calls of servers.

    `tiers` holds all servers by tier; it is filled here and shared with the server list. A server's number is
    never reused for another one.
    """

    def __init__(
        self,
        environment: NodeEnvironment,
        seed: int,
        make_decision_maker: DecisionMakerFactory,
        tiers: list[list[Server]],
        server_list: ServerList,
        calls: CallGraph,
    ) -> None:
        self.tiers = tiers
        self.entry_nodes: list[Node] = []
        self.server_list = server_list
        self._environment = environment
        self._plan = environment.plan
        self._engine = environment.engine
        self._seed = seed
        self._make_decision_maker = make_decision_maker
        self._factory = ServerFactory(self._plan, seed, self._engine)
        self._sidecar_nodes = calls.sidecar_nodes

    def build(self) -> None:
        """Builds all servers and nodes of the plan."""
        for depth in range(len(self._plan.tiers)):
            self.tiers[depth].extend(self._factory.build_tier(depth))
        zones = len(self._plan.network.zones)
        for number in range(self._plan.nodes):
            self.entry_nodes.append(self._start_node(0, number, number % zones, None))
        for tier in self.tiers[:-1]:
            for server in tier:
                self._start_sidecar_node(server)

    def update_periodically(self) -> None:
        """Updates the servers whose speed may change with time alone, now and every UPDATE_INTERVAL_S."""
        for depth, tier in enumerate(self._plan.tiers):
            for server in self.tiers[depth]:
                if tier.collapse is not None or server.warmup_share() < 1.0:
                    server.update()
        self._engine.call_later(UPDATE_INTERVAL_S, self.update_periodically)

    # nodes

    def senders(self, depth: int) -> list[Node]:
        """Returns the live nodes that send to a tier."""
        if depth == 0:
            return [node for node in self.entry_nodes if node.is_alive]
        return [
            node
            for address, node in self._sidecar_nodes.items()
            if address.depth == depth - 1 and node.is_alive
        ]

    def kill_entry_node(self, node: Node) -> None:
        """Ends an entry node; its open requests are lost."""
        for request in node.die():
            request.on_answer(RequestOutcome.LOST, 0.0)

    def restart_entry_node(self, number: int) -> None:
        """Starts an entry node again, with a new decision maker that has no state."""
        self.entry_nodes[number] = self._start_node(0, number, self.entry_nodes[number].zone, None)

    def _start_node(self, depth: int, number: int, zone: int, sidecar_of: Server | None) -> Node:
        node = Node(self._environment, depth, number, zone, self.tiers[depth], sidecar_of)
        node_count = self._plan.nodes if depth == 0 else len(self.tiers[depth - 1])
        incarnation = sidecar_of.incarnation if sidecar_of is not None else 0
        rng = random_streams.stream(self._seed, "node", depth, number, incarnation)
        settings = decision_settings(self._plan, depth, number, zone, node_count)
        node.attach(self._make_decision_maker(node, settings, rng))
        self.server_list.send_full(node)
        return node

    def _start_sidecar_node(self, server: Server) -> None:
        node = self._start_node(server.depth + 1, server.number, server.zone, server)
        self._sidecar_nodes[server.address] = node

    # servers

    def kill_server(self, server: Server, is_silent: bool = False) -> None:
        """Ends a server's process and its sidecar node.

        With `is_silent` the whole machine fails: connections don't break, they time out.
        """
        for job in server.die():
            if job.owner is not None and not is_silent:
                job.owner.server_died(job)
        node = self._sidecar_nodes.get(server.address)
        if node is not None:
            node.die()

    def restart_server(self, server: Server) -> None:
        """Starts a server cold, with its existing number, and announces it as live."""
        server.start()
        if server.depth + 1 < len(self._plan.tiers):
            self._start_sidecar_node(server)
        self.announce(server, ServerState.LIVE)

    def replace_server(self, server: Server) -> None:
        """Starts a new server of the same model and zone; the old server keeps running."""
        tier = self.tiers[server.depth]
        successor = self._factory.build_successor(server, len(tier))
        tier.append(successor)
        self.restart_server(successor)

    def announce(self, server: Server, state: ServerState) -> None:
        """Announces a server's new state to the nodes that send to it."""
        self.server_list.announce(server, state, self.senders(server.depth))
