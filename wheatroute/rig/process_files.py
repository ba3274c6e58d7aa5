"""The settings files and logs of a rig's processes, in the folder of the rig."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


class ProcessFiles:
    """Finds, reads and writes files by the name of the process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def log(self, name: str) -> Path:
        """Returns the path of a process's log."""
        return self.folder / f"{name}.log"

    def node_file(self, name: str) -> Path:
        """Returns the path of a node's settings file (JSON)."""
        return self.folder / f"{name}.json"

    def write_node_file(self, name: str, document: dict[str, object]) -> None:
        """Writes a node's settings file."""
        self.node_file(name).write_text(json.dumps(document))

    def read_node_file(self, name: str) -> dict[str, Any]:
        """Reads a node's settings file."""
        document: dict[str, Any] = json.loads(self.node_file(name).read_text())
        return document

    def write_toml(self, name: str, text: str) -> Path:
        """Writes the settings file of a processor or a supervisor; returns its path."""
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path


def toml_entries(table: dict[str, object]) -> list[str]:
    """Returns the lines of a TOML table of strings, numbers and arrays, which are written as in JSON."""
    return [f"{key} = {json.dumps(value)}" for key, value in table.items()]
