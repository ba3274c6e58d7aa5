"""The links between all processes of a rig, by name, and the ports that are held for processes yet to start.

A link is named `FROM-TO` by what it connects, as `n0-s1`; several links to one target have numbers, as
`n0-etcd2`.
"""

from __future__ import annotations

import socket

import trio

from wheatroute.rig.addresses import Address, reserve_port
from wheatroute.rig.datagram_link import DatagramLink
from wheatroute.rig.processes import RigError
from wheatroute.rig.tcp_link import TcpLink


class Network:
    """Links run in the nursery from when they are added."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.links: dict[str, TcpLink | DatagramLink] = {}
        self._nursery = nursery
        self._reserved: list[socket.socket] = []

    def add_link(self, name: str, target: Address) -> TcpLink:
        """Adds a TCP link to a target."""
        link = self.links[name] = TcpLink(name, target)
        self._nursery.start_soon(link.run)
        return link

    def add_links(self, name: str, targets: list[Address]) -> list[Address]:
        """Adds a TCP link to each of several targets, with their numbers after the name."""
        return [self.add_link(f"{name}{i}", target).address for i, target in enumerate(targets)]

    def add_datagram_link(self, name: str, ends: tuple[Address, Address], seed: int) -> None:
        """Adds a link for datagrams between two processes."""
        link = self.links[name] = DatagramLink(name, ends, seed)
        self._nursery.start_soon(link.run)

    def between(self, one: str, other: str) -> list[TcpLink | DatagramLink]:
        """The links of two processes, in either direction; `etcd` stands for all its members.

        Raises `RigError` if there is none.
        """
        found = [link for name, link in self.links.items() if _connects(name, one, other)]
        if not found:
            raise RigError(f"there is no link between {one} and {other}")
        return found

    def peer_addresses(self, node: str) -> list[Address]:
        """Where a node reaches the others by datagrams."""
        return [
            link.addresses[node != name.split("-")[0]]
            for name, link in self.links.items()
            if isinstance(link, DatagramLink) and node in name.split("-")
        ]

    def reserve_address(self) -> Address:
        """An address on which a process can listen that starts later."""
        reserved = reserve_port()
        self._reserved.append(reserved)
        address: Address = reserved.getsockname()
        return address

    def close(self) -> None:
        """Frees the reserved ports."""
        for reserved in self._reserved:
            reserved.close()


def free_datagram_address() -> Address:
    """An address for datagrams that is free now.

    It is not held, as nobody could share it; hardly anyone else asks for one.
    """
    with reserve_port(socket.SOCK_DGRAM) as reserved:
        address: Address = reserved.getsockname()
    return address


def _connects(name: str, one: str, other: str) -> bool:
    first, _, second = name.partition("-")
    return (first == one and second.startswith(other)) or (first == other and second.startswith(one))
