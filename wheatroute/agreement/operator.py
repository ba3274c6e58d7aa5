"""What an operator does with versions: put, look, compare, go back. Behind `wheatroute settings`.

Owns the lines that an operator reads and the exit status that a script does. It must never put a version over
one that the operator has not seen, nor say that one was put when that is not known.
"""

from __future__ import annotations

import getpass
import json
import random
import secrets
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import trio

from wheatroute.agreement import joint_terms
from wheatroute.agreement.places import Directory, Place, PlaceError, opened
from wheatroute.agreement.versions import ContentError, History, HistoryError, Version, canonical
from wheatroute.net.addresses import parse_address
from wheatroute.net.node_settings import NodeSettingsError, derive_settings

Found = TypeVar("Found")
PATIENCE = 5.0  # seconds for the place to answer
LOOKS = 0.05  # seconds between two looks while waiting
TRIES = 5  # at a place that does not say whether a record was added
STALE = 10.0  # seconds without a word after which a row's process may be gone


class OperatorError(Exception):
    """One clear line and the exit status: 2 for bad input, 3 if it is to be decided anew, 4 for the place."""

    def __init__(self, line: str, status: int) -> None:
        super().__init__(line)
        self.status = status


def place_of(text: str, time_out: float = 1.0) -> Place:
    """`/a/directory`, or `etcd://10.0.0.1:2379,10.0.0.2:2379/the/prefix`."""
    if not text.startswith("etcd://"):
        return Directory(text)
    ends, _, prefix = text.removeprefix("etcd://").partition("/")
    try:
        places = [parse_address(one) for one in ends.split(",")]
    except ValueError as trouble:
        raise OperatorError(f"{text}: {trouble}", 2) from trouble
    from wheatroute.agreement.etcd import EtcdPlace

    return EtcdPlace(places, f"/{prefix}" if prefix else "/wheatroute", random.Random(), time_out)


def run(text: str, what: Callable[[Place], Awaitable[Found]]) -> Found:
    """Does something at a place; raises `OperatorError`."""
    place = place_of(text)

    async def main() -> Found:
        async with opened(place):
            return await what(place)

    try:
        return trio.run(main)
    except BaseExceptionGroup as group:
        raise _told(first(group)) from group
    except (PlaceError, HistoryError, trio.TooSlowError) as trouble:
        raise _told(trouble) from trouble


def first(trouble: BaseException) -> BaseException:
    """What went wrong first, out of the groups that tasks side by side make of it."""
    while isinstance(trouble, BaseExceptionGroup):
        trouble = trouble.exceptions[0]
    return trouble


def _told(trouble: BaseException) -> BaseException:
    if isinstance(trouble, PlaceError | HistoryError | trio.TooSlowError):
        return OperatorError(str(trouble) or "the place does not answer", 4)
    return trouble


async def history_of(place: Place) -> History:
    """All records; a place without any is an empty history."""
    history = History()
    with trio.fail_after(PATIENCE):
        while True:
            records = await place.ask("", None, history.head, history.mark)
            for record in records:
                history.take(record)
            if not records:
                return history


# contents


def content_of(path: str) -> tuple[dict[str, Any], list[str]]:
    """A version's content from a file, JSON or TOML, and the keys left out as each process has its own."""
    try:
        data = Path(path).read_bytes()
        told = tomllib.loads(data.decode()) if path.endswith(".toml") else json.loads(data)
    except OSError as trouble:
        raise OperatorError(f"{path}: cannot be read: {trouble.strerror}", 2) from trouble
    except (tomllib.TOMLDecodeError, json.JSONDecodeError, UnicodeDecodeError) as trouble:
        raise OperatorError(f"{path}: cannot be understood: {trouble}", 2) from trouble
    if isinstance(told, dict) and "traffic_types" in told:
        return {"file": _file(path)}, []
    settings = told.get("settings") if isinstance(told, dict) else None
    if not isinstance(settings, dict):
        raise OperatorError(f'{path}: holds no table "settings", nor the request classes of a TOML file', 2)
    settings, left = joint_terms.without_own(settings)
    found = joint_terms.troubles(settings)
    if not found:
        try:
            derive_settings(settings)
            canonical(settings)
        except (NodeSettingsError, ContentError) as trouble:
            found = [str(trouble)]
    if found:
        raise OperatorError("\n".join(f"{path}: {one}" for one in found), 2)
    return {"settings": settings}, left


def _file(path: str) -> dict[str, Any]:
    """The part of a front's TOML file that all processes share."""
    from wheatroute import config

    try:
        told = config.read(path)
    except config.ConfigError as trouble:
        raise OperatorError(str(trouble), 2) from trouble
    rules = [pool.rules for pool in told.pools if told.processor is None or pool.name == told.processor.pool][
        0
    ]
    return {
        "nodes": told.nodes,
        "rules": rules.model_dump(),
        "traffic_types": [one.model_dump(exclude_none=True) for one in told.traffic_types],
        "customers": [one.model_dump() for one in told.customers],
    }


# acts


