"""HTTP/1.1 connections whose messages are read and written in parts, as streams require.

They are used towards both clients and servers (`wheatroute.edge.server_connection`). All socket I/O of the
edge role's requests is done in these two modules and in `wheatroute.net.connection`.
"""

from __future__ import annotations

import errno
import fcntl
import socket
import struct
from contextlib import suppress
from typing import Any

import h11

from wheatroute.net.connection import NOTHING_UNSENT, Connection, MalformedError

USER_TIMEOUT_MS = 2000  # a connection ends if its peer's host leaves bytes unacknowledged for this long
SIOCOUTQ = 0x5411  # ioctl for the size of the output queue (Linux, asm-generic/ioctls.h)
OUTPUT_QUEUE_SIZE = struct.Struct("i")  # result of SIOCOUTQ
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 2, 1, 2
HEADER_FIELD_BYTES = 400  # memory of a parsed header field: its name and value, and the objects around them
MIN_PART_BYTES = 64  # parts of a body that are smaller on average count as small
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


def set_socket_options(sock: socket.socket) -> None:
    """Disables the delay of small writes, and has the kernel detect a peer whose host is down."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_user_timeout(sock, USER_TIMEOUT_MS)
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Sets after how long a connection ends whose bytes aren't acknowledged; 0 for the system's default.

    The kernel also ends a connection whose peer is alive but has no room for more bytes for so long.
    """
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes the peer's host has not acknowledged, 0 if unknown (Linux, tcp(7))."""
    try:
        filled_in = fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(OUTPUT_QUEUE_SIZE.size))
        (count,) = OUTPUT_QUEUE_SIZE.unpack(filled_in)
    except OSError:
        return 0
    return int(count)


class StreamConnection(Connection):
    """A connection that can also write a message in parts and read one event by event."""

    __slots__ = ()

    @property
    def has_unparsed_input(self) -> bool:
        """Whether bytes have arrived that belong to no parsed message, read or not."""
        if self.http.trailing_data[0]:
            return True
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def has_unanswered_input(self) -> bool:
        """Whether bytes have arrived after the last parsed message, or the peer has closed its side."""
        return self.has_unparsed_input or not self.is_reusable()

    @property
    def held_bytes(self) -> int:
        """Approximate memory of what was read of the present message, and of the bytes after it."""
        field_count = len(self.head.headers) if self.head is not None else 0
        return len(self._body) + field_count * HEADER_FIELD_BYTES + len(self.http.trailing_data[0])

    @property
    def has_small_parts(self) -> bool:
        """Whether the body arrives in such small parts that parsing a large read would take long."""
        return self._part_count * MIN_PART_BYTES > len(self._body)

    def drop_unsent(self) -> None:
        """Gives up the rest of the message that is being written; the connection is only to be closed."""
        self._unsent = NOTHING_UNSENT

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of the message being written that the kernel has not accepted yet."""
        return len(self._unsent)

    def shut_down_sending(self) -> None:
        """Tells the peer that nothing more will be written; the rest of what was written still arrives."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def _queue(self, event: Any) -> None:
        self._unsent = memoryview(bytes(self._unsent) + (self.http.send(event) or b""))

    async def send_head(self, head: h11.Response, first: bytes) -> None:
        """Writes the head of a message together with the first bytes of its body."""
        self.is_written = False
        self._queue(head)
        await self.send_body(first)

    async def send_body(self, data: bytes) -> None:
        """Writes more of the body; waits while the peer does not read."""
        if data:
            self._queue(h11.Data(data=data))
        if self._unsent:
            await self.flush()

    async def send_end(self) -> None:
        """Writes the end of a message, which tells the peer that it is complete."""
        self._queue(h11.EndOfMessage())
        if self._unsent:
            await self.flush()

    async def send_interim(self) -> None:
        """Writes 100 (Continue) to a client that waits for it before its body (RFC 9110, 10.1.1)."""
        self._queue(h11.InformationalResponse(status_code=100, headers=[]))
        await self.flush()

    async def next_event(self) -> Any:
        """Returns the next h11 event of the message that is being read.

        Raises MalformedError if the message is truncated or malformed.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedError(error.error_status_hint, str(error)) from error
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise MalformedError(400, "closed")
            if event is not h11.NEED_DATA:
                return event
            if not await self.receive():
                # Only h11 knows whether the end of the connection may end the message (RFC 9112, 6.3).
                try:
                    event = self.http.next_event()
                except h11.RemoteProtocolError as error:
                    raise MalformedError(0, "the message was truncated") from error
                if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                    raise MalformedError(0, "the message was truncated")
                return event
