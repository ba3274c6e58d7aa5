"""The links between the processes of a rig, by name, and the ports reserved for processes that start later.

A link is named `FROM-TO` after its two ends, for example `n0-s1`; the links to the members of a cluster are
numbered, for example `n0-etcd2`.
"""

from __future__ import annotations

import socket

import trio

from wheatroute.rig.addresses import Address, reserve_port
from wheatroute.rig.datagram_link import DatagramLink
from wheatroute.rig.processes import RigError
from wheatroute.rig.tcp_link import TcpLink


class Network:
    """Creates links and finds them by their ends; a link runs in the nursery from when it is added."""

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
        """Adds a TCP link to each target, named `name` plus a number; returns the links' addresses."""
        return [self.add_link(f"{name}{i}", target).address for i, target in enumerate(targets)]

    def add_datagram_link(self, name: str, ends: tuple[Address, Address], seed: int) -> None:
        """Adds a datagram link between two processes."""
        link = self.links[name] = DatagramLink(name, ends, seed)
        self._nursery.start_soon(link.run)

    def between(self, process: str, other: str) -> list[TcpLink | DatagramLink]:
        """Returns the links between two processes, in either direction; `etcd` means all its members.

        Raises `RigError` if there is none.
        """
        found = [link for name, link in self.links.items() if _connects(name, process, other)]
        if not found:
            raise RigError(f"no link connects {process} and {other}")
        return found

    def peer_addresses(self, node: str) -> list[Address]:
        """Returns the addresses at which a node reaches its peers by datagrams."""
        return [
            link.addresses[node != name.split("-")[0]]
            for name, link in self.links.items()
            if isinstance(link, DatagramLink) and node in name.split("-")
        ]

    def reserve_address(self) -> Address:
        """Returns an address on which a process that starts later can listen; reserved until `close`."""
        reserved = reserve_port()
        self._reserved.append(reserved)
        address: Address = reserved.getsockname()
        return address

    def close(self) -> None:
        """Releases the reserved ports."""
        for reserved in self._reserved:
            reserved.close()


def free_datagram_address() -> Address:
    """Returns an address for datagrams that is free now.

    The address is not reserved, because the process that is to use it could not bind it then. Another program
    is unlikely to take it first, because few bind a port for datagrams.
    """
    with reserve_port(socket.SOCK_DGRAM) as reserved:
        address: Address = reserved.getsockname()
    return address


def _connects(name: str, process: str, other: str) -> bool:
    first, _, second = name.partition("-")
    return (first == process and second.startswith(other)) or (first == other and second.startswith(process))
