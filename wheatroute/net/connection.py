"""One HTTP/1.1 connection of either side: its socket, its protocol state and its one buffer.

The buffer is h11's own: it grows as a message needs, up to a whole body, and is compacted in place as
messages are taken out of it. Does I/O on its socket; it has no timers and knows neither requests nor
servers, so that when to send, wait or give up is decided by its callers.
"""

import select
import socket
import time
from typing import Any

import h11
import trio

RECEIVE_BYTES = 65536  # read at once, at most
MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536  # the protocol's bound on every body, which clients keep to


class MalformedError(Exception):
    """A message that the protocol does not allow; `status` answers a client, 0 where nobody is answered."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class PeerClosedError(MalformedError):
    """The peer closed the connection where a message was expected."""

    def __init__(self) -> None:
        super().__init__(400, "closed")


class Connection:
    """A socket with its h11 state; `role` is h11.SERVER towards clients, h11.CLIENT towards servers."""

    __slots__ = (
        "sock",
        "http",
        "opened_at",
        "message_count",
        "is_written",
        "peer",
        "head",
        "max_body_bytes",
        "accepted_iteration",
        "discards_input",
        "_parts",
        "_length",
        "_unsent",
    )

    def __init__(self, sock: socket.socket, role: type, peer: str) -> None:
        self.sock, self.peer = sock, peer
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.opened_at = time.monotonic()
        self.message_count = 0  # completely written
        self.accepted_iteration = 0  # of the event loop, when it was accepted
        self.is_written = False  # the last message sent was written to its last byte
        self.discards_input = False  # what is still received is not parsed
        self.head: Any = None  # of the message that is being read
        self.max_body_bytes = MAX_BODY_BYTES
        self._parts: list[bytes] = []  # of its body
        self._length = 0
        self._unsent = b""  # of the message that is being sent

    async def receive(self) -> bool:
        """Waits for bytes and gives them to the parser; returns False once the peer has ended its stream."""
        while True:
            # no try before the wait: there is seldom anything yet, and a call in vain costs as much
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            if not self.discards_input:
                self.http.receive_data(data)
            return bool(data)

    def parse(self) -> bool:
        """Parses what was received of the next message; returns whether it is complete.

        Raises MalformedError for one that is cut off or breaks the protocol.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedError(error.error_status_hint, str(error)) from error
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.Data):
                self._length += len(event.data)
                if self._length > self.max_body_bytes:
                    raise MalformedError(413, "body too long")
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif isinstance(event, h11.Request | h11.Response):
                self.head, self._parts, self._length = event, [], 0
                self._check_length(event.headers)
            elif not isinstance(event, h11.InformationalResponse):
                raise PeerClosedError

    def _check_length(self, headers: Any) -> None:
        """Rejects a body that is too long, and two lengths, which could hide a message (RFC 9112, 6.3)."""
        lengths = [value for name, value in headers if name == b"content-length"]
        if lengths and any(name == b"transfer-encoding" for name, _ in headers):
            raise MalformedError(400, "two lengths")
        if lengths and int(lengths[0]) > self.max_body_bytes:
            raise MalformedError(413, "body too long")

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message was received, interim (1xx) responses apart."""
        return self.http.their_state is h11.SEND_BODY or bool(self.http.trailing_data[0])

    @property
    def has_unparsed_input(self) -> bool:
        """Whether bytes were received that belong to no parsed message."""
        return bool(self.http.trailing_data[0])

    async def read_message(self) -> None:
        """Reads until `head` and `body` are those of a complete message."""
        while not self.parse():
            await self.receive()

    @property
    def body(self) -> bytes:
        """The body of the message that was parsed."""
        return self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)

    def send(self, head: h11.Request | h11.Response, body: bytes = b"") -> bool:
        """Writes one message at once, as far as the socket takes it now; returns whether that was all of it.

        `is_written` tells from here on whether its last byte was taken; the remainder is for `flush` or
        `write`.
        """
        self.is_written = False
        data = self.http.send(head) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        self._unsent = data + (self.http.send(h11.EndOfMessage()) or b"")
        return self.write()

    async def flush(self) -> None:
        """Writes the remainder of a message, waiting for the socket."""
        while not self.write():
            await trio.lowlevel.wait_writable(self.sock)

    def write(self) -> bool:
        """Writes the remainder as far as the socket takes it now; returns whether that was all of it."""
        try:
            self._unsent = self._unsent[self.sock.send(self._unsent) :]
        except BlockingIOError:
            return False
        if self._unsent:
            return False
        self.is_written = True
        self.message_count += 1
        return True

    def start_next_message(self) -> bool:
        """Prepares for another message; returns False if this connection takes no more."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.is_written = False
            return True
        return False

    def is_reusable(self) -> bool:
        """Whether it is open with nothing to read, as an idle connection must be."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def is_closed_by_peer(self) -> bool:
        """Whether the peer closed or reset it, also behind bytes that have not been read."""
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Closes the socket and wakes tasks that wait for it with trio.ClosedResourceError."""
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
