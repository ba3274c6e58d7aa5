"""Messages among nodes: what servers hold, as datagrams to the nodes that the configuration names.

Owns one socket, and none where the configuration names no peers. A message that is lost, late, too long or of
another sender is nothing told; sending never waits. It decides nothing and must never pass on what it hears.
"""

import socket
from collections.abc import Mapping
from typing import Any, Protocol

import trio

from wheatroute import talk
from wheatroute.balancing.interface import Event
from wheatroute.net.rounds import Rounds


class Numbered(Protocol):
    """What is needed of the list's side: the numbers of servers by the ids that all nodes know."""

    @property
    def numbers(self) -> Mapping[str, int]: ...


class Peers:
    """The other nodes."""

    def __init__(self, told: dict[str, Any], rounds: Rounds, listed: Numbered, log: Any) -> None:
        self._place, self._others = told["listen"], tuple(told["others"])
        self._rounds, self._listed, self._log = rounds, listed, log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self._place)

    def tell(self, figures: Mapping[int, float]) -> None:
        names = {server: name for name, server in self._listed.numbers.items()}
        for text in talk.pack((names[one], held) for one, held in figures.items() if one in names):
            for place in self._others:
                try:
                    self._socket.sendto(text.encode(), place)
                except OSError:
                    # guards against a full buffer or a peer that is away holding up the node
                    continue

    async def run(self) -> None:
        try:
            while True:
                await trio.lowlevel.wait_readable(self._socket)
                self._take()
        finally:
            self._socket.close()

    def _take(self) -> None:
        try:
            data, sender = self._socket.recvfrom(talk.LONGEST + 1)
        except OSError:
            return  # an ICMP error about what was sent before
        if sender in self._others:
            known = talk.Known()
            for name, server in self._listed.numbers.items():
                known.add(name, server)
            figures = talk.unpack(data.decode("latin-1"), known.names)
            if figures:
                self._rounds.happened(Event.PEER_REPORTED, figures)
