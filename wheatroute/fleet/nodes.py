"""Emulated nodes: each hosts one instance of the decision module, or a baseline in its place. No I/O.

A node keeps what the network side of a real one keeps: requests with their attempts, and when it was told of
drains. It decides nothing. Each attempt ends with one `Event.ATTEMPT_ENDED`, each request with one answer; a
wrong command goes to the rules' observer and changes nothing of the emulator's own state.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from wheatroute.balancing.interface import (
    CommandWriter,
    Event,
    EventBatch,
    EventFields,
    ListEntry,
    Outcome,
    Report,
    ServerState,
)
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.connections import ConnectionPool
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.network import SimulatedNetwork
from wheatroute.fleet.plan import FleetPlan
from wheatroute.fleet.probes import Prober
from wheatroute.fleet.requests import Attempt, ClientRequest, NodeRequest, RequestOutcome
from wheatroute.fleet.servers import Address, Server
from wheatroute.fleet.trace import RequestTrace
from wheatroute.fleet.transport import AttemptTransport, JobSource

ENTRY_DEPTH = -1  # depth in the addresses of nodes that clients send to


class Decisions(Protocol):
    """The decision module, or a baseline in its place."""

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Handles a batch of events, as `Balancer.handle_events`."""


class RuleObserver(Protocol):
    """Sees what nodes do, before it takes effect."""

    def attempt_sent(self, node: Node, request: NodeRequest, attempt: Attempt) -> None:
        """An attempt that is not among the request's attempts yet."""

    def request_answered(self, node: Node, request: NodeRequest, outcome: RequestOutcome) -> None:
        """A rejection or failure that is not the request's outcome yet."""


class ListSource(Protocol):
    """Where nodes get the server list from."""

    def send_full(self, node: Node) -> None:
        """Sends a node the full list of the servers that it sends to."""


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """What all nodes of a run share."""

    plan: FleetPlan
    engine: Engine
    network: SimulatedNetwork
    jobs: JobSource
    server_list: ListSource
    observer: RuleObserver
    trace: RequestTrace


