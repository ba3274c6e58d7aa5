"""One HTTP/1.1 connection of either side: its socket and its one buffer.

Owns the socket and the h11 state. The buffer is h11's own: it grows as a message needs, up to a whole
body, and is compacted in place as messages are taken out of it; nothing here keeps bytes beside it. It
must never decide when to send, wait or give up: it has no timers and knows neither requests nor servers.
"""

import select
import socket
import time
from typing import Any

import h11
import trio

CHUNK = 65536  # most bytes read at once
LONGEST_HEAD = 16384
LONGEST_BODY = 65536  # the protocol's bound on every body, which clients keep to


class MalformedError(Exception):
    """What came is not what the protocol allows."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Connection:
    """A socket with its h11 state; `role` is h11.SERVER towards clients, h11.CLIENT towards servers."""

    __slots__ = (
        "sock",
        "http",
        "since",
        "messages",
        "whole",
        "peer",
        "head",
        "longest",
        "passes",
        "deaf",
        "_parts",
        "_length",
        "_unsent",
    )

    def __init__(self, sock: socket.socket, role: type, peer: str) -> None:
        self.sock, self.peer = sock, peer
        self.http = h11.Connection(role, max_incomplete_event_size=LONGEST_HEAD)
        self.since = time.monotonic()
        self.messages = 0
        self.passes = 0  # of the event loop when it was accepted
        self.whole = False  # the last message sent was written to its last byte
        self.deaf = False  # what still comes is thrown away
        self.head: Any = None  # of the message that is being read
        self.longest = LONGEST_BODY
        self._parts: list[bytes] = []  # of its body
        self._length = 0
        self._unsent = b""  # of the message that is being sent

    async def more(self) -> bool:
        """Waits for bytes and hands them to the buffer; False at the end of what the other side sends."""
        while True:
            # no try before the wait: there is seldom anything yet, and a call in vain costs as much
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data = self.sock.recv(CHUNK)
            except BlockingIOError:
                continue
            if not self.deaf:
                self.http.receive_data(data)
            return bool(data)

    def parse(self) -> bool:
        """Takes what the buffer holds of the next message; True once it is whole, never if it was cut off."""
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as trouble:
                raise MalformedError(trouble.error_status_hint, str(trouble)) from trouble
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.Data):
                self._length += len(event.data)
                if self._length > self.longest:
                    raise MalformedError(413, "body too long")
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif isinstance(event, h11.Request | h11.Response):
                self.head, self._parts, self._length = event, [], 0
                self._check_length(event.headers)
            elif not isinstance(event, h11.InformationalResponse):
                raise MalformedError(400, "closed")

    def _check_length(self, headers: Any) -> None:
        """Guards against a message hidden in another's body, and against a body too long to take."""
        lengths = [value for name, value in headers if name == b"content-length"]
        if lengths and any(name == b"transfer-encoding" for name, _ in headers):
            raise MalformedError(400, "two lengths")
        if lengths and int(lengths[0]) > self.longest:
            raise MalformedError(413, "body too long")

    @property
    def begun(self) -> bool:
        """Whether part of a message is here, 1xx answers ahead of it apart."""
        return self.http.their_state is h11.SEND_BODY or bool(self.http.trailing_data[0])

    async def message(self) -> None:
        """Reads until `head` and `body` are those of a whole message."""
        while not self.parse():
            await self.more()

    @property
    def body(self) -> bytes:
        return self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)

    def send(self, head: h11.Request | h11.Response, body: bytes = b"") -> bool:
        """Writes one message in one piece, as far as the socket takes it now; True if that was all.

        `whole` tells from here on whether its last byte was taken; what was not is for `rest`.
        """
        self.whole = False
        data = self.http.send(head) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        self._unsent = data + (self.http.send(h11.EndOfMessage()) or b"")
        return self.write()

    async def rest(self) -> None:
        """Writes what `send` left over."""
        while not self.write():
            await trio.lowlevel.wait_writable(self.sock)

    def write(self) -> bool:
        """Writes what `send` left over as far as the socket takes it now; True if that was all."""
        try:
            self._unsent = self._unsent[self.sock.send(self._unsent) :]
        except BlockingIOError:
            return False
        if self._unsent:
            return False
        self.whole = True
        self.messages += 1
        return True

    def next_message(self) -> bool:
        """Makes ready for another message; False if this connection takes no more."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.whole = False
            return True
        return False

    def quiet(self) -> bool:
        """Whether it is open with nothing to read, as an idle connection must be."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def ended(self) -> bool:
        """Whether the other side closed or reset it, also behind bytes that nobody has read yet."""
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
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
