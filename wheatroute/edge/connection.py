"""HTTP/1.1 connections whose messages are read and written piece by piece, as streams need.

Used towards clients and servers. All socket I/O of the edge role's requests is done here and in
`wheatroute.net.connection`.
"""

from __future__ import annotations

import errno
import fcntl
import socket
import struct
from contextlib import suppress
from typing import Any

import h11
import trio

from wheatroute.net.connection import MAX_HEAD_BYTES, Connection, MalformedError

USER_TIMEOUT_MS = 2000  # after which bytes that the peer's host has not acknowledged end a connection
SIOCOUTQ = 0x5411  # Linux, asm-generic/ioctls.h
OUTPUT_QUEUE_SIZE = struct.Struct("i")  # what SIOCOUTQ fills in
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 2, 1, 2
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


def tune(sock: socket.socket) -> None:
    """Set socket options: small writes aren't delayed, and a peer whose host is down is noticed."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's host has not acknowledged (Linux, tcp(7)); 0 if unknown."""
    try:
        filled_in = fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(OUTPUT_QUEUE_SIZE.size))
        (count,) = OUTPUT_QUEUE_SIZE.unpack(filled_in)
    except OSError:
        return 0
    return int(count)


class StreamConnection(Connection):
    """A connection that also writes a message piece by piece, and reads one event by event.

    `answered_ids` are the ids of requests that were answered here and may be sent again. A surplus copy of
    such a response could not be told from the response to the second attempt, so that one takes another
    connection.
    """

    __slots__ = ("answered_ids",)

    def __init__(self, sock: socket.socket, role: type, peer: str) -> None:
        super().__init__(sock, role, peer)
        self.answered_ids: set[bytes] = set()

    def _queue(self, event: Any) -> None:
        self._unsent += self.http.send(event) or b""

    async def send_head(self, head: h11.Response, first: bytes) -> None:
        """Write a head and the first bytes of its body together."""
        self.is_written = False
        self._queue(head)
        await self.send_body(first)

    async def send_body(self, data: bytes) -> None:
        """Write more of a body; waits while the peer doesn't read."""
        if data:
            self._queue(h11.Data(data=data))
        if self._unsent:
            await self.flush()

    async def send_end(self) -> None:
        """Write the end of a message, by which the peer knows that it is complete."""
        self._queue(h11.EndOfMessage())
        if self._unsent:
            await self.flush()

    async def send_interim(self) -> None:
        """Write 100 (Continue) to a client that waits for it before its body (RFC 9110, 10.1.1)."""
        self._queue(h11.InformationalResponse(status_code=100, headers=[]))
        await self.flush()

    async def next_event(self) -> Any:
        """Return the next event of the message that is read.

        Raises MalformedError if the message is cut off or malformed.
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
                # only h11 knows whether the message may end with its connection (RFC 9112, 6.3)
                try:
                    event = self.http.next_event()
                except h11.RemoteProtocolError as error:
                    raise MalformedError(0, "cut off") from error
                if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                    raise MalformedError(0, "cut off")
                return event

    def restart(self, request: h11.Request) -> None:
        """Read another response to a request that is already written, after a surplus response."""
        unread = self.http.trailing_data[0]
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # framing of a response depends on the request's method alone; h11 would want the body of a length
        headers = [(b"Host", b"-")]
        self.http.send(h11.Request(method=request.method, target=request.target, headers=headers))
        self.http.send(h11.EndOfMessage())
        if unread:
            self.http.receive_data(unread)


async def connect(address: tuple[str, int], timeout_s: float) -> StreamConnection:
    """Open a connection to a server; raises OSError or trio.TooSlowError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        tune(sock)
        code = sock.connect_ex(address)
        if code:
            with trio.fail_after(timeout_s):
                await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, "connect")
    except BaseException:
        sock.close()
        raise
    return StreamConnection(sock, h11.CLIENT, f"{address[0]}:{address[1]}")
