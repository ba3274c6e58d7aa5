"""The one response to a client's request, written to the client's connection."""

from __future__ import annotations

import h11

from wheatroute.cluster.errors import RequestError
from wheatroute.edge.connection import StreamConnection
from wheatroute.edge.request import Headers


class ClientDisconnectedError(Exception):
    """The client closed its connection, or takes no bytes."""


class ClientResponse:
    """Writes exactly one response.

    A response that breaks off never looks complete to the client: only `send` and `end_stream` write the last
    byte that its framing asks for (RFC 9112, 8).
    """

    def __init__(self, connection: StreamConnection, is_closing: bool) -> None:
        self.is_closing = is_closing  # the connection ends with this response
        self.has_begun = False
        self.is_complete = False
        self.is_client_disconnected = False
        self._connection = connection

    def _head(self, status: int, headers: Headers, reason: bytes = b"") -> h11.Response:
        if self.is_closing:
            headers = [*headers, (b"Connection", b"close")]
        return h11.Response(status_code=status, headers=headers, reason=reason)

    async def send(self, status: int, headers: Headers, body: bytes, reason: bytes = b"") -> None:
        """Write a complete response with its length; raises ClientDisconnectedError."""
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.has_begun = True
        try:
            if not self._connection.send(self._head(status, headers, reason), body):
                await self._connection.flush()
        except OSError as error:
            raise ClientDisconnectedError(str(error)) from error
        self.is_complete = True

    async def send_error(self, request_id: bytes, error: RequestError, retry_after_s: float = 0.0) -> None:
        """Write an error response of this node's own; raises ClientDisconnectedError."""
        response = error.response
        headers: Headers = [(b"Content-Type", b"text/plain")]
        if request_id:
            headers.append((b"Request-Id", request_id))
        wait_s = retry_after_s or response.retry_after_s
        if wait_s:
            headers.append((b"Retry-After", b"%.3f" % wait_s))
        body = error.kind.value.encode() + b"\n"
        await self.send(response.status, headers, body, response.reason.encode())

    async def start_stream(self, status: int, headers: Headers, first: bytes, reason: bytes = b"") -> None:
        """Write the head of a stream and its first events; raises ClientDisconnectedError."""
        self.has_begun = True
        try:
            head = self._head(status, [*headers, (b"Transfer-Encoding", b"chunked")], reason)
            await self._connection.send_head(head, first)
        except OSError as error:
            raise ClientDisconnectedError(str(error)) from error

    async def send_events(self, data: bytes) -> None:
        """Write more events of a stream; raises ClientDisconnectedError."""
        try:
            await self._connection.send_body(data)
        except OSError as error:
            raise ClientDisconnectedError(str(error)) from error

    async def end_stream(self) -> None:
        """Write the end of a stream; raises ClientDisconnectedError."""
        try:
            await self._connection.send_end()
        except OSError as error:
            raise ClientDisconnectedError(str(error)) from error
        self.is_complete = True
