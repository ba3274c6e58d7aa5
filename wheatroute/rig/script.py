"""A run of the rig from a file: its shape, its steps in time, what is kept of it, and its report.

Owns the TOML form and the folder of a run: `records.json`, `summary.json`, the logs of all processes, and
after `report` a page with a timeline. It must never judge by a log: those are drawn, and records are judged.
"""

from __future__ import annotations

import json
import re
import time
import tomllib
from collections.abc import Callable
from dataclasses import asdict
from datetime import datetime
from pathlib import Path
from typing import Any, Literal

import trio
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.agreement.errors import OperatorError, VersionStoreError
from wheatroute.agreement.operator_output import table
from wheatroute.rig import records
from wheatroute.rig.processes import RigError
from wheatroute.rig.rig import Rig, rig

Share = Field(default=0.0, ge=0.0, le=1.0)
_LINE = re.compile(r'timestamp=(\S+) .*event=settings .*phase=("in force"|\S+) version=(\d+)')


class ScriptError(Exception):
    """A file that is no use: a line for each thing that is wrong."""


class Table(BaseModel):
    """A table of a scenario file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Clients(Table):
    """Clients of each node: requests a second, and the classes' parts of them."""

    rate: float = Field(default=50.0, ge=0.0, le=500.0)
    mix: dict[str, float] = {"look": 0.6, "change": 0.2, "buy": 0.2}
    left: float = Field(default=2.0, gt=0.0, le=30.0)


class Servers(Table):
    """What servers do with a share of what they have run, and how long they take in the mean."""

    count: int = Field(default=4, ge=1, le=64)
    takes: float = Field(default=0.01, gt=0.0)
    reset: float = Share
    error: float = Share
    silent: float = Share


class Step(Table):
    """Something that is done at a moment, in seconds since the clients began."""

    at: float = Field(ge=0.0)
    do: Literal["cut", "heal", "spoil", "reset", "stop", "continue", "kill", "start", "put", "etcd", "drain"]
    one: str = ""
    other: str = ""
    way: Literal["both", "there", "back"] = "both"
    how: dict[str, Any] = {}
    change: dict[str, Any] = {}
    why: str = "a step of the script"
    over: int = 0

    @model_validator(mode="after")
    def _whole(self) -> Step:
        needs = {
            "cut": 2,
            "heal": 2,
            "spoil": 2,
            "reset": 2,
            "stop": 1,
            "continue": 1,
            "kill": 1,
            "start": 1,
            "drain": 1,
        }.get(self.do, 0)
        if needs > 0 and not self.one or needs > 1 and not self.other:
            raise ValueError(f"{self.do} wants {'one and other' if needs > 1 else 'one'}")
        return self


class Script(Table):
    """The whole file; without nodes there are processors."""

    name: str
    seed: int = 1
    nodes: int = Field(default=3, ge=0, le=16)
    processors: int = Field(default=0, ge=0, le=8)
    workers: int = Field(default=2, ge=1, le=8)
    store: Literal["directory", "etcd", "relay"] = "directory"
    members: int = Field(default=3, ge=1, le=7)
    zones: int = Field(default=1, ge=1, le=8)
    within: float = Field(default=2.0, gt=0.2, le=60.0)
    seconds: float = Field(default=12.0, gt=0.0, le=600.0)
    callers: Clients = Clients()
    servers: Servers = Servers()
    steps: list[Step] = []

    @model_validator(mode="after")
    def _somebody(self) -> Script:
        if not self.nodes + self.processors:
            raise ValueError("neither nodes nor processors: nobody would serve")
        return self


def read(path: str) -> Script:
    """The script, checked whole; raises `ScriptError`."""
    try:
        return Script.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as trouble:
        raise ScriptError(f"{path}: cannot be read: {trouble.strerror}") from trouble
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as trouble:
        raise ScriptError(f"{path}: is not TOML: {trouble}") from trouble
    except ValidationError as trouble:
        raise ScriptError(
            "\n".join(
                f"{path}: {'.'.join(map(str, one['loc'])) or 'the whole'}: {one['msg']}"
                for one in trouble.errors()
            )
        ) from trouble


async def play(
    script: Script, folder: Path, tell: Callable[[float], None] = lambda done: None
) -> dict[str, Any]:
    """Plays the script into a folder; returns the summary."""
    async with rig(
        nodes=script.nodes,
        servers=script.servers.count,
        store=script.store,
        zones=script.zones,
        members=script.members,
        within=script.within,
        seed=script.seed,
        keep=folder,
        processors=script.processors,
        workers=script.workers,
        longest=script.seconds * 2 + 120.0,
    ) as it:
        for server in it.servers.values():
            server.takes, server.reset = script.servers.takes, script.servers.reset
            server.error, server.silent = script.servers.error, script.servers.silent
        first = await it.put("the settings as they are")
        await it.ended(first)
        await it.agreed(first)
        began, wall = time.monotonic(), time.time()
        it.call(script.callers.rate, script.callers.mix, script.callers.left)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_steps, it, script, began)
            while (gone := time.monotonic() - began) < script.seconds:
                tell(gone / script.seconds)
                await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
        until = await it.quiet()
        try:
            await it.note()
        except (VersionStoreError, trio.TooSlowError):
            pass  # the store was left away: what was noted by then stands
        tell(1.0)
        return _keep(it, script, folder, began, wall, until)


async def _steps(it: Rig, script: Script, began: float) -> None:
    async with trio.open_nursery() as nursery:
        for step in sorted(script.steps, key=lambda step: step.at):
            await trio.sleep(max(0.0, began + step.at - time.monotonic()))
            if step.do == "put":
                nursery.start_soon(_put, it, step)
            else:
                await _do(it, step)


