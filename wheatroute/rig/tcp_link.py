"""A TCP link between two processes, into which faults can be injected.

Each link has its own listener. It must never reorder or change the bytes of a stream. Of a partitioned
stream, it must not hold more than the buffers of the two sides do: further data stays with its sender, as on
a network.
"""

from __future__ import annotations

import socket
import struct
import time
from contextlib import suppress

import trio

from wheatroute.rig.addresses import LOOPBACK, Address
from wheatroute.rig.link_fault import Direction, LinkFaults

RECEIVE_BYTES = 65536
LISTEN_BACKLOG = 512
THROTTLE_INTERVAL_S = 0.05  # between two chunks of a throttled stream
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s
SO_TIMESTAMPNS = 35  # Linux, see socket(7): each receive reports when the kernel received the bytes
TIMESTAMP = struct.Struct("qq")  # seconds and nanoseconds of the Unix time
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESTAMP.size)
STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class TcpLink:
    """Accepts connections at `address` and forwards each of them to `target`."""

    def __init__(self, name: str, target: Address) -> None:
        self.name = name
        self.target = target
        self.faults = LinkFaults()
        self.connection_count = 0  # accepted since the start
        # When the last bytes on a connection were sent (monotonic clock), by the address from which the link
        # connected to the target. Kept after the end of a connection, as the bytes may be read later.
        self.sent_at: dict[Address, float] = {}
        self._open: set[trio.SocketStream] = set()
        self._listener = _listening_socket()
        self.address: Address = self._listener.getsockname()

    def reset_connections(self) -> None:
        """Resets every open connection, at both ends."""
        for stream in list(self._open):
            with suppress(OSError):
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.socket.close()

    async def run(self) -> None:
        """Forwards connections until it is cancelled."""
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self._listener))
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(self._serve, [listener], handler_nursery=nursery)

    async def _serve(self, near: trio.SocketStream) -> None:
        self.connection_count += 1
        self._open.add(near)
        with suppress(*STREAM_ERRORS):
            await self.faults.wait_until_open()
            far = await trio.open_tcp_stream(*self.target)
            self._open.add(far)
            try:
                async with far:
                    await self._forward(near, far)
            finally:
                self._open.discard(far)
        self._open.discard(near)
        with suppress(OSError):
            near.socket.close()

    async def _forward(self, near: trio.SocketStream, far: trio.SocketStream) -> None:
        far_address: Address = far.socket.getsockname()
        async with trio.open_nursery() as nursery:

            async def pump(source: trio.SocketStream, sink: trio.SocketStream, direction: Direction) -> None:
                try:
                    await self._pump(source, sink, direction, far_address)
                except STREAM_ERRORS:
                    # One side has closed, so both connections are closed, but not before the end of a
                    # partition, which hides the close from the other side.
                    await self.faults.wait_to_pass(direction)
                    nursery.cancel_scope.cancel()

            nursery.start_soon(pump, near, far, Direction.FORWARD)
            nursery.start_soon(pump, far, near, Direction.BACKWARD)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, direction: Direction, far_address: Address
    ) -> None:
        """Forwards one direction until the end of its stream."""
        while True:
            data, sent_at = await _receive(source)
            if direction is Direction.FORWARD and data:
                self.sent_at[far_address] = sent_at
            await self.faults.wait_to_pass(direction)
            if not data:
                await sink.send_eof()
                return
            await self._send(sink, data, direction)

    async def _send(self, sink: trio.SocketStream, data: bytes, direction: Direction) -> None:
        rate = self.faults[direction].bytes_per_second
        if not rate:
            await sink.send_all(data)
            return
        chunk_bytes = max(1, int(rate * THROTTLE_INTERVAL_S))
        for start in range(0, len(data), chunk_bytes):
            await self.faults.wait_to_pass(direction)
            await sink.send_all(data[start : start + chunk_bytes])
            await trio.sleep(THROTTLE_INTERVAL_S)


def _listening_socket() -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # accepted connections inherit it
    listener.bind((LOOPBACK, 0))
    listener.listen(LISTEN_BACKLOG)
    return listener


async def _receive(source: trio.SocketStream) -> tuple[bytes, float]:
    """Returns the next bytes, and the time (monotonic clock) at which the kernel received the last of them.

    This process may be busy, so that the time when it reads the bytes says little about when they were sent.
    """
    data, ancillary, _, _ = await source.socket.recvmsg(RECEIVE_BYTES, ANCILLARY_BYTES)
    now = time.monotonic()
    for level, message_type, value in ancillary:
        if (level, message_type) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESTAMP.unpack(value)
            return data, now - max(0.0, time.time() - seconds - nanoseconds / 1e9)
    return data, now
