"""Sends a request to one server and reads the response, up to the last event of a stream.

Right before each write of the head it is checked again whether the request may be sent: meanwhile the server
may have left, the client may have disconnected, or the deadline may have passed. A request cannot have run
before the last byte of its head is written; after that, only a response with `Not-Executed`, or with status
421, proves that it did not, because a server may work on a request, and answer it, before it has read the
body. So the attempt stays with its server from then on, and reads the response while it writes the body.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial

import h11
import trio

from wheatroute.cluster.memory_budget import MemoryExceededError, Reservation
from wheatroute.edge.connection import unacknowledged_bytes
from wheatroute.edge.event_stream import EventSplitter
from wheatroute.edge.instances import Server
from wheatroute.edge.pool import ConnectError, StreamConnectionPool
from wheatroute.edge.request import ClientRequest, Headers, request_headers
from wheatroute.edge.server_connection import ServerConnection
from wheatroute.net.connection import MalformedError

MISDIRECTED_REQUEST = 421  # RFC 9110, 15.5.20
MIN_SERVER_ERROR = 500  # lowest status that reports a failure of the server (RFC 9110, 15.6)
STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9112, 6.3
MAX_EVENT_BYTES = 1 << 20  # largest event of a stream
MAX_RESPONSE_BYTES = 64 << 20  # largest body of a response that is not a stream


class EdgeAttemptOutcome(Enum):
    """Result of an attempt, known at the first event of a stream or at the end of another response."""

    STREAM_STARTED = "stream-started"  # the first event of a stream was received
    ANSWERED = "answered"  # the complete response was received
    NOT_SENT = "not-sent"  # connecting failed, or the connection broke before the head was written
    # Given up before the head was written: the server or client left, or the deadline passed.
    CANCELLED = "cancelled"
    NOT_EXECUTED = "not-executed"  # the server reports that it did not run the request
    MISDIRECTED = "misdirected"  # another server has this address now (status 421)
    FAILED = "failed"  # there is no usable response, and the request may have run


SUCCEEDED = frozenset((EdgeAttemptOutcome.STREAM_STARTED, EdgeAttemptOutcome.ANSWERED))
NEVER_RAN = frozenset(
    (
        EdgeAttemptOutcome.NOT_SENT,
        EdgeAttemptOutcome.CANCELLED,
        EdgeAttemptOutcome.NOT_EXECUTED,
        EdgeAttemptOutcome.MISDIRECTED,
    )
)


def _may_write_body(server: Server, drain_s: float) -> bool:
    """Returns whether the rest of a body may be written; the server may be running the request."""
    return trio.current_time() < server.left_at + drain_s


class EdgeAttempt:
    """One attempt to get a response from a server, on a connection that it uses exclusively.

    `run` is called once, then `next_events` for the rest of a stream. `is_client_waiting` returns whether the
    client still waits for the response. `drain_s` is the number of seconds for which the rest of a body may
    still be written to a server that has left; `memory` counts the response. `prefill_tokens` is the number
    of prompt tokens that the server is expected to prefill, and `last_event_id` is the event after which a
    broken stream is resumed.
    """

    def __init__(
        self,
        request: ClientRequest,
        server: Server,
        pool: StreamConnectionPool,
        is_client_waiting: Callable[[], bool],
        drain_s: float,
        memory: Reservation,
        prefill_tokens: float = 0.0,
        last_event_id: bytes | None = None,
    ) -> None:
        self.request, self.server = request, server
        self.prefill_tokens = prefill_tokens
        self.may_have_run = False  # whether enough was written that the server may have run the request
        self.unsent_bytes = 0  # bytes of a partly written request that were not written
        self.is_streaming = False
        self.status = 0
        self.reason = b""
        self.headers: Headers = []
        self.body = b""  # body of a complete response, or the first events of a stream
        self.splitter = EventSplitter()
        self.error_detail = ""
        self.is_local_failure = False  # whether the attempt failed for a reason on this machine
        self.memory = memory
        self._pool = pool
        self._is_client_waiting = is_client_waiting
        self._drain_s = drain_s
        self._last_event_id = last_event_id
        self._connection: ServerConnection | None = None
        self._is_complete = False  # whether a stream was read to its end

    async def run(self) -> EdgeAttemptOutcome:
        """Sends the request and waits for the first event of a stream or the complete response."""
        try:
            self._connection = await self._pool.acquire(self.server, self.request.id)
        except ConnectError as error:
            self.error_detail, self.is_local_failure = str(error), error.is_local
            return EdgeAttemptOutcome.NOT_SENT
        try:
            return await self._exchange(self._connection)
        except (OSError, MalformedError) as error:
            self.error_detail = str(error)
        except MemoryExceededError as error:
            self.error_detail, self.is_local_failure = f"the response is too large: {error}", True
        finally:
            self.unsent_bytes = self._connection.unsent_bytes if self._connection is not None else 0
            if not self.is_streaming:
                self.close()
        return EdgeAttemptOutcome.FAILED if self.may_have_run else EdgeAttemptOutcome.NOT_SENT

    def has_unacknowledged_bytes(self) -> bool:
        """Returns whether the server's host has yet to acknowledge part of a completely written request."""
        connection = self._connection
        if connection is None or not connection.is_written:
            return False
        return unacknowledged_bytes(connection.sock) > 0

    def _may_write(self) -> bool:
        return (
            not self.server.has_left
            and self._is_client_waiting()
            and trio.current_time() < self.request.deadline
        )

    async def _exchange(self, connection: ServerConnection) -> EdgeAttemptOutcome:
        head = self._request_head()
        if not self._may_write():
            self._pool.release(self.server, connection)
            self._connection = None
            return EdgeAttemptOutcome.CANCELLED
        # The connection keeps this condition, so that it must not refer to the attempt or the request.
        may_write_body = partial(_may_write_body, self.server, self._drain_s)
        connection.start_request(head, self.request.body, may_write_body)
        while not connection.has_written_head:
            await connection.wait_writable()
            if not self._may_write():
                return EdgeAttemptOutcome.CANCELLED
            connection.write()
        self.may_have_run = True
        self.request.sent_attempts += 1
        await self._read_head(connection, head)
        return await self._read_response(connection)

    def _request_head(self) -> h11.Request:
        remaining_s = self.request.deadline - trio.current_time()
        headers = request_headers(
            self.request, self.server.id, remaining_s, self.prefill_tokens, self._last_event_id
        )
        return h11.Request(method=self.request.method, target=self.request.target, headers=headers)

    async def _read_head(self, connection: ServerConnection, request_head: h11.Request) -> None:
        """Reads the head of the response to this request; skips surplus responses to earlier requests."""
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise MalformedError(0, "no response head was received")
            headers: Headers = [(bytes(key), bytes(value)) for key, value in event.headers]
            fields = dict(headers)
            if not self._is_own_response(fields, connection):
                await self._skip_body(connection)
                # h11 accepts one response per request, and needs the request's method to parse another one.
                connection.expect_next_response(request_head)
                continue
            self.status, self.reason, self.headers = event.status_code, bytes(event.reason), headers
            self._pool.record_keep_alive(self.server, fields.get(b"keep-alive", b""))
            return

    def _is_own_response(self, fields: dict[bytes, bytes], connection: ServerConnection) -> bool:
        """Returns whether a response belongs to this request, by its `Request-Id`.

        A response without an id belongs to this request if no other request was ever written on the
        connection, even in part. If another was, the response cannot be attributed, and MalformedError is
        raised.
        """
        response_id = fields.get(b"request-id", b"")
        if not response_id:
            if connection.request_count > 1:
                raise MalformedError(0, "a response without a Request-Id on a reused connection")
            return True
        return response_id == self.request.id

    @staticmethod
    async def _skip_body(connection: ServerConnection) -> None:
        while not isinstance(await connection.next_event(), h11.EndOfMessage):
            pass

    async def _read_response(self, connection: ServerConnection) -> EdgeAttemptOutcome:
        fields = dict(self.headers)
        is_stream = fields.get(b"content-type", b"").startswith(b"text/event-stream")
        if is_stream and 200 <= self.status < 300:
            return await self._read_first_event(connection)
        self.body = await self._read_body(connection)
        self._check_framing()
        outcome = self._classify(fields)
        if outcome != EdgeAttemptOutcome.ANSWERED or self.status >= MIN_SERVER_ERROR:
            # The request may be sent again under the same id, and a surplus copy of this response may follow
            # on this connection.
            connection.record_answered(self.request.id)
        self._pool.release(self.server, connection)
        self._connection = None
        return outcome

    async def _read_body(self, connection: ServerConnection) -> bytes:
        """Returns the body; it counts twice, as it is copied to be written."""
        body = bytearray()
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            if len(body) + len(event.data) > MAX_RESPONSE_BYTES:
                raise MalformedError(0, "the response body is too large")
            self.memory.resize(2 * (len(body) + len(event.data)))
            body += event.data
        return bytes(body)

    def _classify(self, fields: dict[bytes, bytes]) -> EdgeAttemptOutcome:
        if self.status == MISDIRECTED_REQUEST:
            return EdgeAttemptOutcome.MISDIRECTED
        if fields.get(b"not-executed", b"").strip() not in (b"", b"0"):
            return EdgeAttemptOutcome.NOT_EXECUTED
        return EdgeAttemptOutcome.ANSWERED

    async def _read_first_event(self, connection: ServerConnection) -> EdgeAttemptOutcome:
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                self._check_end_of_stream()
                self._is_complete = True
                break
            self.body = self._feed(event)
            if self.body:
                break
        self.is_streaming = True
        return EdgeAttemptOutcome.STREAM_STARTED

    async def next_events(self) -> bytes | None:
        """Returns the bytes of the next complete events, None at the end of the stream.

        Raises OSError or MalformedError if the stream breaks off; an incomplete event is dropped then.
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
            events = self._feed(event)
            if events:
                return events

    def _feed(self, event: h11.Data) -> bytes:
        """Returns the events that are complete with these bytes; raises MalformedError for one too large."""
        events = self.splitter.feed(bytes(event.data))
        incomplete_bytes = len(self.splitter.incomplete)
        if incomplete_bytes > MAX_EVENT_BYTES:
            raise MalformedError(0, "an event of the stream is too large")
        self.memory.resize(incomplete_bytes)
        return events

    def _check_end_of_stream(self) -> None:
        """Raises MalformedError unless the stream's end proves that it is complete."""
        self._check_framing()
        if self.splitter.incomplete:
            raise MalformedError(0, "the stream ended inside an event")

    def _check_framing(self) -> None:
        """Raises MalformedError if the response ends with its connection.

        Such a response can't be told from a truncated one: both end when the connection closes (RFC 9112, 8).
        """
        fields = dict(self.headers)
        has_framing = b"content-length" in fields or b"transfer-encoding" in fields
        has_body = self.request.method != b"HEAD" and self.status not in STATUSES_WITHOUT_BODY
        if has_body and not has_framing:
            raise MalformedError(0, "a response with neither Content-Length nor Transfer-Encoding")

    def close(self) -> None:
        """Releases the connection if its stream was read to the end; else closes it to cancel the request."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._is_complete:
            self._pool.release(self.server, connection)
        else:
            self._pool.discard(self.server, connection)
