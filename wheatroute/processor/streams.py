"""One stream of a proxy: its messages, and the answers that the protocol of external processing has for them.

Owns the order of messages on a stream and the words of the answers, as published in
envoy.service.ext_proc.v3. It must never write two decisions, nor one for a request that is over, and never
holds a body or a trailer: they are answered at once.
"""

from __future__ import annotations

from enum import IntEnum
from math import ceil
from typing import Any, Protocol

from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingRequest, ProcessingResponse
from google.protobuf.message import DecodeError

from wheatroute.balancing.interface import Outcome, Report
from wheatroute.grpc.call import Call
from wheatroute.grpc.messages import CallError, Status
from wheatroute.net.exchange import REJECTED_STATUS, Attempt, Exchange
from wheatroute.processor.attempt_history import AttemptRecord, RejectedError, Rejection
from wheatroute.processor.load_reports import read_load_report
from wheatroute.processor.response_outcome import response_outcome
from wheatroute.processor.routing_request import InvalidRequestError, RoutingRequest

PATH = b"/envoy.service.ext_proc.v3.ExternalProcessor/Process"
ROUTED = 0  # the status of an exchange whose final answer to the proxy names a server
FLAGS = "response.flags"  # attributes that a proxy may send along
REJECTIONS = {
    Rejection.CONFLICT: (409, "conflict"),
    Rejection.MAY_HAVE_RUN: (502, "may-have-run"),
    Rejection.HISTORY_FULL: (503, "no-room"),
}


class Asked(Exchange):
    """A request of a proxy: its final answer is the decision, or that there is none."""

    __slots__ = ("stream", "attempt_record")

    def __init__(self, stream: Stream, request: RoutingRequest, attempt_record: AttemptRecord) -> None:
        super().__init__(b"", b"", request.request_id, b"", b"")
        self.request_class = request.request_class
        self.time_left_s = request.time_left_s
        self.tenant = request.tenant
        self.is_client_retry = request.is_client_retry or request.attempt_number > 1
        self.work_hint = request.work_hint
        self.stream, self.attempt_record = stream, attempt_record


class Dispatcher(Protocol):
    """What a stream needs of the service."""

    def arrived(self, stream: Stream, headers: Any) -> Asked:
        """Adds a request."""

    def left(self, exchange: Asked) -> None:
        """The proxy gave the request up."""

    def refused(self, exchange: Asked) -> None:
        """The balancer rejected or failed the request before any attempt."""

    def ended(self, exchange: Asked, outcome: Outcome, report: Report | None) -> None:
        """The attempt of a request has ended."""

    def answered(self, call: Call) -> None:
        """A stream has something to send."""


class Place(IntEnum):
    """How far a stream has come."""

    NEW = 0
    ASKED = 1
    DECIDED = 2
    OVERDUE = 3  # its server's time is over, and the proxy has said nothing yet
    ENDED = 4  # its server's answer has begun, or the proxy has its answer from here


