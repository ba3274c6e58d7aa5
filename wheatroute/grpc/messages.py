"""The formats of gRPC over HTTP/2: message framing, statuses, timeouts, text in headers. No I/O.

Source: "gRPC over HTTP2" (PROTOCOL-HTTP2.md of the gRPC project). A message that is longer than the limit is
never buffered; malformed input raises `CallError`.
"""

from __future__ import annotations

import re
from enum import IntEnum
from urllib.parse import quote, unquote_to_bytes

MAX_MESSAGE_BYTES = 1 << 20  # default limit
MESSAGE_PREFIX_BYTES = 5  # the compressed flag, one byte, and the length, four bytes
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])\Z")
_SECONDS_BY_UNIT = {b"H": 3600.0, b"M": 60.0, b"S": 1.0, b"m": 1e-3, b"u": 1e-6, b"n": 1e-9}
Headers = list[tuple[bytes, bytes]]


class Status(IntEnum):
    """The status codes of gRPC."""

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
    """The outcome of a call: its status and the text of its `grpc-message`.

    Raised for a status other than OK.
    """

    def __init__(self, status: Status, text: str = "") -> None:
        super().__init__(f"{status.name}: {text}" if text else status.name)
        self.status, self.text = status, text


class Assembler:
    """Assembles length-prefixed messages from the bytes of a stream."""

    __slots__ = ("_buffer", "_max_bytes")

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer, self._max_bytes = b"", max_bytes

    @property
    def is_between_messages(self) -> bool:
        """Whether no incomplete message is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes; returns the messages that are now complete.

        Raises `CallError` for a message that is compressed or too long.
        """
        buffer = self._buffer + data if self._buffer else data
        messages, at, end = [], 0, len(buffer)
        while end - at >= MESSAGE_PREFIX_BYTES:
            length = int.from_bytes(buffer[at + 1 : at + MESSAGE_PREFIX_BYTES], "big")
            if buffer[at]:
                raise CallError(Status.UNIMPLEMENTED, "a compressed message, and no encoding was offered")
            if length > self._max_bytes:
                raise CallError(
                    Status.RESOURCE_EXHAUSTED, f"a message of {length} bytes of {self._max_bytes}"
                )
            if end - at - MESSAGE_PREFIX_BYTES < length:
                break
            messages.append(buffer[at + MESSAGE_PREFIX_BYTES : at + MESSAGE_PREFIX_BYTES + length])
            at += MESSAGE_PREFIX_BYTES + length
        self._buffer = buffer[at:]
        return messages


def frame_message(message: bytes) -> bytes:
    """Returns a message with its prefix; never compressed."""
    return b"\0" + len(message).to_bytes(4, "big") + message


def parse_timeout(text: bytes) -> float:
    """Returns the seconds of a `grpc-timeout`; raises `CallError` if it is malformed."""
    found = _TIMEOUT.match(text)
    if found is None:
        raise CallError(Status.INVALID_ARGUMENT, "no usable grpc-timeout")
    return float(found[1]) * _SECONDS_BY_UNIT[found[2]]


def encode_timeout(seconds: float) -> bytes:
    """Returns a `grpc-timeout`, rounded down to at most eight digits of a unit.

    If no time is left, this is the shortest timeout, one nanosecond.
    """
    if seconds <= 0.0:
        return b"1n"
    for unit, per_second in ((b"u", 1e6), (b"m", 1e3), (b"S", 1.0), (b"H", 1.0 / 3600.0)):
        if seconds * per_second < 1e8:
            return b"%d%s" % (max(1, int(seconds * per_second)), unit)
    return b"99999999H"


def encode_status_message(text: str) -> bytes:
    """Encodes the text of a `grpc-message` as percent-encoded UTF-8."""
    return quote(text, safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~").encode("ascii")


def decode_status_message(text: bytes) -> str:
    """Decodes the text of a `grpc-message`."""
    return unquote_to_bytes(text).decode("utf-8", "replace")


def status_from_headers(headers: dict[bytes, bytes]) -> CallError:
    """Returns the outcome of a call from its trailers, or from its headers in a trailers-only response."""
    code = headers.get(b"grpc-status", b"")
    if not code.isdigit():
        http = headers.get(b":status", b"")
        # From "HTTP to gRPC Status Code Mapping" of the gRPC project.
        by_http_status = {
            b"400": Status.INTERNAL,
            b"401": Status.UNAUTHENTICATED,
            b"403": Status.PERMISSION_DENIED,
            b"404": Status.UNIMPLEMENTED,
            b"429": Status.UNAVAILABLE,
            b"502": Status.UNAVAILABLE,
            b"503": Status.UNAVAILABLE,
            b"504": Status.UNAVAILABLE,
        }
        return CallError(
            by_http_status.get(http, Status.UNKNOWN), f"no grpc-status, HTTP {http.decode('latin-1')}"
        )
    status = Status(int(code)) if int(code) <= Status.UNAUTHENTICATED else Status.UNKNOWN
    return CallError(status, decode_status_message(headers.get(b"grpc-message", b"")))
