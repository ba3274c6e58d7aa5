"""The state machine of one external processing stream: checks the order of messages and responds to each.

Invariants: a stream writes at most one decision, and none for a request that has ended. Bodies and trailers
are not stored: they are acknowledged immediately. No I/O: the session reads and writes the connection.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from http import HTTPStatus
from typing import Any, Protocol

from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest
from google.protobuf.message import DecodeError

from wheatroute.balancing.interface import AttemptOutcome, Report
from wheatroute.grpc.call import Call
from wheatroute.grpc.messages import CallError, Status
from wheatroute.net.exchange import REJECTED_STATUS, Attempt, Exchange
from wheatroute.processor.attempt_history import AttemptRecord, RejectedError, Rejection
from wheatroute.processor.load_reports import read_load_report
from wheatroute.processor.processing_messages import (
    CONTINUE_RESPONSES,
    ResponseEncoder,
    header_values,
    response_flags,
)
from wheatroute.processor.response_outcome import response_outcome
from wheatroute.processor.routing_request import InvalidRequestError, RoutingRequest

# Status of an exchange that ended with a decision, which names a server. Exchanges that ended with a response
# to the client have its HTTP status.
ROUTED_STATUS = 0
# HTTP status and reason that the client is sent for each rejection.
REJECTION_RESPONSES = {
    Rejection.CONFLICT: (HTTPStatus.CONFLICT, "conflict"),
    Rejection.MAY_HAVE_RUN: (HTTPStatus.BAD_GATEWAY, "may-have-run"),
    Rejection.HISTORY_FULL: (HTTPStatus.SERVICE_UNAVAILABLE, "no-room"),
}


class RoutedExchange(Exchange):
    """An exchange for a proxy's request; complete once a server is chosen or the request is rejected."""

    __slots__ = ("stream", "attempt_record")

    def __init__(self, stream: Stream, request: RoutingRequest, attempt_record: AttemptRecord) -> None:
        super().__init__(b"", b"", request.request_id, b"", b"")
        self.request_class = request.request_class
        self.time_left_s = request.time_left_s
        self.tenant = request.tenant
        self.is_client_retry = request.is_client_retry or request.attempt_number > 1
        self.work_hint = request.work_hint
        self.stream = stream
        self.attempt_record = attempt_record


class RequestDispatcher(Protocol):
    """The interface to the dispatcher that a stream needs."""

    def add_request(self, stream: Stream, headers: Iterable[tuple[str, bytes]]) -> RoutedExchange:
        """Adds a request and returns its exchange; raises `InvalidRequestError` and `RejectedError`."""

    def abandon_request(self, exchange: RoutedExchange) -> None:
        """Ends a request that the proxy has cancelled before a decision."""

    def record_rejection(self, exchange: RoutedExchange) -> None:
        """Records that the balancer rejected or failed a request before any attempt."""

    def finish_attempt(
        self, exchange: RoutedExchange, outcome: AttemptOutcome, report: Report | None
    ) -> None:
        """Reports the outcome of a request's attempt, with the load report of the response if it had one."""

    def schedule_flush(self, call: Call) -> None:
        """Schedules the messages of a call to be written after the current event batch."""


class StreamState(IntEnum):
    """The state of a stream."""

    NEW = 0
    AWAITING_DECISION = 1
    DECIDED = 2
    # The attempt has timed out, but the proxy has not reported a response yet.
    OVERDUE = 3
    # The server's response has begun, an immediate response was sent, or the stream has ended.
    ENDED = 4


