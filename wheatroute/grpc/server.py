"""The gRPC server: accepts connections and runs methods.

A method is a receiver factory or a coroutine. The receivers of a factory are notified of each message without
a task of their own, for low latency; a coroutine gets an `AsyncCall`. Connections are accepted up to a limit;
every call gets a status.
"""

from __future__ import annotations

import socket
import ssl
from collections.abc import Awaitable, Callable
from math import inf
from typing import Any

import trio

from wheatroute.byte_stream import ByteStream
from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.call import Call, NullReceiver, Receiver
from wheatroute.grpc.limits import ConnectionLimits
from wheatroute.grpc.messages import CallError, Status, parse_timeout
from wheatroute.grpc.session import Session
from wheatroute.tls import ServerContext

BACKLOG = 1024  # connections that the kernel queues until they are accepted
HANDSHAKE_TIMEOUT_S = 3.0  # time for the TLS handshake, and then for the peer's HTTP/2 settings
# Delay before accepting from a shared listener, times the number of open connections: processes with fewer
# connections accept first.
ACCEPT_DEFERRAL_S = 0.002
MAX_DEFERRED_CONNECTIONS = 50  # open connections beyond this do not add to the delay
ACCEPT_RETRY_S = 0.1  # delay after a failure to accept
ReceiverFactory = Callable[[Call], Receiver]
Method = Callable[[AsyncCall], Awaitable[None]]


