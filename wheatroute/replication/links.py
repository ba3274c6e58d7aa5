"""Messages between control nodes: one TCP connection for each direction, length-prefixed msgpack frames.

A link is for messages that may be lost: what cannot be sent now is dropped, since every message is sent again
by its own timer. A connection whose other end went silent is given up by `TCP_USER_TIMEOUT`.

An attempt to connect to a machine without power gets no answer, and the next packet of it goes out after a
second. Once that machine has connected to this one, it is there: the attempt is made anew at once.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress

import msgspec

from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import Envelope, Message

CONNECT_TIMEOUT = 0.4  # seconds
USER_TIMEOUT_MS = 700  # of unacknowledged bytes
RETRY_PAUSE = 0.1  # seconds between two attempts to connect
LARGEST_FRAME = 16 << 20
MOST_BUFFERED = 8 << 20
LENGTH_BYTES = 4

Receive = Callable[[str, Message], None]


def tune(sock: socket.socket) -> None:
    """Has a dead peer noticed soon, and small messages sent at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with suppress(OSError, AttributeError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Link:
    """The outgoing connection to one host; connects when there is something to send."""

    def __init__(self, host: str, port: int) -> None:
        self._place = (host, port)
        self._writer: asyncio.StreamWriter | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._waiting: list[bytes] = []
        self._not_before = 0.0

    def send(self, frame: bytes) -> None:
        """Sends a frame now, or once connected; drops it while that isn't possible."""
        writer = self._writer
        if writer is not None and not writer.is_closing():
            if writer.transport.get_write_buffer_size() > MOST_BUFFERED:
                self.close()
                return
            writer.write(frame)
            return
        loop = asyncio.get_running_loop()
        if self._connecting is None or self._connecting.done():
            if loop.time() < self._not_before:
                return
            self._waiting = []
            self._connecting = loop.create_task(self._connect())
        if len(self._waiting) < 16:
            self._waiting.append(frame)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        self._not_before = loop.time() + RETRY_PAUSE
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, writer = await asyncio.open_connection(*self._place)
        except (OSError, TimeoutError):
            self._waiting = []
            return
        tune(writer.get_extra_info("socket"))
        self._writer = writer
        frames, self._waiting = self._waiting, []
        for frame in frames:
            writer.write(frame)

    def peer_appeared(self) -> None:
        """The other end has connected here: an attempt that is under way may have begun before it was there.

        What waits is kept. Called once for each of its connections, so a peer that can't be reached from here
        doesn't have this node begin anew with each message.
        """
        self._not_before = 0.0
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def close(self) -> None:
        """Gives the connection up; the next frame opens another."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.transport.abort()


class Links:
    """All connections of one control node."""

    def __init__(
        self, identity: str, address: tuple[str, int], receive: Receive, log: logging.Logger
    ) -> None:
        self._identity = identity
        self._address = address
        self._receive = receive
        self._log = log
        self._links: dict[str, Link] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Takes connections of other control nodes from now on."""
        host, port = self._address
        self._server = await asyncio.start_server(self._serve, host, port, reuse_address=True)

    def send(self, host: str, message: Message) -> None:
        """Sends a message, or loses it."""
        body = self._encoder.encode(Envelope(self._identity, message))
        link = self._links.get(host)
        if link is None:
            link = self._links[host] = Link(host, self._address[1])
        link.send(len(body).to_bytes(LENGTH_BYTES, "big") + body)

    def _appeared(self, host: str) -> None:
        if link := self._links.get(host):
            link.peer_appeared()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tune(writer.get_extra_info("socket"))
        known = False
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
                if length > LARGEST_FRAME:
                    break
                envelope = self._decoder.decode(await reader.readexactly(length))
                if not known:
                    known = True
                    self._appeared(host_of(envelope.sender))
                self._receive(envelope.sender, envelope.message)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except msgspec.DecodeError as error:
            self._log.warning("bad-frame", extra={"trouble": str(error)})
        finally:
            writer.transport.abort()

    def close(self) -> None:
        """Ends all of them."""
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close()
