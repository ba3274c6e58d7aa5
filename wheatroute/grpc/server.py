"""The gRPC server: listeners, connections and what is called on them.

Owns accepting, TLS handshakes, the bound on connections and the order in which a server stops. A method is
either a receiver of its own, told of each message without a task (for what must be quick), or a coroutine
that gets a `Talk`. It must never take more than its bounds allow, nor leave a call without a status.
"""

from __future__ import annotations

import socket
import ssl
from collections.abc import Awaitable, Callable
from math import inf
from typing import Any

import trio

from wheatroute.grpc.call import Bounds, Call, Nobody, Receiver
from wheatroute.grpc.messages import CallError, Status, time_out
from wheatroute.grpc.session import Session
from wheatroute.grpc.talk import Talk
from wheatroute.tls import Contexts
from wheatroute.wire import Wire

BACKLOG = 1024
HANDSHAKE = 3.0  # seconds for TLS and the first bytes of HTTP/2
DEFER = 0.002  # seconds by which a process lets others accept first, for each connection that it has
AGAIN = 0.1  # seconds until a connection that could not be accepted is tried again
Opened = Callable[[Call], Receiver]
Method = Callable[[Talk], Awaitable[None]]


class Server:
    """Serves `methods`, by path. `burst` is called once for all that came in one piece."""

    def __init__(
        self,
        methods: dict[bytes, Opened],
        bounds: Bounds,
        log: Any,
        tls: Contexts | None = None,
        most_connections: int = 512,
        burst: Callable[[], None] | None = None,
        polite: bool = False,
    ) -> None:
        self._polite = polite  # other processes accept from the same listener
        self._methods, self._bounds, self._log, self._tls = methods, bounds, log, tls
        self._most, self._burst = most_connections, burst
        self.sessions: set[Session] = set()
        self._stopping = trio.Event()
        self._room = trio.Event()
        self._open = 0
        self.nursery: trio.Nursery

    def coroutine(self, method: Method) -> Opened:
        """A method that is a coroutine; it ends the call when it returns or raises `CallError`."""

        def opened(call: Call) -> Receiver:
            talk = Talk(call)
            self.nursery.start_soon(self._run, method, talk, call)
            return talk

        return opened

    async def _run(self, method: Method, talk: Talk, call: Call) -> None:
        try:
            talk.scope.deadline = trio.current_time() + deadline_of(call)
            with talk.scope:
                await method(talk)
                call.finish()
            if talk.scope.cancelled_caught and not talk.ended:
                call.finish(Status.DEADLINE_EXCEEDED, "the call's time is over")
        except Exception as trouble:
            self._failed(call, trouble)
        except BaseExceptionGroup as group:
            # the server ends while the method's own tasks do: what is cancelled goes on up, and nothing else
            cancelled, rest = group.split(trio.Cancelled)
            if rest is not None:
                self._failed(call, rest)
            if cancelled is not None:
                raise cancelled from None
        call.session.flush()

    def _failed(self, call: Call, trouble: BaseException) -> None:
        status = _status_in(trouble)
        if status is None:
            self._log.error("fault", exc_info=trouble)
            status = CallError(Status.INTERNAL, "a mistake in the server")
        call.finish(status.status, status.text)

    async def run(self, listeners: list[socket.socket]) -> None:
        """Serves until `stop` and until every call is done."""
        async with trio.open_nursery() as self.nursery:
            with trio.CancelScope() as self._accepting:
                async with trio.open_nursery() as accepting:
                    for listener in listeners:
                        accepting.start_soon(self._accept, listener)
            for listener in listeners:
                listener.close()

    def stop(self) -> None:
        """Takes no new connections and no new calls; what is open is answered."""
        self._stopping.set()
        self._accepting.cancel()
        for session in list(self.sessions):
            session.drain()

    def end(self, reason: str) -> None:
        """Ends what is still open."""
        for session in list(self.sessions):
            session.close(reason)

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            if self._open >= self._most:
                self._room = trio.Event()
                await self._room.wait()
            try:
                sock, place = listener.accept()
            except BlockingIOError:
                await trio.lowlevel.wait_readable(listener)
                if self._polite:
                    # guards against one process that takes most: who has fewer connections comes first
                    await trio.sleep(DEFER * min(self._open, 50))
                continue
            except ConnectionError:
                continue
            except OSError as trouble:
                # guards against crashing or spinning where the system has no descriptor to give
                self._log.warning("not-accepted", trouble=str(trouble), open=self._open)
                await trio.sleep(AGAIN)
                continue
            self._open += 1
            peer = f"{place[0]}:{place[1]}" if isinstance(place, tuple) else "unix"
            self.nursery.start_soon(self._serve, sock, peer)

    async def _serve(self, sock: socket.socket, peer: str) -> None:
        began, reason = trio.current_time(), "fault"
        wire = Wire(sock, self._tls.current if self._tls else None)
        try:
            with trio.move_on_after(HANDSHAKE) as limit:
                await wire.shake_hands()
            if limit.cancelled_caught:
                reason = "slow: no handshake in time"
            elif self._tls is not None and wire.protocol != "h2":
                reason = "malformed: ALPN chose no h2"
            else:
                reason = await self._talk(wire)
        except (OSError, ssl.SSLError) as trouble:
            reason = f"broken: {getattr(trouble, 'reason', None) or trouble}"
        except Exception:
            self._log.exception("fault")
        finally:
            wire.close()
            self._open -= 1
            self._room.set()
            self._log.info(
                "connection",
                side="proxy",
                peer=peer,
                reason=reason,
                seconds=round(trio.current_time() - began, 3),
            )

    async def _talk(self, wire: Wire) -> str:
        session = Session(wire, False, self._bounds, self._opened, self._burst, self._log)
        self.sessions.add(session)
        try:
            if self._stopping.is_set():
                session.drain()
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._expect, session, scope)
                    await session.run()
                    nursery.cancel_scope.cancel()
        finally:
            self.sessions.discard(session)
        return session.reason

    @staticmethod
    async def _expect(session: Session, scope: trio.CancelScope) -> None:
        """Guards against peers that connect and say nothing: their settings must come at once."""
        with trio.move_on_after(HANDSHAKE):
            await session.ready()
            return
        session.reason = "silent: no HTTP/2 in time"
        scope.cancel()

    def _opened(self, call: Call) -> Receiver:
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
                deadline_of(call)
                return method(call)
            except CallError as trouble:
                call.finish(trouble.status, trouble.text)
            except Exception:
                self._log.exception("fault")
                call.finish(Status.INTERNAL, "a mistake in the server")
        return Nobody()


def _status_in(trouble: BaseException) -> CallError | None:
    """What a method ended its call with, also from a nursery of its own; None for a mistake."""
    while isinstance(trouble, BaseExceptionGroup) and len(trouble.exceptions) == 1:
        trouble = trouble.exceptions[0]
    return trouble if isinstance(trouble, CallError) else None


def deadline_of(call: Call) -> float:
    """Seconds that the client gives a call; infinite where it does not say."""
    text = call.head.get(b"grpc-timeout")
    return time_out(text) if text is not None else inf


def listen(place: tuple[str, int], shared: bool = False) -> socket.socket:
    """A listener; `shared` lets several processes listen at one place, the system deals out connections."""
    family = socket.AF_INET6 if ":" in place[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(place)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