async def put(place: Place, content: dict[str, Any], why: str, over: int = 0) -> Version:
    """Puts a version, `over` one under way that may be replaced; parts that it has not stay as they are."""
    if isinstance(place, Directory):
        place.make()
    name, who = secrets.token_hex(8), getpass.getuser()
    doubt = ""
    for _ in range(TRIES):
        try:
            history = await history_of(place)
        except PlaceError as trouble:
            doubt = doubt or str(trouble)
            await trio.sleep(LOOKS)
            continue
        mine = [one for one in history.versions.values() if one.name == name]
        if mine:
            return mine[0]
        if history.pending not in (0, over):
            other = history.versions[history.pending]
            raise OperatorError(
                f"version {other.number} by {other.who} is under way ({other.why}): wait for "
                f"it, or put over it with --over {other.number}",
                3,
            )
        current = history.versions.get(history.in_force)
        whole = (current.content if current is not None else {}) | content
        if current is not None and not history.pending and current.content == whole:
            raise OperatorError(f"version {current.number} is in force and says the same", 3)
        record = history.put(whole, name, who, time.time(), why)
        try:
            with trio.fail_after(PATIENCE):
                await place.add(record)  # whether it is there is seen with the next look
        except (PlaceError, trio.TooSlowError) as trouble:
            doubt = str(trouble) or "the place does not answer"
    doubt = doubt or "others came first, each time"
    raise OperatorError(f"not known whether it was put ({doubt}): see log", 4)


async def ended(place: Place, number: int, patience: float) -> Version:
    """Waits until a version is in force, replaced or withdrawn."""
    with trio.move_on_after(patience):
        while True:
            version = (await history_of(place)).versions[number]
            if version.life:
                return version
            await trio.sleep(LOOKS)
    version = (await history_of(place)).versions[number]
    return version


async def status(place: Place) -> dict[str, Any]:
    """The version in force, the one under way, and a row a process."""
    history = await history_of(place)
    rows, moment = await place.rows(), time.time()
    names = [row["name"] for row in rows]
    out = [
        {
            "name": row["name"],
            "start": row["start"],
            "version": row["acts"][0],
            "joint": row["acts"][1],
            "phase": "careful" if row["careful"] else "joint" if row["acts"][1] else "in force",
            "record": row["seq"],
            "confirmed_ago_s": round(max(0.0, moment - row["at"]), 3),
            "list_source": row["list"][0],
            "list_revision": row["list"][1],
            "refuses": row["refuses"],
            "reason": row["reason"],
            "doubled": names.count(row["name"]) > 1,
        }
        for row in rows
    ]
    return {
        "in_force": history.in_force,
        "under_way": history.pending,
        "record": history.head,
        "processes": sorted(out, key=lambda row: (row["name"], row["start"])),
    }


def same(told: dict[str, Any]) -> bool:
    """Whether nothing is under way and every process that speaks acts on the version in force."""
    live = [row for row in told["processes"] if row["confirmed_ago_s"] < STALE]
    return not told["under_way"] and all(
        row["phase"] == "in force" and row["version"] == told["in_force"] for row in live
    )


def table(rows: list[list[str]]) -> list[str]:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]


def status_lines(told: dict[str, Any]) -> list[str]:
    head = f"version {told['in_force']} in force" if told["in_force"] else "no version in force"
    lines = [head + (f", {told['under_way']} under way" if told["under_way"] else "")]
    rows = [["process", "phase", "version", "joint", "confirmed", "list", "reason"]]
    for row in told["processes"]:
        reason = row["reason"] + (" (two of this name)" if row["doubled"] else "")
        listed = f"{row['list_source']}@{row['list_revision']}" if row["list_source"] else "-"
        rows.append(
            [
                row["name"],
                row["phase"],
                str(row["version"]),
                str(row["joint"] or "-"),
                f"{row['confirmed_ago_s']:.1f} s ago",
                listed,
                reason.strip(),
            ]
        )
    return lines + (table(rows) if len(rows) > 1 else ["no process has told of itself"])


def log_lines(history: History) -> list[str]:
    if not history.versions:
        return ["no version was put yet"]
    rows = [["version", "from", "put", "by", "digest", "state", "why"]]
    for one in history.versions.values():
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(one.when))
        rows.append(
            [
                str(one.number),
                str(one.parent),
                when,
                one.who,
                one.digest[:12],
                ", ".join(one.life) or "under way",
                one.why,
            ]
        )
    return table(rows)


def diff_lines(history: History, first: int, second: int) -> list[str]:
    """What differs, marked where two processes may not hold unlike values."""
    for number in (first, second):
        if number not in history.versions:
            raise OperatorError(f"there is no version {number}", 2)
    old, new = (history.versions[one].content for one in (first, second))
    rows = [["", "key", str(first), str(second), "meanwhile"]]
    for path, before, after, rule in joint_terms.contradictions(old, new):
        mark = "" if rule in (joint_terms.FREE, joint_terms.ROUTE) else "!"
        rows.append([mark, path, _short(before), _short(after), rule])
    return table(rows) if len(rows) > 1 else ["no difference"]


def _short(value: Any) -> str:
    text = "-" if value is None else json.dumps(value)
    return text if len(text) <= 30 else text[:27] + "..."
