"""One attempt of a request at one server, from its connection to the last event of its response.

The decision to send is checked once more at the moment of the write: the server may have left, the client may
be gone or the deadline past. Before its last byte is written a request can't have run; after it, only a
response with `Not-Executed`, or status 421, proves that it did not.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import h11
import trio

from wheatroute.edge.connection import StreamConnection, unacknowledged_bytes
from wheatroute.edge.event_stream import EventSplitter
from wheatroute.edge.instances import Server
from wheatroute.edge.pool import ConnectError, ConnectionPool
from wheatroute.edge.request import ClientRequest, Headers, request_headers
from wheatroute.net.connection import MalformedError

MISDIRECTED_REQUEST = 421  # RFC 9110, 15.5.20
MIN_SERVER_ERROR = 500  # status from which a response is a server's failure (RFC 9110, 15.6)
STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9112, 6.3
MAX_RESPONSE_BYTES = 64 << 20  # of a response that isn't a stream
WRITE_CHECK_INTERVAL_S = 0.1  # between two checks of a write that the server's side holds up


class Outcome(Enum):
    """The result of an attempt up to its first event, or to the end of its response."""

    STREAM_STARTED = "stream-started"  # the first event of a stream is here
    ANSWERED = "answered"  # the complete response is here
    NOT_SENT = "not-sent"  # no connection, or it broke before the last byte was written
    CANCELLED = "cancelled"  # not sent, as server, client or deadline were gone by then
    NOT_EXECUTED = "not-executed"  # the server says that it didn't run it
    MISDIRECTED = "misdirected"  # another server responded
    FAILED = "failed"  # it may have run


SUCCEEDED = frozenset((Outcome.STREAM_STARTED, Outcome.ANSWERED))
NEVER_RAN = frozenset((Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.NOT_EXECUTED, Outcome.MISDIRECTED))


class Attempt:
    """One attempt; `run` is called once, then `next_events` for the rest of a stream.

    `is_wanted` tells whether the client still waits; `prefill_tokens` is what the server is expected to read;
    `last_event_id` the event after which a broken stream is resumed.
    """

    def __init__(
        self,
        request: ClientRequest,
        server: Server,
        pool: ConnectionPool,
        is_wanted: Callable[[], bool],
        prefill_tokens: float = 0.0,
        last_event_id: bytes | None = None,
    ) -> None:
        self.request, self.server = request, server
        self.prefill_tokens = prefill_tokens
        self.is_written = False  # to the last byte
        self.is_streaming = False
        self.status = 0
        self.reason = b""
        self.headers: Headers = []
        self.body = b""  # the complete response, or the first events of a stream
        self.splitter = EventSplitter()
        self.error_detail = ""
        self.is_local_failure = False  # this machine was the reason that there was no connection
        self._pool = pool
        self._is_wanted = is_wanted
        self._last_event_id = last_event_id
        self._connection: StreamConnection | None = None
        self._is_complete = False

    async def run(self) -> Outcome:
        """Send the request and wait for the first event or the complete response."""
        try:
            self._connection = await self._pool.acquire(self.server, self.request.id)
        except ConnectError as error:
            self.error_detail, self.is_local_failure = str(error), error.is_local
            return Outcome.NOT_SENT
        try:
            return await self._exchange(self._connection)
        except (OSError, MalformedError) as error:
            self.error_detail = str(error)
        finally:
            if not self.is_streaming:
                self.close()
        return Outcome.FAILED if self.is_written else Outcome.NOT_SENT

    def has_unacknowledged_bytes(self) -> bool:
        """Return whether the server's host has not acknowledged all of the request that was written."""
        connection = self._connection
        return self.is_written and connection is not None and unacknowledged_bytes(connection.sock) > 0

    def _may_write(self) -> bool:
        return not self.server.has_left and self._is_wanted() and trio.current_time() < self.request.deadline

    async def _exchange(self, connection: StreamConnection) -> Outcome:
        head = self._request_head()
        if not self._may_write():
            self._pool.release(self.server, connection)
            self._connection = None
            return Outcome.CANCELLED
        if not await self._write(connection, head):
            return Outcome.CANCELLED
        self.is_written = True
        self.request.sent_attempts += 1
        await self._read_head(connection, head)
        return await self._read_response(connection)

    async def _write(self, connection: StreamConnection, head: h11.Request) -> bool:
        """Write the request; return False if it was given up before its last byte, so that it never runs."""
        is_done = connection.send(head, self.request.body)
        while not is_done:
            with trio.move_on_after(WRITE_CHECK_INTERVAL_S):
                await trio.lowlevel.wait_writable(connection.sock)
            if not self._may_write():
                return False
            is_done = connection.write()
        return True

    def _request_head(self) -> h11.Request:
        remaining_s = self.request.deadline - trio.current_time()
        headers = request_headers(
            self.request, self.server.id, remaining_s, self.prefill_tokens, self._last_event_id
        )
        return h11.Request(method=self.request.method, target=self.request.target, headers=headers)

    async def _read_head(self, connection: StreamConnection, request_head: h11.Request) -> None:
        """Read the head of this request's response; surplus responses to earlier requests are skipped."""
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise MalformedError(0, "no answer")
            headers: Headers = [(bytes(key), bytes(value)) for key, value in event.headers]
            fields = dict(headers)
            if not self._is_own_response(fields, connection):
                await self._skip_body(connection)
                # h11 expects one response for each request, and needs the method to read the next one
                connection.restart(request_head)
                continue
            self.status, self.reason, self.headers = event.status_code, bytes(event.reason), headers
            self._pool.record_keep_alive(self.server, fields.get(b"keep-alive", b""))
            return

    def _is_own_response(self, fields: dict[bytes, bytes], connection: StreamConnection) -> bool:
        """Return whether a response is to this request.

        A response without an id is, if no other request was ever written on its connection; else it can't be
        told, and MalformedError is raised.
        """
        response_id = fields.get(b"request-id", b"")
        if not response_id:
            if connection.message_count > 1:
                raise MalformedError(0, "an answer without an id on a kept connection")
            return True
        return response_id == self.request.id

    @staticmethod
    async def _skip_body(connection: StreamConnection) -> None:
        while not isinstance(await connection.next_event(), h11.EndOfMessage):
            pass

    async def _read_response(self, connection: StreamConnection) -> Outcome:
        fields = dict(self.headers)
        is_stream = fields.get(b"content-type", b"").startswith(b"text/event-stream")
        if is_stream and 200 <= self.status < 300:
            return await self._read_first_event(connection)
        self.body = await self._read_body(connection)
        if not _has_framing(fields) and self.status not in STATUSES_WITHOUT_BODY:
            raise MalformedError(0, "an answer without an end")
        outcome = self._classify(fields)
        if outcome != Outcome.ANSWERED or self.status >= MIN_SERVER_ERROR:
            # the request may be sent again under its id, and a surplus copy of this response may follow here
            connection.answered_ids.add(self.request.id)
        self._pool.release(self.server, connection)
        self._connection = None
        return outcome

    @staticmethod
    async def _read_body(connection: StreamConnection) -> bytes:
        chunks: list[bytes] = []
        length = 0
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            length += len(event.data)
            if length > MAX_RESPONSE_BYTES:
                raise MalformedError(0, "an answer too long")
            chunks.append(bytes(event.data))
        return b"".join(chunks)

    def _classify(self, fields: dict[bytes, bytes]) -> Outcome:
        if self.status == MISDIRECTED_REQUEST:
            return Outcome.MISDIRECTED
        if fields.get(b"not-executed", b"").strip() not in (b"", b"0"):
            return Outcome.NOT_EXECUTED
        return Outcome.ANSWERED

    async def _read_first_event(self, connection: StreamConnection) -> Outcome:
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.body = self.splitter.incomplete
                self._is_complete = True
                break
            self.body = self.splitter.feed(bytes(event.data))
            if self.body:
                break
        self.is_streaming = True
        return Outcome.STREAM_STARTED

    async def next_events(self) -> bytes | None:
        """Return the bytes of the next complete events, None at the end of the stream.

        Raises OSError or MalformedError where the stream breaks off; an incomplete event is dropped then.
        """
        connection = self._connection
        if self._is_complete or connection is None:
            return None
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                self._check_end_of_stream()
                self._is_complete = True
                return None
            events = self.splitter.feed(bytes(event.data))
            if events:
                return events

    def _check_end_of_stream(self) -> None:
        """Raise MalformedError unless the stream's end proves that it is complete.

        A response without framing ends with its connection, as a broken one does (RFC 9112, 8).
        """
        if not _has_framing(dict(self.headers)):
            raise MalformedError(0, "a stream without an end")
        if self.splitter.incomplete:
            raise MalformedError(0, "a stream that ends inside an event")

    def close(self) -> None:
        """Give the connection back after a complete response, else close it, which cancels the request."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._is_complete:
            self._pool.release(self.server, connection)
        else:
            self._pool.discard(self.server, connection)


def _has_framing(fields: dict[bytes, bytes]) -> bool:
    """Return whether a response's length is known from its head (RFC 9112, 6.3)."""
    return b"content-length" in fields or b"transfer-encoding" in fields