class Server:
    """Serves `methods`, which are receiver factories by path.

    `after_read` is called after the events of each read of a connection. With `shares_listener` other
    processes accept from the same listener.
    """

    def __init__(
        self,
        methods: dict[bytes, ReceiverFactory],
        limits: ConnectionLimits,
        log: Any,
        tls: ServerContext | None = None,
        max_connections: int = 512,
        after_read: Callable[[], None] | None = None,
        shares_listener: bool = False,
    ) -> None:
        self._shares_listener = shares_listener
        self._methods, self._limits, self._log, self._tls = methods, limits, log, tls
        self._max_connections, self._after_read = max_connections, after_read
        self.sessions: set[Session] = set()
        self._stopping = trio.Event()
        self._connection_closed = trio.Event()
        self._open_count = 0
        self.nursery: trio.Nursery

    def coroutine(self, method: Method) -> ReceiverFactory:
        """Returns a receiver factory that runs a coroutine for each call.

        The call ends with the status OK when the coroutine returns, and with that of a `CallError` when it
        raises one. Any other exception is logged, and ends the call with INTERNAL.
        """

        def make_receiver(call: Call) -> Receiver:
            async_call = AsyncCall(call)
            self.nursery.start_soon(self._run, method, async_call, call)
            return async_call

        return make_receiver

    async def _run(self, method: Method, async_call: AsyncCall, call: Call) -> None:
        try:
            async_call.scope.deadline = trio.current_time() + timeout_of(call)
            with async_call.scope:
                await method(async_call)
                call.finish()
            if async_call.scope.cancelled_caught and not async_call.ended:
                call.finish(Status.DEADLINE_EXCEEDED, "the call's time is over")
        except Exception as error:
            self._finish_failed(call, error)
        except BaseExceptionGroup as group:
            # The server is being cancelled while tasks of the method fail: re-raise only the cancellation.
            cancelled, rest = group.split(trio.Cancelled)
            if rest is not None:
                self._finish_failed(call, rest)
            if cancelled is not None:
                raise cancelled from None
        call.session.flush()

    def _finish_failed(self, call: Call, error: BaseException) -> None:
        status = _call_error_in(error)
        if status is None:
            self._log.error("unhandled-exception", exc_info=error)
            status = CallError(Status.INTERNAL, "a mistake in the server")
        call.finish(status.status, status.text)

    async def run(self, listeners: list[socket.socket]) -> None:
        """Serves until `stop` is called and all calls have ended."""
        async with trio.open_nursery() as self.nursery:
            with trio.CancelScope() as self._accepting:
                async with trio.open_nursery() as accepting:
                    for listener in listeners:
                        accepting.start_soon(self._accept, listener)
            for listener in listeners:
                listener.close()

    def stop(self) -> None:
        """Starts a graceful shutdown: rejects new connections and calls, and completes the open calls."""
        self._stopping.set()
        self._accepting.cancel()
        for session in list(self.sessions):
            session.drain()

    def close_connections(self, reason: str) -> None:
        """Closes all open connections at once; `reason` is logged."""
        for session in list(self.sessions):
            session.close(reason)

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            if self._open_count >= self._max_connections:
                self._connection_closed = trio.Event()
                await self._connection_closed.wait()
            try:
                sock, address = listener.accept()
            except BlockingIOError:
                await trio.lowlevel.wait_readable(listener)
                if self._shares_listener:
                    # Wait, so that the process with the fewest connections accepts first.
                    await trio.sleep(ACCEPT_DEFERRAL_S * min(self._open_count, MAX_DEFERRED_CONNECTIONS))
                continue
            except ConnectionError:
                continue
            except OSError as error:
                # Most often no file descriptor is free; wait, as neither a crash nor a busy loop would help.
                self._log.warning("accept-failed", error=str(error), open=self._open_count)
                await trio.sleep(ACCEPT_RETRY_S)
                continue
            self._open_count += 1
            peer = f"{address[0]}:{address[1]}" if isinstance(address, tuple) else "unix"
            self.nursery.start_soon(self._serve, sock, peer)

    async def _serve(self, sock: socket.socket, peer: str) -> None:
        began, reason = trio.current_time(), "fault"
        stream = ByteStream(sock, self._tls.current if self._tls else None)
        try:
            with trio.move_on_after(HANDSHAKE_TIMEOUT_S) as limit:
                await stream.handshake()
            if limit.cancelled_caught:
                reason = "slow: TLS handshake timed out"
            elif self._tls is not None and stream.protocol != "h2":
                reason = "malformed: ALPN did not select h2"
            else:
                reason = await self._run_session(stream)
        except (OSError, ssl.SSLError) as error:
            reason = f"broken: {getattr(error, 'reason', None) or error}"
        except Exception:
            self._log.exception("unhandled-exception")
        finally:
            stream.close()
            self._open_count -= 1
            self._connection_closed.set()
            self._log.info(
                "connection-closed",
                side="proxy",
                peer=peer,
                reason=reason,
                seconds=round(trio.current_time() - began, 3),
            )

    async def _run_session(self, stream: ByteStream) -> str:
        session = Session(stream, False, self._limits, self._call_opened, self._after_read, self._log)
        self.sessions.add(session)
        try:
            if self._stopping.is_set():
                session.drain()
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._expect_settings, session, scope)
                    await session.run()
                    nursery.cancel_scope.cancel()
        finally:
            self.sessions.discard(session)
        return session.reason

    @staticmethod
    async def _expect_settings(session: Session, scope: trio.CancelScope) -> None:
        """Closes the connection if the peer sends no HTTP/2 settings in time."""
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            await session.ready()
            return
        session.reason = "silent: no HTTP/2 settings in time"
        scope.cancel()

    def _call_opened(self, call: Call) -> Receiver:
        head = call.head
        method = self._methods.get(head.get(b":path", b""))
        grpc = head.get(b"content-type", b"").startswith(b"application/grpc")
        if head.get(b":method") != b"POST" or not grpc:
            call.finish(Status.INTERNAL, "not a gRPC call")
        elif head.get(b"grpc-encoding", b"identity") != b"identity":
            call.finish(Status.UNIMPLEMENTED, "no encoding is offered")
        elif method is None:
            call.finish(Status.UNIMPLEMENTED, "no such method")
        else:
            try:
                timeout_of(call)
                return method(call)
            except CallError as error:
                call.finish(error.status, error.text)
            except Exception:
                self._log.exception("unhandled-exception")
                call.finish(Status.INTERNAL, "a mistake in the server")
        return NullReceiver()


def _call_error_in(error: BaseException) -> CallError | None:
    """Returns the `CallError` that a method raised, also if nurseries wrapped it; else None."""
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error if isinstance(error, CallError) else None


def timeout_of(call: Call) -> float:
    """Returns the seconds that the client allows for a call; infinity without `grpc-timeout`.

    Raises `CallError` for a malformed `grpc-timeout`.
    """
    text = call.head.get(b"grpc-timeout")
    return parse_timeout(text) if text is not None else inf


def listen(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """Opens a listener; `shared` lets several processes listen on one address (SO_REUSEPORT).

    Raises `OSError`.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