class Node:
    """One node before the servers of one tier; `depth` is that tier's."""

    def __init__(
        self,
        environment: NodeEnvironment,
        depth: int,
        number: int,
        zone: int,
        servers: list[Server],
        beside: Server | None,
    ) -> None:
        self.depth = depth
        self.number = number
        self.zone = zone
        self.servers = servers  # of its tier, by number; new ones are appended
        self.beside = beside  # the server whose calls it takes; None at the entry
        self.address = Address(ENTRY_DEPTH, number) if beside is None else beside.address
        self.is_alive = True
        self.requests: dict[int, NodeRequest] = {}
        self.drain_notices: dict[int, float] = {}  # when it was told that a server drains or is removed
        self._engine = environment.engine
        self._plan = environment.plan
        self._observer = environment.observer
        self._trace = environment.trace
        self._name = f"entry node {number}" if beside is None else f"node of server {self.address}"
        self._received = 0
        self._connections = ConnectionPool(self._engine, servers, self._plan.network.idle_timeout_s)
        self._transport = AttemptTransport(
            self._engine,
            environment.network,
            self._plan.network,
            zone,
            self.address,
            self._connections,
            environment.jobs,
            self._attempt_ended,
        )
        prober = Prober(self._engine, self._plan, self._transport, self._probe_ended)
        self._writer = NodeCommandWriter(self, prober, self._connections, environment)
        self._events: list[EventFields] = []
        self._is_batch_due = False
        self._decisions: Decisions | None = None

    def host(self, decisions: Decisions) -> None:
        """Sets the decisions, which are made for this node."""
        self._decisions = decisions

    def mean_call_work_s(self, class_number: int) -> float:
        """Mean work of a request class at its servers, in seconds on a core of speed 1."""
        return self._plan.mean_call_work_s(class_number, self.depth)

    # requests

    def receive(
        self,
        client_request: ClientRequest,
        call: int,
        time_left_s: float,
        tenant: int,
        is_repeated: bool,
        on_answer: Callable[[RequestOutcome, float], None],
    ) -> NodeRequest:
        """A request comes in, with so many seconds to its deadline."""
        number = self._received
        self._received += 1
        deadline_at = self._engine.now + time_left_s
        request = NodeRequest(number, client_request, call, deadline_at, tenant, on_answer)
        self.requests[number] = request
        if self._trace.follows(request):
            self._add_to_trace(request, f"comes in with {time_left_s:.3f} s left")
        self.notify(Event.ARRIVED, number, request.class_number, time_left_s, tenant, is_repeated)
        return request

    def client_left(self, request: NodeRequest) -> None:
        """Nobody waits for the request any more."""
        if self.is_alive and not request.is_answered:
            request.outcome = RequestOutcome.LEFT
            self.notify(Event.CLIENT_LEFT, request.number)
            self._forget_if_done(request)

    def start_attempt(self, number: int, server_number: int, timeout_s: float) -> None:
        """Sends an attempt; see `CommandWriter.attempt`."""
        request = self.requests[number]
        server = self.servers[server_number]
        attempt = Attempt(request, len(request.attempts), server, self._engine.now)
        self._observer.attempt_sent(self, request, attempt)
        request.attempts.append(attempt)
        request.in_flight += 1
        if self._trace.follows(request):
            held = f"which holds {server.held}"
            self._add_to_trace(request, f"attempt {attempt.number} to server {server.address}, {held}")
        time_left_s = request.deadline_at - self._engine.now
        timeout_s = min(timeout_s, time_left_s) if timeout_s else time_left_s
        if request.is_answered or timeout_s <= 0.0:
            self._transport.end(attempt, Outcome.MOOT)
        else:
            self._transport.send(attempt, timeout_s)

    def cancel_attempt(self, number: int, attempt_number: int) -> None:
        """Cancels an attempt; without effect if it has ended."""
        request = self.requests.get(number)
        if request is None or attempt_number >= len(request.attempts):
            return
        attempt = request.attempts[attempt_number]
        if not attempt.is_over:
            self._transport.cancel(attempt)

    def answer(self, number: int, outcome: RequestOutcome, retry_after_s: float = 0.0) -> None:
        """Rejects or fails a request."""
        request = self.requests[number]
        self._observer.request_answered(self, request, outcome)
        if not request.is_answered:
            self._send_answer(request, outcome, retry_after_s)
            self._forget_if_done(request)

    def _attempt_ended(self, attempt: Attempt, report: Report | None) -> None:
        request, outcome = attempt.request, attempt.outcome
        elapsed_s = self._engine.now - attempt.sent_at
        request.in_flight -= 1
        if outcome is not None and self._trace.follows(request):
            text = f"attempt {attempt.number} ends: {outcome.name} after {elapsed_s:.3f} s"
            self._add_to_trace(request, text)
        if outcome == Outcome.SERVED and not request.is_answered:
            self._send_answer(request, RequestOutcome.SERVED, 0.0)
        self.notify(
            Event.ATTEMPT_ENDED,
            request.number,
            attempt.number,
            attempt.server.number,
            outcome,
            elapsed_s,
            request.is_answered,
            report,
        )
        self._forget_if_done(request)

    def _send_answer(self, request: NodeRequest, outcome: RequestOutcome, retry_after_s: float) -> None:
        request.outcome = outcome
        if self._trace.follows(request):
            self._add_to_trace(request, f"answered: {outcome}")
        request.on_answer(outcome, retry_after_s)

    def _forget_if_done(self, request: NodeRequest) -> None:
        if request.is_answered and request.in_flight <= 0:
            # after the present batch, as a command of it may name the request
            self._engine.call_at(self._engine.now, self._forget, request.number)

    def _forget(self, number: int) -> None:
        self.requests.pop(number, None)

    def _add_to_trace(self, request: NodeRequest, text: str) -> None:
        self._trace.add(self._name, self.depth, request, text)

    # events

    def notify(self, *event: Any) -> None:
        """Adds an event to the batch that the decisions get at the end of this moment."""
        if not self.is_alive:
            return
        self._events.append(event)
        if not self._is_batch_due:
            self._is_batch_due = True
            self._engine.call_at(self._engine.now, self._handle_batch)

    def _handle_batch(self) -> None:
        self._is_batch_due = False
        if not self.is_alive or self._decisions is None:
            return
        events = self._events
        self._events = []
        self._decisions.handle_events(self._engine.now, events, self._writer)

    def _probe_ended(self, server: int, outcome: Outcome, elapsed_s: float, report: Report | None) -> None:
        self.notify(Event.PROBE_ENDED, server, outcome, elapsed_s, report)

    def list_received(self, entries: list[ListEntry], is_full: bool) -> None:
        """The list service tells the full list or changes of it."""
        if not self.is_alive:
            return
        for entry in entries:
            server, state = entry[0], entry[4]
            if state == ServerState.LIVE:
                self.drain_notices.pop(server, None)
            else:
                self.drain_notices.setdefault(server, self._engine.now)
        self.notify(Event.SERVERS_LISTED, entries, is_full)

    # end

    def die(self) -> list[NodeRequest]:
        """Ends the node; returns the requests it had not answered. Its attempts go on at the servers."""
        self.is_alive = False
        self._transport.close()
        unanswered = [request for request in self.requests.values() if not request.is_answered]
        for request in self.requests.values():
            for attempt in request.attempts:
                if not attempt.is_over:
                    self._transport.abandon(attempt)
        self.requests.clear()
        self._connections.close_all_idle()
        return unanswered


class NodeCommandWriter:
    """Carries out the commands of one node's decisions; see `CommandWriter` for what each one means."""

    def __init__(
        self, node: Node, prober: Prober, connections: ConnectionPool, environment: NodeEnvironment
    ) -> None:
        self._node = node
        self._prober = prober
        self._connections = connections
        self._engine = environment.engine
        self._server_list = environment.server_list

    def attempt(self, request: int, server: int, time_out: float) -> None:
        """Sends an attempt."""
        self._node.start_attempt(request, server, time_out)

    def cancel(self, request: int, n: int) -> None:
        """Cancels an attempt."""
        self._node.cancel_attempt(request, n)

    def reject(self, request: int, stay_away: float) -> None:
        """Rejects a request, with the seconds after which it may come again."""
        self._node.answer(request, RequestOutcome.REJECTED, stay_away)

    def fail(self, request: int) -> None:
        """Fails a request."""
        self._node.answer(request, RequestOutcome.FAILED)

    def wake_at(self, moment: float) -> None:
        """Schedules an event batch."""
        self._engine.call_at(moment, self._node.notify, Event.TIMER_DUE)

    def probe(self, server: int) -> None:
        """Probes a server."""
        self._prober.probe(self._node.servers[server])

    def send_loads(self, figures: Mapping[int, float]) -> None:
        """Does nothing: nodes of emulated fleets have no peers."""

    def watch(self, enable: bool) -> None:
        """Sends the full list; changes are sent to all nodes anyway."""
        if enable:
            self.fetch()

    def fetch(self) -> None:
        """Sends the full list."""
        self._server_list.send_full(self._node)

    def close(self, server: int) -> None:
        """Closes idle connections to a server."""
        self._connections.close_idle(server)

    def log(self, text: str) -> None:
        """Does nothing: emulated fleets have no operators."""


DecisionsFactory = Callable[[Node, DecisionSettings, Random], Decisions]
