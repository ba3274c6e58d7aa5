"""The formats of gRPC over HTTP/2: message framing, statuses, timeouts, text in headers. No I/O.

Source: "gRPC over HTTP2" (PROTOCOL-HTTP2.md of the gRPC project). No more of a message is buffered than its
limit allows; what is malformed raises `CallError`.
"""

from __future__ import annotations

import re
from enum import IntEnum
from urllib.parse import quote, unquote_to_bytes

MAX_MESSAGE_BYTES = 1 << 20  # unless a limit is given
MESSAGE_HEAD_BYTES = 5  # compressed flag and length
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])\Z")
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
    """A call that ended with a status other than OK; `text` is its message."""

    def __init__(self, status: Status, text: str = "") -> None:
        super().__init__(f"{status.name}: {text}" if text else status.name)
        self.status, self.text = status, text


class Assembler:
    """Assembles the messages of a stream from its bytes."""

    __slots__ = ("_buffer", "_max_bytes")

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer, self._max_bytes = b"", max_bytes

    @property
    def is_between_messages(self) -> bool:
        """Whether no incomplete message is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are complete now; raises `CallError` for one that is not acceptable."""
        buffer = self._buffer + data if self._buffer else data
        messages, at, end = [], 0, len(buffer)
        while end - at >= MESSAGE_HEAD_BYTES:
            length = int.from_bytes(buffer[at + 1 : at + MESSAGE_HEAD_BYTES], "big")
            if buffer[at]:
                raise CallError(Status.UNIMPLEMENTED, "a compressed message, and no encoding was offered")
            if length > self._max_bytes:
                raise CallError(
                    Status.RESOURCE_EXHAUSTED, f"a message of {length} bytes of {self._max_bytes}"
                )
            if end - at - MESSAGE_HEAD_BYTES < length:
                break
            messages.append(buffer[at + MESSAGE_HEAD_BYTES : at + MESSAGE_HEAD_BYTES + length])
            at += MESSAGE_HEAD_BYTES + length
        self._buffer = buffer[at:]
        return messages


def frame_message(message: bytes) -> bytes:
    """A message with its head; never compressed."""
    return b"\0" + len(message).to_bytes(4, "big") + message


def parse_timeout(text: bytes) -> float:
    """The seconds of a `grpc-timeout`; raises `CallError`."""
    found = _TIMEOUT.match(text)
    if found is None:
        raise CallError(Status.INVALID_ARGUMENT, "no usable grpc-timeout")
    return float(found[1]) * _UNITS[found[2]]


def encode_timeout(seconds: float) -> bytes:
    """The `grpc-timeout` of so many seconds, rounded down to eight digits of a unit."""
    if seconds <= 0.0:
        return b"1n"
    for unit, of in ((b"u", 1e6), (b"m", 1e3), (b"S", 1.0), (b"H", 1.0 / 3600.0)):
        if seconds * of < 1e8:
            return b"%d%s" % (max(1, int(seconds * of)), unit)
    return b"99999999H"


def encode_status_message(text: str) -> bytes:
    """A `grpc-message`: percent-encoded UTF-8."""
    return quote(text, safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~").encode("ascii")


def decode_status_message(text: bytes) -> str:
    """The text of a `grpc-message`."""
    return unquote_to_bytes(text).decode("utf-8", "replace")


def status_of(headers: dict[bytes, bytes]) -> CallError:
    """The status of a call by its trailers, or by its headers where those are the only ones."""
    code = headers.get(b"grpc-status", b"")
    if not code.isdigit():
        http = headers.get(b":status", b"")
        by_http_status = {  # "HTTP to gRPC Status Code Mapping" of the gRPC project
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
            by_http_status.get(http, Status.UNKNOWN), f"no status, HTTP {http.decode('latin-1')}"
        )
    status = Status(int(code)) if int(code) <= Status.UNAUTHENTICATED else Status.UNKNOWN
    return CallError(status, decode_status_message(headers.get(b"grpc-message", b"")))
