"""HTTP/1.1 connections to servers, on which a response is read while its request is still being written.

A server may begin to work on a request once it has the head, answer before it has read a long body, and read
the rest of the body later. So a response can arrive at any time after the last byte of the head was written,
and a response that is complete doesn't mean that the request is.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import h11
import trio

from wheatroute.edge.connection import (
    USER_TIMEOUT_MS,
    StreamConnection,
    set_socket_options,
    set_user_timeout,
)
from wheatroute.net.connection import MAX_HEAD_BYTES, RECEIVE_BYTES

WRITE_CHECK_INTERVAL_S = 0.1  # seconds between two checks of a write that is blocked by the server's side
SYSTEM_USER_TIMEOUT_MS = 0
# A server that is alive may have no room for a body of this size until it reads it. The kernel would take it
# for a server that is down after `USER_TIMEOUT_MS`.
MIN_BLOCKING_BODY_BYTES = 16384


class BodyAbandonedError(OSError):
    """The rest of a request's body may no longer be written, and no response to it has begun."""


class ServerConnection(StreamConnection):
    """A connection to a server, used by one request at a time.

    A request that was answered on this connection and may be sent again then uses another connection, because
    a surplus copy of the first response could not be distinguished from the response to the second attempt.
    Only hashes of the ids are kept, as ids may be long; if two have the same, a connection is passed over.

    Invariant: a connection on which a request was not written whole never carries another one, because the
    server takes the next bytes for the rest of that request's body.
    """

    __slots__ = (
        "_answered_ids",
        "request_count",
        "_body_bytes",
        "_may_write_body",
        "_has_write_failed",
        "_is_user_timeout_suspended",
    )

    def __init__(self, sock: socket.socket, peer: str) -> None:
        super().__init__(sock, h11.CLIENT, peer)
        self._answered_ids: set[int] = set()  # hashes of ids
        self.request_count = 0  # requests of which at least a part was written
        self._body_bytes = 0  # length of the body of the request that is being written
        self._may_write_body: Callable[[], bool] = lambda: True
        self._has_write_failed = False
        self._is_user_timeout_suspended = False

    # Ids of requests

    def record_answered(self, request_id: bytes) -> None:
        """Records that a request was answered here and may be sent again."""
        self._answered_ids.add(hash(request_id))

    def has_answered(self, request_id: bytes) -> bool:
        """Returns whether a request may have been answered here."""
        return hash(request_id) in self._answered_ids

    @property
    def answered_count(self) -> int:
        """Number of requests that were answered here and may be sent again."""
        return len(self._answered_ids)

    # Writing the request

    def start_request(self, head: h11.Request, body: bytes, may_write_body: Callable[[], bool]) -> None:
        """Writes as much of a request as possible without blocking; raises OSError if that is nothing.

        `receive` writes the rest of the body, and calls `may_write_body` before each write.
        """
        self._body_bytes = len(body)
        self._may_write_body = may_write_body
        self.request_count += 1
        if not self.send(head, body) or len(body) >= MIN_BLOCKING_BODY_BYTES:
            self._is_user_timeout_suspended = True
            set_user_timeout(self.sock, SYSTEM_USER_TIMEOUT_MS)

    @property
    def has_written_head(self) -> bool:
        """Whether the last byte of the request's head was written: from then on the server may run it."""
        return self.unsent_bytes <= self._body_bytes

    async def wait_writable(self) -> None:
        """Waits until more can be written, for `WRITE_CHECK_INTERVAL_S` at most."""
        with trio.move_on_after(WRITE_CHECK_INTERVAL_S):
            await trio.lowlevel.wait_writable(self.sock)

    async def finish_request(self) -> None:
        """Writes the rest of a request whose response is complete, as far as that is possible."""
        while self.unsent_bytes:
            await self.wait_writable()
            self._write_body()

    def _write_body(self) -> None:
        """Writes more of the body without blocking; raises BodyAbandonedError.

        If writing fails, a response may have arrived nevertheless: a server may answer early and then close
        the connection (RFC 9112, 9.6).
        """
        if not self._may_write_body():
            self.drop_unsent()
            if self.http.their_state is h11.SEND_RESPONSE:
                raise BodyAbandonedError("the server left before the body was written")
            return
        try:
            self.write()
        except OSError:
            self.drop_unsent()

    def drop_unsent(self) -> None:
        """Gives up the rest of the request; the connection never carries another one."""
        super().drop_unsent()
        self._has_write_failed = True

    # Reading the response

    async def receive(self) -> bool:
        """Waits for data and passes it to the parser; returns False once the server has closed its side.

        Meanwhile writes the rest of the request's body. Raises OSError, or BodyAbandonedError.
        """
        while self.unsent_bytes:
            await self._wait_readable_or_writable()
            self._write_body()
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            self.http.receive_data(data)
            return bool(data)
        return await super().receive()

    async def _wait_readable_or_writable(self) -> None:
        """Waits until bytes can be read or written, for `WRITE_CHECK_INTERVAL_S` at most."""
        with trio.move_on_after(WRITE_CHECK_INTERVAL_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_wait_and_cancel, trio.lowlevel.wait_readable, self.sock, nursery)
                nursery.start_soon(_wait_and_cancel, trio.lowlevel.wait_writable, self.sock, nursery)

    def expect_next_response(self, request: h11.Request) -> None:
        """Resets the parser after a surplus response, to read another response to the written request."""
        unread = self.http.trailing_data[0]
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # The framing of a response depends only on the request's method. The other headers are left out,
        # because with a Content-Length h11 would require the request's body.
        headers = [(b"Host", b"-")]
        self.http.send(h11.Request(method=request.method, target=request.target, headers=headers))
        self.http.send(h11.EndOfMessage())
        if unread:
            self.http.receive_data(unread)

    def start_next_message(self) -> bool:
        """Prepares for another request; returns False if the connection cannot carry any more."""
        if self.unsent_bytes or self._has_write_failed:
            return False
        if self._is_user_timeout_suspended:
            self._is_user_timeout_suspended = False
            set_user_timeout(self.sock, USER_TIMEOUT_MS)
        return super().start_next_message()


async def _wait_and_cancel(
    wait: Callable[[socket.socket], Awaitable[None]], sock: socket.socket, nursery: trio.Nursery
) -> None:
    """Waits for a socket, and then cancels the other task of the nursery."""
    await wait(sock)
    nursery.cancel_scope.cancel()


async def connect(address: tuple[str, int], timeout_s: float) -> ServerConnection:
    """Opens a connection to a server; raises OSError or trio.TooSlowError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        set_socket_options(sock)
        code = sock.connect_ex(address)
        if code:
            with trio.fail_after(timeout_s):
                await trio.lowlevel.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, "connecting to the server failed")
    except BaseException:
        sock.close()
        raise
    return ServerConnection(sock, f"{address[0]}:{address[1]}")
