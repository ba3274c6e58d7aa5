"""Checks the part of a version that the platform's node acts on. No I/O.

A version must not break the processes that it reaches, so each value is checked before one is put.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import inf
from typing import Any

from wheatroute.agreement.join_rules import PATH_RULES, REQUEST_CLASS_FIELDS, TENANT_FIELDS, JoinRule
from wheatroute.agreement.setting_differences import values_by_path
from wheatroute.platform_settings import SETTING_KEYS
from wheatroute.wire_names import DEDUPLICATION_GROUP_NAMES, IDEMPOTENCY_NAMES

# the lists of named tables, with the keys that each table may have
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
    """Return a line for each key that no version may have, and for each value that its key cannot have."""
    if not isinstance(settings, dict):
        return ["settings: is no table"]
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
    """Yield the errors of a list of named tables: duplicate names, unknown keys, then bad values."""
    if not _is_list_of_named_tables(tables):
        yield f"settings.{key}: is no list of tables with names"
        return
    names = [table["name"] for table in tables]
    for name in sorted(set(names)):
        if names.count(name) > 1:
            yield f"settings.{key}: two of the name {name!r}"
    for table in tables:
        for unknown in sorted(table.keys() - _NAMED_TABLE_KEYS[key]):
            yield f"settings.{key}.{table['name']}.{unknown}: is no key that this program knows"
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
        return ": is no key that this program knows"
    if PATH_RULES[path] == JoinRule.OWN:
        return f": {JoinRule.OWN}"
    error = value_error(path, value)
    return f": {error}" if error else ""


def value_error(path: str, value: Any) -> str:
    """Return why a value cannot be that of a key; empty if it can."""
    if path in _NUMBER_PATHS and not _is_number_from_zero(value):
        return f"is no number from 0 on: {value!r}"
    if path == "hard-stop" and not value:
        return "is 0"
    if path in _BOOLEAN_PATHS and not isinstance(value, bool):
        return f"is neither true nor false: {value!r}"
    if path in _CHOICES and value not in _CHOICES[path]:
        return f"is none of {', '.join(_CHOICES[path])}: {value!r}"
    return ""


def _is_number_from_zero(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value < inf


def without_own(settings: Mapping[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Return settings without the keys that each process has of its own, and which those were."""
    shared, left_out = dict(settings), []
    for path in (path for path, rule in PATH_RULES.items() if rule == JoinRule.OWN):
        table, _, key = path.partition(".")
        if not key and path in shared:
            del shared[path]
            left_out.append(path)
        elif key and isinstance(shared.get(table), dict) and key in shared[table]:
            shared[table] = {name: value for name, value in shared[table].items() if name != key}
            left_out.append(path)
    return shared, left_out
