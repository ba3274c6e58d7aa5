"""Connects streams, the decision module and the servers' addresses; one dispatcher a process.

An attempt is in flight from its decision until the proxy says what became of it, or its time is over.
Invariant: the decision module hears of the end of each attempt exactly once. The proxies send the requests
to servers, nothing here does.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from heapq import heappop, heappush

import trio

from wheatroute.balancing.interface import AttemptOutcome, Report, ServerState
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.grpc.call import Call
from wheatroute.net.clock import now
from wheatroute.net.exchange import Attempt, Exchange, Response
from wheatroute.net.log import Logger
from wheatroute.processor.attempt_history import AttemptHistory, retention_s
from wheatroute.processor.burst_driver import BurstDriver
from wheatroute.processor.processing_messages import ResponseEncoder
from wheatroute.processor.routing_request import RequestReader
from wheatroute.processor.streams import ROUTED_STATUS, RoutedExchange, Stream, StreamState
from wheatroute.processor.worker_settings import WorkerSettings

EXPIRY_CHECK_INTERVAL_S = 0.02  # for attempts whose time is over
LATE_RESPONSE_GRACE_S = 0.05  # after its time, in which a proxy may still say what became of an attempt
NEVER_RAN_OUTCOMES = (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED, AttemptOutcome.MOOT)


class Dispatcher:
    """The upstream side of the driver, and what the streams call."""

    def __init__(self, settings: WorkerSettings, log: Logger) -> None:
        request_classes = settings.decision.request_classes
        self.driver = BurstDriver(settings.decision, settings.seed, log)
        self.driver.upstream = self
        self._encoder = ResponseEncoder(
            settings.processor.destination_header,
            settings.processor.metadata_namespace,
            settings.processor.time_header,
        )
        self._headers = settings.processor.headers
        self._reader = RequestReader(self._headers, request_classes, settings.tenants)
        self._history = AttemptHistory(
            request_classes, retention_s(request_classes), settings.processor.max_request_ids
        )
        self._addresses: dict[int, bytes] = {}  # by server
        self._in_flight: dict[int, int] = {}  # attempts by server
        self._expiries: list[tuple[float, int, Stream]] = []  # a heap: time, number of the exchange
        self.request_count = 0
        self.decision_count = 0

    def update_settings(
        self,
        settings: DecisionSettings,
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        strict_variants: Mapping[int, int],
        applies_to_pending: bool,
    ) -> None:
        """Takes other settings; request classes are matched in the order of `request_classes`."""
        self.driver.update_settings(settings, applies_to_pending)
        self._reader = RequestReader(
            self._headers,
            settings.request_classes,
            tenants,
            list(request_classes.values()),
            strict_variants,
        )
        self._history.update_settings(settings.request_classes, retention_s(settings.request_classes))

    async def run(self) -> None:
        """Ends attempts that proxies never speak of again, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if self._expire_attempts(now()):
                self.driver.finish_burst()

    def _expire_attempts(self, moment: float) -> bool:
        """Ends attempts whose time is over, and forgets those that have ended; returns if there were any."""
        has_expired = False
        while self._expiries:
            expires_at, _, stream = self._expiries[0]
            if expires_at > moment and stream.state == StreamState.DECIDED:
                break
            heappop(self._expiries)
            self.driver.begin_burst()
            stream.expire()
            has_expired = True
        return has_expired

    def open_stream(self, call: Call) -> Stream:
        """Returns the receiver of a call that a proxy has opened."""
        return Stream(call, self, self._encoder)

    def finish_burst(self) -> None:
        """Handles the events of one read of a connection."""
        self.driver.finish_burst()

    # called by streams

    def add_request(self, stream: Stream, headers: Iterable[tuple[str, bytes]]) -> RoutedExchange:
        """Adds the request of a stream; raises `InvalidRequestError` and `RejectedError`."""
        self.driver.begin_burst()
        self.request_count += 1
        request = self._reader.read(headers)
        attempt_record, earlier = self._history.begin_attempt(
            request.request_id,
            request.request_class,
            now(),
            request.time_left_s,
            request.attempt_number,
        )
        exchange = RoutedExchange(stream, request, attempt_record)
        exchange.on_response = stream.on_response
        self.driver.add_request(exchange, earlier)
        return exchange

    def abandon_request(self, exchange: RoutedExchange) -> None:
        """The proxy went before there was a decision: nothing ran."""
        self.driver.begin_burst()
        self._history.record_never_ran(exchange.attempt_record)
        self.driver.abandon_request(exchange)

    def record_rejection(self, exchange: RoutedExchange) -> None:
        """The balancer gave the request up before a decision: the same id may come again."""
        self._history.record_never_ran(exchange.attempt_record)

    def finish_attempt(
        self, exchange: RoutedExchange, outcome: AttemptOutcome, report: Report | None
    ) -> None:
        """The attempt of a request has ended."""
        attempt = exchange.stream.attempt
        if attempt is None:
            return
        self.driver.begin_burst()
        if outcome in NEVER_RAN_OUTCOMES:
            self._history.record_never_ran(exchange.attempt_record)
        self._in_flight[attempt.server] -= 1
        self.driver.finish_attempt(exchange, attempt, outcome, report)

    def schedule_flush(self, call: Call) -> None:
        """A stream has something to send."""
        self.driver.schedule_flush(call.session)

    # the upstream side of the driver

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Answers a stream with the address of its server."""
        assert isinstance(exchange, RoutedExchange)
        address = self._addresses.get(attempt.server)
        moment = now()
        time_left_s = exchange.deadline - moment
        # recorded before it is written: the stream may end while it is
        self._history.record_decision(exchange.attempt_record, attempt.server, moment)
        self._in_flight[attempt.server] = self._in_flight.get(attempt.server, 0) + 1
        if address is None or not exchange.stream.send_decision(attempt, address, time_left_s):
            self._history.record_never_ran(exchange.attempt_record)
            self._in_flight[attempt.server] -= 1
            self.driver.finish_attempt(exchange, attempt, AttemptOutcome.MOOT, None)
            return
        self.decision_count += 1
        expires_at = exchange.deadline + LATE_RESPONSE_GRACE_S
        heappush(self._expiries, (expires_at, exchange.number, exchange.stream))
        exchange.complete(Response(ROUTED_STATUS))

    def set_address(self, server: int, address: tuple[str, int]) -> None:
        """Sets a server's address, as the proxies get it."""
        self._addresses[server] = b"%s:%d" % (address[0].encode(), address[1])

    def set_state(self, server: int, state: ServerState, started_at: float) -> None:
        """Does nothing: between a decision and its response nothing could still be held back."""

    def release(self, server: int) -> bool:
        """Forgets a server unless attempts are in flight there; returns whether it was forgotten."""
        if self._in_flight.get(server):
            return False
        self._in_flight.pop(server, None)
        self._addresses.pop(server, None)
        return True

    def probe(self, server: int) -> None:
        """Does nothing: the connections to servers are the proxies'."""

    def close_idle(self, server: int) -> None:
        """Does nothing: the connections to servers are the proxies'."""
