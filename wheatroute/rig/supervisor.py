"""The settings file of a node's supervisor, which runs the programs of rollouts."""

from __future__ import annotations

import json
from pathlib import Path

from wheatroute.rig.process_files import ProcessFiles, toml_entries

ROLLOUTS = "rollouts"  # the directory of the rollouts in the rig's folder
READY_TIMEOUT_S = 10.0  # time in which a program has to become ready


def rollout_directory(folder: Path) -> str:
    """Returns the directory of the rollouts, for the supervisors and controllers of a rig."""
    return str(folder / ROLLOUTS)


def supervisor_file(node: str, zone: str, programs: dict[str, list[str]], files: ProcessFiles) -> str:
    """Returns the text of a supervisor's settings file (TOML).

    With this file, the supervisor starts the first of the programs.
    """
    table = {
        "name": node,
        "site": zone,
        "file": str(files.node_file(node)),
        "first": next(iter(programs)),
        "state": str(files.folder / f"{node}.state"),
        "log": str(files.log(node)),
        "directory": rollout_directory(files.folder),
        "patience": READY_TIMEOUT_S,
    }
    commands = [f"{json.dumps(name)} = {json.dumps(command)}" for name, command in programs.items()]
    return "\n".join([*toml_entries(table), "[programs]", *commands, ""])
