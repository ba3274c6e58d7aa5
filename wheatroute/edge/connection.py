"""A connection whose messages are passed on in parts, as streams need; both sides of the edge use it."""

from __future__ import annotations

import fcntl
import socket
import struct
from contextlib import suppress
from typing import Any

import h11
import trio

from wheatroute.net.connection import MAX_HEAD_BYTES, Connection, MalformedError

USER_TIMEOUT_MS = 2000  # of bytes that the other end's machine has not acknowledged
SIOCOUTQ = 0x5411  # Linux, asm-generic/ioctls.h
COUNT = struct.Struct("i")
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 2, 1, 2


def tune(sock: socket.socket) -> None:
    """Small messages go at once, and a machine that went dark is noticed."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Bytes written that the other end's machine has not acknowledged (Linux, tcp(7)); 0 if unknown."""
    try:
        (count,) = COUNT.unpack(fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(COUNT.size)))
    except OSError:
        return 0
    return int(count)


class StreamConnection(Connection):
    """A connection that also writes a message in parts, and reads an answer part by part.

    `answered` are the ids of requests that were answered here and may be sent again: a surplus copy of such
    an answer could not be told from the answer to the second send, so that one takes another connection.
    """

    __slots__ = ("answered",)

    def __init__(self, sock: socket.socket, role: type, peer: str) -> None:
        super().__init__(sock, role, peer)
        self.answered: set[bytes] = set()

    def _queue(self, event: Any) -> None:
        self._unsent += self.http.send(event) or b""

    async def send_head(self, head: h11.Response, first: bytes) -> None:
        """Writes a head and the first part of its body together."""
        self.is_written = False
        self._queue(head)
        await self.send_part(first)

    async def send_part(self, data: bytes) -> None:
        """Writes one part of a body; waits while the other side doesn't read."""
        if data:
            self._queue(h11.Data(data=data))
        if self._unsent:
            await self.flush()

    async def send_end(self) -> None:
        """Writes the end of a message, which tells the other side that it is whole."""
        self._queue(h11.EndOfMessage())
        if self._unsent:
            await self.flush()

    async def send_interim(self) -> None:
        """Tells a client that waits for it to go on with the body."""
        self._queue(h11.InformationalResponse(status_code=100, headers=[]))
        await self.flush()

    async def next_event(self) -> Any:
        """The next event of the message that is read; raises MalformedError where it is cut off or spoilt."""
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
                # h11 tells apart a message that may end here from one that is cut off
                try:
                    event = self.http.next_event()
                except h11.RemoteProtocolError as error:
                    raise MalformedError(0, "cut off") from error
                if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                    raise MalformedError(0, "cut off")
                return event

    def restart(self, request: h11.Request) -> None:
        """Begins to read another answer to a request that was already written, behind a surplus one."""
        rest = self.http.trailing_data[0]
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # how an answer is read depends on the method alone; a length would ask for the body once more
        headers = [(b"Host", b"-")]
        self.http.send(h11.Request(method=request.method, target=request.target, headers=headers))
        self.http.send(h11.EndOfMessage())
        if rest:
            self.http.receive_data(rest)


async def connect(place: tuple[str, int], timeout: float) -> StreamConnection:
    """A new connection to a server; raises OSError or trio.TooSlowError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        tune(sock)
        code = sock.connect_ex(place)
        if code:
            with trio.fail_after(timeout):
                await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, "connect")
    except BaseException:
        sock.close()
        raise
    return StreamConnection(sock, h11.CLIENT, f"{place[0]}:{place[1]}")
