"""Checks the part of a version that the platform's node uses. No I/O.

A version must not break the processes that apply it, so each value is checked before a version is put.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import inf
from typing import Any

from wheatroute.agreement.join_rules import PATH_RULES, REQUEST_CLASS_FIELDS, TENANT_FIELDS, JoinRule
from wheatroute.agreement.setting_differences import values_by_path
from wheatroute.platform_settings import SETTING_KEYS
from wheatroute.wire_names import DEDUPLICATION_GROUP_NAMES, IDEMPOTENCY_NAMES

# keys that hold lists of named tables, with the keys that each of those tables may have
_NAMED_TABLE_KEYS = {
    "traffic-types": {"name", *REQUEST_CLASS_FIELDS},
    "tenants": {"name", *TENANT_FIELDS},
}
_NUMBER_PATHS = {
    path
    for path, default in SETTING_KEYS.values()
    if isinstance(default, int | float) and not isinstance(default, bool)
} | {
    "target-time",
    "hard-stop",
    "aim-stretch",
    "utility",
    "overdue-utility",
    "repeat-window",
    "portion",
    "quota-rps",
}
_BOOLEAN_PATHS = {path for path, default in SETTING_KEYS.values() if isinstance(default, bool)} | {"streamed"}
_CHOICES: dict[str, list[str]] = {"effect": list(IDEMPOTENCY_NAMES), "group": list(DEDUPLICATION_GROUP_NAMES)}


def setting_errors(settings: Any) -> list[str]:
    """Returns an error for each key that a version must not have, and for each invalid value."""
    if not isinstance(settings, dict):
        return ["settings: must be a table"]
    errors: list[str] = []
    for key in _NAMED_TABLE_KEYS:
        errors += _named_table_errors(key, settings.get(key, []))
    others = {key: value for key, value in settings.items() if key not in _NAMED_TABLE_KEYS}
    for path, value in values_by_path(others).items():
        error = _path_error(path, value)
        if error:
            errors.append(f"settings.{path}{error}")
    return errors


def _named_table_errors(key: str, tables: Any) -> Iterator[str]:
    """Yields the errors of a list of named tables: duplicate names, unknown keys, then invalid values."""
    if not _is_list_of_named_tables(tables):
        yield f"settings.{key}: must be a list of tables, each with a name"
        return
    names = [table["name"] for table in tables]
    for name in sorted(set(names)):
        if names.count(name) > 1:
            yield f"settings.{key}: duplicate name {name!r}"
    for table in tables:
        for unknown in sorted(table.keys() - _NAMED_TABLE_KEYS[key]):
            yield f"settings.{key}.{table['name']}.{unknown}: unknown key"
    for table in tables:
        for name, value in sorted(table.items()):
            if error := value_error(name, value):
                yield f"settings.{key}.{table['name']}.{name}: {error}"


def _is_list_of_named_tables(tables: Any) -> bool:
    return isinstance(tables, list) and all(
        isinstance(table, dict) and isinstance(table.get("name"), str) for table in tables
    )


def _path_error(path: str, value: Any) -> str:
    if path not in PATH_RULES:
        return ": unknown key"
    if PATH_RULES[path] == JoinRule.PER_PROCESS:
        return f": {JoinRule.PER_PROCESS}, so it must not be in a version"
    error = value_error(path, value)
    return f": {error}" if error else ""


def value_error(path: str, value: Any) -> str:
    """Returns why a value is invalid for the key at `path`; empty if it is valid."""
    if path in _NUMBER_PATHS and not _is_number_from_zero(value):
        return f"must be a finite number of at least 0, got {value!r}"
    if path == "hard-stop" and not value:
        return "must be greater than 0"
    if path in _BOOLEAN_PATHS and not isinstance(value, bool):
        return f"must be true or false, got {value!r}"
    if path in _CHOICES and value not in _CHOICES[path]:
        return f"must be one of {', '.join(_CHOICES[path])}, got {value!r}"
    return ""


def _is_number_from_zero(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value < inf


def without_per_process_keys(settings: Mapping[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Returns the settings without keys that are specific to each process, and the paths of those removed."""
    shared, left_out = dict(settings), []
    for path in (path for path, rule in PATH_RULES.items() if rule == JoinRule.PER_PROCESS):
        table, _, key = path.partition(".")
        if not key and path in shared:
            del shared[path]
            left_out.append(path)
        elif key and isinstance(shared.get(table), dict) and key in shared[table]:
            shared[table] = {name: value for name, value in shared[table].items() if name != key}
            left_out.append(path)
    return shared, left_out
