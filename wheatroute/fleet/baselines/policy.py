"""Base class of the baseline policies: request lifecycle behind the decision module's interface. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.interface import (
    AttemptOutcome,
    CommandWriter,
    DeduplicationGroup,
    Event,
    EventBatch,
    EventFields,
    Idempotency,
    ListEntry,
    Report,
    ServerState,
)
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.nodes import Node
from wheatroute.fleet.requests import NEVER_RAN

EXCLUSION_S = 1.0  # time for which a server is excluded after a refused connection
TICKS_BEFORE_DEADLINE = 2  # attempts must end this many ticks before the request's deadline


class PendingRequest:
    """Holds the state of one request."""

    __slots__ = (
        "class_number",
        "latest_at",
        "servers",
        "in_flight",
        "may_have_run",
        "is_over",
        "first_server",
    )

    def __init__(self, class_number: int, latest_at: float) -> None:
        self.class_number = class_number
        self.latest_at = latest_at  # time from which no attempt is sent
        self.servers: list[int] = []  # server of each attempt, in order
        self.in_flight = 0  # number of attempts that have not ended
        self.may_have_run = False  # whether an attempt that has ended may have run
        self.is_over = False
        self.first_server = -1  # server of the first attempt that may have run or is in flight; -1: none


class Policy:
    """Sends each request immediately to the server that `choose` returns, and retries where allowed."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random) -> None:
        self.node = node
        self.settings = settings
        self.rng = rng
        self.request_classes = settings.request_classes
        self.live: list[int] = []  # servers that are live according to the list, in order of their numbers
        self.in_flight: dict[int, int] = {}  # number of this node's attempts in flight by server
        self.now = 0.0
        self._states: dict[int, ServerState] = {}
        self._excluded_until: dict[int, float] = {}
        self._pending: dict[int, PendingRequest] = {}

    # methods that policies override

    def choose(self, candidates: list[int], class_number: int) -> int:
        """Chooses the server for an attempt from `candidates`."""
        raise NotImplementedError

    def record_outcome(
        self, server: int, class_number: int, outcome: AttemptOutcome, elapsed_s: float, report: Report | None
    ) -> None:
        """Is called when an attempt has ended."""

    def admits(self, class_number: int, time_left_s: float, candidates: list[int]) -> bool:
        """Returns whether to accept a request; if not, the request is rejected."""
        return True

    def first_attempt_sent(self, number: int, writer: CommandWriter) -> None:
        """Is called after a request's first attempt was sent."""

    def timer_due(self, writer: CommandWriter) -> None:
        """Is called when a time passed to `CommandWriter.wake_at` has come."""

    def probe_ended(
        self, server: int, outcome: AttemptOutcome, elapsed_s: float, report: Report | None
    ) -> None:
        """Is called with the result of a probe."""

    # events

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Handles a batch of events in the same way as `Balancer.handle_events`."""
        self.now = now
        for event, *fields in events:
            self._handle_event(event, tuple(fields), writer)

    def _handle_event(self, event: Event, fields: EventFields, writer: CommandWriter) -> None:
        if event == Event.ARRIVED:
            number, class_number, time_left_s = fields[:3]
            self._arrived(number, class_number, time_left_s, writer)
        elif event == Event.ATTEMPT_ENDED:
            self._attempt_ended(writer, *fields)
        elif event == Event.SERVERS_LISTED:
            self._servers_listed(*fields)
        elif event == Event.CLIENT_LEFT:
            self._close(fields[0], writer)
        elif event == Event.TIMER_DUE:
            self.timer_due(writer)
        elif event == Event.PROBE_ENDED:
            self.probe_ended(*fields)

    def _arrived(self, number: int, class_number: int, time_left_s: float, writer: CommandWriter) -> None:
        margin_s = TICKS_BEFORE_DEADLINE * self.settings.tick
        request = PendingRequest(class_number, self.now + time_left_s - margin_s)
        self._pending[number] = request
        has_time = time_left_s > margin_s
        if not has_time or not self.admits(class_number, time_left_s, self.candidates(request)):
            self._give_up(number, request, writer)
            return
        self._send(number, request, writer)
        if request.servers and not request.is_over:
            self.first_attempt_sent(number, writer)

    def _servers_listed(self, entries: list[ListEntry], is_full: bool) -> None:
        if is_full:
            self._states.clear()
        for entry in entries:
            self._states[entry[0]] = entry[4]
        self.live = sorted(server for server, state in self._states.items() if state == ServerState.LIVE)

    def _attempt_ended(
        self,
        writer: CommandWriter,
        number: int,
        attempt: int,
        server: int,
        outcome: AttemptOutcome,
        elapsed_s: float,
        is_finished: bool,
        report: Report | None,
    ) -> None:
        request = self._pending.get(number)
        if request is None:
            return
        request.in_flight -= 1
        self.in_flight[server] -= 1
        self.record_outcome(server, request.class_number, outcome, elapsed_s, report)
        if outcome == AttemptOutcome.UNCONNECTED:
            self._excluded_until[server] = self.now + EXCLUSION_S
        request.may_have_run = request.may_have_run or outcome not in NEVER_RAN
        if is_finished or outcome == AttemptOutcome.SERVED:
            self._close(number, writer)
        elif not request.is_over and not request.in_flight:
            self._retry(number, request, outcome, writer)
        if request.is_over and not request.in_flight:
            self._pending.pop(number, None)

    # attempts

    def candidates(self, request: PendingRequest) -> list[int]:
        """Returns the live servers that are not excluded and have not had an attempt of this request yet.

        Once a keyed request may have run, or has an attempt in flight, returns only servers in the
        deduplication group of the first server that may have run it.
        """
        candidates = [
            server
            for server in self.live
            if server not in request.servers and self._excluded_until.get(server, 0.0) <= self.now
        ]
        is_keyed = self.request_classes[request.class_number].idempotency == Idempotency.KEYED
        if is_keyed and (request.may_have_run or request.in_flight):
            group = self._group_number(request.first_server, request.class_number)
            return [
                server for server in candidates if self._group_number(server, request.class_number) == group
            ]
        return candidates

    def _group_number(self, number: int, class_number: int) -> int:
        """Returns the number of the server's deduplication group for a request class."""
        server = self.node.servers[number]
        group = self.request_classes[class_number].deduplication_group
        if group == DeduplicationGroup.ALL:
            return 0
        return server.zone if group == DeduplicationGroup.ZONE else server.cell

    def _send(self, number: int, request: PendingRequest, writer: CommandWriter) -> None:
        candidates = self.candidates(request)
        has_attempts = len(request.servers) < self.settings.max_attempts
        if not candidates or not has_attempts or self.now >= request.latest_at:
            self._give_up(number, request, writer)
            return
        server = self.choose(candidates, request.class_number)
        request.servers.append(server)
        if not request.may_have_run and not request.in_flight:
            request.first_server = server
        request.in_flight += 1
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        writer.attempt(number, server, request.latest_at - self.now)

    def hedge(self, number: int, writer: CommandWriter) -> None:
        """Sends one more attempt of an idempotent request that is in flight, if that is allowed."""
        request = self._pending.get(number)
        if request is None or request.is_over or not request.in_flight:
            return
        is_idempotent = self._is_idempotent(request)
        has_attempts = len(request.servers) < self.settings.max_attempts
        if is_idempotent and has_attempts and self.settings.can_hedge and self.candidates(request):
            self._send(number, request, writer)

    def _retry(
        self, number: int, request: PendingRequest, outcome: AttemptOutcome, writer: CommandWriter
    ) -> None:
        may_repeat = not request.may_have_run or self._is_idempotent(request)
        if may_repeat and outcome != AttemptOutcome.TIMED_OUT:
            self._send(number, request, writer)
        else:
            self._give_up(number, request, writer)

    def _is_idempotent(self, request: PendingRequest) -> bool:
        return self.request_classes[request.class_number].idempotency == Idempotency.IDEMPOTENT

    # ends

    def _give_up(self, number: int, request: PendingRequest, writer: CommandWriter) -> None:
        """Rejects a request if its client may safely retry it, else fails it."""
        has_run = request.may_have_run or request.in_flight
        if not has_run or self._is_idempotent(request):
            writer.reject(number, 0.0)
        else:
            writer.fail(number)
        self._close(number, writer)

    def _close(self, number: int, writer: CommandWriter) -> None:
        """Ends a request and cancels its attempts; its state is kept until these have ended."""
        request = self._pending.get(number)
        if request is None:
            return
        if not request.is_over:
            request.is_over = True
            if request.in_flight and self.settings.can_cancel:
                for attempt in range(len(request.servers)):
                    writer.cancel(number, attempt)
        if not request.in_flight:
            self._pending.pop(number, None)
