"""Connects the proxies' streams with the decision module; each worker process has one dispatcher.

An attempt is in flight from its decision until the proxy reports its outcome or its deadline has passed.
Invariant: the end of each attempt is reported to the decision module exactly once. The dispatcher sends
nothing to servers: the proxies do.
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

# Interval at which attempts are checked for a passed deadline.
EXPIRY_CHECK_INTERVAL_S = 0.02
# Time after the deadline of an attempt during which the proxy may still report its outcome.
LATE_RESPONSE_GRACE_S = 0.05
# Outcomes that prove that the attempt was not executed.
NEVER_RAN_OUTCOMES = (AttemptOutcome.FULL, AttemptOutcome.UNCONNECTED, AttemptOutcome.MOOT)


class Dispatcher:
    """Passes requests from streams to the driver, and decisions from the driver to streams.

    Implements `RequestDispatcher` for the streams, and `AttemptSender` and `ServerRegistry` for the driver
    and service discovery.
    """

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
        # Addresses as "host:port", by server number.
        self._addresses: dict[int, bytes] = {}
        # Numbers of attempts in flight, by server number.
        self._in_flight: dict[int, int] = {}
        # Heap of (time at which the attempt expires, exchange number, stream).
        self._expiries: list[tuple[float, int, Stream]] = []
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
        """Applies new settings to later requests and, with `applies_to_pending`, to pending ones.

        Request classes are matched in the order of `request_classes`, which maps their names to numbers.
        `strict_variants` maps a class to the class of its requests without an idempotency key, see
        `RequestReader`. Pending requests are those that were accepted before; with
        `applies_to_pending` the driver also withdraws retries that are not written yet.
        """
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
        """Ends attempts whose outcome the proxy has not reported in time, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if self._expire_attempts(now()):
                self.driver.finish_burst()

    def _expire_attempts(self, moment: float) -> bool:
        """Ends expired attempts and discards the entries of attempts that have ended.

        Returns whether any entry was removed, of either kind.
        """
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
        """Returns the stream that receives the messages of a proxy's call."""
        return Stream(call, self, self._encoder)

    def finish_burst(self) -> None:
        """Handles the events that one read of a connection has added."""
        self.driver.finish_burst()

    # Methods that streams call.

    def add_request(self, stream: Stream, headers: Iterable[tuple[str, bytes]]) -> RoutedExchange:
        """Adds the request of a stream and returns its exchange.

        Raises `InvalidRequestError` if the headers don't describe a request, and `RejectedError` if the
        earlier attempts of the request id forbid another attempt.
        """
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
        """Ends a request whose proxy disconnected before the decision, and records that it never ran."""
        self.driver.begin_burst()
        self._history.record_never_ran(exchange.attempt_record)
        self.driver.abandon_request(exchange)

    def record_rejection(self, exchange: RoutedExchange) -> None:
        """Records that the balancer ended a request without a decision, so that its id may be sent again."""
        self._history.record_never_ran(exchange.attempt_record)

    def finish_attempt(
        self, exchange: RoutedExchange, outcome: AttemptOutcome, report: Report | None
    ) -> None:
        """Reports the outcome of a request's attempt; does nothing if there was no attempt."""
        attempt = exchange.stream.attempt
        if attempt is None:
            return
        self.driver.begin_burst()
        if outcome in NEVER_RAN_OUTCOMES:
            self._history.record_never_ran(exchange.attempt_record)
        self._in_flight[attempt.server] -= 1
        self.driver.finish_attempt(exchange, attempt, outcome, report)

    def schedule_flush(self, call: Call) -> None:
        """Schedules the messages of a call to be written after the current event batch."""
        self.driver.schedule_flush(call.session)

    # Methods that the driver and service discovery call.

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Sends the decision, which names the server's address, on the stream of the exchange.

        If the address is unknown or the stream has ended, the attempt ends as `AttemptOutcome.MOOT`.
        """
        assert isinstance(exchange, RoutedExchange)
        address = self._addresses.get(attempt.server)
        moment = now()
        time_left_s = exchange.deadline - moment
        # Recorded before the decision is written, because the stream may end during the write.
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
        """Sets the address of a server, which decisions for that server contain."""
        self._addresses[server] = b"%s:%d" % (address[0].encode(), address[1])

    def set_state(self, server: int, state: ServerState, started_at: float) -> None:
        """Does nothing: once a decision is made, the attempt can't be withheld any more."""

    def release(self, server: int) -> bool:
        """Removes a server; returns False, and keeps it, while attempts to it are in flight."""
        if self._in_flight.get(server):
            return False
        self._in_flight.pop(server, None)
        self._addresses.pop(server, None)
        return True

    def probe(self, server: int) -> None:
        """Does nothing: only the proxies have connections to servers."""

    def close_idle(self, server: int) -> None:
        """Does nothing: only the proxies have connections to servers."""
