"""The gRPC client: keeps a connection to one address open and makes calls on it.

A lost connection is reopened with a delay, and failed attempts to connect are repeated with exponential
backoff. A call is never retried: if it fails it raises, and `Call.never_ran` is set if the peer stated that
it did not process the call. Trying another address is up to the caller.
"""

from __future__ import annotations

import random
import socket
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf

import trio

from wheatroute.byte_stream import ByteStream
from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.call import Receiver
from wheatroute.grpc.limits import ConnectionLimits
from wheatroute.grpc.messages import CallError, Headers, Status, encode_timeout
from wheatroute.grpc.session import Session

CONNECT_TIMEOUT_S = 2.0  # time for connecting and the TLS handshake
# Delay before the next attempt to connect, half of it random. After a failed attempt to connect, it doubles
# with each failure; after a connection that was closed, it rises linearly with the number of failures.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 5.0
MAX_BACKOFF_DOUBLINGS = 10  # limits the exponent, as the number of failures has no limit


class Channel:
    """Makes calls to one address over one connection, which is reopened when it is lost.

    `host` is the name that the server's certificate must have, and the calls' authority; by default the
    address. `metadata` are headers of every call. `after_read` is called after the events of each read.
    `max_backoff_s` limits the delay between attempts to connect.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: ConnectionLimits | None = None,
        context: ssl.SSLContext | None = None,
        host: str | None = None,
        rng: random.Random | None = None,
        metadata: Headers | None = None,
        after_read: Callable[[], None] | None = None,
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        self._max_backoff_s = max_backoff_s
        self.address, self.limits, self.context, self.host = (
            address,
            limits or ConnectionLimits(),
            context,
            host,
        )
        self.metadata: Headers = metadata or []
        # Number of connection attempts that failed and of connections that closed, since one was last ready
        # for calls.
        self.failed_attempts = 0
        self._rng = rng or random.Random(0)
        self._after_read = after_read
        self._session: Session | None = None
        self._changed = trio.Event()
        self._last_error = "not connected yet"
        authority = host or "{}:{}".format(*address)
        self._head: Headers = [
            (b":method", b"POST"),
            (b":scheme", b"https" if context else b"http"),
            (b":authority", authority.encode()),
        ]

    async def run(self) -> None:
        """Keeps the connection open until cancelled."""
        while True:
            try:
                session = await self._connect()
            except (OSError, ssl.SSLError, trio.TooSlowError) as error:
                self._last_error = str(error) or type(error).__name__
                self._set_session(None)
                self.failed_attempts += 1
                wait = min(
                    self._max_backoff_s, MIN_BACKOFF_S * 2 ** min(self.failed_attempts, MAX_BACKOFF_DOUBLINGS)
                )
                await trio.sleep(wait * (0.5 + 0.5 * self._rng.random()))
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._publish_when_ready, session)
                await session.run()
                nursery.cancel_scope.cancel()
            self._last_error = session.reason
            self._set_session(None)
            # Back off also if the server accepts connections and closes them at once.
            self.failed_attempts += 1
            wait = min(self._max_backoff_s, MIN_BACKOFF_S * self.failed_attempts)
            await trio.sleep(wait * (0.5 + 0.5 * self._rng.random()))

    async def _publish_when_ready(self, session: Session) -> None:
        await session.ready()
        self.failed_attempts = 0
        self._set_session(session)

    def _set_session(self, session: Session | None) -> None:
        self._session = session
        self._changed.set()
        self._changed = trio.Event()

    async def _connect(self) -> Session:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            sock = socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET)
            try:
                sock.setblocking(False)
                code = sock.connect_ex(self.address)
                if code:
                    await trio.lowlevel.wait_writable(sock)
                    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    raise OSError(code, "connect failed")
                stream = ByteStream(sock, self.context, server_side=False, host=self.host or self.address[0])
                await stream.handshake()
            except BaseException:
                sock.close()
                raise
        return Session(stream, True, self.limits, after_read=self._after_read)

    async def session(self) -> Session:
        """Waits without a time limit for a connection that accepts calls, and returns it."""
        while self._session is None or self._session.is_draining or self._session.stream.closed:
            changed = self._changed
            with trio.move_on_after(MIN_BACKOFF_S):
                await changed.wait()
        return self._session

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection that accepts calls."""
        session = self._session
        return session is not None and not session.is_draining and not session.stream.closed

    def start(
        self, path: bytes, receiver: Receiver, timeout_s: float = inf, metadata: Headers | None = None
    ) -> None:
        """Starts a call on the open connection without waiting; raises `CallError` if there is none.

        Sets the `call` of the receiver.
        """
        if not self.is_connected or self._session is None:
            raise CallError(Status.UNAVAILABLE, self._last_error)
        head = [*self._head, (b":path", path), (b"te", b"trailers"), (b"content-type", b"application/grpc")]
        if timeout_s < inf:
            head.append((b"grpc-timeout", encode_timeout(timeout_s)))
        call = self._session.open(head + self.metadata + (metadata or []), receiver)
        if isinstance(receiver, AsyncCall):
            receiver.attach(call)
        else:
            receiver.call = call  # type: ignore[attr-defined]

    @asynccontextmanager
    async def call(
        self, path: bytes, timeout_s: float = inf, metadata: Headers | None = None
    ) -> AsyncIterator[AsyncCall]:
        """Makes a call of any kind; if it has not ended at the end of the block it is cancelled.

        Raises `CallError`; its status is DEADLINE_EXCEEDED after `timeout_s`, which includes the time to
        connect.
        """
        async_call, began = AsyncCall(), trio.current_time()
        with trio.move_on_after(timeout_s) as limit:
            await self.session()
            self.start(path, async_call, timeout_s - (trio.current_time() - began), metadata)
            try:
                yield async_call
            finally:
                async_call.cancel()
        if limit.cancelled_caught:
            raise CallError(Status.DEADLINE_EXCEEDED, "the call timed out")

    async def unary_call(
        self, path: bytes, message: bytes, timeout_s: float = inf, metadata: Headers | None = None
    ) -> bytes:
        """Makes a unary call and returns the response message; raises `CallError`."""
        async with self.call(path, timeout_s, metadata) as async_call:
            await async_call.send(message)
            async_call.half_close()
            response = await async_call.receive()
            if response is None:
                raise CallError(Status.INTERNAL, "the response has no message")
            # Wait for the status, which follows the message.
            while await async_call.receive() is not None:
                pass
            return response
        raise CallError(Status.DEADLINE_EXCEEDED, "the call timed out")


@asynccontextmanager
async def connected(channel: Channel) -> AsyncIterator[Channel]:
    """Keeps a channel connected for the duration of a block."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(channel.run)
        yield channel
        nursery.cancel_scope.cancel()
