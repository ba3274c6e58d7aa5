"""Links between processes: what stands between any two of them, and can be made to fail.

Owns a listener of its own for each link and the bytes on their way. A fault holds for what is open and for
what comes after it. It must never reorder or change bytes of a stream, nor hold more of a cut stream than the
two sides' buffers: what nobody takes stays with who sends it, as on a network that says nothing.
"""

from __future__ import annotations

import random
import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import trio

THERE, BACK = 0, 1
WAYS = {"there": (THERE,), "back": (BACK,), "both": (THERE, BACK)}
PIECE = 65536
AT_ONCE = struct.pack("ii", 1, 0)  # a close that resets
SO_TIMESTAMPNS = 35  # Linux, socket(7): each receive tells when the kernel took the bytes
TIMESTAMP = struct.Struct("qq")  # seconds and nanoseconds of the time of day
ANCILLARY = socket.CMSG_SPACE(TIMESTAMP.size)


@dataclass
class Fault:
    """What a direction does to what passes; seconds, bytes a second, shares."""

    cut: bool = False
    delay: float = 0.0
    trickle: float = 0.0
    lose: float = 0.0
    repeat: float = 0.0
    reorder: float = 0.0


class Link:
    """A TCP link: whoever connects to `place` reaches `target` through it."""

    def __init__(self, name: str, target: tuple[str, int]) -> None:
        self.name, self.target = name, target
        self.faults = [Fault(), Fault()]
        self.refuses = False  # new connections are reset at once
        self.connections = 0
        # by the far end's own place, when its last bytes were sent; kept, as they may be read after the end
        self.sent_at: dict[tuple[str, int], float] = {}
        self._healed = trio.Event()
        self._pairs: set[tuple[trio.SocketStream, trio.SocketStream | None]] = set()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(512)
        self.place: tuple[str, int] = self._listener.getsockname()

    def cut(self, way: str = "both") -> None:
        """Nothing passes that way, nobody is told; a new connection comes up only if both ways are open."""
        for one in WAYS[way]:
            self.faults[one].cut = True

    def heal(self) -> None:
        """Ends all faults of this link."""
        self.faults = [Fault(), Fault()]
        self.refuses = False
        healed, self._healed = self._healed, trio.Event()
        healed.set()

    def spoil(self, way: str, **how: float) -> None:
        """Sets faults of this link in one way or both."""
        for one in WAYS[way]:
            for name, value in how.items():
                setattr(self.faults[one], name, value)

    def reset(self) -> None:
        """Every connection that is open is reset, at both ends."""
        for pair in list(self._pairs):
            for stream in pair:
                if stream is not None:
                    with suppress(OSError):
                        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
                    stream.socket.close()

    async def run(self) -> None:
        """Carries connections until it is cancelled."""
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self._listener))
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(self._serve, [listener], handler_nursery=nursery)

    async def _serve(self, near: trio.SocketStream) -> None:
        self.connections += 1
        pair: tuple[trio.SocketStream, trio.SocketStream | None] = (near, None)
        self._pairs.add(pair)
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            if self.refuses:
                near.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
            else:
                while self.faults[THERE].cut or self.faults[BACK].cut:
                    await self._healed.wait()
                far = await trio.open_tcp_stream(*self.target)
                self._pairs.discard(pair)
                pair = (near, far)
                self._pairs.add(pair)
                async with far:
                    await self._carry(near, far)
        self._pairs.discard(pair)
        with suppress(OSError):
            near.socket.close()

    async def _carry(self, near: trio.SocketStream, far: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            place: tuple[str, int] = far.socket.getsockname()

            async def pump(source: trio.SocketStream, sink: trio.SocketStream, way: int) -> None:
                try:
                    while True:
                        data, sent = await _receive(source)
                        if way == THERE and data:
                            self.sent_at[place] = sent
                        await self._pass(way)
                        if not data:
                            await sink.send_eof()
                            return
                        await self._send(sink, data, way)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    # one side is gone: so is the other, but not before the cut ends that hides it
                    await self._pass(way)
                    nursery.cancel_scope.cancel()

            nursery.start_soon(pump, near, far, THERE)
            nursery.start_soon(pump, far, near, BACK)

    async def _pass(self, way: int) -> None:
        if self.faults[way].delay:
            await trio.sleep(self.faults[way].delay)
        while self.faults[way].cut:
            await self._healed.wait()

    async def _send(self, sink: trio.SocketStream, data: bytes, way: int) -> None:
        rate = self.faults[way].trickle
        if not rate:
            await sink.send_all(data)
            return
        for at in range(0, len(data), max(1, int(rate / 20))):
            await self._pass(way)
            await sink.send_all(data[at : at + max(1, int(rate / 20))])
            await trio.sleep(0.05)


async def _receive(source: trio.SocketStream) -> tuple[bytes, float]:
    """The next bytes, and the steady clock's time at which the kernel took the last of them.

    This process may be busy: when it comes to read them says little of when they were sent.
    """
    data, told, _, _ = await source.socket.recvmsg(PIECE, ANCILLARY)
    now = time.monotonic()
    for level, kind, value in told:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = TIMESTAMP.unpack(value)
            return data, now - max(0.0, time.time() - seconds - nanoseconds / 1e9)
    return data, now


class Datagrams:
    """A link for datagrams between two processes: lost, repeated, late and out of order on demand.

    Each end knows the other by a place of its own on this link: it sends there and hears from there.
    """

    def __init__(self, name: str, ends: tuple[tuple[str, int], tuple[str, int]], seed: int) -> None:
        self.name, self._ends = name, ends
        self.faults = [Fault(), Fault()]
        self.passed = self.lost = self.repeated = self.reordered = 0
        self._chance = random.Random(f"{seed}/{name}")
        self._held: list[bytes] = [b"", b""]
        self._sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in ends]
        for one in self._sockets:
            one.bind(("127.0.0.1", 0))
        self.places: list[tuple[str, int]] = [one.getsockname() for one in self._sockets]

    def cut(self, way: str = "both") -> None:
        """Drops all datagrams in one way or both."""
        for one in WAYS[way]:
            self.faults[one].cut = True

    def heal(self) -> None:
        """Ends all faults of this link."""
        self.faults = [Fault(), Fault()]

    def spoil(self, way: str, **how: float) -> None:
        """Sets faults of this link in one way or both."""
        for one in WAYS[way]:
            for name, value in how.items():
                setattr(self.faults[one], name, value)

    def reset(self) -> None:
        """There is nothing to reset."""

    async def run(self) -> None:
        """Carries datagrams until it is cancelled."""
        sockets = [trio.socket.from_stdlib_socket(one) for one in self._sockets]
        async with trio.open_nursery() as nursery:
            # what an end sends to its place goes out to the other end from that one's place
            nursery.start_soon(self._carry, sockets[0], sockets[1], THERE, nursery)
            nursery.start_soon(self._carry, sockets[1], sockets[0], BACK, nursery)

    async def _carry(self, source: Any, sink: Any, way: int, nursery: trio.Nursery) -> None:
        while True:
            data, _ = await source.recvfrom(PIECE)
            fault, chance = self.faults[way], self._chance
            if fault.cut or chance.random() < fault.lose:
                self.lost += 1
                continue
            if chance.random() < fault.reorder and not self._held[way]:
                self._held[way], self.reordered = data, self.reordered + 1
                continue
            again = chance.random() < fault.repeat
            self.repeated += again
            held, self._held[way] = self._held[way], b""
            for one in [data] * (1 + again) + [held] * bool(held):
                nursery.start_soon(self._put, sink, one, 1 - way, fault.delay)

    async def _put(self, sink: Any, data: bytes, end: int, delay: float) -> None:
        await trio.sleep(delay)
        self.passed += 1
        with suppress(OSError):
            await sink.sendto(data, self._ends[end])


def reserved(kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Holds a place that the kernel gives, without listening: a process that reuses addresses still can.

    Guards against a place that is given to a connection between its choice and its process's start.
    """
    held = socket.socket(socket.AF_INET, kind)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held
