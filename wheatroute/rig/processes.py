"""The processes of a run, which the rig starts, signals and ends; each has a log."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NODE_COMMAND = [sys.executable, "-m", "wheatroute"]


class RigError(Exception):
    """The run cannot continue; the message gives the reason."""


def cli_command(*arguments: str) -> list[str]:
    """Returns the command `wheatroute` with these arguments."""
    return [sys.executable, "-m", "wheatroute.cli", *arguments]


class Process:
    """One process of the program, in a process group with the processes that it starts."""

    def __init__(
        self, name: str, command: list[str], log: Path, environment: dict[str, str] | None = None
    ) -> None:
        self.name = name
        self._command = command
        self._log = log
        self._environment = environment or {}
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process; raises `RigError` if it is already running."""
        if self.is_alive:
            raise RigError(f"{self.name} is already running")
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=os.environ | self._environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def is_alive(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """The exit status; None before the start and while the process runs."""
        return self._process.poll() if self._process else None

    @property
    def pid(self) -> int:
        """The process id; only valid after the start."""
        assert self._process is not None
        return self._process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, but not to those that it started; does nothing if it doesn't run."""
        if self._process is not None and self.is_alive:
            self._process.send_signal(number)

    def send_group_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process and the processes that it started."""
        if self._process is not None:
            with suppress(ProcessLookupError):
                os.killpg(self._process.pid, number)

    def kill(self) -> None:
        """Kills the process group, even if it is stopped or hangs, and waits for the process to end."""
        if self._process is not None:
            self.send_group_signal(signal.SIGKILL)
            self._process.wait()

    @property
    def log(self) -> str:
        """The whole log of the process, from its first start on."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class SupervisedProcess(Process):
    """A node that a supervisor runs: all processes with the node's settings file in their environment.

    Its log is the node's log.
    """

    def __init__(self, name: str, settings_file: Path, log: Path) -> None:
        super().__init__(name, [], log)
        self._environment_entry = f"PROXY_CONFIG={settings_file}".encode()

    def start(self) -> None:
        """Does nothing, because the supervisor starts the node."""

    @property
    def pids(self) -> list[int]:
        """The ids of the processes that have the settings file in their environment."""
        return [
            int(process.name)
            for process in Path("/proc").iterdir()
            if process.name.isdigit() and self._is_own(process)
        ]

    def _is_own(self, process: Path) -> bool:
        # an OSError means that the process has ended, or belongs to another user
        with suppress(OSError):
            return self._environment_entry in (process / "environ").read_bytes().split(b"\0")
        return False

    @property
    def is_alive(self) -> bool:
        """Whether any of the processes is running."""
        return bool(self.pids)

    def send_group_signal(self, number: signal.Signals) -> None:
        """Sends a signal to all of the processes."""
        for pid in self.pids:
            with suppress(ProcessLookupError):
                os.kill(pid, number)

    def kill(self) -> None:
        """Kills all of the processes."""
        self.send_group_signal(signal.SIGKILL)
