"""Fault injection: what a rig does to links, processes and servers. The program is told of none of it.

Records when each fault began and ended, by which a run is judged.
"""

from __future__ import annotations

import signal
import time

from wheatroute.rig.discovery import Discovery
from wheatroute.rig.discovery_service import IN_SERVICE, TERMINATING
from wheatroute.rig.network import Network
from wheatroute.rig.options import RigOptions
from wheatroute.rig.processes import Process
from wheatroute.rig.run_records import Downtime, RunRecords
from wheatroute.rig.tcp_link import TcpLink
from wheatroute.rig.version_backend import VersionBackend
from wheatroute.rig.waiting import wait_until

STORE = "store"  # stands for the place of the versions, whatever it is
LISTENING = "event=listening"  # in the log of a process that serves requests
RESUME_S = 0.5  # in which a node that was stopped comes back to its requests
OPEN_DOWNTIME_S = 60.0  # for which a node still down at the end of the load counts as down


class FaultInjector:
    """Faults by the names of processes and servers. `direction` is a key of `link_fault.DIRECTIONS`."""

    def __init__(
        self,
        options: RigOptions,
        records: RunRecords,
        network: Network,
        processes: dict[str, Process],
        discovery: Discovery,
        backend: VersionBackend,
    ) -> None:
        self._options = options
        self._records = records
        self._network = network
        self._processes = processes
        self._discovery = discovery
        self._backend = backend
        self._down_since: dict[str, float] = {}  # by process, stopped or killed

    def record(self, text: str) -> None:
        """Records a fault with the time."""
        self._records.record_fault(time.monotonic(), text)

    def partition(self, one: str, other: str, direction: str = "both") -> None:
        """Cuts the links between two processes, or a process and the `store`."""
        self.record(f"cut {one} {other} {direction}")
        if other == STORE:
            self._backend.partition(one, direction)
            return
        for link in self._network.between(one, other):
            link.faults.partition(direction)

    def heal(self, one: str, other: str) -> None:
        """Ends all faults of the links between two processes, or a process and the `store`."""
        self.record(f"heal {one} {other}")
        if other == STORE:
            self._backend.heal(one)
            return
        for link in self._network.between(one, other):
            link.faults.heal()

    def impair(self, one: str, other: str, direction: str = "both", **parameters: float) -> None:
        """Delays, throttles, loses, duplicates or reorders, by the keys of `link_fault.PARAMETERS`."""
        self.record(f"spoil {one} {other} {direction} {parameters}")
        for link in self._network.between(one, other):
            link.faults.impair(direction, **parameters)

    def reset_connections(self, one: str, other: str) -> None:
        """Resets the connections between two processes."""
        self.record(f"reset {one} {other}")
        for link in self._network.between(one, other):
            if isinstance(link, TcpLink):
                link.reset_connections()

    def stop(self, name: str) -> None:
        """Stops a process and those that it started with SIGSTOP."""
        self.record(f"stop {name}")
        self._down_since[name] = time.monotonic()
        self._processes[name].send_group_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a stopped process go on."""
        self.record(f"continue {name}")
        self._record_downtime(name, time.monotonic() + RESUME_S)
        self._processes[name].send_group_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kills a process and those that it started."""
        self.record(f"kill {name}")
        self._down_since[name] = time.monotonic()
        self._processes[name].kill()

    async def start(self, name: str) -> None:
        """Starts a process and waits until it listens; raises `RigError` if it does not."""
        self.record(f"start {name}")
        process = self._processes[name]
        expected = process.log.count(LISTENING) + self._options.process_count(name)
        process.start()
        await wait_until(
            self._records.lateness,
            lambda: process.log.count(LISTENING) >= expected,
            f"{name} listens again",
        )
        if name in self._down_since:
            self._record_downtime(name, time.monotonic())

    def _record_downtime(self, name: str, until: float) -> None:
        self._records.downtimes.append(Downtime(self._down_since.pop(name), until, name))

    def record_open_downtimes(self) -> None:
        """Records the downtimes of nodes that are still down, at the end of the load."""
        until = time.monotonic() + OPEN_DOWNTIME_S
        self._records.downtimes += [Downtime(since, until, name) for name, since in self._down_since.items()]

    def drain(self, server: str) -> None:
        """Tells all processes that a server terminates; what it begins after the grace breaks a rule."""
        self.record(f"drain {server}")
        self._records.drained_at[server] = time.monotonic()
        self._discovery.set_state(server, TERMINATING)

    def undrain(self, server: str) -> None:
        """Tells all processes that a server that was to terminate stays in service."""
        self.record(f"take back {server}")
        self._records.drained_at.pop(server, None)
        self._discovery.set_state(server, IN_SERVICE)
