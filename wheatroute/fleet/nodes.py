"""Simulated nodes: each hosts one instance of the decision module or of a baseline policy. No I/O.

A node combines the parts that replace the network side of a real node, and records when it was notified of
drains. It makes no decisions itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from wheatroute.balancing.interface import AttemptOutcome, Event, ListEntry, Report, ServerState
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.connections import ConnectionPool
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.event_batches import DecisionMaker, EventBatcher
from wheatroute.fleet.network import Address, SimulatedNetwork
from wheatroute.fleet.node_commands import NodeCommandWriter
from wheatroute.fleet.node_requests import NodeRequests, RuleObserver
from wheatroute.fleet.plan import FleetPlan
from wheatroute.fleet.probes import Prober
from wheatroute.fleet.requests import ClientRequest, NodeRequest, RequestOutcome
from wheatroute.fleet.servers import Server
from wheatroute.fleet.trace import RequestTrace
from wheatroute.fleet.transport import AttemptTransport, JobSource

ENTRY_DEPTH = -1  # depth in the addresses of entry nodes, which clients send to


class ListSource(Protocol):
    """Provides nodes with the server list."""

    def send_full(self, node: Node) -> None:
        """Sends a node the full list of the servers of its tier."""


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """Holds the objects that all nodes of a run share."""

    plan: FleetPlan
    engine: Engine
    network: SimulatedNetwork
    jobs: JobSource
    server_list: ListSource
    observer: RuleObserver
    trace: RequestTrace


class Node:
    """One node that sends requests to the servers of the tier at `depth`.

    `sidecar_of` is the server whose calls it sends, or None for an entry node.
    """

    def __init__(
        self,
        environment: NodeEnvironment,
        depth: int,
        number: int,
        zone: int,
        servers: list[Server],
        sidecar_of: Server | None,
    ) -> None:
        self.depth = depth
        self.number = number
        self.zone = zone
        self.servers = servers  # of its tier, indexed by server number; new ones are appended
        self.address = Address(ENTRY_DEPTH, number) if sidecar_of is None else sidecar_of.address
        self.is_alive = True
        self._environment = environment
        # By server: when this node was notified that the server drains or is removed.
        self._drain_notices: dict[int, float] = {}
        engine, plan = environment.engine, environment.plan
        self._events = EventBatcher(engine)
        self._requests = NodeRequests(
            self.address,
            servers,
            self._drain_notices,
            engine,
            self._events,
            environment.observer,
            environment.trace,
            f"entry node {number}" if sidecar_of is None else f"node of server {self.address}",
        )
        self._connections = ConnectionPool(engine, servers, plan.network.idle_timeout_s)
        self._transport = AttemptTransport(
            engine,
            environment.network,
            plan.network,
            zone,
            self.address,
            self._connections,
            environment.jobs,
            self._requests.attempt_ended,
        )

    def attach(self, decision_maker: DecisionMaker) -> None:
        """Sets the decision maker, which must have been created for this node."""
        engine = self._environment.engine
        writer = NodeCommandWriter(
            engine,
            self.servers,
            self._events,
            self._requests,
            self._transport,
            self._connections,
            Prober(engine, self._environment.plan, self._transport, self._probe_ended),
            self._fetch_list,
        )
        self._events.attach(decision_maker, writer)

    @property
    def requests(self) -> dict[int, NodeRequest]:
        """The requests by number; each is kept until it and all its attempts have ended."""
        return self._requests.open_requests

    def mean_call_work_s(self, class_number: int) -> float:
        """Returns the mean work of a class's call to the node's tier, in seconds on a core of speed 1."""
        return self._environment.plan.mean_call_work_s(class_number, self.depth)

    def receive(
        self,
        client_request: ClientRequest,
        call_number: int,
        time_left_s: float,
        tenant: int,
        is_repeated: bool,
        on_answer: Callable[[RequestOutcome, float], None],
    ) -> NodeRequest:
        """Receives a request whose deadline is in `time_left_s` seconds; see also `NodeRequest`."""
        return self._requests.receive(
            client_request, call_number, time_left_s, tenant, is_repeated, on_answer
        )

    def client_left(self, request: NodeRequest) -> None:
        """Handles that the client has disconnected or given up."""
        if self.is_alive:
            self._requests.client_left(request)

    def list_received(self, entries: list[ListEntry], is_full: bool) -> None:
        """Receives the full server list, or changes of it, from the list service."""
        if not self.is_alive:
            return
        for entry in entries:
            server, state = entry[0], entry[4]
            if state == ServerState.LIVE:
                self._drain_notices.pop(server, None)
            else:
                self._drain_notices.setdefault(server, self._environment.engine.now)
        self._events.add(Event.SERVERS_LISTED, entries, is_full)

    def _fetch_list(self) -> None:
        self._environment.server_list.send_full(self)

    def _probe_ended(
        self, server: int, outcome: AttemptOutcome, elapsed_s: float, report: Report | None
    ) -> None:
        self._events.add(Event.PROBE_ENDED, server, outcome, elapsed_s, report)

    def die(self) -> list[NodeRequest]:
        """Ends the node and returns the requests that it had not answered.

        The node's attempts in flight are abandoned: their jobs run on, unless the servers can cancel them.
        """
        self.is_alive = False
        self._events.close()
        self._transport.close()
        unanswered = self._requests.abandon_all(self._transport)
        self._connections.close_all_idle()
        return unanswered


DecisionMakerFactory = Callable[[Node, DecisionSettings, Random], DecisionMaker]