class Stream:
    """Receives the messages of a call; one stream is one request of the proxy."""

    __slots__ = ("call", "dispatcher", "state", "exchange", "attempt", "encoder")

    def __init__(self, call: Call, dispatcher: RequestDispatcher, encoder: ResponseEncoder) -> None:
        self.call = call
        self.dispatcher = dispatcher
        self.encoder = encoder
        self.state = StreamState.NEW
        self.exchange: RoutedExchange | None = None
        self.attempt: Attempt | None = None

    # Methods of the call's receiver.

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """Does nothing: this is the server side, and only clients receive response headers."""

    def message(self, message: bytes) -> None:
        """Handles a message of the proxy; a malformed or unexpected one ends the stream with an error."""
        try:
            request = ProcessingRequest.FromString(message)
        except DecodeError:
            self._fail(Status.INVALID_ARGUMENT, "no ProcessingRequest")
            return
        part = request.WhichOneof("request")
        if request.observability_mode:
            self._fail(Status.FAILED_PRECONDITION, "in observability mode no decision could be heeded")
        elif part == "request_headers":
            self._handle_request_headers(request)
        elif part is None or self.state == StreamState.NEW:
            self._fail(Status.INVALID_ARGUMENT, f"{part or 'nothing'} before the request's headers")
        elif part == "response_headers":
            self._handle_response_headers(request)
        elif self.state == StreamState.AWAITING_DECISION:
            self._fail(Status.INVALID_ARGUMENT, f"{part} before the decision")
        else:
            self.call.send(CONTINUE_RESPONSES[part])

    def half_closed(self) -> None:
        """Ends the stream after the proxy has closed its side."""
        self._end()
        self.call.finish()

    def call_ended(self, outcome: CallError) -> None:
        """Ends the attempt after the stream was cancelled or reset."""
        self._end()

    # Handlers of the proxy's messages.

    def _handle_request_headers(self, request: Any) -> None:
        if self.state != StreamState.NEW:
            self._fail(Status.INVALID_ARGUMENT, "the request's headers twice")
            return
        self.state = StreamState.AWAITING_DECISION
        headers = header_values(request.request_headers.headers.headers)
        try:
            self.exchange = self.dispatcher.add_request(self, headers)
        except InvalidRequestError as error:
            self._send_immediate(error.status, error.reason)
        except RejectedError as error:
            status, reason = REJECTION_RESPONSES[error.rejection]
            self._send_immediate(status, reason)

    def _handle_response_headers(self, request: Any) -> None:
        if self.state not in (StreamState.DECIDED, StreamState.OVERDUE):
            self._fail(Status.INVALID_ARGUMENT, "the response's headers out of turn")
            return
        headers = dict(header_values(request.response_headers.headers.headers))
        self.call.send(CONTINUE_RESPONSES["response_headers"])
        is_informational = headers.get(":status", b"").startswith(b"1")
        if is_informational:
            return
        if self.state == StreamState.OVERDUE:
            # The proxy may still pass this response to its client, but the balancer has already recorded a
            # timeout.
            self.state = StreamState.ENDED
        self._finish_attempt(response_outcome(headers, response_flags(request)), read_load_report(headers))

    def _end(self) -> None:
        """Ends the request because the proxy sends no more messages.

        If no decision was sent, the request never ran; after a decision, the attempt may have run.
        """
        if self.exchange is None:
            return
        if self.state == StreamState.AWAITING_DECISION:
            self.state = StreamState.ENDED
            self.dispatcher.abandon_request(self.exchange)
            self.exchange = None
        else:
            self._finish_attempt(AttemptOutcome.WITHDRAWN, None)

    def _finish_attempt(self, outcome: AttemptOutcome, report: Report | None) -> None:
        if self.state == StreamState.DECIDED and self.exchange is not None:
            self.state = StreamState.ENDED
            self.dispatcher.finish_attempt(self.exchange, outcome, report)
            # Breaks the reference cycle of stream and exchange.
            self.exchange = None

    def _fail(self, status: Status, reason: str) -> None:
        self._end()
        self.state = StreamState.ENDED
        self.call.finish(status, reason)

    # Responses to the proxy.

    def send_decision(self, attempt: Attempt, address: bytes, time_left_s: float) -> bool:
        """Sends the decision; returns False if the stream no longer awaits one.

        `address` is the server's, as "host:port".
        """
        if self.call.is_over or self.state != StreamState.AWAITING_DECISION:
            return False
        self.attempt = attempt
        self.state = StreamState.DECIDED
        self.call.send(self.encoder.decision(address, time_left_s))
        self.dispatcher.schedule_flush(self.call)
        return True

    def on_response(self) -> None:
        """Sends the final response of the exchange, unless it is a decision, which was already sent."""
        if self.exchange is None or self.exchange.response is None:
            return
        response = self.exchange.response
        if response.status != ROUTED_STATUS and self.state == StreamState.AWAITING_DECISION:
            self.dispatcher.record_rejection(self.exchange)
            reason = "refused" if response.status == REJECTED_STATUS else "failed"
            self._send_immediate(response.status, reason, response.retry_after_s)
            self.exchange = None

    def _send_immediate(self, status: int, reason: str, retry_after_s: float = 0.0) -> None:
        self.state = StreamState.ENDED
        self.call.send(self.encoder.immediate(status, reason, retry_after_s))
        self.call.finish()
        self.dispatcher.schedule_flush(self.call)

    def expire(self) -> None:
        """Ends the attempt as timed out because the proxy has not reported a response in time."""
        if self.state == StreamState.DECIDED:
            self._finish_attempt(AttemptOutcome.TIMED_OUT, None)
            self.state = StreamState.OVERDUE
