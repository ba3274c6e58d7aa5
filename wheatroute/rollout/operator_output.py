"""Formats rollouts as lines of text for the operator. No I/O."""

from __future__ import annotations

from typing import Any

from wheatroute.agreement.operator_output import table
from wheatroute.rollout.progress import RolloutProgress

LOGGED_FIELDS = ("stage", "reason", "by", "how", "mixed", "why")


def status_lines(status: dict[str, Any]) -> list[str]:
    """Format the result of `operator.rollout_status`."""
    if not status["rollout"]:
        return ["no rollout yet"]
    head = f"rollout {status['rollout']}, {status['name']}: {status['phase']}"
    head += f" ({status['stage']})" if status["stage"] else ""
    head += f": {status['reason']}" if status["reason"] else ""
    rows = [["node", "stage", "runs", "is to run", "", "trouble"]]
    for node in status["nodes"]:
        rows.append(
            [
                node["name"],
                node["stage"],
                node["runs"] or "-",
                node["target"] or "-",
                "changes" if node["changing"] else "",
                node["trouble"],
            ]
        )
    return [head, *table(rows), *status["findings"]]


def log_lines(progress: RolloutProgress) -> list[str]:
    """Format every step, with the evidence of each verdict."""
    lines = []
    for record in progress.records:
        fields = {
            key: value for key, value in record.items() if key in LOGGED_FIELDS and value not in ("", [])
        }
        text = ", ".join(f"{key} {value}" for key, value in fields.items())
        lines.append(f"{record['seq']:4} {record['kind']:6} {text}")
        lines += [f"            {line}" for line in record.get("evidence", ())]
    return lines or ["no rollout yet"]
