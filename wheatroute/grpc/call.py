"""One gRPC call on a connection, of either side. No I/O: the session reads and writes the connection.

A call keeps the messages that do not fit the peer's flow-control windows yet, and notifies its receiver of
what comes, in order.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

import h2.errors

from wheatroute.grpc.messages import (
    MESSAGE_HEAD_BYTES,
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
    """Is notified of what comes on a call. No method may wait or raise."""

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """The response has begun (clients only)."""

    def message(self, message: bytes) -> None:
        """One complete message."""

    def half_closed(self) -> None:
        """The other side sends no more (servers only)."""

    def call_ended(self, outcome: CallError) -> None:
        """The call has ended, and not by `finish` or `cancel` on this side. Called once, last."""


class NullReceiver:
    """A receiver that ignores everything."""

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """Ignored."""

    def message(self, message: bytes) -> None:
        """Ignored."""

    def half_closed(self) -> None:
        """Ignored."""

    def call_ended(self, outcome: CallError) -> None:
        """Ignored."""


NULL_RECEIVER = NullReceiver()


class Call:
    """One stream, of either side."""

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
        self.has_manual_flow_control = False  # its receiver calls `read` for each message
        self.local_end = self.remote_end = self.is_over = False
        self.headers_sent = False  # of the response
        self.never_ran = False  # the peer stated that it did not process the call
        self.unread_messages = 0  # bytes of complete messages that its receiver has not read
        self.unacknowledged = 0  # bytes that count against the windows until they are read
        self._assembler = Assembler(session.limits.max_message_bytes)
        self._queue: deque[bytes] = deque()
        self._trailers: Headers | None = None

    @property
    def unsent(self) -> int:
        """Bytes that do not fit the peer's windows yet."""
        return sum(map(len, self._queue))

    def send(self, message: bytes) -> None:
        """Sends one message, as far as the windows allow now; does nothing on a call that is over."""
        if self.is_over or self.local_end:
            return
        session = self.session
        if not self.headers_sent and not session.client_side:
            self.headers_sent = True
            session.h2.send_headers(self.stream_id, RESPONSE)
        self._queue.append(frame_message(message))
        session.push(self)

    def finish(self, status: Status = Status.OK, text: str = "", extra: Headers | None = None) -> None:
        """Ends an answer with its status (servers only); what was sent before goes out first."""
        if self.is_over or self.local_end:
            return
        trailers = [(b"grpc-status", b"%d" % status), *(extra or [])]
        if text:
            trailers.append((b"grpc-message", encode_status_message(text)))
        self._trailers = trailers if self.headers_sent else RESPONSE + trailers
        self.local_end = True
        self.session.push(self)

    def half_close(self) -> None:
        """Ends the request: no more messages are sent (clients only)."""
        if not self.is_over and not self.local_end:
            self._trailers, self.local_end = [], True
            self.session.push(self)

    def cancel(self, code: int = h2.errors.ErrorCodes.CANCEL) -> None:
        """Ends the call at once; its receiver is not notified of anything more."""
        self.session.reset(self, code)

    def read(self, message_bytes: int) -> None:
        """Notes that a message was read. Once all are, the windows are opened again."""
        self.unread_messages -= message_bytes + MESSAGE_HEAD_BYTES
        if self.unread_messages <= 0:
            self.session.acknowledge(self, self.unacknowledged)
            self.unacknowledged = 0
