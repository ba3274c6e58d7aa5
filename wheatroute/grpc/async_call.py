"""A call with an awaitable interface, with backpressure by the stream's flow control.

Unread messages are buffered, up to the stream's window. The end of the call wakes every waiting coroutine.
"""

from __future__ import annotations

from collections import deque

import trio

from wheatroute.grpc.call import Call
from wheatroute.grpc.messages import CallError, Status

UNSENT_POLL_S = 0.001  # interval between two checks whether earlier messages were sent


class AsyncCall:
    """Sends and receives the messages of one call, as its client or its server; a `Receiver`."""

    def __init__(self, call: Call | None = None) -> None:
        self.call: Call
        self.response_headers: dict[bytes, bytes] = {}  # empty until received
        self.ended: CallError | None = None  # the outcome; None while the call is open
        # A server's method runs in this scope; the end of the call cancels it.
        self.scope = trio.CancelScope()
        self._messages: deque[bytes] = deque()
        self._half_closed = False
        self._changed = trio.Event()
        if call is not None:
            self.attach(call)

    def attach(self, call: Call) -> None:
        """Binds this object to its call, and takes over the call's flow control."""
        self.call = call
        call.has_manual_flow_control = True

    # Methods of the call's receiver.

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """Stores the headers of the response."""
        self.response_headers = headers
        self._changed.set()

    def message(self, message: bytes) -> None:
        """Buffers a message."""
        self._messages.append(message)
        self._changed.set()

    def half_closed(self) -> None:
        """Notes that the peer sends no more messages."""
        self._half_closed = True
        self._changed.set()

    def call_ended(self, outcome: CallError) -> None:
        """Notes the outcome of the call; on a server, cancels the method that serves it."""
        self.ended = outcome
        self._changed.set()
        if not self.call.session.client_side:
            self.scope.cancel()

    # Methods for coroutines.

    async def receive(self) -> bytes | None:
        """Returns the next message, or None after the last one; raises `CallError` if the call failed."""
        while not self._messages:
            if self.ended is not None and self.ended.status != Status.OK:
                raise self.ended
            if self._half_closed or self.ended is not None:
                return None
            self._changed = trio.Event()
            await self._changed.wait()
        message = self._messages.popleft()
        if not self.call.is_over:
            self.call.mark_read(len(message))
            self.call.session.flush()
        return message

    async def send(self, message: bytes) -> None:
        """Sends a message once all earlier ones have fit the peer's flow-control windows.

        Raises `CallError` if the call has ended.
        """
        call = self.call
        while call.unsent and not call.is_over:
            await trio.sleep(UNSENT_POLL_S)
        if call.is_over:
            raise self.ended or CallError(Status.CANCELLED, "the call has ended")
        call.send(message)
        call.session.flush()

    async def wait_for_headers(self) -> dict[bytes, bytes]:
        """Returns the headers of the response (clients only).

        Raises `CallError` if the call ends before they are received.
        """
        while not self.response_headers:
            if self.ended is not None:
                raise self.ended
            self._changed = trio.Event()
            await self._changed.wait()
        return self.response_headers

    def half_close(self) -> None:
        """Ends the request (clients only): no more messages may be sent."""
        self.call.half_close()
        self.call.session.flush()

    def cancel(self) -> None:
        """Cancels the call."""
        self.call.cancel()
        self.call.session.flush()
