"""A call for coroutines: messages are awaited, with backpressure by the stream's flow control.

Messages that were not read yet are buffered, up to the stream's window. A coroutine that waits is always
woken by the end of the call.
"""

from __future__ import annotations

from collections import deque

import trio

from wheatroute.grpc.call import Call
from wheatroute.grpc.messages import CallError, Status

UNSENT_POLL_S = 0.001  # between two checks whether messages were sent


class AsyncCall:
    """Both directions of one call, of either side; a `Receiver`."""

    def __init__(self, call: Call | None = None) -> None:
        self.call: Call
        self.response_headers: dict[bytes, bytes] = {}  # empty until they came
        self.ended: CallError | None = None
        self.scope = trio.CancelScope()  # in which a server's coroutine runs
        self._messages: deque[bytes] = deque()
        self._half_closed = False
        self._changed = trio.Event()
        if call is not None:
            self.attach(call)

    def attach(self, call: Call) -> None:
        """Makes this the receiver's view of a call."""
        self.call = call
        call.has_manual_flow_control = True

    # the receiver

    def headers(self, headers: dict[bytes, bytes]) -> None:
        """The response has begun."""
        self.response_headers = headers
        self._changed.set()

    def message(self, message: bytes) -> None:
        """A message came."""
        self._messages.append(message)
        self._changed.set()

    def half_closed(self) -> None:
        """The peer sends no more messages."""
        self._half_closed = True
        self._changed.set()

    def call_ended(self, outcome: CallError) -> None:
        """The call has ended."""
        self.ended = outcome
        self._changed.set()
        if not self.call.session.client_side:
            self.scope.cancel()

    # for coroutines

    async def receive(self) -> bytes | None:
        """The next message, None after the last one; raises `CallError` if the call failed."""
        while not self._messages:
            if self.ended is not None and self.ended.status != Status.OK:
                raise self.ended
            if self._half_closed or self.ended is not None:
                return None
            self._changed = trio.Event()
            await self._changed.wait()
        message = self._messages.popleft()
        if not self.call.is_over:
            self.call.read(len(message))
            self.call.session.flush()
        return message

    async def send(self, message: bytes) -> None:
        """Sends a message; waits until the messages before it fit the peer's windows."""
        call = self.call
        while call.unsent and not call.is_over:
            await trio.sleep(UNSENT_POLL_S)
        if call.is_over:
            raise self.ended or CallError(Status.CANCELLED, "the call is over")
        call.send(message)
        call.session.flush()

    async def wait_for_headers(self) -> dict[bytes, bytes]:
        """The headers of the response (clients only); raises `CallError` if the call ends before."""
        while not self.response_headers:
            if self.ended is not None:
                raise self.ended
            self._changed = trio.Event()
            await self._changed.wait()
        return self.response_headers

    def half_close(self) -> None:
        """Ends the request: no more messages are sent."""
        self.call.half_close()
        self.call.session.flush()

    def cancel(self) -> None:
        """Cancels the call."""
        self.call.cancel()
        self.call.session.flush()
