"""The state file of a supervisor, by which the next one finds the running processes. Does file I/O."""

from __future__ import annotations

import json
import os
from pathlib import Path

import msgspec

from wheatroute.agreement.documents import parse
from wheatroute.rollout.statuses import FailedProgram


class StoredProcess(msgspec.Struct, frozen=True):
    """A process of the node, as kept in the state file."""

    program: str
    incarnation: str = msgspec.field(name="start")
    pid: int
    start_ticks: int = msgspec.field(name="ticks")  # start time in clock ticks since boot


class SupervisorState(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the state file; missing keys have their defaults."""

    serving: StoredProcess | None = msgspec.field(name="old", default=None)
    candidate: StoredProcess | None = msgspec.field(name="new", default=None)
    draining: list[StoredProcess] = msgspec.field(name="leaving", default_factory=list)
    failed: list[FailedProgram] = msgspec.field(default_factory=list)
    # Program and incarnation of the process that was started last; [] before the first one.
    starting: list[str] = msgspec.field(default_factory=list)
    crashes: int = 0


def read_state(path: str) -> SupervisorState | None:
    """Returns the state that the last supervisor wrote, or None if the file cannot be read or is not JSON.

    Raises `MalformedDocumentError` if its fields are malformed.
    """
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, json.JSONDecodeError):
        return None
    return parse(document, SupervisorState)


def write_state(path: str, state: SupervisorState) -> None:
    """Replaces the state file atomically; raises `OSError` if it cannot be written."""
    temporary = Path(path + ".new")
    temporary.write_text(json.dumps(msgspec.to_builtins(state)))
    os.rename(temporary, path)
