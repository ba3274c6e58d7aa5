"""An HTTP/1.1 connection to a client or a server: its socket, protocol state and buffer.

The buffer is h11's own: it grows with the message, up to a whole body, and is compacted in place as messages
are consumed. Does I/O on its socket. It has no timers and knows neither requests nor servers: its callers
decide when to send, wait or give up.
"""

import select
import socket
import time
from typing import Any

import h11
import trio

RECEIVE_BYTES = 65536  # maximum for a single read
MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536  # limit of the protocol for any body; clients observe it
NOTHING_UNSENT = memoryview(b"")


class MalformedError(Exception):
    """A message violates the protocol.

    `status` is the HTTP status to answer a client with, 0 if the peer gets no answer. `reason` is sent to the
    client as the body.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class PeerClosedError(MalformedError):
    """The peer closed the connection while a message was expected."""

    def __init__(self) -> None:
        super().__init__(400, "closed")


class Connection:
    """A socket with its h11 state.

    `role` is this side's role: h11.SERVER on connections of clients, h11.CLIENT on connections to servers.
    """

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
        "receive_bytes",
        "_body",
        "_part_count",
        "_unsent",
        "_is_head_request",
    )

    def __init__(self, sock: socket.socket, role: type, peer: str) -> None:
        self.sock, self.peer = sock, peer
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.opened_at = time.monotonic()
        self.message_count = 0  # messages that were completely written
        self.accepted_iteration = 0  # iteration of the event loop in which it was accepted
        self.is_written = False  # whether the last message was completely written
        self.discards_input = False  # whether received data is discarded instead of parsed
        self.head: Any = None  # head of the message that is being read
        self.max_body_bytes = MAX_BODY_BYTES
        self.receive_bytes = RECEIVE_BYTES  # maximum for the next read
        self._body = bytearray()  # body of the message that is being read
        self._part_count = 0  # number of parts in which the body has arrived
        self._unsent = NOTHING_UNSENT  # rest of the message that is being sent
        self._is_head_request = False  # whether the message that is being read is a HEAD request

    async def receive(self) -> bool:
        """Waits for data and passes it to the parser; returns False once the peer has closed its side."""
        while True:
            # Waits before the first recv because data is rarely available yet, and a recv that fails costs as
            # much as one that succeeds.
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data = self.sock.recv(self.receive_bytes)
            except BlockingIOError:
                continue
            if not self.discards_input:
                self.http.receive_data(data)
            return bool(data)

    def parse(self) -> bool:
        """Parses the received part of the next message; returns whether the message is complete.

        Raises MalformedError if it is truncated or violates the protocol.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedError(error.error_status_hint, str(error)) from error
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.Data):
                if len(self._body) + len(event.data) > self.max_body_bytes:
                    raise MalformedError(413, "body too long")
                self._body += event.data
                self._part_count += 1
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif isinstance(event, h11.Request | h11.Response):
                self.head, self._body, self._part_count = event, bytearray(), 0
                self._is_head_request = isinstance(event, h11.Request) and event.method == b"HEAD"
                self._check_length(event.headers)
            elif not isinstance(event, h11.InformationalResponse):
                raise PeerClosedError

    def _check_length(self, headers: Any) -> None:
        """Rejects a body that is too long, and a message with both Content-Length and Transfer-Encoding.

        Both together could be used to hide a second message in the body (request smuggling; RFC 9112, 6.3).
        """
        lengths = [value for name, value in headers if name == b"content-length"]
        if lengths and any(name == b"transfer-encoding" for name, _ in headers):
            raise MalformedError(400, "two lengths")
        if lengths and int(lengths[0]) > self.max_body_bytes:
            raise MalformedError(413, "body too long")

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message was received; interim (1xx) responses do not count."""
        return self.http.their_state is h11.SEND_BODY or bool(self.http.trailing_data[0])

    @property
    def has_unparsed_input(self) -> bool:
        """Whether bytes were received that belong to no parsed message."""
        return bool(self.http.trailing_data[0])

    async def read_message(self) -> None:
        """Reads a complete message into `head` and `body`; raises MalformedError."""
        while not self.parse():
            await self.receive()

    @property
    def body(self) -> bytes:
        """The body of the last complete message."""
        return bytes(self._body)

    def take_message(self) -> tuple[Any, bytes]:
        """Returns the head and body of the last complete message, which this connection then drops.

        A connection may be idle for long after a message, and would hold its body meanwhile.
        """
        head, body = self.head, bytes(self._body)
        self.drop_message()
        return head, body

    def drop_message(self) -> None:
        """Drops what was read of the present message; no more of it may be parsed."""
        self.head, self._body, self._part_count = None, bytearray(), 0

    def send(self, head: h11.Request | h11.Response, body: bytes = b"") -> bool:
        """Starts to write a message, without blocking; returns whether it was completely written.

        From now on `is_written` tells whether the last byte of this message was written. The remainder is
        written by `flush` or `write`. The response to a HEAD request goes without its body, whose length its
        head may state nevertheless (RFC 9110, 9.3.2).
        """
        self.is_written = False
        data = self.http.send(head) or b""
        if body and not self._is_head_request:
            data += self.http.send(h11.Data(data=body)) or b""
        self._unsent = memoryview(data + (self.http.send(h11.EndOfMessage()) or b""))
        return self.write()

    async def flush(self) -> None:
        """Writes the remainder of a message, waiting until the socket accepts it."""
        while not self.write():
            await trio.lowlevel.wait_writable(self.sock)

    def write(self) -> bool:
        """Writes as much of the remainder as possible without blocking; returns whether it is complete."""
        try:
            self._unsent = self._unsent[self.sock.send(self._unsent) :]
        except BlockingIOError:
            return False
        if self._unsent:
            return False
        self._unsent = NOTHING_UNSENT  # an empty part of the message would keep all of it in memory
        self.is_written = True
        self.message_count += 1
        return True

    def start_next_message(self) -> bool:
        """Prepares for another message; returns False if the connection cannot carry any more."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.is_written = self._is_head_request = False
            return True
        return False

    def is_reusable(self) -> bool:
        """Returns whether the connection is open with nothing to read, as an idle connection must be."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def is_closed_by_peer(self) -> bool:
        """Returns whether the peer has closed or reset the connection, even if unread data precedes that."""
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
        """Closes the socket; tasks that wait for it get trio.ClosedResourceError."""
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
