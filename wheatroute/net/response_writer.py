"""Writes responses to clients. Does I/O on their connections.

Writes as much of a response as possible without blocking; a separate task writes the rest.
"""

import socket
from collections.abc import Callable

import h11
import trio

from wheatroute.net.client_connection import ClientConnection
from wheatroute.net.client_registry import ClientRegistry
from wheatroute.net.connection import MalformedError
from wheatroute.net.exchange import Response
from wheatroute.net.log import CloseReason
from wheatroute.net.shutdown import ShutdownState

LINGER_S = 0.5  # time for a client to read its last response and close the connection
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class ResponseWriter:
    """Writes responses; afterwards prepares the connection for the next request, or closes it.

    `flush_timeout_s` returns how long a client may take to read a response. `on_ready` is called for a client
    that may send another request.
    """

    def __init__(
        self,
        clients: ClientRegistry,
        shutdown: ShutdownState,
        flush_timeout_s: Callable[[], float],
        on_ready: Callable[[ClientConnection], None],
    ) -> None:
        self._clients = clients
        self._shutdown = shutdown
        self._flush_timeout_s = flush_timeout_s
        self._on_ready = on_ready
        self.nursery: trio.Nursery

    def write(self, client: ClientConnection, response: Response) -> None:
        """Writes a response; returns without waiting for the client to read it."""
        self._send(client, self._head(client, response), response.body)

    def write_error(self, client: ClientConnection, error: MalformedError) -> None:
        """Answers a malformed message with a short reason and closes the connection."""
        reason = CloseReason.SLOW if error.status == 408 else CloseReason.MALFORMED
        client.close_reason = reason
        self._clients.mark_busy(client)
        if client.connection.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            client.end(reason)
            return
        body = error.reason.encode("ascii", "replace") + b"\n"
        head = h11.Response(
            status_code=error.status,
            headers=[
                (b"Content-Length", b"%d" % len(body)),
                (b"Content-Type", b"text/plain"),
                (b"Connection", b"close"),
            ],
            reason=REASON_PHRASES.get(error.status, b"Bad Request"),
        )
        self._send(client, head, body)

    def _head(self, client: ClientConnection, response: Response) -> h11.Response:
        headers = [(b"Content-Length", b"%d" % len(response.body))]
        if response.content_type:
            headers.append((b"Content-Type", response.content_type))
        if response.retry_after_s > 0.0:
            headers.append((b"Retry-After", b"%.3f" % response.retry_after_s))
        # The connection stays open for a request of which a part was read: that request is answered, too.
        if self._clients.must_announce_close and not client.connection.has_unparsed_input:
            headers.append((b"Connection", b"close"))
        reason = REASON_PHRASES[response.status]
        return h11.Response(status_code=response.status, headers=headers, reason=reason)

    def _send(self, client: ClientConnection, head: h11.Response, body: bytes) -> None:
        try:
            if client.connection.send(head, body):
                self._finish(client)
            else:
                self.nursery.start_soon(self._flush, client)
        except OSError:
            client.end(CloseReason.RESET)

    async def _flush(self, client: ClientConnection) -> None:
        try:
            with trio.move_on_after(self._flush_timeout_s()):
                await client.connection.flush()
                self._finish(client)
                return
            client.end(CloseReason.SLOW)
        except (OSError, trio.ClosedResourceError):
            client.end(CloseReason.RESET)

    def _finish(self, client: ClientConnection) -> None:
        """Prepares the connection for another request, or closes it, after a response was written."""
        is_last = client.close_reason is not None or not client.connection.start_next_message()
        # If the node began to stop while the response was written, the response has not announced the close.
        is_stopping = self._shutdown.is_stopping and not client.connection.has_unparsed_input
        if is_last or is_stopping:
            self._half_close(client, client.close_reason or self._clients.close_reason())
            return
        self._on_ready(client)

    @staticmethod
    def _half_close(client: ClientConnection, reason: CloseReason) -> None:
        """Closes the sending direction and continues reading for `LINGER_S` (RFC 9112, 9.6).

        Unread bytes turn a close into a reset, which may destroy the response in transit.
        """
        client.close_reason = reason
        client.connection.discards_input = True
        client.connection.sock.shutdown(socket.SHUT_WR)
        client.scope.deadline = trio.current_time() + LINGER_S
