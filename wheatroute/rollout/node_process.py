"""A process of a node, which outlives the supervisor that started it. Reads /proc and sends signals.

A process is identified by its id and its start time, so that no other process that has reused the id is ever
signalled.
"""

from __future__ import annotations

import os
import signal
import subprocess
import time
from contextlib import suppress
from pathlib import Path

from wheatroute.rollout.supervisor_state import StoredProcess


def start_ticks(pid: int) -> int:
    """Returns the start time of a process in clock ticks since boot; 0 if there is none or it is a zombie."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except OSError:
        return 0
    return 0 if fields[0] in "ZX" else int(fields[19])


def find_process(incarnation: str) -> int:
    """Returns the id of the process that has this incarnation in its environment; 0 if there is none."""
    variable = f"WHEATROUTE_START={incarnation}".encode()
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            with suppress(OSError):
                if variable in (entry / "environ").read_bytes().split(b"\0"):
                    return int(entry.name)
    return 0


class NodeProcess:
    """A process of the node, started by this supervisor or an earlier one.

    `ticks` is its start time as returned by `start_ticks`.
    """

    def __init__(
        self,
        program: str,
        incarnation: str,
        pid: int,
        ticks: int,
        child: subprocess.Popen[bytes] | None = None,
    ) -> None:
        self.program, self.incarnation, self.pid, self.ticks = program, incarnation, pid, ticks
        # None if an earlier supervisor started the process.
        self._child = child
        # Monotonic time at which the process was started or adopted; once it drains, the time of its SIGTERM.
        self.since = time.monotonic()

    @property
    def is_alive(self) -> bool:
        """Whether the process is still running."""
        if self._child is not None and self._child.poll() is not None:
            return False
        return bool(self.ticks) and start_ticks(self.pid) == self.ticks

    @property
    def exit_text(self) -> str:
        """How the process ended; the status is only known for a child of this supervisor."""
        return f"status {self._child.returncode}" if self._child is not None else "status unknown"

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.is_alive:
            with suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def to_stored(self) -> StoredProcess:
        """Returns the process as it is kept in the supervisor's state file."""
        return StoredProcess(self.program, self.incarnation, self.pid, self.ticks)

    @staticmethod
    def from_stored(stored: StoredProcess) -> NodeProcess:
        """Returns the process from the state file of an earlier supervisor."""
        return NodeProcess(stored.program, stored.incarnation, stored.pid, stored.start_ticks)
