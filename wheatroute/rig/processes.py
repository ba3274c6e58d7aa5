"""Processes of a run: started on loopback, signalled and ended by the rig, each with its log."""

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
    """The run cannot go on, with the reason."""


def cli_command(*arguments: str) -> list[str]:
    """The command `wheatroute` with these arguments."""
    return [sys.executable, "-m", "wheatroute.cli", *arguments]


class Process:
    """One process of the program, with the processes that it starts: a process group of its own."""

    def __init__(
        self, name: str, command: list[str], log: Path, environment: dict[str, str] | None = None
    ) -> None:
        self.name = name
        self._command = command
        self._log = log
        self._environment = environment or {}
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process; raises `RigError` if it runs."""
        if self.is_alive:
            raise RigError(f"{self.name} runs already")
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
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """The exit status; None before the start and while it runs."""
        return self._process.poll() if self._process else None

    @property
    def pid(self) -> int:
        """The process id; only after the start."""
        assert self._process is not None
        return self._process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process alone, if it runs."""
        if self._process is not None and self.is_alive:
            self._process.send_signal(number)

    def send_group_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process and those that it started."""
        if self._process is not None:
            with suppress(ProcessLookupError):
                os.killpg(self._process.pid, number)

    def kill(self) -> None:
        """Kills the group, also when it is stopped or hangs, and waits for the process's end."""
        if self._process is not None:
            self.send_group_signal(signal.SIGKILL)
            self._process.wait()

    @property
    def log(self) -> str:
        """What the process has logged, in all its starts."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class SupervisedProcess(Process):
    """A node that a supervisor runs: any process with the node's settings file. Its log is the node's."""

    def __init__(self, name: str, settings_file: Path, log: Path) -> None:
        super().__init__(name, [], log)
        self._environment_entry = f"PROXY_CONFIG={settings_file}".encode()

    def start(self) -> None:
        """Does nothing: its supervisor starts it."""

    @property
    def pids(self) -> list[int]:
        """The ids of the processes that have the settings file in their environment."""
        return [int(one.name) for one in Path("/proc").iterdir() if one.name.isdigit() and self._is_own(one)]

    def _is_own(self, process: Path) -> bool:
        with suppress(OSError):  # it has ended, or belongs to somebody else
            return self._environment_entry in (process / "environ").read_bytes().split(b"\0")
        return False

    @property
    def is_alive(self) -> bool:
        """Whether any of them runs."""
        return bool(self.pids)

    def send_group_signal(self, number: signal.Signals) -> None:
        """Sends a signal to all of them."""
        for pid in self.pids:
            with suppress(ProcessLookupError):
                os.kill(pid, number)

    def kill(self) -> None:
        """Kills all of them."""
        self.send_group_signal(signal.SIGKILL)
