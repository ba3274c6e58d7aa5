"""A call as a coroutine sees it: messages are awaited, and read no faster than they are wanted.

Owns the messages that came and were not read yet, which the stream's window bounds. It must never lose the
end of a call: who waits is always woken.
"""

from __future__ import annotations

from collections import deque

import trio

from wheatroute.grpc.call import Call
from wheatroute.grpc.messages import CallError, Status


class Talk:
    """Both directions of one call, of either side; a `Receiver`."""

    def __init__(self, call: Call | None = None) -> None:
        self.call: Call
        self.first: dict[bytes, bytes] = {}  # headers of the answer, once they are here
        self.ended: CallError | None = None
        self.scope = trio.CancelScope()  # what a server's coroutine runs in
        self._messages: deque[bytes] = deque()
        self._half_closed = False
        self._stirred = trio.Event()
        if call is not None:
            self.attach(call)

    def attach(self, call: Call) -> None:
        self.call = call
        call.holds = True

    # what comes

    def headers(self, headers: dict[bytes, bytes]) -> None:
        self.first = headers
        self._stirred.set()

    def message(self, message: bytes) -> None:
        self._messages.append(message)
        self._stirred.set()

    def half_closed(self) -> None:
        self._half_closed = True
        self._stirred.set()

    def over(self, how: CallError) -> None:
        self.ended = how
        self._stirred.set()
        if not self.call.session.client_side:
            self.scope.cancel()

    # what a coroutine does

    async def receive(self) -> bytes | None:
        """The next message, or None after the last; raises `CallError` if the call did not end well."""
        while not self._messages:
            if self.ended is not None and self.ended.status != Status.OK:
                raise self.ended
            if self._half_closed or self.ended is not None:
                return None
            self._stirred = trio.Event()
            await self._stirred.wait()
        message = self._messages.popleft()
        if not self.call.dead:
            self.call.read(len(message))
            self.call.session.flush()
        return message

    async def send(self, message: bytes) -> None:
        """Sends a message; waits while the other side's windows have no room for those before it."""
        call = self.call
        while call.unsent and not call.dead:
            await trio.sleep(0.001)
        if call.dead:
            raise self.ended or CallError(Status.CANCELLED, "the call is over")
        call.send(message)
        call.session.flush()

    async def started(self) -> dict[bytes, bytes]:
        """Headers of the answer (clients only)."""
        while not self.first:
            if self.ended is not None:
                raise self.ended
            self._stirred = trio.Event()
            await self._stirred.wait()
        return self.first

    def half_close(self) -> None:
        self.call.half_close()
        self.call.session.flush()

    def cancel(self) -> None:
        self.call.cancel()
        self.call.session.flush()
