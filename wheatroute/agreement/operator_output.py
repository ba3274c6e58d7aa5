"""Formats versions and process statuses as lines of text for operators. No I/O."""

from __future__ import annotations

import json
import time
from typing import Any

from wheatroute.agreement.agreement_status import AgreementStatus
from wheatroute.agreement.errors import InvalidInputError
from wheatroute.agreement.join_rules import JoinRule
from wheatroute.agreement.setting_differences import differences
from wheatroute.agreement.versions import History

MAX_VALUE_WIDTH = 30  # characters of a value in a list of differences


def table(rows: list[list[str]]) -> list[str]:
    """Returns lines with the cells aligned in columns."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]


def status_lines(status: AgreementStatus) -> list[str]:
    """Formats the result of `operator.agreement_status`."""
    head = f"version {status.active} in force" if status.active else "no version in force"
    lines = [head + (f", {status.pending} under way" if status.pending else "")]
    rows = [["process", "phase", "version", "joint", "confirmed", "list", "reason"]]
    for process in status.processes:
        reason = process.reason + (" (duplicate name)" if process.is_duplicate else "")
        server_list = f"{process.list_source}@{process.list_revision}" if process.list_source else "-"
        rows.append(
            [
                process.name,
                process.phase,
                str(process.version),
                str(process.joint_version or "-"),
                f"{process.confirmed_ago_s:.1f} s ago",
                server_list,
                reason.strip(),
            ]
        )
    return lines + (table(rows) if len(rows) > 1 else ["no process has written a status"])


def log_lines(history: History) -> list[str]:
    """Formats all versions with their outcomes as a table."""
    if not history.versions:
        return ["no version has been put"]
    rows = [["version", "from", "put", "by", "digest", "state", "why"]]
    for version in history.versions.values():
        rows.append(
            [
                str(version.number),
                str(version.parent),
                time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(version.put_time)),
                version.author,
                version.digest[:12],
                ", ".join(version.outcomes) or "under way",
                version.reason,
            ]
        )
    return table(rows)


def diff_lines(history: History, first: int, second: int) -> list[str]:
    """Formats the differences between two versions as a table.

    "!" marks keys of which processes must not use different values. The last column says which value applies
    during the change. Raises `InvalidInputError` if a version does not exist.
    """
    for number in (first, second):
        if number not in history.versions:
            raise InvalidInputError(f"version {number} does not exist")
    old, new = (history.versions[number].content for number in (first, second))
    rows = [["", "key", str(first), str(second), "meanwhile"]]
    for path, before, after, rule in differences(old, new):
        mark = "" if rule in (JoinRule.MAY_DIFFER, JoinRule.ROUTE) else "!"
        rows.append([mark, path, _shortened(before), _shortened(after), rule.value])
    return table(rows) if len(rows) > 1 else ["no difference"]


def _shortened(value: Any) -> str:
    text = "-" if value is None else json.dumps(value)
    return text if len(text) <= MAX_VALUE_WIDTH else text[: MAX_VALUE_WIDTH - 3] + "..."
