"""The supervisor of a node: runs the program that the rollout says, the new one beside the old, then alone.

Owns the node's processes on its machine, and a file by which a supervisor that starts anew finds them. It
must never stop the old one before the new one is ready, end a process that neither it nor the supervisor
before it started, or take the node with it when it dies.
"""

from __future__ import annotations

import json
import os
import random
import secrets
import signal
import subprocess
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

import trio
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.agreement.node import place
from wheatroute.agreement.places import PlaceError, opened
from wheatroute.agreement.versions import HistoryError
from wheatroute.net.addresses import parse_address
from wheatroute.rollout.progress import RolloutProgress

LOOKS = 0.2  # seconds between two looks
FIRST_WAIT, LONGEST_WAIT = 0.2, 30.0  # seconds until a process that died is started anew, doubled each time
HELD = 30.0  # seconds that a process must have lived for its next death to count as its first
ANSWERS = 2.0  # seconds for the place


class SupervisorError(Exception):
    """A file that is no use: a line for each thing that is wrong."""


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Node(Table):
    """The supervisor's file."""

    name: str = Field(min_length=1)
    site: str = ""
    file: str  # the node's own, which PROXY_CONFIG names
    programs: dict[str, list[str]] = Field(min_length=1)  # by name: the words of the command
    first: str  # which of them runs where no rollout says
    state: str  # the file by which a supervisor finds what runs
    log: str = ""  # of the node; by default beside `state`
    directory: str = ""
    etcd: list[str] = []
    prefix: str = "/rollouts"
    patience: float = Field(default=30.0, gt=0.0)  # seconds for a new process to be ready
    leaves: float = Field(default=30.0, gt=0.0)  # seconds for an old one to end; then it is killed

    @model_validator(mode="after")
    def _whole(self) -> Node:
        if self.first not in self.programs:
            raise ValueError(f"first: no program {self.first!r}")
        if bool(self.directory) == bool(self.etcd):
            raise ValueError("one place: directory or etcd")
        for one in self.etcd:
            parse_address(one)
        return self


def read(path: str) -> Node:
    """The file, checked whole; raises `SupervisorError`."""
    try:
        return Node.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as trouble:
        raise SupervisorError(f"{path}: cannot be read: {trouble.strerror}") from trouble
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as trouble:
        raise SupervisorError(f"{path}: is not TOML: {trouble}") from trouble
    except ValidationError as trouble:
        raise SupervisorError(
            "\n".join(
                f"{path}: {'.'.join(map(str, one['loc'])) or 'the whole'}: {one['msg']}"
                for one in trouble.errors()
            )
        ) from trouble


