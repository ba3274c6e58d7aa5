"""Exchanges the loads of servers with the other nodes in the settings, by UDP datagrams.

Does I/O on one socket. Messages are best effort: one that is lost, late, too long or from an unknown sender
is ignored, and sending never blocks. Received loads are not forwarded to other nodes and not evaluated here.
"""

import socket
from collections.abc import Mapping
from typing import Protocol

import trio

from wheatroute import peer_messages
from wheatroute.balancing.interface import Event
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.log import Logger
from wheatroute.net.node_settings import PeerAddresses


class NumberedServers(Protocol):
    """Provides the numbers of servers by id; ids are the same on every node."""

    @property
    def numbers(self) -> Mapping[str, int]:
        """The numbers of servers by id."""


class Peers:
    """Sends and receives loads on a UDP socket."""

    def __init__(
        self, addresses: PeerAddresses, driver: BalancerDriver, servers: NumberedServers, log: Logger
    ) -> None:
        self._others = addresses.others
        self._driver, self._servers, self._log = driver, servers, log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(addresses.listen)

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Sends the loads of servers, by number, to all other nodes."""
        ids = {server: identity for identity, server in self._servers.numbers.items()}
        for text in peer_messages.encode_loads(
            (ids[server], load) for server, load in loads.items() if server in ids
        ):
            for address in self._others:
                try:
                    self._socket.sendto(text.encode(), address)
                except OSError:
                    # A full buffer or an unreachable peer must not delay the node.
                    continue

    async def run(self) -> None:
        """Receives datagrams until it is cancelled, then closes the socket."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self._socket)
                self._receive()
        finally:
            self._socket.close()

    def _receive(self) -> None:
        try:
            data, sender = self._socket.recvfrom(peer_messages.MAX_MESSAGE_BYTES + 1)
        except OSError:
            return  # an ICMP error that a datagram sent earlier has caused
        if sender in self._others:
            short_names = peer_messages.ShortNames()
            for identity, server in self._servers.numbers.items():
                short_names.add(identity, server)
            loads = peer_messages.decode_loads(data.decode("latin-1"), short_names.numbers)
            if loads:
                self._driver.add_event(Event.PEER_REPORTED, loads)
