"""Requests at one node, with their attempts, from arrival to answer. No I/O.

Each attempt ends with one `Event.ATTEMPT_ENDED` and each request with one answer. An incorrect command is
reported to the observer of the rules and does not corrupt the state of the simulator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from wheatroute.balancing.interface import AttemptOutcome, Event, Report
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.event_batches import EventBatcher
from wheatroute.fleet.network import Address
from wheatroute.fleet.requests import Attempt, ClientRequest, NodeRequest, RequestOutcome
from wheatroute.fleet.servers import Server
from wheatroute.fleet.trace import RequestTrace
from wheatroute.fleet.transport import AttemptTransport


class RuleObserver(Protocol):
    """Is notified of the attempts and answers of nodes before they take effect."""

    def attempt_sent(self, request: NodeRequest, attempt: Attempt, drain_notified_at: float | None) -> None:
        """Is called before an attempt is added to the attempts of its request.

        `drain_notified_at` is when the node was notified that the server drains or is removed, else None.
        """

    def request_answered(self, request: NodeRequest, outcome: RequestOutcome) -> None:
        """Is called with a rejection or failure before it becomes the outcome of the request."""


class NodeRequests:
    """Manages the requests of one node; `open_requests` has each until it and its attempts have ended."""

    def __init__(
        self,
        address: Address,
        servers: list[Server],
        drain_notices: dict[int, float],
        engine: Engine,
        events: EventBatcher,
        observer: RuleObserver,
        trace: RequestTrace,
        trace_name: str,
    ) -> None:
        self.open_requests: dict[int, NodeRequest] = {}
        self._address = address
        self._servers = servers
        self._drain_notices = drain_notices
        self._engine = engine
        self._events = events
        self._observer = observer
        self._trace = trace
        self._trace_name = trace_name
        self._received = 0

    def receive(
        self,
        client_request: ClientRequest,
        call_number: int,
        time_left_s: float,
        tenant: int,
        is_repeated: bool,
        on_answer: Callable[[RequestOutcome, float], None],
    ) -> NodeRequest:
        """Receives a request whose deadline is in `time_left_s` seconds."""
        number = self._received
        self._received += 1
        deadline_at = self._engine.now + time_left_s
        request = NodeRequest(
            self._address, number, client_request, call_number, deadline_at, tenant, on_answer
        )
        self.open_requests[number] = request
        if self._trace.follows(request):
            self._add_to_trace(request, f"arrives with {time_left_s:.3f} s left")
        self._events.add(Event.ARRIVED, number, request.class_number, time_left_s, tenant, is_repeated)
        return request

    def client_left(self, request: NodeRequest) -> None:
        """Handles that the client has disconnected or given up."""
        if not request.is_answered:
            request.outcome = RequestOutcome.LEFT
            self._events.add(Event.CLIENT_LEFT, request.number)
            self._forget_if_done(request)

    def start_attempt(
        self, number: int, server_number: int, timeout_s: float, transport: AttemptTransport
    ) -> None:
        """Sends an attempt; with a timeout of 0 it lasts until the request's deadline."""
        request = self.open_requests[number]
        server = self._servers[server_number]
        attempt = Attempt(request, len(request.attempts), server, self._engine.now)
        self._observer.attempt_sent(request, attempt, self._drain_notices.get(server_number))
        request.attempts.append(attempt)
        request.in_flight += 1
        if self._trace.follows(request):
            held = f"which holds {server.held_jobs} jobs"
            self._add_to_trace(request, f"attempt {attempt.number} to server {server.address}, {held}")
        time_left_s = request.deadline_at - self._engine.now
        timeout_s = min(timeout_s, time_left_s) if timeout_s else time_left_s
        if request.is_answered or timeout_s <= 0.0:
            transport.end(attempt, AttemptOutcome.MOOT)
        else:
            transport.send(attempt, timeout_s)

    def cancel_attempt(self, number: int, attempt_number: int, transport: AttemptTransport) -> None:
        """Cancels an attempt; does nothing if the attempt has ended or does not exist."""
        request = self.open_requests.get(number)
        if request is None or attempt_number >= len(request.attempts):
            return
        attempt = request.attempts[attempt_number]
        if not attempt.is_over:
            transport.cancel(attempt)

    def attempt_ended(self, attempt: Attempt, report: Report | None) -> None:
        """Handles the end of an attempt and answers the request if the attempt was SERVED."""
        request, outcome = attempt.request, attempt.outcome
        elapsed_s = self._engine.now - attempt.sent_at
        request.in_flight -= 1
        if outcome is not None and self._trace.follows(request):
            text = f"attempt {attempt.number} ended: {outcome.name} after {elapsed_s:.3f} s"
            self._add_to_trace(request, text)
        if outcome == AttemptOutcome.SERVED and not request.is_answered:
            self._send_answer(request, RequestOutcome.SERVED, 0.0)
        self._events.add(
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

    def answer(self, number: int, outcome: RequestOutcome, retry_after_s: float = 0.0) -> None:
        """Answers a request with a rejection or failure."""
        request = self.open_requests[number]
        self._observer.request_answered(request, outcome)
        if not request.is_answered:
            self._send_answer(request, outcome, retry_after_s)
            self._forget_if_done(request)

    def abandon_all(self, transport: AttemptTransport) -> list[NodeRequest]:
        """Abandons all attempts in flight, as the node ends; returns the requests that were not answered."""
        requests = list(self.open_requests.values())
        for request in requests:
            for attempt in request.attempts:
                if not attempt.is_over:
                    transport.abandon(attempt)
        self.open_requests.clear()
        return [request for request in requests if not request.is_answered]

    def _send_answer(self, request: NodeRequest, outcome: RequestOutcome, retry_after_s: float) -> None:
        request.outcome = outcome
        if self._trace.follows(request):
            self._add_to_trace(request, f"answered: {outcome}")
        request.on_answer(outcome, retry_after_s)

    def _forget_if_done(self, request: NodeRequest) -> None:
        if request.is_answered and request.in_flight <= 0:
            # Deferred until after the current batch, because a later command in it may name the request.
            self._engine.call_at(self._engine.now, self._forget, request.number)

    def _forget(self, number: int) -> None:
        self.open_requests.pop(number, None)

    def _add_to_trace(self, request: NodeRequest, text: str) -> None:
        self._trace.add(self._trace_name, self._address.depth + 1, request, text)