class Stream:
    """A receiver: one stream stands for one request of the proxy."""

    __slots__ = ("call", "dispatcher", "place", "exchange", "attempt", "words")

    def __init__(self, call: Call, dispatcher: Dispatcher, words: Words) -> None:
        self.call, self.dispatcher, self.words = call, dispatcher, words
        self.place = Place.NEW
        self.exchange: Asked | None = None
        self.attempt: Attempt | None = None

    # what comes

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """Ignored: a server's receiver gets no response headers."""

    def message(self, message: bytes) -> None:
        """Handles a message of the proxy."""
        try:
            request = ProcessingRequest.FromString(message)
        except DecodeError:
            self._refuse(Status.INVALID_ARGUMENT, "no ProcessingRequest")
            return
        which = request.WhichOneof("request")
        if request.observability_mode:
            self._refuse(Status.FAILED_PRECONDITION, "in observability mode no decision could be heeded")
        elif which == "request_headers":
            self._request(request)
        elif which is None or self.place == Place.NEW:
            self._refuse(Status.INVALID_ARGUMENT, f"{which or 'nothing'} before the request's headers")
        elif which == "response_headers":
            self._response(request)
        elif self.place != Place.ASKED:
            self.call.send(_PASS[which])
        else:
            self._refuse(Status.INVALID_ARGUMENT, f"{which} before the decision")

    def half_closed(self) -> None:
        """The proxy has ended the stream."""
        self._end()
        self.call.finish()

    def over(self, how: CallError) -> None:
        """The stream was cancelled or reset."""
        self._end()

    # what that means

    def _request(self, request: Any) -> None:
        if self.place != Place.NEW:
            self._refuse(Status.INVALID_ARGUMENT, "the request's headers twice")
            return
        self.place = Place.ASKED
        try:
            self.exchange = self.dispatcher.arrived(self, request.request_headers.headers.headers)
        except InvalidRequestError as trouble:
            self._immediate(trouble.status, trouble.reason, 0.0)
        except RejectedError as refused:
            status, reason = REJECTIONS[refused.rejection]
            self._immediate(status, reason, 0.0)

    def _response(self, request: Any) -> None:
        if self.place not in (Place.DECIDED, Place.OVERDUE):
            self._refuse(Status.INVALID_ARGUMENT, "the response's headers out of turn")
            return
        headers = {
            one.key: one.raw_value or one.value.encode() for one in request.response_headers.headers.headers
        }
        if headers.get(":status", b"").startswith(b"1"):
            self.call.send(_PASS["response_headers"])
            return
        self.call.send(_PASS["response_headers"])
        if self.place == Place.OVERDUE:
            self.place = Place.ENDED  # its client may still want it; the module has given it up
        self._done(response_outcome(headers, _flags(request)), read_load_report(headers))

    def _end(self) -> None:
        """The proxy says no more: nothing is owed if it was told nothing, else the attempt may have run."""
        if self.exchange is None:
            return
        if self.place == Place.ASKED:
            self.place = Place.ENDED
            self.dispatcher.left(self.exchange)
            self.exchange = None
        else:
            self._done(Outcome.WITHDRAWN, None)

    def _done(self, outcome: Outcome, report: Report | None) -> None:
        if self.place == Place.DECIDED and self.exchange is not None:
            self.place = Place.ENDED
            self.dispatcher.ended(self.exchange, outcome, report)
            self.exchange = None  # they name each other

    def _refuse(self, status: Status, reason: str) -> None:
        self._end()
        self.place = Place.ENDED
        self.call.finish(status, reason)

    # answers

    def decided(self, attempt: Attempt, place: bytes, left: float) -> bool:
        """Names the server; False if nobody waits for it any more."""
        if self.call.is_over or self.place != Place.ASKED:
            return False
        self.attempt, self.place = attempt, Place.DECIDED
        self.call.send(self.words.decision(place, left))
        self.dispatcher.answered(self.call)
        return True

    def settled(self) -> None:
        """The exchange has its answer; a decision is written already."""
        if self.exchange is None or self.exchange.response is None:
            return
        answer = self.exchange.response
        if answer.status != ROUTED and self.place == Place.ASKED:
            self.dispatcher.refused(self.exchange)
            reason = "refused" if answer.status == REJECTED_STATUS else "failed"
            self._immediate(answer.status, reason, answer.retry_after_s)
            self.exchange = None

    def _immediate(self, status: int, reason: str, stay_away: float) -> None:
        self.place = Place.ENDED
        self.call.send(self.words.immediate(status, reason, stay_away))
        self.call.finish()
        self.dispatcher.answered(self.call)

    def give_up(self) -> None:
        """The server's time is over and the proxy says nothing: the attempt has run out of time."""
        if self.place == Place.DECIDED:
            self._done(Outcome.TIMED_OUT, None)
            self.place = Place.OVERDUE


class Words:
    """The answers that name a server, or that there is none, in the terms of the file."""

    def __init__(self, header: str, namespace: str, time_header: str) -> None:
        self._header, self._namespace, self._time_header = header, namespace, time_header
        self._known: dict[bytes, bytes] = {}

    def decision(self, place: bytes, left: float) -> bytes:
        """The encoded response that names a server; cached where no time is passed on."""
        known = self._known.get(place)
        if known is None:
            if len(self._known) > 65536:
                self._known.clear()  # servers come and go for years
            known = self._known[place] = self._decision(place)
        if not self._time_header:
            return known
        answer = ProcessingResponse.FromString(known)
        self._set(answer, self._time_header, b"%d" % max(1, int(left * 1000)))
        return answer.SerializeToString()

    def _decision(self, place: bytes) -> bytes:
        answer = ProcessingResponse()
        if self._header:
            self._set(answer, self._header, place)
        else:
            answer.request_headers.SetInParent()
        if self._namespace:
            fields = answer.dynamic_metadata.fields[self._namespace].struct_value.fields
            fields[self._header or "destination"].string_value = place.decode("ascii")
        return answer.SerializeToString()

    @staticmethod
    def _set(answer: Any, name: str, value: bytes) -> None:
        one = answer.request_headers.response.header_mutation.set_headers.add()
        one.header.key, one.header.raw_value = name, value
        one.append_action = 2  # OVERWRITE_IF_EXISTS_OR_ADD: a client's own header must not win

    @staticmethod
    def immediate(status: int, reason: str, stay_away: float) -> bytes:
        """The encoded response that has the proxy answer the client itself."""
        answer = ProcessingResponse()
        answer.immediate_response.status.code = status
        answer.immediate_response.details = f"wheatroute-{reason.replace(' ', '-')}"
        answer.immediate_response.body = reason.encode() + b"\n"
        if stay_away > 0.0:
            one = answer.immediate_response.headers.set_headers.add()
            # whole seconds, as clients beyond the proxy read it by the standard
            one.header.key, one.header.raw_value = "retry-after", b"%d" % ceil(stay_away)
        return answer.SerializeToString()


def _flags(request: Any) -> int:
    for told in request.attributes.values():
        if FLAGS in told.fields:
            return int(told.fields[FLAGS].number_value)
    return 0


def _pass(which: str) -> bytes:
    answer = ProcessingResponse()
    getattr(answer, which).SetInParent()
    return answer.SerializeToString()


_PASS = {
    which: _pass(which)
    for which in (
        "response_headers",
        "request_body",
        "response_body",
        "request_trailers",
        "response_trailers",
    )
}
