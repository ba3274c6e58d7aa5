"""A datagram link between two processes, which can lose, duplicate, delay and reorder datagrams."""

from __future__ import annotations

import random
import socket
from contextlib import suppress
from typing import Any

import trio

from wheatroute.rig.addresses import LOOPBACK, Address
from wheatroute.rig.link_fault import Direction, LinkFaults

MAX_DATAGRAM_BYTES = 65536


class DatagramLink:
    """Forwards datagrams between two ends.

    The link has an address for each end, which that end uses as the address of the other: it sends datagrams
    there, and receives the other's datagrams from there.
    """

    def __init__(self, name: str, ends: tuple[Address, Address], seed: int) -> None:
        self.name = name
        self.faults = LinkFaults()
        self.passed_count = 0
        self.lost_count = 0
        self.duplicated_count = 0
        self.reordered_count = 0
        self._ends = ends
        self._rng = random.Random(f"{seed}/{name}")
        # by direction: a datagram that is held back until after the next one; empty for none
        self._reorder_buffer: list[bytes] = [b"", b""]
        self._sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in ends]
        for link_socket in self._sockets:
            link_socket.bind((LOOPBACK, 0))
        # by end: the address by which the end knows the other end
        self.addresses: list[Address] = [link_socket.getsockname() for link_socket in self._sockets]

    async def run(self) -> None:
        """Forwards datagrams until it is cancelled."""
        first, second = (trio.socket.from_stdlib_socket(link_socket) for link_socket in self._sockets)
        async with trio.open_nursery() as nursery:
            # What the first end sends arrives at the first socket. It is sent on from the second socket,
            # because the second end knows the first by that socket's address. The other direction is alike.
            nursery.start_soon(self._forward, first, second, Direction.FORWARD, nursery)
            nursery.start_soon(self._forward, second, first, Direction.BACKWARD, nursery)

    async def _forward(self, source: Any, sink: Any, direction: Direction, nursery: trio.Nursery) -> None:
        destination = self._ends[direction.opposite]
        while True:
            data, _ = await source.recvfrom(MAX_DATAGRAM_BYTES)
            delay_s = self.faults[direction].delay_s
            for datagram in self._impaired(data, direction):
                nursery.start_soon(self._send, sink, datagram, destination, delay_s)

    def _impaired(self, data: bytes, direction: Direction) -> list[bytes]:
        """Returns the datagrams to send after one was received: none, one or several."""
        fault = self.faults[direction]
        if fault.is_partitioned or self._rng.random() < fault.loss:
            self.lost_count += 1
            return []
        if self._rng.random() < fault.reordering and not self._reorder_buffer[direction]:
            self._reorder_buffer[direction] = data
            self.reordered_count += 1
            return []
        is_duplicated = self._rng.random() < fault.duplication
        self.duplicated_count += is_duplicated
        reordered, self._reorder_buffer[direction] = self._reorder_buffer[direction], b""
        return [data] * (1 + is_duplicated) + [reordered] * bool(reordered)

    async def _send(self, sink: Any, data: bytes, destination: Address, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self.passed_count += 1
        with suppress(OSError):
            await sink.sendto(data, destination)
