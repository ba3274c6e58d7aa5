"""Formats rollouts as lines of text for the operator. No I/O."""

from __future__ import annotations

from wheatroute.agreement.operator_output import table
from wheatroute.rollout.progress import RolloutProgress
from wheatroute.rollout.records import step_fields
from wheatroute.rollout.rollout_status import RolloutStatus

# Fields of a step that are printed, by their stored keys and in this order.
PRINTED_FIELDS = ("by", "how", "mixed", "reason", "stage", "why")


def status_lines(status: RolloutStatus) -> list[str]:
    """Formats the result of `operator.read_status`: a summary, a table of the nodes, and the findings."""
    if not status.rollout:
        return ["no rollout yet"]
    head = f"rollout {status.rollout}, {status.name}: {status.phase}"
    head += f" ({status.stage})" if status.stage else ""
    head += f": {status.reason}" if status.reason else ""
    rows = [["node", "stage", "runs", "is to run", "", "trouble"]]
    for node in status.nodes:
        rows.append(
            [
                node.name,
                node.stage,
                node.program or "-",
                node.target or "-",
                "changes" if node.is_changing else "",
                node.last_error,
            ]
        )
    return [head, *table(rows), *status.findings]


def log_lines(progress: RolloutProgress) -> list[str]:
    """Formats every step of all rollouts, each followed by its evidence."""
    lines = []
    for record in progress.records:
        fields = step_fields(record.step)
        named = [f"{key} {fields[key]}" for key in PRINTED_FIELDS if fields.get(key) not in (None, "", [])]
        lines.append(f"{record.number:4} {record.step.kind:6} {', '.join(named)}")
        lines += [f"            {line}" for line in record.step.evidence or ()]
    return lines or ["no rollout yet"]
