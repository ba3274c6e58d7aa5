"""Messages between control nodes: one TCP connection for each direction, length-prefixed msgpack frames.

Network I/O on asyncio. Messages may be lost: one that can't be sent now is dropped, since the sender of each
kind of message repeats it on its own timer. `TCP_USER_TIMEOUT` closes a connection whose peer is
unresponsive.

Anyone may connect. So the number of incoming connections and the memory of incomplete frames are limited,
and a connection that has delivered a message is kept before one that has not.

An attempt to connect to a machine without power gets no answer, and TCP sends the next packet of that attempt
only after a second, even if the machine has started by then. When the machine connects to this node, it is
reachable, so this node restarts its own attempt at once.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import msgspec

from wheatroute.cluster.limit_log import LimitLog
from wheatroute.cluster.listening import deepen_backlog, limit_reads, listening_socket
from wheatroute.cluster.memory_budget import MemoryBudget, MemoryExceededError
from wheatroute.cluster.process_limits import ACCEPT_BURST
from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import Envelope, Message

CONNECT_TIMEOUT_S = 0.4
USER_TIMEOUT_MS = 700  # longest time for which sent bytes may stay unacknowledged
RECONNECT_BACKOFF_S = 0.1  # minimum time between the starts of two attempts to connect
MAX_FRAME_BYTES = 16 << 20
MAX_BUFFERED_BYTES = 8 << 20  # a connection with more unsent bytes is closed
MAX_QUEUED_FRAMES = 16  # frames kept while a connection is being opened
LENGTH_BYTES = 4  # size of the length prefix of a frame

READ_BYTES = 65536  # maximum of a single read


class FrameError(Exception):
    """An incoming frame is longer than any message."""


OnMessage = Callable[[str, Message], None]


def configure_socket(sock: socket.socket) -> None:
    """Sets options so that an unresponsive peer is detected soon and small messages are sent at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Link:
    """The outgoing connection to one host; connects when there is something to send."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._writer: asyncio.StreamWriter | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._queued: list[bytes] = []
        self._next_attempt_at = 0.0

    def send(self, frame: bytes) -> None:
        """Sends a frame now, or once connected; drops it if neither is possible."""
        writer = self._writer
        if writer is not None and not writer.is_closing():
            if writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
                self.close()
                return
            writer.write(frame)
            return
        loop = asyncio.get_running_loop()
        if self._connecting is None or self._connecting.done():
            if loop.time() < self._next_attempt_at:
                return
            self._queued = []
            self._connecting = loop.create_task(self._connect())
        if len(self._queued) < MAX_QUEUED_FRAMES:
            self._queued.append(frame)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        self._next_attempt_at = loop.time() + RECONNECT_BACKOFF_S
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError):
            self._queued = []
            return
        configure_socket(writer.get_extra_info("socket"))
        self._writer = writer
        frames, self._queued = self._queued, []
        for frame in frames:
            writer.write(frame)

    def on_peer_connected(self) -> None:
        """Restarts an attempt in progress, which may have begun before the peer was up; keeps queued frames.

        Called once for each connection that the peer opens to this node. If it were called for each message,
        a peer that can't be reached from here would make this node restart its attempt endlessly.
        """
        self._next_attempt_at = 0.0
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def close(self) -> None:
        """Closes the connection; the next frame opens a new one."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.transport.abort()


class IncomingLimits(NamedTuple):
    """The limits of all incoming connections together."""

    max_connections: int
    memory: MemoryBudget
    limit_log: LimitLog


class _Incoming:
    """An incoming connection; reads its frames."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, memory: MemoryBudget):
        self._reader = reader
        self._writer = writer
        self._reservation = memory.open(self.abort)
        self.is_sender_known = False

    def abort(self) -> None:
        """Closes the connection at once."""
        self._writer.transport.abort()

    async def read_frame(self) -> bytes:
        """Returns the next frame; raises FrameError, MemoryExceededError, OSError or IncompleteReadError."""
        length = int.from_bytes(await self._reader.readexactly(LENGTH_BYTES), "big")
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"a frame of {length} bytes, {MAX_FRAME_BYTES} are allowed")
        self._reservation.restart()
        frame = bytearray()
        while len(frame) < length:
            part = await self._reader.read(min(READ_BYTES, length - len(frame)))
            if not part:
                raise asyncio.IncompleteReadError(b"", length)
            self._reservation.resize(len(frame) + len(part))
            frame += part
        self._reservation.resize(0)
        return bytes(frame)

    def trust_sender(self) -> None:
        """Keeps the memory of frames on this connection, which has delivered a message."""
        self.is_sender_known = True
        self._reservation.protect()

    def close(self) -> None:
        """Closes the connection and releases its memory."""
        self._reservation.close()
        self.abort()


class Links:
    """Manages all connections of one control node.

    `address` is the host and port to listen on; every other node listens on the same port. `on_message` is
    called with the sender's identity and the message.
    """

    def __init__(
        self,
        identity: str,
        address: tuple[str, int],
        on_message: OnMessage,
        log: logging.Logger,
        limits: IncomingLimits,
    ) -> None:
        self._identity = identity
        self._address = address
        self._on_message = on_message
        self._log = log
        self._links: dict[str, Link] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._server: asyncio.Server | None = None
        self._limits = limits
        self._incoming: dict[_Incoming, None] = {}  # in the order in which they were accepted

    async def listen(self) -> None:
        """Starts accepting connections of other control nodes; raises OSError if the address is in use."""
        listener = listening_socket(self._address)
        self._server = await asyncio.start_server(self._serve, sock=listener, backlog=ACCEPT_BURST)
        deepen_backlog(listener)

    def send(self, host: str, message: Message) -> None:
        """Sends a message, which may be lost, to the node at a host."""
        body = self._encoder.encode(Envelope(self._identity, message))
        link = self._links.get(host)
        if link is None:
            link = self._links[host] = Link(host, self._address[1])
        link.send(len(body).to_bytes(LENGTH_BYTES, "big") + body)

    def _on_peer_connected(self, host: str) -> None:
        if link := self._links.get(host):
            link.on_peer_connected()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        incoming = _Incoming(reader, writer, self._limits.memory)
        try:
            configure_socket(writer.get_extra_info("socket"))
            limit_reads(writer.transport, READ_BYTES)
            self._add_incoming(incoming)
            await self._read_messages(incoming)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, MemoryExceededError):
            pass
        except (msgspec.DecodeError, FrameError) as error:
            self._log.warning("bad-frame", extra={"error": str(error)})
        finally:
            self._incoming.pop(incoming, None)
            incoming.close()

    def _add_incoming(self, incoming: _Incoming) -> None:
        """Adds a connection; if there are too many, closes the oldest, one without a message if possible."""
        if len(self._incoming) >= self._limits.max_connections:
            self._limits.limit_log.record("connections")
            victim = min(self._incoming, key=lambda other: other.is_sender_known)
            del self._incoming[victim]
            victim.abort()
        self._incoming[incoming] = None

    async def _read_messages(self, incoming: _Incoming) -> None:
        while True:
            envelope = self._decoder.decode(await incoming.read_frame())
            if not incoming.is_sender_known:
                incoming.trust_sender()
                self._on_peer_connected(host_of(envelope.sender))
            self._deliver(envelope)

    def _deliver(self, envelope: Envelope) -> None:
        """Passes a message on; an error in handling it is not an error of the connection."""
        try:
            self._on_message(envelope.sender, envelope.message)
        except Exception:
            self._log.exception("unhandled-exception", extra={"sender": envelope.sender})

    def close(self) -> None:
        """Stops accepting connections, and closes those to other nodes."""
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close()
