"""Faults of a rig, which the program is not told of: cuts, delays, resets, stops, kills, drains.

Owns the notes of when each began and ended, by which records are judged.
"""

from __future__ import annotations

import signal
import time

from wheatroute.rig.datagram_link import DatagramLink
from wheatroute.rig.making import RigMaking
from wheatroute.rig.processes import RigError
from wheatroute.rig.run_records import Downtime
from wheatroute.rig.tcp_link import TcpLink


class RigFaults(RigMaking):
    """What can be made to fail."""

    def between(self, one: str, other: str) -> list[TcpLink | DatagramLink]:
        """The links from one process to another, or from it; `etcd` stands for all members."""
        found: list[TcpLink | DatagramLink] = []
        for name, link in self.links.items():
            first, _, second = name.partition("-")
            if first == one and second.startswith(other) or first == other and second.startswith(one):
                found.append(link)
        if not found:
            raise RigError(f"there is no link between {one} and {other}")
        return found

    def cut(self, one: str, other: str, way: str = "both") -> None:
        """Cuts the link between two parties, in one way or both."""
        self.fault(f"cut {one} {other} {way}")
        if other == "store" and self.kind == "directory":
            (self.folder / f"store-{one}").unlink()
            return
        for link in self.between(one, "etcd" if other == "store" else other):
            link.faults.partition(way)

    def heal(self, one: str, other: str) -> None:
        """Ends what was done to the link between two parties."""
        self.fault(f"heal {one} {other}")
        if other == "store" and self.kind == "directory":
            (self.folder / f"store-{one}").symlink_to(self.folder / "store")
            return
        for link in self.between(one, "etcd" if other == "store" else other):
            link.faults.heal()

    def spoil(self, one: str, other: str, way: str = "both", **how: float) -> None:
        """Delays, loses or throttles what goes over a link."""
        self.fault(f"spoil {one} {other} {way} {how}")
        for link in self.between(one, other):
            link.faults.impair(way, **how)

    def reset(self, one: str, other: str) -> None:
        """Resets the connections of a link."""
        self.fault(f"reset {one} {other}")
        for link in self.between(one, other):
            if isinstance(link, TcpLink):
                link.reset_connections()

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.fault(f"stop {name}")
        self._stopped[name] = time.monotonic()
        self.processes[name].signal_all(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        """Continues a process that was stopped."""
        self.fault(f"continue {name}")
        self.records.downtimes.append(Downtime(self._stopped.pop(name), time.monotonic() + 0.5, name))
        self.processes[name].signal_all(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self.fault(f"kill {name}")
        self._stopped[name] = time.monotonic()
        self.processes[name].end()

    async def start(self, name: str) -> None:
        """Starts a process and waits until it listens."""
        self.fault(f"start {name}")
        process = self.processes[name]
        before = process.log.count("event=listening")
        process.start()
        await self.until(
            lambda: process.log.count("event=listening") >= before + self._each(name), f"{name} listens again"
        )
        if name in self._stopped:
            self.records.downtimes.append(Downtime(self._stopped.pop(name), time.monotonic(), name))

    def drain(self, server: str) -> None:
        """All lists say that a server is to be left; what it begins too long after is a broken drain."""
        self.fault(f"drain {server}")
        self.records.drained_at[server] = time.monotonic()
        self._say(server, "terminating")

    def take_back(self, server: str) -> None:
        """All lists say that a server that was to be left serves on."""
        self.fault(f"take back {server}")
        self.records.drained_at.pop(server, None)
        self._say(server, "in_service")

    def _say(self, server: str, state: str) -> None:
        for name, service in self.lists.items():
            entry = self._entries[name, server] | {"state": state}
            service.update(entry)
            self._list(name, entry)
