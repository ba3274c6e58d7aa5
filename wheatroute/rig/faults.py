"""Injects faults into the links, processes and servers of a rig, without notifying the program.

Only the drain of a server is announced to the program, by discovery. Records when each fault begins and ends;
a run is judged by these records.
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

# The name of the version store in faults, whichever kind of store it is.
STORE = "store"
# What a process logs when it begins to serve requests.
LISTENING = "event=listening"
# A node counts as down until this long after it is resumed, so that it has time to handle requests again.
RESUME_GRACE_S = 0.5
# A node that is still down at the end of the load counts as down for this long.
OPEN_DOWNTIME_S = 60.0


class FaultInjector:
    """Injects faults, by the names of processes and servers.

    `direction` is a key of `link_fault.DIRECTIONS`.
    """

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
        self._down_since: dict[str, float] = {}  # by process: when it was stopped or killed

    def record(self, text: str) -> None:
        """Records a fault with the current time."""
        self._records.record_fault(time.monotonic(), text)

    def partition(self, process: str, other: str, direction: str = "both") -> None:
        """Partitions the links between two processes, or between a process and the `store`."""
        self.record(f"cut {process} {other} {direction}")
        if other == STORE:
            self._backend.partition(process, direction)
            return
        for link in self._network.between(process, other):
            link.faults.partition(direction)

    def heal(self, process: str, other: str) -> None:
        """Ends all faults of the links between two processes, or between a process and the `store`."""
        self.record(f"heal {process} {other}")
        if other == STORE:
            self._backend.heal(process)
            return
        for link in self._network.between(process, other):
            link.faults.heal()

    def impair(self, process: str, other: str, direction: str = "both", **parameters: float) -> None:
        """Delays, throttles, drops, duplicates or reorders the data between two processes.

        The names of the parameters are the keys of `link_fault.PARAMETERS`.
        """
        self.record(f"spoil {process} {other} {direction} {parameters}")
        for link in self._network.between(process, other):
            link.faults.impair(direction, **parameters)

    def reset_connections(self, process: str, other: str) -> None:
        """Resets the connections between two processes."""
        self.record(f"reset {process} {other}")
        for link in self._network.between(process, other):
            if isinstance(link, TcpLink):
                link.reset_connections()

    def stop(self, name: str) -> None:
        """Stops a process and the processes that it started, with SIGSTOP."""
        self.record(f"stop {name}")
        self._down_since[name] = time.monotonic()
        self._processes[name].send_group_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a stopped process, with SIGCONT."""
        self.record(f"continue {name}")
        self._record_downtime(name, time.monotonic() + RESUME_GRACE_S)
        self._processes[name].send_group_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kills a process and the processes that it started."""
        self.record(f"kill {name}")
        self._down_since[name] = time.monotonic()
        self._processes[name].kill()

    async def start(self, name: str) -> None:
        """Starts a process and waits until it listens; raises `RigError` if it does not begin to listen."""
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
        """Announces to all processes that a server is terminating.

        Executions that the server starts after the grace period violate a rule, see `verdict.DRAIN_GRACE_S`.
        """
        self.record(f"drain {server}")
        self._records.drained_at[server] = time.monotonic()
        self._discovery.set_state(server, TERMINATING)

    def undrain(self, server: str) -> None:
        """Announces to all processes that a draining server stays in service."""
        self.record(f"take back {server}")
        self._records.drained_at.pop(server, None)
        self._discovery.set_state(server, IN_SERVICE)
