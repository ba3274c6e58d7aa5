"""What gRPC puts on top of HTTP/2: message framing, statuses, time-outs, text in headers. Free of I/O.

Owns these formats as published in gRPC over HTTP/2 (PROTOCOL-HTTP2.md of the gRPC project). It must never
hold more of a message than its bound allows, and never guess at what is malformed.
"""

from __future__ import annotations

import re
from enum import IntEnum
from urllib.parse import quote, unquote_to_bytes

LONGEST_MESSAGE = 1 << 20  # bytes, where nobody says otherwise
_TIME_OUT = re.compile(rb"([0-9]{1,8})([HMSmun])\Z")
_UNITS = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
Headers = list[tuple[bytes, bytes]]


class Status(IntEnum):
    """The published status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class CallError(Exception):
    """How a call ended, if not well."""

    def __init__(self, status: Status, text: str = "") -> None:
        super().__init__(f"{status.name}: {text}" if text else status.name)
        self.status, self.text = status, text


class Assembler:
    """Takes the bytes of a stream and gives whole messages."""

    __slots__ = ("_buffer", "_longest")

    def __init__(self, longest: int = LONGEST_MESSAGE) -> None:
        self._buffer, self._longest = b"", longest

    @property
    def between(self) -> bool:
        """Whether no part of a message is here."""
        return not self._buffer

    def take(self, data: bytes) -> list[bytes]:
        """The messages that are whole by now; raises `CallError` for one that may not be taken."""
        buffer = self._buffer + data if self._buffer else data
        messages, at, end = [], 0, len(buffer)
        while end - at >= 5:
            length = int.from_bytes(buffer[at + 1 : at + 5], "big")
            if buffer[at]:
                raise CallError(Status.UNIMPLEMENTED, "a compressed message, and no encoding was offered")
            if length > self._longest:
                raise CallError(Status.RESOURCE_EXHAUSTED, f"a message of {length} bytes of {self._longest}")
            if end - at - 5 < length:
                break
            messages.append(buffer[at + 5 : at + 5 + length])
            at += 5 + length
        self._buffer = buffer[at:]
        return messages


def framed(message: bytes) -> bytes:
    return b"\0" + len(message).to_bytes(4, "big") + message


def time_out(text: bytes) -> float:
    """Seconds of a `grpc-timeout`."""
    found = _TIME_OUT.match(text)
    if found is None:
        raise CallError(Status.INVALID_ARGUMENT, "no usable grpc-timeout")
    return float(found[1]) * _UNITS[found[2]]


def time_out_text(seconds: float) -> bytes:
    if seconds <= 0.0:
        return b"1n"
    for unit, of in ((b"u", 1e6), (b"m", 1e3), (b"S", 1.0), (b"H", 1.0 / 3600.0)):
        if seconds * of < 1e8:
            return b"%d%s" % (max(1, int(seconds * of)), unit)
    return b"99999999H"


def escaped(text: str) -> bytes:
    """A `grpc-message`: percent-encoded UTF-8."""
    return quote(text, safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~").encode("ascii")


def unescaped(text: bytes) -> str:
    return unquote_to_bytes(text).decode("utf-8", "replace")


def status_of(headers: dict[bytes, bytes]) -> CallError:
    """How trailers, or headers that are an answer's only ones, say that a call ended."""
    code = headers.get(b"grpc-status", b"")
    if not code.isdigit():
        http = headers.get(b":status", b"")
        known = {
            b"400": Status.INTERNAL,
            b"401": Status.UNAUTHENTICATED,
            b"403": Status.PERMISSION_DENIED,
            b"404": Status.UNIMPLEMENTED,
            b"429": Status.UNAVAILABLE,
            b"502": Status.UNAVAILABLE,
            b"503": Status.UNAVAILABLE,
            b"504": Status.UNAVAILABLE,
        }
        return CallError(known.get(http, Status.UNKNOWN), f"no status, HTTP {http.decode('latin-1')}")
    status = Status(int(code)) if int(code) <= Status.UNAUTHENTICATED else Status.UNKNOWN
    return CallError(status, unescaped(headers.get(b"grpc-message", b"")))
