"""One gRPC call on a connection, of either side: what it may cost, who is told of it, what it sends.

Owns the messages that a peer's windows have no room for yet. It never touches the wire: the session does.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import h2.errors

from wheatroute.grpc.messages import Assembler, CallError, Headers, Status, escaped, framed

if TYPE_CHECKING:
    from wheatroute.grpc.session import Session

RESPONSE: Headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]


@dataclass(frozen=True)
class Bounds:
    """What a peer may cost: streams, bytes and resets; seconds for keep-alive."""

    streams: int = 1000  # open at once
    message: int = 1 << 20  # bytes
    header_list: int = 16384  # bytes, as HTTP/2 counts them
    window: int = 1 << 20  # bytes unread of one connection
    stream_window: int = 1 << 16  # bytes unread of one stream
    backlog: int = 1 << 20  # bytes unsent, beyond which the peer is not read
    resets: float = 400.0  # resets in reserve; one comes back with each call that ends well
    reset_rate: float = 100.0  # and so many a second
    ping_every: float = 30.0  # seconds of silence before the peer is asked whether it is there
    ping_within: float = 10.0  # seconds in which it must answer


class Receiver(Protocol):
    """Who is told of what comes on a call. None of these may wait or raise."""

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """An answer has begun (clients only)."""

    def message(self, message: bytes) -> None:
        """One whole message."""

    def half_closed(self) -> None:
        """The other side sends no more (servers only)."""

    def over(self, how: CallError) -> None:
        """The call has ended, and not by `finish` or `cancel` from here. Told once, last."""


class Nobody:
    """A receiver that does not care."""

    def headers(self, headers: dict[bytes, bytes]) -> None: ...

    def message(self, message: bytes) -> None: ...

    def half_closed(self) -> None: ...

    def over(self, how: CallError) -> None: ...


NOBODY = Nobody()


class Call:
    """One stream, of either side."""

    __slots__ = (
        "number",
        "session",
        "head",
        "receiver",
        "holds",
        "local_end",
        "remote_end",
        "dead",
        "answered",
        "waiting",
        "unread",
        "_parts",
        "_queue",
        "_trailers",
        "never_ran",
    )

    def __init__(self, number: int, session: Session, head: dict[bytes, bytes]) -> None:
        self.number, self.session, self.head = number, session, head
        self.receiver: Receiver = NOBODY
        self.holds = False  # its receiver says itself what it has read: see `read`
        self.local_end = self.remote_end = self.dead = False
        self.answered = False  # its headers are out
        self.never_ran = False  # the other side said that it never looked at it
        self.waiting = 0  # bytes of whole messages that its receiver has not read
        self.unread = 0  # bytes that count against the windows until it has
        self._parts = Assembler(session.bounds.message)
        self._queue: deque[bytes] = deque()
        self._trailers: Headers | None = None

    @property
    def unsent(self) -> int:
        """Bytes that the peer's windows have no room for."""
        return sum(map(len, self._queue))

    def send(self, message: bytes) -> None:
        """Sends one message, as far as the windows allow now; does nothing on a call that is over."""
        if self.dead or self.local_end:
            return
        session = self.session
        if not self.answered and not session.client_side:
            self.answered = True
            session.h2.send_headers(self.number, RESPONSE)
        self._queue.append(framed(message))
        session.push(self)

    def finish(self, status: Status = Status.OK, text: str = "", extra: Headers | None = None) -> None:
        """Ends an answer with its status (servers only); what was sent before goes out first."""
        if self.dead or self.local_end:
            return
        trailers = [(b"grpc-status", b"%d" % status), *(extra or [])]
        if text:
            trailers.append((b"grpc-message", escaped(text)))
        self._trailers = trailers if self.answered else RESPONSE + trailers
        self.local_end = True
        self.session.push(self)

    def half_close(self) -> None:
        """Says that no more messages come (clients only)."""
        if not self.dead and not self.local_end:
            self._trailers, self.local_end = [], True
            self.session.push(self)

    def cancel(self, code: int = h2.errors.ErrorCodes.CANCEL) -> None:
        """Ends the call at once; nothing more is told of it."""
        self.session.reset(self, code)

    def read(self, count: int) -> None:
        """A message of so many bytes was read. Once all are, the other side may send as much again."""
        self.waiting -= count + 5
        if self.waiting <= 0:
            self.session.acknowledge(self, self.unread)
            self.unread = 0
