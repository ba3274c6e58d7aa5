"""One HTTP/1.1 connection of either side: its socket and its one buffer.

Owns the socket and the h11 state. The buffer is h11's own: it grows as a message needs, up to a whole
body, and is compacted in place as messages are taken out of it; nothing here keeps bytes beside it. It
must never decide when to send, wait or give up: it has no timers and knows neither commands nor servers.
"""

import socket
import time

import h11
import trio

CHUNK = 65536  # most bytes read at once
LONGEST_HEAD = 16384
LONGEST_BODY = 65536  # the protocol's bound on every body


class MalformedError(Exception):
    """What came is not what the protocol allows."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Connection:
    """A socket with its h11 state; `role` is h11.SERVER towards callers, h11.CLIENT towards servers."""

    __slots__ = ("sock", "http", "since", "messages", "whole", "peer")

    def __init__(self, sock: socket.socket, role: type, peer: str) -> None:
        self.sock, self.peer = sock, peer
        self.http = h11.Connection(role, max_incomplete_event_size=LONGEST_HEAD)
        self.since = time.monotonic()
        self.messages = 0
        self.whole = False  # the last message sent was written to its last byte

    async def more(self) -> bytes:
        """Waits for bytes, hands them to the buffer and returns them; none at the end."""
        while True:
            try:
                data = self.sock.recv(CHUNK)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self.sock)
                continue
            self.http.receive_data(data)
            return data

    async def event(self) -> object:
        """The next event of h11, reading as it needs."""
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as trouble:
                raise MalformedError(trouble.error_status_hint, str(trouble)) from trouble
            if event is not h11.NEED_DATA:
                return event
            await self.more()

    async def body(self, most: int = LONGEST_BODY) -> bytes:
        """The body of the message whose head was read, never one that was cut off or is too long."""
        parts: list[bytes] = []
        length = 0
        while True:
            event = await self.event()
            if isinstance(event, h11.EndOfMessage):
                return parts[0] if len(parts) == 1 else b"".join(parts)
            if not isinstance(event, h11.Data):
                raise MalformedError(400, "message cut off")
            length += len(event.data)
            if length > most:
                raise MalformedError(413, "body too long")
            parts.append(bytes(event.data))

    async def send(self, head: h11.Request | h11.Response, body: bytes = b"") -> None:
        """Writes one message in one piece; `whole` tells whether its last byte was taken."""
        self.whole = False
        data = self.http.send(head) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        sent = 0
        while True:
            try:
                sent += self.sock.send(data[sent:] if sent else data)
            except BlockingIOError:
                pass
            if sent == len(data):
                break
            await trio.lowlevel.wait_writable(self.sock)
        self.whole = True
        self.messages += 1

    def next_message(self) -> bool:
        """Makes ready for another message; False if this connection takes no more."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
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

    def close(self) -> None:
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
