"""HTTP connections of a control node, limited over all callers: their number, and what is held for them.

Does I/O through uvicorn's protocol, which it extends. uvicorn by itself accepts any number of connections,
reads a body that nobody wants to its end, and keeps a response until its caller has read it.

- If too many connections are open, a new one displaces the one whose loss is the least.
- A body is read whole, within the limit of its path and of the process, before the app gets the request.
- A large response is written in parts, each once the caller has read most of the one before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import Any

import h11
import msgspec
from litestar.types import (
    HTTPReceiveMessage,
    HTTPResponseBodyEvent,
    Message,
    Receive,
    Scope,
    Send,
    WebSocketReceiveMessage,
)
from uvicorn.protocols.http.h11_impl import H11Protocol

from wheatroute.cluster.errors import RESPONSES, ErrorKind
from wheatroute.cluster.limit_log import LimitLog
from wheatroute.cluster.listening import limit_reads
from wheatroute.cluster.memory_budget import MemoryBudget, MemoryExceededError, Reservation

# A response is written in parts of this size, and the next part waits until less than this is unsent.
RESPONSE_PART_BYTES = 16384
READ_BYTES = 16384  # of a read, held for each connection whose body or next request waits
SMALL_BODY_BYTES = 65536  # limit of bodies for paths without one of their own
LINGER_S = 0.5  # time in which a caller may read the response to a body that was not read to its end


class Phase(IntEnum):
    """What a connection is doing; the loss of a connection in a lower phase matters less."""

    UNUSED = 0  # it has not carried a request yet
    IDLE = 1
    READING = 2  # a body is being read
    WRITING = 3  # a large response is being written
    HANDLING = 4


class ConnectionLimiter:
    """The connections to one listening address, of which at most `max_connections` stay open."""

    def __init__(self, max_connections: int, memory: MemoryBudget, limit_log: LimitLog) -> None:
        self.memory = memory
        self._max_connections = max_connections
        self._limit_log = limit_log
        self._connections: dict[LimitedProtocol, None] = {}  # in the order in which they were accepted

    def add(self, connection: LimitedProtocol) -> None:
        """Adds a new connection, and closes the one whose loss matters least if there are too many."""
        if len(self._connections) >= self._max_connections:
            self._limit_log.record("connections")
            victim = self._least_loss()
            self.remove(victim)
            victim.abort()
        self._connections[connection] = None

    def _least_loss(self) -> LimitedProtocol:
        """Returns the oldest unused connection, or the one that is longest in the lowest phase."""
        unused = (other for other in self._connections if other.phase is Phase.UNUSED)
        return next(unused, None) or min(self._connections, key=LimitedProtocol.loss)

    def remove(self, connection: LimitedProtocol) -> None:
        """Removes a connection that was closed."""
        self._connections.pop(connection, None)


class BodyTooLargeError(Exception):
    """A body exceeds the limit of its path."""


class CallerLeftError(Exception):
    """The caller closed its connection before its request was complete."""


class LimitedProtocol(H11Protocol):
    """A connection of a `ConnectionLimiter`.

    `max_body_bytes` maps prefixes of paths to the largest body allowed there.
    """

    def __init__(
        self, *args: Any, limiter: ConnectionLimiter, max_body_bytes: Mapping[str, int], **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self.phase = Phase.UNUSED
        self.phase_began_at = self.loop.time()
        self._has_ended = False  # whether the last response is written; what still arrives is discarded
        self._limiter = limiter
        self._max_body_bytes = max_body_bytes
        self._app = self.app
        self.app = self._run_app  # type: ignore[assignment]

    def loss(self) -> tuple[Phase, float]:
        """Returns what closing this connection would cost: its phase, and since when it is in it."""
        return self.phase, self.phase_began_at

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Called by asyncio for a new connection."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=RESPONSE_PART_BYTES)
        limit_reads(transport, READ_BYTES)
        self._limiter.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio once the connection is closed."""
        self._limiter.remove(self)
        self.app = self._app  # a protocol that refers to itself would wait for the garbage collector
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with bytes of the caller."""
        if not self._has_ended:
            super().data_received(data)

    def on_response_complete(self) -> None:
        """Called by uvicorn after each response; ends the connection if its request was not read whole."""
        super().on_response_complete()
        if self.conn.their_state is h11.SEND_BODY and not self.transport.is_closing():
            self._has_ended = True
            self.transport.write_eof()
            self.loop.call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Closes the connection at once; what is unsent is dropped."""
        self.transport.abort()

    def _set_phase(self, phase: Phase) -> None:
        self.phase, self.phase_began_at = phase, self.loop.time()

    async def _run_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        reservation = self._limiter.memory.open(self.abort)
        self._set_phase(Phase.READING)
        try:
            body = await self._read_body(scope, receive, reservation)
            reservation.protect()
        except BodyTooLargeError:
            await _send_error(send, ErrorKind.BODY_TOO_LARGE)
        except MemoryExceededError:
            await _send_error(send, ErrorKind.OVERLOADED)
        except CallerLeftError:
            pass
        else:
            self._set_phase(Phase.HANDLING)
            await self._app(scope, _Body(body, receive).receive, self._response_writer(send, reservation))
        finally:
            reservation.close()
            self._set_phase(Phase.IDLE)

    async def _read_body(self, scope: Scope, receive: Receive, reservation: Reservation) -> bytes:
        """Returns the whole body, which counts twice: the app decodes a copy.

        Raises BodyTooLargeError, MemoryExceededError or CallerLeftError.
        """
        limit = self._body_limit(scope["path"])
        if _announced_length(scope["headers"]) > limit:
            raise BodyTooLargeError
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] != "http.request":
                raise CallerLeftError
            if len(body) + len(message["body"]) > limit:
                raise BodyTooLargeError
            reservation.resize(2 * (len(body) + len(message["body"])))
            body += message["body"]
            if not message["more_body"]:
                return bytes(body)

    def _body_limit(self, path: str) -> int:
        limits = (limit for prefix, limit in self._max_body_bytes.items() if path.startswith(prefix))
        return next(limits, SMALL_BODY_BYTES)

    def _response_writer(self, send: Send, reservation: Reservation) -> Send:
        """Returns an ASGI `send` that writes a large body in parts."""

        async def write(message: Message) -> None:
            if message["type"] != "http.response.body":
                await send(message)
                return
            body = message.get("body", b"")
            if len(body) <= RESPONSE_PART_BYTES:
                await send(message)
                return
            reservation.unprotect(self.abort)
            try:
                reservation.resize(len(body))
            except MemoryExceededError:
                self.abort()
                return
            self._set_phase(Phase.WRITING)
            for start in range(0, len(body), RESPONSE_PART_BYTES):
                end = start + RESPONSE_PART_BYTES
                more_body = end < len(body) or message.get("more_body", False)
                await send(_body_part(body[start:end], more_body))

        return write


class _Body:
    """An ASGI `receive` that returns a body that was read before, and then what the connection reports."""

    def __init__(self, body: bytes, receive: Receive) -> None:
        self._body: bytes | None = body
        self._receive = receive

    async def receive(self) -> HTTPReceiveMessage | WebSocketReceiveMessage:
        """Returns the body at the first call."""
        if self._body is None:
            return await self._receive()
        body, self._body = self._body, None
        return {"type": "http.request", "body": body, "more_body": False}


def _announced_length(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the value of Content-Length, whose syntax h11 has checked; 0 without one."""
    return next((int(value) for name, value in headers if name == b"content-length"), 0)


def _body_part(body: bytes, more_body: bool) -> HTTPResponseBodyEvent:
    return {"type": "http.response.body", "body": body, "more_body": more_body}


async def _send_error(send: Send, kind: ErrorKind) -> None:
    """Sends the response for an error kind in the format of `wheatroute.control.api`."""
    response = RESPONSES[kind]
    body = msgspec.json.encode({"error": kind.value, "detail": kind.value})
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(body))]
    if response.retry_after_s:
        headers.append((b"retry-after", b"%.3f" % response.retry_after_s))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send(_body_part(body, more_body=False))
