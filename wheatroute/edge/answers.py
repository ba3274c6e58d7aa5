"""A client's connection as the place for one answer."""

from __future__ import annotations

import h11

from wheatroute.cluster.errors import RequestError
from wheatroute.edge.connection import StreamConnection
from wheatroute.edge.request import Headers


class ClientGoneError(Exception):
    """The client closed its connection, or takes no bytes."""


class ClientAnswer:
    """Writes exactly one answer; it never looks whole unless `answer` or `end` wrote its last byte."""

    def __init__(self, line: StreamConnection, closing: bool) -> None:
        self.closing = closing  # the connection ends with this answer
        self.begun = False
        self.whole = False
        self.gone = False
        self._line = line

    def _head(self, status: int, headers: Headers, reason: bytes = b"") -> h11.Response:
        if self.closing:
            headers = [*headers, (b"Connection", b"close")]
        return h11.Response(status_code=status, headers=headers, reason=reason)

    async def answer(self, status: int, headers: Headers, body: bytes, reason: bytes = b"") -> None:
        """A whole answer with its length."""
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.begun = True
        try:
            if not self._line.send(self._head(status, headers, reason), body):
                await self._line.flush()
        except OSError as error:
            raise ClientGoneError(str(error)) from error
        self.whole = True

    async def refuse(self, request_id: bytes, error: RequestError, retry_after: float = 0.0) -> None:
        """An answer of this node's own."""
        told = error.response
        headers: Headers = [(b"Content-Type", b"text/plain")]
        if request_id:
            headers.append((b"Request-Id", request_id))
        wait = retry_after or told.retry_after_s
        if wait:
            headers.append((b"Retry-After", b"%.3f" % wait))
        await self.answer(told.status, headers, error.kind.value.encode() + b"\n", told.reason.encode())

    async def start(self, status: int, headers: Headers, first: bytes, reason: bytes = b"") -> None:
        """The head of a stream and its first events."""
        self.begun = True
        try:
            head = self._head(status, [*headers, (b"Transfer-Encoding", b"chunked")], reason)
            await self._line.send_head(head, first)
        except OSError as error:
            raise ClientGoneError(str(error)) from error

    async def part(self, data: bytes) -> None:
        """More events."""
        try:
            await self._line.send_part(data)
        except OSError as error:
            raise ClientGoneError(str(error)) from error

    async def end(self) -> None:
        """The stream is whole."""
        try:
            await self._line.send_end()
        except OSError as error:
            raise ClientGoneError(str(error)) from error
        self.whole = True
