"""Reads and validates the settings file. I/O: reads the file.

A file with an error is rejected as a whole. Every error is one line with file, key and reason.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from wheatroute.config.settings import Settings

_REASONS = {"extra_forbidden": "is not a key of this table", "missing": "is missing"}
# Names of sections in errors, where they differ from the class name without "Settings".
_SECTION_NAMES = {"PoolRules": "Rules", "HeaderNames": "Headers"}


class ConfigError(Exception):
    """The settings file can't be used; `lines` has one line for each error."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def read(path: str) -> Settings:
    """Returns the settings in a file; raises `ConfigError` if it can't be read or is invalid."""
    try:
        return Settings.model_validate(_read_document(path))
    except ValidationError as error:
        raise ConfigError([describe_error(path, details) for details in error.errors()]) from error


def describe_error(path: str, details: Mapping[str, Any]) -> str:
    """Formats one error of `ValidationError.errors()` as a line: path of the file, key and reason."""
    reason = _REASONS.get(details["type"]) or _reason(details)
    if not details["loc"]:
        return f"{path}: {reason}"
    key = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in details["loc"])
    return f"{path}: {key.lstrip('.') or 'the whole file'}: {reason}"


def _reason(details: Mapping[str, Any]) -> str:
    message: str = details["msg"].removeprefix("Value error, ")
    if details["type"] != "model_type":
        return message
    class_name: str = details["ctx"]["class_name"]
    section = _SECTION_NAMES.get(class_name, class_name.removesuffix("Settings"))
    return message.replace(class_name, section)


def _read_document(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_bytes().decode())
    except OSError as error:
        raise ConfigError([f"{path}: cannot be read: {os.strerror(error.errno or 0)}"]) from error
    except UnicodeDecodeError as error:
        raise ConfigError([f"{path}: is not UTF-8 at byte {error.start}"]) from error
    except tomllib.TOMLDecodeError as error:
        raise ConfigError([f"{path}: is not TOML: {error}"]) from error
