"""What a rig consists of: its processes, links and folder, and how all of it is ended.

Owns the names under which the other modules of the rig find these parts. It must never leave a process behind
that it started, nor end one that it did not start.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from wheatroute.rig.addresses import reserve_port
from wheatroute.rig.client_load import ClientLoad
from wheatroute.rig.datagram_link import DatagramLink
from wheatroute.rig.discovery_service import DiscoveryService
from wheatroute.rig.processes import Cluster, Process, RigError
from wheatroute.rig.run_records import InjectedFault, RunRecords
from wheatroute.rig.server import Server
from wheatroute.rig.tcp_link import TcpLink

PATIENCE = 20.0  # seconds for a process to come up, or for what `until` waits for
CELLS = 2  # servers of a cell


class RigParts:
    """The parts of a run, most of them made later."""

    def __init__(
        self,
        settings: dict[str, Any],
        folder: Path,
        seed: int,
        within: float,
        nodes: int,
        servers: int,
        store: str,
        members: int,
        zones: int,
        lists: str,
        peers: bool,
        processors: int,
        workers: int,
        programs: dict[str, list[str]] | None,
    ) -> None:
        self.settings, self.folder, self.seed, self.within = settings, folder, seed, within
        self.records = RunRecords()
        self.links: dict[str, TcpLink | DatagramLink] = {}
        self._hears: dict[str, tuple[str, int]] = {}  # where nodes hear datagrams, if they tell one another
        self._tell = peers
        self.processes: dict[str, Process] = {}
        self.lists: dict[str, DiscoveryService] = {}
        self.clients: dict[str, ClientLoad] = {}
        self.zones = [chr(ord("a") + i) for i in range(zones)]
        self.servers = {
            f"s{i}": Server(f"s{i}", self.zones[i % zones], i // CELLS, self.records, seed)
            for i in range(servers)
        }
        self.processors = [f"p{i}" for i in range(processors)]
        self.names = [f"n{i}" for i in range(nodes)] + self.processors
        self.workers = workers  # of each processor
        self.programs = programs  # that supervisors of the nodes have; the first one runs
        self.kind, self._members, self._listed_by = store, members, lists
        self._entries: dict[tuple[str, str], dict[str, Any]] = {}  # by node and server
        self.cluster: Cluster | None = None
        self._nursery: trio.Nursery
        self._stopped: dict[str, float] = {}
        self._reserved: list[socket.socket] = []

    def _each(self, name: str) -> int:
        """How many processes serve under a name."""
        return self.workers if name in self.processors else 1

    def _rows(self, name: str) -> list[str]:
        """Under which names a process's rows are in the store."""
        many = self._each(name)
        return [f"{name}-{i}" for i in range(many)] if many > 1 else [name]

    def link(self, name: str, target: tuple[str, int]) -> tuple[str, int]:
        """The address of a link to a target, by name."""
        return self._linked(name, target).address

    def _linked(self, name: str, target: tuple[str, int]) -> TcpLink:
        link = self.links[name] = TcpLink(name, target)
        self._nursery.start_soon(link.run)
        return link

    def write(self, name: str, told: dict[str, Any]) -> None:
        """Writes a process's file."""
        (self.folder / f"{name}.json").write_text(json.dumps(told))

    def file(self, name: str) -> dict[str, Any]:
        """Reads a process's file."""
        told: dict[str, Any] = json.loads((self.folder / f"{name}.json").read_text())
        return told

    def _reserve(self, kind: int = socket.SOCK_STREAM) -> tuple[str, int]:
        held = reserve_port(kind)
        place: tuple[str, int] = held.getsockname()
        if kind == socket.SOCK_STREAM:
            self._reserved.append(held)
        else:
            held.close()  # nobody can share a place for datagrams, and hardly anyone else asks for one
        return place

    def end(self) -> None:
        """Ends all processes and frees reserved ports."""
        for process in self.processes.values():
            process.end()
        for held in self._reserved:
            held.close()

    async def until(self, what: Callable[[], Any], name: str, patience: float = PATIENCE) -> None:
        """Waits until something is so; raises `RigError` when that takes too long.

        What this process was late meanwhile is added to the patience, up to once that patience.
        """
        begun = time.monotonic()
        while not what():
            now = time.monotonic()
            if now > begun + patience + min(patience, self.records.lateness.total_s(begun, now)):
                raise RigError(f"waited {now - begun:.1f} s until {name}")
            await trio.sleep(0.01)

    def fault(self, text: str) -> None:
        """Records a fault with the time."""
        self.records.faults.append(InjectedFault(time.monotonic(), text))