def born(pid: int) -> int:
    """When a process started, in the system's ticks; 0 if there is none, or only what is left of one."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except OSError:
        return 0
    return 0 if fields[0] in "ZX" else int(fields[19])


def started_as(start: str) -> int:
    """The process that was started under a name of its own; 0 if there is none."""
    mark = f"WHEATROUTE_START={start}".encode()
    for one in Path("/proc").iterdir():
        if one.name.isdigit():
            with suppress(OSError):
                if mark in (one / "environ").read_bytes().split(b"\0"):
                    return int(one.name)
    return 0


class Run:
    """A process of the node, started by this supervisor or one before it."""

    def __init__(
        self, program: str, start: str, pid: int, ticks: int, child: subprocess.Popen[bytes] | None = None
    ) -> None:
        self.program, self.start, self.pid, self.ticks, self._child = program, start, pid, ticks, child
        self.since = time.monotonic()

    @property
    def alive(self) -> bool:
        if self._child is not None and self._child.poll() is not None:
            return False
        return bool(self.ticks) and born(self.pid) == self.ticks

    @property
    def ended(self) -> str:
        """How, as far as that is known."""
        return f"status {self._child.returncode}" if self._child is not None else "unseen"

    def signal(self, number: signal.Signals) -> None:
        if self.alive:
            with suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def kept(self) -> dict[str, Any]:
        return {"program": self.program, "start": self.start, "pid": self.pid, "ticks": self.ticks}


class Supervisor:
    """One node's."""

    def __init__(self, told: Node, log: Any) -> None:
        self._told, self._log = told, log
        self._place = place(
            {"directory": told.directory}
            if told.directory
            else {"etcd": [parse_address(one) for one in told.etcd], "prefix": told.prefix},
            random.Random(),
            ANSWERS / 3,
        )
        self._progress = RolloutProgress()
        self._start = secrets.token_hex(6)
        self._beat = 0
        self._last = told.first  # the program that served last
        self._starting: list[str] = []  # program and start of the process that is started next
        self._gone: list[str] = []  # rows of processes that have ended
        self.old: Run | None = None  # the one that serves
        self.new: Run | None = None  # beside it, until it is ready
        self.leaving: list[Run] = []
        self._failed: list[list[Any]] = []  # rollout and program that did not come up or died here
        self._trouble = ""
        self._crashes = 0
        self._wait, self._not_before = FIRST_WAIT, 0.0
        self._rows: dict[str, dict[str, Any]] = {}

    # processes

    def _find(self) -> None:
        """What the supervisor before this one left running."""
        try:
            kept = json.loads(Path(self._told.state).read_text())
        except (OSError, json.JSONDecodeError):
            return
        self._failed, self._crashes = kept.get("failed", []), kept.get("crashes", 0)
        found = {name: Run(**kept[name]) for name in ("old", "new") if kept.get(name)}
        if kept.get("starting"):
            # guards against a process that was started by one that died before it wrote it down
            program, start = kept["starting"]
            pid = started_as(start)
            if pid and not any(run.pid == pid for run in found.values()):
                found.setdefault("new", Run(program, start, pid, born(pid)))
        self._last = found["old"].program if "old" in found else self._last
        alive = {name: run for name, run in found.items() if run.alive}
        self.old, self.new = alive.get("old"), alive.get("new")
        if self.old is None and self.new is not None:
            self.old, self.new = self.new, None
        self.leaving = [run for run in (Run(**one) for one in kept.get("leaving", ())) if run.alive]
        self._log.info("found", **{name: run.pid for name, run in alive.items()})

    def _keep(self) -> None:
        told = {
            "old": self.old.kept() if self.old else None,
            "new": self.new.kept() if self.new else None,
            "leaving": [run.kept() for run in self.leaving],
            "failed": self._failed,
            "starting": self._starting,
            "crashes": self._crashes,
        }
        beside = Path(self._told.state + ".new")
        beside.write_text(json.dumps(told))
        os.rename(beside, self._told.state)

    def _run(self, program: str) -> Run:
        start = secrets.token_hex(6)
        self._starting = [program, start]
        self._keep()
        environment = os.environ | {
            "PROXY_CONFIG": self._told.file,
            "WHEATROUTE_PROGRAM": program,
            "WHEATROUTE_START": start,
        }
        with open(self._told.log or f"{self._told.state}.log", "ab") as log:
            child = subprocess.Popen(
                self._told.programs[program],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        self._log.info("started", program=program, pid=child.pid)
        return Run(program, start, child.pid, born(child.pid), child)

    # the loop

    async def run(self) -> None:
        """Until SIGTERM, which leaves the node serving."""
        self._find()
        async with opened(self._place):
            while True:
                rows = await self._look()
                self._mind(rows)
                self._keep()
                await trio.sleep(LOOKS)

    async def _look(self) -> list[dict[str, Any]] | None:
        """Says how it stands here, hears the progress; the rows of all, or None where the place is away."""
        self._beat += 1
        serving = self.old.program if self.old is not None else ""
        row = {
            "row": "keeper",
            "name": self._told.name,
            "start": self._start,
            "beat": self._beat,
            "site": self._told.site,
            "runs": serving,
            "changing": self.new is not None or bool(self.leaving),
            "failed": self._failed,
            "trouble": self._trouble,
            "crashes": self._crashes,
            "programs": sorted(self._told.programs),
            "head": self._progress.head,
        }
        try:
            with trio.fail_after(ANSWERS):
                records = await self._place.ask(
                    f"keeper.{self._told.name}", row, self._progress.head, self._progress.mark
                )
                for record in records:
                    self._progress.take(record)
                rows = await self._place.rows()
                await self._place.drop(self._gone)
                self._gone.clear()
                self._rows = {one["name"]: one for one in rows if one.get("row") == "keeper"}
                return rows
        except (PlaceError, HistoryError, trio.TooSlowError) as trouble:
            if self._trouble != str(trouble):
                self._log.warning("place", trouble=str(trouble) or "does not answer")
            return None

    def _mind(self, rows: list[dict[str, Any]] | None) -> None:
        """One look at the processes; without the place nothing is changed that need not be."""
        self.leaving = [run for run in self.leaving if self._still_leaves(run)]
        if self.old is not None and not self.old.alive:
            self._died(self.old)
        if self.old is None and self.new is None and time.monotonic() >= self._not_before:
            self._last = self._wanted()
            self.old = self._run(self._last)
        if self.new is not None:
            self._mind_new(self.new, rows or [])
        elif rows is not None and self.old is not None and not self.leaving:
            wanted = self._wanted()
            if wanted != self.old.program and self._progress.may_change(self._told.name, self._rows):
                self.new = self._run(wanted)

    def _wanted(self) -> str:
        """What the rollout says, unless that failed here or is not known."""
        target = self._progress.target(self._told.name)
        if target is not None and target not in self._told.programs:
            self._note(f"no program {target!r} here")
            self._fail(target)
        running = self.old.program if self.old is not None else self._last
        if target is None:
            return running
        if [self._progress.number, target] not in self._failed:
            return target
        plan = self._progress.plan
        return plan.old if plan is not None and target == plan.new else running

    def _fail(self, program: str) -> None:
        if [self._progress.number, program] not in self._failed:
            self._failed.append([self._progress.number, program])

    def _note(self, trouble: str) -> None:
        if trouble != self._trouble:
            self._trouble = trouble
            self._log.warning("trouble", trouble=trouble)

    def _died(self, run: Run) -> None:
        """The one that serves is gone: what it ran before it, at first at once, then ever later."""
        self._crashes += 1
        self._gone.append(f"figures.{self._told.name}.{run.start}")
        self._note(f"{run.program} ended, {run.ended}")
        lived = time.monotonic() - run.since
        self._wait = FIRST_WAIT if lived >= HELD else min(LONGEST_WAIT, 2.0 * self._wait)
        self._not_before = time.monotonic() + self._wait
        plan = self._progress.plan
        if plan is not None and run.program == plan.new == self._progress.target(self._told.name):
            self._fail(run.program)
        self.old = self.new if self.new is not None and self.new.alive else None
        self.new = None if self.old is not None else self.new

    def _mind_new(self, run: Run, rows: list[dict[str, Any]]) -> None:
        """Beside the old one until it is ready; then the old one is told to stop."""
        if not run.alive:
            self._note(f"{run.program} did not come up: {run.ended}")
            self._fail(run.program)
            self.new = None
        elif any(one.get("row") == "figures" and one["start"] == run.start and one["ready"] for one in rows):
            if self.old is not None:
                self.old.signal(signal.SIGTERM)
                self.old.since = time.monotonic()
                self.leaving.append(self.old)
            self._log.info("took over", program=run.program, pid=run.pid)
            self.old, self.new, self._trouble, self._last = run, None, "", run.program
        elif time.monotonic() - run.since > self._told.patience:
            self._note(f"{run.program} was not ready in {self._told.patience:g} s")
            self._fail(run.program)
            run.signal(signal.SIGKILL)
            self.new = None

    def _still_leaves(self, run: Run) -> bool:
        if not run.alive:
            self._gone.append(f"figures.{self._told.name}.{run.start}")
            return False
        if time.monotonic() - run.since > self._told.leaves:
            self._note(f"{run.program} did not stop in {self._told.leaves:g} s")
            run.signal(signal.SIGKILL)
        return True


async def keep(told: Node, log: Any) -> None:
    """Runs a supervisor until SIGTERM or SIGINT; raises `PlaceError` where no place can be made."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Supervisor(told, log).run)
            async for _ in signals:
                nursery.cancel_scope.cancel()
