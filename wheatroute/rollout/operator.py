"""What an operator does with rollouts: start, look, hold, go on, go back. Behind `wheatroute rollout`.

Owns the lines that an operator reads and the exit status that a script does. It must never start a rollout
that some supervisor has no program for, nor say that a step was taken when that is not known.
"""

from __future__ import annotations

import getpass
import time
from typing import Any

import trio

from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.operator import MAX_APPEND_ATTEMPTS, STORE_TIMEOUT_S
from wheatroute.agreement.operator_errors import OperatorError
from wheatroute.agreement.operator_output import table
from wheatroute.agreement.version_store import VersionStore, VersionStoreError
from wheatroute.agreement.versions import HistoryError
from wheatroute.rollout.plan import Plan
from wheatroute.rollout.progress import Kind, RolloutProgress

AGAIN = 0.1  # seconds between two tries at a place that did not say


async def progress_of(place: VersionStore) -> RolloutProgress:
    """All records."""
    progress = RolloutProgress()
    with trio.fail_after(STORE_TIMEOUT_S):
        while True:
            records = await place.exchange("", None, progress.head, progress.mark)
            for record in records:
                progress.take(record)
            if not records:
                return progress


async def supervisors(place: VersionStore) -> dict[str, dict[str, Any]]:
    return {one["name"]: one for one in await place.statuses() if one.get("row") == "keeper"}


async def start(place: VersionStore, plan: Plan, why: str) -> int:
    """Begins a rollout; returns its number. Each node of the plan needs a supervisor with both programs."""
    if isinstance(place, DirectoryStore):
        place.create()
    rows = await supervisors(place)
    wrong = []
    for name in [name for stage in plan.stages for name in stage.nodes]:
        if name not in rows:
            wrong.append(f"{name}: no supervisor has told of itself")
            continue
        lacks = [one for one in (plan.old, plan.new) if one not in rows[name]["programs"]]
        if lacks:
            wrong.append(f"{name}: has no program {', '.join(lacks)}")
        elif rows[name]["runs"] != plan.old:
            wrong.append(f"{name}: runs {rows[name]['runs'] or 'nothing'}, not {plan.old}")
    if wrong:
        raise OperatorError("\n".join(wrong), 2)
    return await _add(
        place, Kind.START, plan=plan.model_dump(), by=getpass.getuser(), when=time.time(), why=why
    )


async def hold(place: VersionStore, reason: str) -> int:
    return await _add(place, Kind.HOLD, reason=reason, by=getpass.getuser(), when=time.time())


async def go(place: VersionStore) -> int:
    """Goes on from where it is held."""
    return await _add(place, Kind.GO, by=getpass.getuser(), when=time.time())


async def back(place: VersionStore, reason: str) -> int:
    return await _add(place, Kind.BACK, reason=reason, by=getpass.getuser(), when=time.time())


async def _add(place: VersionStore, kind: Kind, **more: Any) -> int:
    """Adds a record once, also where the answer is lost; raises `OperatorError` if it is not its time."""
    doubt = ""
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            progress = await progress_of(place)
            if doubt and any(one.get("when") == more.get("when") for one in progress.records):
                return progress.head
            record = progress.next(kind, **more)
            try:
                progress.take(record)
            except HistoryError as trouble:
                raise OperatorError(str(trouble).split(": ", 1)[-1], 3) from trouble
            if await place.append(record):
                return int(record["seq"])
        except VersionStoreError as trouble:
            doubt = str(trouble)
            await trio.sleep(AGAIN)
    raise OperatorError(f"not known whether it was added: {doubt}" if doubt else "others were ahead", 4)


async def status(place: VersionStore) -> dict[str, Any]:
    """The last rollout, a row a node, and what the judge sees."""
    progress, rows = await progress_of(place), await place.statuses()
    told = {one["name"]: one for one in rows if one.get("row") == "keeper"}
    seen = [
        one
        for one in rows
        if one.get("row") == "controller" and one["findings"] and one["head"] == progress.head
    ]  # a controller that died may have left what it saw
    plan = progress.plan
    nodes = [
        {
            "name": name,
            "stage": stage.name,
            "target": progress.target(name),
            **{
                key: told.get(name, {}).get(key, absent)
                for key, absent in (
                    ("runs", ""),
                    ("changing", False),
                    ("trouble", "no supervisor"),
                    ("crashes", 0),
                )
            },
        }
        for stage in (plan.stages if plan else ())
        for name in stage.nodes
    ]
    return {
        "rollout": progress.number,
        "name": plan.name if plan else "",
        "phase": str(progress.phase),
        "stage": plan.stages[progress.stage].name if plan and progress.stage >= 0 else "",
        "reason": progress.reason,
        "nodes": nodes,
        "findings": seen[0]["findings"] if seen else [],
    }


def status_lines(told: dict[str, Any]) -> list[str]:
    if not told["rollout"]:
        return ["no rollout yet"]
    head = f"rollout {told['rollout']}, {told['name']}: {told['phase']}"
    lines = [
        head
        + (f" ({told['stage']})" if told["stage"] else "")
        + (f": {told['reason']}" if told["reason"] else "")
    ]
    rows = [["node", "stage", "runs", "is to run", "", "trouble"]]
    for one in told["nodes"]:
        rows.append(
            [
                one["name"],
                one["stage"],
                one["runs"] or "-",
                one["target"] or "-",
                "changes" if one["changing"] else "",
                one["trouble"],
            ]
        )
    return lines + table(rows) + told["findings"]


def log_lines(progress: RolloutProgress) -> list[str]:
    """Every step, and the evidence of those that were judged."""
    lines = []
    for one in progress.records:
        said = {
            key: value
            for key, value in one.items()
            if key in ("stage", "reason", "by", "how", "mixed", "why") and value not in ("", [])
        }
        text = ", ".join(f"{key} {value}" for key, value in said.items())
        lines.append(f"{one['seq']:4} {one['kind']:6} {text}")
        lines += [f"            {line}" for line in one.get("evidence", ())]
    return lines or ["no rollout yet"]
