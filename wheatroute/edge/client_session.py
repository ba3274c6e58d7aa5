"""One client's connection: waits for its requests, reads them, and closes it without losing a response.

Does I/O on the connection.
"""

from __future__ import annotations

from math import inf

import h11
import trio

from wheatroute.cluster.memory_budget import MemoryBudget, MemoryExceededError
from wheatroute.edge.client_response import ClientResponse
from wheatroute.edge.connection import HEADER_FIELD_BYTES, StreamConnection
from wheatroute.edge.request import ClientRequest
from wheatroute.net.connection import RECEIVE_BYTES

UNUSED_COST, IDLE_COST, READING_COST = range(3)  # groups of `ClientSession.closing_cost`
SMALL_READ_BYTES = 4096  # a read of small parts; others get their turn between two reads
BODY_TIMEOUT_S = 20.0  # time for the body of a request, in addition to the timeout of its head
LINGER_TIMEOUT_S = 0.5  # time that a client has to read its last response before its connection is closed


class RequestShedError(Exception):
    """A request was given up before it was complete, as this node lacks the memory for it; it never runs."""


class ClientSession:
    """A client's connection and what it is doing.

    `memory` counts the request that is being read or answered. Until it is complete, the request may be shed.
    """

    def __init__(self, connection: StreamConnection, memory: MemoryBudget) -> None:
        self.connection = connection
        self.memory = memory.open(self._shed)
        self.is_busy = False  # whether a request is being read or answered
        self.is_closing_early = False  # whether the connection is closed in favour of others
        self._is_answering = False
        self._idle_since = trio.current_time()
        self._was_shed = False
        self._shed_scope = trio.CancelScope()  # scope of what ends when the request is shed
        self.last_response: ClientResponse | None = None
        self._idle_scope = trio.CancelScope()  # scope of the wait for the next request

    # Reading requests

    def stop_waiting(self) -> None:
        """Ends the wait for the next request, unless part of one has arrived."""
        self._idle_scope.cancel()

    def start_next_request(self) -> bool:
        """Prepares for another request; returns False if the connection cannot carry any more."""
        if not self.connection.start_next_message():
            return False
        self.is_busy = self._is_answering = False
        self._idle_since = trio.current_time()
        self._idle_scope = trio.CancelScope()
        self.memory.resize(0)
        self.memory.unprotect(self._shed)
        return True

    def start_response(self, response: ClientResponse) -> None:
        """Records that a complete request is being answered."""
        self._is_answering = True
        self.last_response = response

    @property
    def has_cut_response(self) -> bool:
        """Whether the last response broke off, so that no response to a later request can follow it."""
        response = self.last_response
        return response is not None and response.has_begun and not response.is_complete

    # Closing in favour of others

    @property
    def closing_cost(self) -> tuple[float, float] | None:
        """What closing this connection now would cost; None if it must not be closed.

        The least costly are those that never carried a request, then idle ones, and then those with a
        request that is being read; in each group the one that has been so for longest.
        """
        if self._is_answering or self.is_closing_early:
            return None
        if self.is_busy:
            return READING_COST, self._idle_since
        return (UNUSED_COST if self.last_response is None else IDLE_COST), self._idle_since

    def close_early(self) -> None:
        """Closes a connection without a complete request."""
        self.is_closing_early = True
        if self.is_busy:
            self._shed()
        else:
            self.stop_waiting()

    # Memory

    def _shed(self) -> None:
        self._was_shed = True
        self.connection.drop_message()
        self._shed_scope.cancel()

    def _reserve(self, held_bytes: int) -> None:
        """Counts what was read; raises RequestShedError if there is no room for it."""
        try:
            self.memory.resize(held_bytes)
        except MemoryExceededError as error:
            raise RequestShedError(str(error)) from error
        if self._was_shed:
            raise RequestShedError("the memory is needed for other clients")

    def reserve_answer(self, request: ClientRequest) -> None:
        """Reserves the memory of a complete request until it is answered; raises RequestShedError.

        A server gets a copy of the body, so that a body counts twice.
        """
        self._reserve(len(request.headers) * HEADER_FIELD_BYTES + 2 * len(request.body))
        try:
            self.memory.protect()
        except MemoryExceededError as error:
            raise RequestShedError(str(error)) from error

    def drop_request(self) -> trio.CancelScope:
        """Drops what was read of a request that is rejected.

        Returns the scope in which the rejection is to be written; it ends if the memory for the bytes that
        are still in the parser is needed otherwise.
        """
        self.connection.drop_message()
        self._shed_scope = trio.CancelScope()
        try:
            self.memory.resize(self.connection.held_bytes)
        except MemoryExceededError:
            self._shed_scope.cancel()
        return self._shed_scope

    async def read_request(self, idle_timeout_s: float, head_timeout_s: float) -> ClientRequest | None:
        """Returns the next complete request, None if the client was idle for too long or has disconnected.

        Raises MalformedError if the request is malformed, trio.TooSlowError if it is not complete in time
        after its first byte, or RequestShedError.
        """
        if not await self._wait_for_first_byte(idle_timeout_s):
            return None
        self.is_busy = True
        self.is_closing_early = False  # a request had arrived before its connection was closed
        received_at = trio.current_time()
        self.memory.restart()
        self._shed_scope = trio.CancelScope()
        with trio.fail_after(head_timeout_s + BODY_TIMEOUT_S), self._shed_scope:
            if not await self._read_message(received_at + head_timeout_s):
                return None
        self._reserve(self.connection.held_bytes)
        head, body = self.connection.take_message()
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        return ClientRequest(bytes(head.method), bytes(head.target), headers, body, received_at)

    async def _wait_for_first_byte(self, idle_timeout_s: float) -> bool:
        """Waits for the start of a request; returns False after the idle timeout or a disconnect.

        The wait may end while bytes are waiting to be read; they are read, so that a request which arrived
        before the end of the wait is answered.
        """
        connection = self.connection
        with trio.move_on_after(idle_timeout_s), self._idle_scope:
            if not await self._receive_first_byte():
                return False
        if not self._has_begun_request() and not connection.is_reusable():
            return await connection.receive() and self._has_begun_request()
        return self._has_begun_request()

    async def _receive_first_byte(self) -> bool:
        connection = self.connection
        while not connection.has_partial_message:
            if connection.parse():
                break
            if not await connection.receive():
                return False
        # Set within the wait, so that it is not ended once a request has begun.
        self.is_busy = True
        return True

    def _has_begun_request(self) -> bool:
        connection = self.connection
        return connection.has_partial_message or connection.http.their_state is not h11.IDLE

    async def _read_message(self, head_deadline: float) -> bool:
        """Reads until a request is complete; returns False if the client closes the connection before.

        Raises MalformedError, or trio.TooSlowError if the head is not complete at the deadline.
        """
        connection = self.connection
        has_sent_continue = False
        while not connection.parse():
            self._reserve(connection.held_bytes)
            connection.receive_bytes = SMALL_READ_BYTES if connection.has_small_parts else RECEIVE_BYTES
            if connection.http.they_are_waiting_for_100_continue and not has_sent_continue:
                has_sent_continue = True
                await connection.send_interim()
            is_reading_body = connection.http.their_state is h11.SEND_BODY
            if not is_reading_body and trio.current_time() > head_deadline:
                raise trio.TooSlowError
            deadline = head_deadline if connection.http.their_state is h11.IDLE else inf
            with trio.move_on_at(deadline) as scope:
                if not await connection.receive():
                    return False
            if scope.cancelled_caught:
                raise trio.TooSlowError
        return True

    # Closing the connection

    async def drain_input(self) -> None:
        """Ends the connection after the response to a message that was not read whole; discards the rest.

        Closing a socket with unread bytes resets the connection, and the client could lose the response
        (RFC 9112, 9.6).
        """
        self.connection.shut_down_sending()
        self.connection.discards_input = True
        with trio.move_on_after(LINGER_TIMEOUT_S):
            while await self.connection.receive():
                pass

    async def linger(self) -> None:
        """Tells the client that the connection has ended, and waits until it closes its side.

        A request that the client sends meanwhile is left unread. The client may so send it again, and it
        resets the connection only when the client has had time to read its last response.
        """
        self.connection.shut_down_sending()
        with trio.move_on_after(LINGER_TIMEOUT_S):
            await trio.lowlevel.wait_readable(self.connection.sock)
            if not self.connection.is_closed_by_peer():
                await trio.sleep_forever()
