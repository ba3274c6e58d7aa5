"""Processes of a run: started on loopback, signalled and ended by the rig, each with its log."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]


class RigError(Exception):
    """The run cannot go on, with the reason."""


class Process:
    """One process of the program, and its file."""

    def __init__(self, name: str, command: list[str], environment: dict[str, str], log: Path) -> None:
        self.name, self._command, self._environment, self._log = name, command, environment, log
        self._running: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def start(self) -> None:
        """Starts the process; raises `RigError` if it runs."""
        if self.alive:
            raise RigError(f"{self.name} runs already")
        self.starts += 1
        with open(self._log, "ab") as log:
            self._running = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=os.environ | self._environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._running is not None and self._running.poll() is None

    @property
    def status(self) -> int | None:
        """The exit status, None while it runs."""
        return self._running.poll() if self._running else None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._running is not None
        return self._running.pid

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._running is not None and self.alive:
            self._running.send_signal(number)

    def signal_all(self, number: int) -> None:
        """To the process and those that it started: a group of its own."""
        if self._running is not None:
            with suppress(ProcessLookupError):
                os.killpg(self._running.pid, number)

    def end(self) -> None:
        """Gone now, whether it was stopped or hung, with what it started."""
        if self._running is not None:
            self.signal_all(signal.SIGKILL)
            self._running.wait()

    @property
    def log(self) -> str:
        """What the process has logged."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class Kept(Process):
    """A node that a supervisor runs: whatever process has the node's file. Its log is the node's."""

    def __init__(self, name: str, file: Path, log: Path) -> None:
        super().__init__(name, [], {}, log)
        self._mark = f"PROXY_CONFIG={file}".encode()

    def start(self) -> None:
        """Its supervisor does that."""

    @property
    def pids(self) -> list[int]:
        """The ids of the processes that were started with this mark."""
        found = []
        for one in Path("/proc").iterdir():
            if one.name.isdigit():
                with suppress(OSError):
                    if self._mark in (one / "environ").read_bytes().split(b"\0"):
                        found.append(int(one.name))
        return found

    @property
    def alive(self) -> bool:
        """Whether any of them runs."""
        return bool(self.pids)

    def signal_all(self, number: int) -> None:
        """Sends a signal to all of them."""
        for pid in self.pids:
            with suppress(ProcessLookupError):
                os.kill(pid, number)

    def end(self) -> None:
        """Kills all of them."""
        self.signal_all(signal.SIGKILL)


class Cluster(Process):
    """The stand-in etcd cluster's process, with orders."""

    def __init__(self, members: int, log: Path) -> None:
        super().__init__("etcd", [sys.executable, "-m", "wheatroute.rig.cluster", str(members)], {}, log)
        self.places: list[tuple[str, int]] = []

    def start(self) -> None:
        """Starts the process."""
        with open(self._log, "ab") as log:
            self._running = subprocess.Popen(
                self._command,
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stderr=log,
                stdout=subprocess.PIPE,
                start_new_session=True,
            )
        assert self._running.stdout is not None
        self.places = [(host, port) for host, port in json.loads(self._running.stdout.readline())]

    def order(self, order: str, **more: Any) -> None:
        """Has the cluster do something, see `cluster.Orders`."""
        assert self._running is not None and self._running.stdin and self._running.stdout
        self._running.stdin.write(json.dumps({"order": order} | more).encode() + b"\n")
        self._running.stdin.flush()
        told = json.loads(self._running.stdout.readline() or b'{"trouble": "it is gone"}')
        if told:
            raise RigError(f"etcd: {told['trouble']}")
