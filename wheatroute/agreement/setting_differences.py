"""Lists the differences between two versions' contents, each with the rule by which it is joined. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from wheatroute.agreement.join_rules import (
    FILE_PART,
    FILE_RULES,
    PATH_RULES,
    REQUEST_CLASS_FIELDS,
    REQUEST_CLASS_RULES,
    TENANT_FIELDS,
    TENANT_RULES,
    JoinRule,
)

# Maps each key of `FILE_PART` that holds tables to the name of their table in `FILE_RULES`.
_FILE_TABLES = {"traffic_types": "RequestClass", "customers": "Tenant", "rules": "Rules"}


class Difference(NamedTuple):
    """A key whose value differs between two versions; a missing value is None."""

    path: str
    before: Any
    after: Any
    rule: JoinRule  # which value applies during the change


def differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Difference]:
    """Returns the differences between two contents, sorted by path."""
    old_values, new_values = values_by_path(old), values_by_path(new)
    return [
        Difference(path, old_values.get(path), new_values.get(path), _rule(path))
        for path in sorted(old_values.keys() | new_values.keys())
        if old_values.get(path) != new_values.get(path)
    ]


def values_by_path(document: Any, prefix: str = "") -> dict[str, Any]:
    """Returns all values of nested tables by dotted path; elements of lists are identified by their name."""
    if isinstance(document, dict):
        parts = [(f"{prefix}.{key}" if prefix else str(key), value) for key, value in document.items()]
    elif _is_named_list(document):
        parts = [(f"{prefix}.{element['name']}", element) for element in document]
    else:
        return {prefix: document}
    return {path: value for name, part in parts for path, value in values_by_path(part, name).items()}


def _is_named_list(document: Any) -> bool:
    return (
        isinstance(document, list)
        and bool(document)
        and all(isinstance(element, dict) and "name" in element for element in document)
    )


def _rule(path: str) -> JoinRule:
    part, _, rest = path.partition(".")
    return _file_rule(rest) if part == FILE_PART else _node_rule(rest)


def _file_rule(path: str) -> JoinRule:
    first, _, rest = path.partition(".")
    key = rest.rsplit(".", 1)[-1]
    return FILE_RULES[_FILE_TABLES.get(first, "File")].get(key or first, JoinRule.UNKNOWN)


def _node_rule(path: str) -> JoinRule:
    table, key = path.split(".", 1)[0], path.rsplit(".", 1)[-1]
    if "." in path and table in ("traffic-types", "tenants"):
        if key == "name":
            return JoinRule.ROUTE
        if table == "traffic-types":
            return REQUEST_CLASS_RULES[REQUEST_CLASS_FIELDS.get(key, key)]
        return TENANT_RULES[TENANT_FIELDS.get(key, "portion")]
    return PATH_RULES.get(path, JoinRule.UNKNOWN)