async def _put(it: Rig, step: Step) -> None:
    try:
        await it.ended(await it.put(step.why, step.over, **step.change), 60.0)
    except (OperatorError, VersionStoreError) as trouble:
        it.fault(f"not put: {trouble}")


async def _do(it: Rig, step: Step) -> None:
    one, other = step.one, step.other
    if step.do == "cut":
        it.cut(one, other, step.way)
    elif step.do == "heal":
        it.heal(one, other)
    elif step.do == "spoil":
        it.spoil(one, other, step.way, **step.how)
    elif step.do == "reset":
        it.reset(one, other)
    elif step.do == "stop":
        it.stop(one)
    elif step.do == "continue":
        it.go_on(one)
    elif step.do == "kill":
        it.kill(one)
    elif step.do == "start":
        await it.start(one)
    elif step.do == "drain":
        it.drain(one)
    elif it.cluster is not None:
        it.fault(f"etcd {step.how}")
        it.cluster.order(**step.how)
    else:
        raise RigError("the store is a directory: there is no etcd to give orders to")


def _keep(it: Rig, script: Script, folder: Path, began: float, wall: float, until: float) -> dict[str, Any]:
    told = records.summary(it.records, until, script.within)
    breaches = records.judge(it.records, until, script.within)
    told |= {
        "name": script.name,
        "seed": script.seed,
        "processes": len(it.processes),
        "within": script.within,
        "changes": len(it.records.versions) - 1,
        "broken": [one.rule for one in breaches],
    }
    kept = {
        "began": began,
        "wall": wall,
        "until": until,
        "script": script.model_dump(),
        "ran": [asdict(one) for one in it.records.ran],
        "asked": [asdict(one) for one in it.records.asked.values()],
        "versions": [asdict(one) | {"kinds": {}} for one in it.records.versions],
        "faults": it.records.faults,
        "stories": [[one.rule, one.request, one.story] for one in breaches],
    }
    (folder / "records.json").write_text(json.dumps(kept))
    (folder / "summary.json").write_text(json.dumps(told, indent=1))
    return told


def lines(told: dict[str, Any], folder: Path) -> list[str]:
    """The table at the end of a run, and the first story that breaks a promise."""
    shown = [(key, value) for key, value in told.items() if key not in ("name", "broken")]
    out = [f"{told['name']}: {folder}"] + table([[key, str(value)] for key, value in shown])
    stories = json.loads((folder / "records.json").read_text())["stories"]
    if not stories:
        return [*out, "no promise broken"]
    for rule, request, _ in stories:
        out.append(f"BROKEN: {rule}, first by {request}")
    return [*out, *stories[0][2]]


def report(folder: Path) -> Path:
    """Draws what was served and repeated by second, with versions and faults; writes report.md."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    kept = json.loads((folder / "records.json").read_text())
    told = json.loads((folder / "summary.json").read_text())
    began, script = kept["began"], kept["script"]
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(10, 6), sharex=True)
    names = [f"n{i}" for i in range(script["nodes"])] + [f"p{i}" for i in range(script["processors"])]
    for name in names:
        mine = [one for one in kept["asked"] if one["node"] == name]
        seconds = sorted({int(one["sent"] - began) for one in mine})
        share = [
            sum(one["status"] == 200 for one in mine if int(one["sent"] - began) == second)
            / max(1, sum(int(one["sent"] - began) == second for one in mine))
            for second in seconds
        ]
        above.plot(seconds, share, drawstyle="steps-post", label=name)
    above.set_ylabel("share served, by second")
    above.set_ylim(0.0, 1.05)
    above.legend(loc="lower left")
    colours = {"careful": "tab:red", "joint": "tab:orange", "in force": "tab:green"}
    for row, name in enumerate(names):
        phases = _phases(folder / f"{name}.log", kept["wall"])
        for (at, phase, version), (over, *_) in zip(
            phases, [*phases[1:], (script["seconds"], "", 0)], strict=True
        ):
            below.barh(row, over - at, left=at, color=colours.get(phase, "tab:gray"), height=0.6)
            below.text(max(0.0, at), row, str(version), va="center", fontsize=7)
    below.set_yticks(range(len(names)), names)
    below.set_xlabel("seconds; green in force, orange joint, red careful, as the logs say")
    for at, what in kept["faults"]:
        for axis in (above, below):
            axis.axvline(at - began, color="black", linewidth=0.5, linestyle=":")
        above.text(at - began, 1.0, what, rotation=90, va="top", fontsize=6)
    for one in kept["versions"][1:]:
        below.axvline(one["put"] - began, color="tab:blue", linewidth=1.0)
    below.set_xlim(0.0, script["seconds"])
    figure.tight_layout()
    figure.savefig(folder / "timeline.png", dpi=120)
    pyplot.close(figure)
    page = folder / "report.md"
    page.write_text(
        "# "
        + script["name"]
        + "\n\n"
        + "\n".join("    " + line for line in lines(told, folder))
        + "\n\n![timeline](timeline.png)\n",
        encoding="utf-8",
    )
    return page


def _phases(log: Path, wall: float) -> list[tuple[float, str, int]]:
    """When a node acted on what, by its own log: only drawn."""
    found = []
    for line in log.read_text(errors="replace").splitlines():
        if told := _LINE.search(line):
            at = datetime.fromisoformat(told[1].replace("Z", "+00:00")).timestamp() - wall
            found.append((at, told[2].strip('"'), int(told[3])))
    return found
