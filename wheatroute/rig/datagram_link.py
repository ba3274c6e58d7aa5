"""A link for datagrams between two processes: lost, duplicated, late and out of order on demand."""

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
    """Each end knows the other by an address of its own on this link: it sends there and hears from there."""

    def __init__(self, name: str, ends: tuple[Address, Address], seed: int) -> None:
        self.name = name
        self.faults = LinkFaults()
        self.passed_count = 0
        self.lost_count = 0
        self.duplicated_count = 0
        self.reordered_count = 0
        self._ends = ends
        self._rng = random.Random(f"{seed}/{name}")
        self._reorder_buffer: list[bytes] = [b"", b""]  # by direction: goes out after the next one
        self._sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in ends]
        for one in self._sockets:
            one.bind((LOOPBACK, 0))
        # the address by which each end knows the other
        self.addresses: list[Address] = [one.getsockname() for one in self._sockets]

    async def run(self) -> None:
        """Carries datagrams until it is cancelled."""
        first, second = (trio.socket.from_stdlib_socket(one) for one in self._sockets)
        async with trio.open_nursery() as nursery:
            # what an end sends to its address goes out to the other end from that one's address
            nursery.start_soon(self._carry, first, second, Direction.FORWARD, nursery)
            nursery.start_soon(self._carry, second, first, Direction.BACKWARD, nursery)

    async def _carry(self, source: Any, sink: Any, direction: Direction, nursery: trio.Nursery) -> None:
        destination = self._ends[direction.opposite]
        while True:
            data, _ = await source.recvfrom(MAX_DATAGRAM_BYTES)
            delay_s = self.faults[direction].delay_s
            for datagram in self._impaired(data, direction):
                nursery.start_soon(self._send, sink, datagram, destination, delay_s)

    def _impaired(self, data: bytes, direction: Direction) -> list[bytes]:
        """The datagrams that go out for one that came in."""
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
