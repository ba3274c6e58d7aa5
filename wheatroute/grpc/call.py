"""One gRPC call on a connection, on the client or the server. No I/O: the session reads and writes.

A call queues the messages that do not fit the peer's flow-control windows yet, and notifies its receiver of
headers, messages and the end of the call, in order.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

import h2.errors

from wheatroute.grpc.messages import (
    MESSAGE_PREFIX_BYTES,
    Assembler,
    CallError,
    Headers,
    Status,
    encode_status_message,
    frame_message,
)

if TYPE_CHECKING:
    from wheatroute.grpc.session import Session

RESPONSE: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


class Receiver(Protocol):
    """Handles the events of a call. No method may block or raise."""

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """Handles the headers of the response (clients only)."""

    def message(self, message: bytes) -> None:
        """Handles one complete message."""

    def half_closed(self) -> None:
        """Handles the end of the request: the client sends no more messages (servers only)."""

    def call_ended(self, outcome: CallError) -> None:
        """Handles the end of the call, unless `finish` or `cancel` on this side caused it.

        Called at most once, after all other events. `outcome` may have the status OK.
        """


class NullReceiver:
    """Ignores all events."""

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """Does nothing."""

    def message(self, message: bytes) -> None:
        """Does nothing."""

    def half_closed(self) -> None:
        """Does nothing."""

    def call_ended(self, outcome: CallError) -> None:
        """Does nothing."""


NULL_RECEIVER = NullReceiver()


class Call:
    """One call: an HTTP/2 stream of a session, on the client or the server.

    `head` holds the request's headers on a server, the response's headers or trailers on a client.
    """

    __slots__ = (
        "stream_id",
        "session",
        "head",
        "receiver",
        "has_manual_flow_control",
        "local_end",
        "remote_end",
        "is_over",
        "headers_sent",
        "unread_messages",
        "unacknowledged",
        "_assembler",
        "_queue",
        "_trailers",
        "never_ran",
    )

    def __init__(self, stream_id: int, session: Session, head: dict[bytes, bytes]) -> None:
        self.stream_id, self.session, self.head = stream_id, session, head
        self.receiver: Receiver = NULL_RECEIVER
        # Whether the receiver calls `mark_read` for each message; else a message counts as read at once.
        self.has_manual_flow_control = False
        # Whether this side and the peer have ended their direction, and whether the call has ended.
        self.local_end = self.remote_end = self.is_over = False
        self.headers_sent = False  # whether the response headers were sent (servers only)
        self.never_ran = False  # the peer stated that it did not process the call
        # Bytes of complete messages, with their prefixes, that the receiver has not read.
        self.unread_messages = 0
        # Received bytes that count against the flow-control windows until they are read.
        self.unacknowledged = 0
        self._assembler = Assembler(session.limits.max_message_bytes)
        self._queue: deque[bytes] = deque()
        self._trailers: Headers | None = None

    @property
    def unsent(self) -> int:
        """The number of queued bytes, which do not fit the peer's flow-control windows yet."""
        return sum(map(len, self._queue))

    def send(self, message: bytes) -> None:
        """Queues one message and sends what the flow-control windows allow; does nothing on an ended call."""
        if self.is_over or self.local_end:
            return
        session = self.session
        if not self.headers_sent and not session.client_side:
            self.headers_sent = True
            session.h2.send_headers(self.stream_id, RESPONSE)
        self._queue.append(frame_message(message))
        session.push(self)

    def finish(self, status: Status = Status.OK, text: str = "", extra: Headers | None = None) -> None:
        """Ends the response with a status (servers only), after all messages that are still queued.

        `text` is the `grpc-message`; `extra` are further trailers.
        """
        if self.is_over or self.local_end:
            return
        trailers = [(b"grpc-status", b"%d" % status), *(extra or [])]
        if text:
            trailers.append((b"grpc-message", encode_status_message(text)))
        self._trailers = trailers if self.headers_sent else RESPONSE + trailers
        self.local_end = True
        self.session.push(self)

    def half_close(self) -> None:
        """Ends the request (clients only): no more messages may be sent."""
        if not self.is_over and not self.local_end:
            self._trailers, self.local_end = [], True
            self.session.push(self)

    def cancel(self, code: int = h2.errors.ErrorCodes.CANCEL) -> None:
        """Resets the stream with an HTTP/2 error code; the receiver gets no further events."""
        self.session.reset(self, code)

    def mark_read(self, message_bytes: int) -> None:
        """Notes that a message was read; enlarges the flow-control windows again once all are read.

        `message_bytes` is the length of the message without its prefix.
        """
        self.unread_messages -= message_bytes + MESSAGE_PREFIX_BYTES
        if self.unread_messages <= 0:
            self.session.acknowledge(self, self.unacknowledged)
            self.unacknowledged = 0
