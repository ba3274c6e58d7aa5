"""The gRPC client: one connection to a place, kept up, and calls on it.

Owns connecting, the waits between tries, and the clients' half of deadlines. A call is never sent twice: one
that failed says so, with `never_ran` where the other side proved that it did not look at it. It must never
decide where else to go.
"""

from __future__ import annotations

import random
import socket
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf

import trio

from wheatroute.grpc.call import Bounds, Receiver
from wheatroute.grpc.messages import CallError, Headers, Status, time_out_text
from wheatroute.grpc.session import Session
from wheatroute.grpc.talk import Talk
from wheatroute.wire import Wire

CONNECT = 2.0  # seconds for a connection with its handshake
FIRST_WAIT, LONGEST_WAIT = 0.05, 5.0  # seconds between tries, doubled each time, half of it by chance


class Channel:
    """Calls to one place over one connection, which is made anew when it is lost."""

    def __init__(
        self,
        place: tuple[str, int],
        bounds: Bounds | None = None,
        context: ssl.SSLContext | None = None,
        host: str | None = None,
        chance: random.Random | None = None,
        metadata: Headers | None = None,
        burst: Callable[[], None] | None = None,
        longest_wait: float = LONGEST_WAIT,
    ) -> None:
        self._longest_wait = longest_wait
        self.place, self.bounds, self.context, self.host = place, bounds or Bounds(), context, host
        self.metadata: Headers = metadata or []
        self.tries = 0  # connections tried since the last that worked
        self._chance = chance or random.Random(0)
        self._burst = burst
        self._session: Session | None = None
        self._changed = trio.Event()
        self._trouble = "not connected yet"
        authority = host or "{}:{}".format(*place)
        self._head: Headers = [
            (b":method", b"POST"),
            (b":scheme", b"https" if context else b"http"),
            (b":authority", authority.encode()),
        ]

    async def run(self) -> None:
        """Keeps the connection up until it is cancelled."""
        while True:
            try:
                session = await self._connect()
            except (OSError, ssl.SSLError, trio.TooSlowError) as trouble:
                self._trouble = str(trouble) or type(trouble).__name__
                self._change(None)
                self.tries += 1
                wait = min(self._longest_wait, FIRST_WAIT * 2 ** min(self.tries, 10))
                await trio.sleep(wait * (0.5 + 0.5 * self._chance.random()))
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._announce, session)
                await session.run()
                nursery.cancel_scope.cancel()
            self._trouble = session.reason
            self._change(None)
            # guards against spinning on a place that accepts and hangs up at once
            self.tries += 1
            wait = min(self._longest_wait, FIRST_WAIT * self.tries)
            await trio.sleep(wait * (0.5 + 0.5 * self._chance.random()))

    async def _announce(self, session: Session) -> None:
        await session.ready()
        self.tries = 0
        self._change(session)

    def _change(self, session: Session | None) -> None:
        self._session = session
        self._changed.set()
        self._changed = trio.Event()

    async def _connect(self) -> Session:
        with trio.fail_after(CONNECT):
            sock = socket.socket(socket.AF_INET6 if ":" in self.place[0] else socket.AF_INET)
            try:
                sock.setblocking(False)
                code = sock.connect_ex(self.place)
                if code:
                    await trio.lowlevel.wait_writable(sock)
                    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    raise OSError(code, "no connection")
                wire = Wire(sock, self.context, server_side=False, host=self.host or self.place[0])
                await wire.shake_hands()
            except BaseException:
                sock.close()
                raise
        return Session(wire, True, self.bounds, burst=self._burst)

    async def session(self) -> Session:
        """The connection, once there is one that takes calls; for as long as the client waits."""
        while self._session is None or self._session.leaving or self._session.wire.closed:
            changed = self._changed
            with trio.move_on_after(FIRST_WAIT):
                await changed.wait()
        return self._session

    @property
    def up(self) -> bool:
        session = self._session
        return session is not None and not session.leaving and not session.wire.closed

    def start(
        self, path: bytes, receiver: Receiver, time_out: float = inf, metadata: Headers | None = None
    ) -> None:
        """Opens a call at once on the connection there is; raises `CallError` if there is none."""
        if not self.up or self._session is None:
            raise CallError(Status.UNAVAILABLE, self._trouble)
        head = [*self._head, (b":path", path), (b"te", b"trailers"), (b"content-type", b"application/grpc")]
        if time_out < inf:
            head.append((b"grpc-timeout", time_out_text(time_out)))
        call = self._session.open(head + self.metadata + (metadata or []), receiver)
        if isinstance(receiver, Talk):
            receiver.attach(call)
        else:
            receiver.call = call  # type: ignore[attr-defined]

    @asynccontextmanager
    async def call(
        self, path: bytes, time_out: float = inf, metadata: Headers | None = None
    ) -> AsyncIterator[Talk]:
        """A call of any kind; it is cancelled if it is not over at the end of the block.

        Raises `CallError`, with DEADLINE_EXCEEDED once the time is over, also while connecting.
        """
        talk, began = Talk(), trio.current_time()
        with trio.move_on_after(time_out) as limit:
            await self.session()
            self.start(path, talk, time_out - (trio.current_time() - began), metadata)
            try:
                yield talk
            finally:
                talk.cancel()
        if limit.cancelled_caught:
            raise CallError(Status.DEADLINE_EXCEEDED, "the call's time is over")

    async def ask(
        self, path: bytes, message: bytes, time_out: float = inf, metadata: Headers | None = None
    ) -> bytes:
        """A unary call."""
        async with self.call(path, time_out, metadata) as talk:
            await talk.send(message)
            talk.half_close()
            answer = await talk.receive()
            if answer is None:
                raise CallError(Status.INTERNAL, "an answer without a message")
            while await talk.receive() is not None:
                pass  # the status comes after the message
            return answer
        raise CallError(Status.DEADLINE_EXCEEDED, "the call's time is over")


@asynccontextmanager
async def connected(channel: Channel) -> AsyncIterator[Channel]:
    """Runs a channel for the length of a block."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(channel.run)
        yield channel
        nursery.cancel_scope.cancel()
