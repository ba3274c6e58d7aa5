"""One stream of a proxy: the order of its messages, and which response each of them gets.

Invariants: a stream writes one decision at most, and none for a request that is over. Bodies and trailers are
not kept: they are answered at once. No I/O: the session reads and writes the connection.
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

ROUTED_STATUS = 0  # of an exchange whose final response to the proxy names a server
REJECTION_RESPONSES = {
    Rejection.CONFLICT: (HTTPStatus.CONFLICT, "conflict"),
    Rejection.MAY_HAVE_RUN: (HTTPStatus.BAD_GATEWAY, "may-have-run"),
    Rejection.HISTORY_FULL: (HTTPStatus.SERVICE_UNAVAILABLE, "no-room"),
}


class RoutedExchange(Exchange):
    """A request of a proxy: its final response is the decision, or that there is none."""

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
    """What a stream needs of the service."""

    def add_request(self, stream: Stream, headers: Iterable[tuple[str, bytes]]) -> RoutedExchange:
        """Adds a request; raises `InvalidRequestError` and `RejectedError`."""

    def abandon_request(self, exchange: RoutedExchange) -> None:
        """The proxy gave the request up."""

    def record_rejection(self, exchange: RoutedExchange) -> None:
        """The balancer rejected or failed the request before any attempt."""

    def finish_attempt(
        self, exchange: RoutedExchange, outcome: AttemptOutcome, report: Report | None
    ) -> None:
        """The attempt of a request has ended."""

    def schedule_flush(self, call: Call) -> None:
        """A stream has something to send."""


class StreamState(IntEnum):
    """How far a stream has come."""

    NEW = 0
    AWAITING_DECISION = 1
    DECIDED = 2
    OVERDUE = 3  # its server's time is over, and the proxy has said nothing yet
    ENDED = 4  # its server's response has begun, or the proxy has its response from here


class Stream:
    """The receiver of a call; one stream stands for one request of the proxy."""

    __slots__ = ("call", "dispatcher", "state", "exchange", "attempt", "encoder")

    def __init__(self, call: Call, dispatcher: RequestDispatcher, encoder: ResponseEncoder) -> None:
        self.call = call
        self.dispatcher = dispatcher
        self.encoder = encoder
        self.state = StreamState.NEW
        self.exchange: RoutedExchange | None = None
        self.attempt: Attempt | None = None

    # the receiver of the call

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """Ignored: a server's receiver gets no response headers."""

    def message(self, message: bytes) -> None:
        """Handles a message of the proxy."""
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
        """The proxy has ended the stream."""
        self._end()
        self.call.finish()

    def over(self, how: CallError) -> None:
        """The stream was cancelled or reset."""
        self._end()

    # messages of the proxy

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
            self.state = StreamState.ENDED  # its client may still want it; the balancer has given it up
        self._finish_attempt(response_outcome(headers, response_flags(request)), read_load_report(headers))

    def _end(self) -> None:
        """The proxy says no more: without a decision nothing ran, else the attempt may have run."""
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
            self.exchange = None  # they refer to each other

    def _fail(self, status: Status, reason: str) -> None:
        self._end()
        self.state = StreamState.ENDED
        self.call.finish(status, reason)

    # responses

    def send_decision(self, attempt: Attempt, address: bytes, time_left_s: float) -> bool:
        """Names the server; returns False if nobody waits for it any more."""
        if self.call.is_over or self.state != StreamState.AWAITING_DECISION:
            return False
        self.attempt = attempt
        self.state = StreamState.DECIDED
        self.call.send(self.encoder.decision(address, time_left_s))
        self.dispatcher.schedule_flush(self.call)
        return True

    def on_response(self) -> None:
        """The exchange has its final response; one that names a server is written already."""
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
        """The server's time is over and the proxy says nothing: the attempt has timed out."""
        if self.state == StreamState.DECIDED:
            self._finish_attempt(AttemptOutcome.TIMED_OUT, None)
            self.state = StreamState.OVERDUE
