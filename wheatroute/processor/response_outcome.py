"""Derives the outcome of an attempt from the headers of its response. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntFlag
from http import HTTPStatus

from wheatroute.balancing.interface import AttemptOutcome

# Header with which a server or proxy proves that the request never ran.
NOT_STARTED = "not-started"


class ResponseFlags(IntFlag):
    """The causes of a response that the proxy generated itself: bits of Envoy's `response.flags`."""

    NO_HEALTHY_HOST = 0x2
    TIMED_OUT = 0x4
    LOCAL_RESET = 0x8
    REMOTE_RESET = 0x10
    CONNECTION_FAILED = 0x20
    CONNECTION_ENDED = 0x40
    OVERFLOW = 0x80


_UNCONNECTED = ResponseFlags.NO_HEALTHY_HOST | ResponseFlags.CONNECTION_FAILED | ResponseFlags.OVERFLOW
_RESET = ResponseFlags.LOCAL_RESET | ResponseFlags.REMOTE_RESET | ResponseFlags.CONNECTION_ENDED
# Plain integers, since operations on `IntFlag` members are slow and these are compared for every response.
# The first entry with a flag that is set applies.
_FLAG_OUTCOMES = (
    (_UNCONNECTED.value, AttemptOutcome.UNCONNECTED),
    (ResponseFlags.TIMED_OUT.value, AttemptOutcome.TIMED_OUT),
    (_RESET.value, AttemptOutcome.RESET),
)


def response_outcome(headers: Mapping[str, bytes], flags: int = 0) -> AttemptOutcome:
    """Returns the outcome of an attempt; `flags` are the proxy's `ResponseFlags`, 0 if it sent none.

    Only the `not-started` header, or flags for a failed connection, prove that an attempt never ran.
    """
    status = headers.get(":status", b"")
    if len(status) != 3 or not status.isdigit():
        return AttemptOutcome.UNKNOWN
    for bits, outcome in _FLAG_OUTCOMES:
        if flags & bits:
            return outcome
    code = int(status)
    may_be_unstarted = code in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
    if may_be_unstarted and headers.get(NOT_STARTED, b"").strip() == b"1":
        return AttemptOutcome.FULL
    return AttemptOutcome.ERROR if code >= HTTPStatus.INTERNAL_SERVER_ERROR else AttemptOutcome.SERVED
