"""The progress of rollouts: a chain of records, and what each node is to run by them. No I/O.

A step is a record under the next number, which a store appends once: so two controllers, or one that died
between two steps and its successor, never make a step twice. A rollout does not begin while another one runs,
and does not continue after a stage without a verdict; every node always has a program.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from wheatroute.agreement.versions import HistoryError, digest
from wheatroute.rollout.plan import Plan, parse_plan

RECORD_FORMAT = 1

SupervisorStatuses = Mapping[str, Mapping[str, Any]]  # by node


class StepKind(StrEnum):
    """The kind of a record, as stored."""

    START = "start"
    STAGE = "stage"  # the nodes of the next stage change
    PASS = "pass"  # the stage had a verdict
    HOLD = "hold"
    RESUME = "go"
    ROLL_BACK = "back"
    END = "end"


class Phase(StrEnum):
    """The phase of a rollout, as printed."""

    NONE = "none"
    BEFORE_STAGE = "before a stage"
    IN_STAGE = "in a stage"
    HELD = "held"
    ROLLING_BACK = "going back"
    ENDED = "ended"


_PHASES_FOR_STEP = {
    StepKind.STAGE: (Phase.BEFORE_STAGE,),
    StepKind.PASS: (Phase.IN_STAGE,),
    StepKind.RESUME: (Phase.HELD,),
    StepKind.HOLD: (Phase.BEFORE_STAGE, Phase.IN_STAGE),
    StepKind.ROLL_BACK: (Phase.BEFORE_STAGE, Phase.IN_STAGE, Phase.HELD),
    StepKind.END: (Phase.ROLLING_BACK, Phase.BEFORE_STAGE),
}


@dataclass
class RolloutProgress:
    """All rollouts of an installation, one after the other; its state is that of the last one."""

    head: int = 0
    head_digest: str = ""
    records: list[dict[str, Any]] = field(default_factory=list)
    phase: Phase = Phase.NONE
    plan: Plan | None = None
    number: int = 0  # of the rollout
    stage: int = -1  # the present one, or the last one that had a verdict
    has_passed: bool = False  # that stage was passed
    reason: str = ""
    resumed_after_stage: int = -1  # the last stage after which an operator has resumed
    # the last stage after which an operator has resumed though too little was seen; -1 is before the first
    # one
    resumed_without_baseline: int = -2
    _is_baseline_missing: bool = False  # held as too little was seen before the next stage

    @property
    def is_running(self) -> bool:
        """Whether a rollout has started and not ended."""
        return self.phase not in (Phase.NONE, Phase.ENDED)

    def next_record(self, kind: StepKind, **fields: Any) -> dict[str, Any]:
        """Return a record that would continue the chain; it is not applied."""
        chain = {"format": RECORD_FORMAT, "seq": self.head + 1, "before": self.head_digest}
        return chain | {"kind": str(kind)} | fields

    def apply(self, record: dict[str, Any]) -> None:
        """Apply the next record; raises `HistoryError`, and changes nothing, if it is not the next one."""
        if record.get("format") != RECORD_FORMAT:
            raise HistoryError(
                f"record {self.head + 1} has form {record.get('format')!r}, "
                f"this program knows {RECORD_FORMAT}"
            )
        if record.get("seq") != self.head + 1 or record.get("before") != self.head_digest:
            raise HistoryError(f"record {record.get('seq')!r} does not follow record {self.head}")
        kind = record.get("kind")
        if kind not in list(StepKind):
            raise HistoryError(f"record {self.head + 1}: {kind!r} is nothing that this program knows")
        error = self._step_error(StepKind(kind), record)
        if error:
            raise HistoryError(f"record {self.head + 1}: {error}")
        self._apply_step(StepKind(kind), record)
        self.head, self.head_digest = record["seq"], digest(record)
        self.records.append(record)

    def _step_error(self, kind: StepKind, record: dict[str, Any]) -> str:
        """Return why a step is not allowed now; empty if it is."""
        if kind == StepKind.START:
            return "another rollout is under way" if self.is_running else ""
        if not self.is_running:
            return f"{kind}, and no rollout is under way"
        if kind in (StepKind.STAGE, StepKind.PASS):
            if record.get("stage") != self.stage + (kind == StepKind.STAGE):
                return f"{kind} {record.get('stage')!r} out of its order"
        return "" if self.phase in _PHASES_FOR_STEP[kind] else f"{kind} while {self.phase}"

    def _apply_step(self, kind: StepKind, record: dict[str, Any]) -> None:
        if kind == StepKind.START:
            self._apply_start(record)
        elif kind == StepKind.STAGE:
            self.phase, self.stage, self.has_passed = Phase.IN_STAGE, record["stage"], False
        elif kind == StepKind.PASS:
            self.phase, self.has_passed = Phase.BEFORE_STAGE, True
        elif kind == StepKind.HOLD:
            self.phase, self.reason = Phase.HELD, record["reason"]
            self._is_baseline_missing = record.get("unseen", False)
        elif kind == StepKind.RESUME:
            # a stage that was held counts as passed: an operator has looked at the evidence
            self.phase, self.has_passed, self.reason = Phase.BEFORE_STAGE, True, ""
            self.resumed_after_stage = self.stage
            if self._is_baseline_missing:
                self.resumed_without_baseline = self.stage
        elif kind == StepKind.ROLL_BACK:
            self.phase, self.reason = Phase.ROLLING_BACK, record["reason"]
        else:
            self.phase = Phase.ENDED

    def _apply_start(self, record: dict[str, Any]) -> None:
        self.plan, self.number = parse_plan(record["plan"]), record["seq"]
        self.phase, self.stage, self.has_passed, self.reason = Phase.BEFORE_STAGE, -1, False, ""
        self.resumed_after_stage, self.resumed_without_baseline = -1, -2
        self._is_baseline_missing = False

    def target(self, node: str) -> str | None:
        """Return the program that a node is to run; None if the plan does not have the node."""
        if self.plan is None:
            return None
        for i, stage in enumerate(self.plan.stages):
            if node in stage.nodes:
                was_rolled_back = self.phase == Phase.ENDED and bool(self.reason)
                is_back = self.phase == Phase.ROLLING_BACK or was_rolled_back
                return self.plan.new if i <= self.stage and not is_back else self.plan.old
        return None

    def nodes(self) -> list[str]:
        """Return the nodes in the order in which they change."""
        return [name for stage in self.plan.stages for name in stage.nodes] if self.plan else []

    def may_change(self, node: str, supervisors: SupervisorStatuses) -> bool:
        """Whether a node may change now: at most `away` nodes of the plan change at a time.

        A node that failed to change counts as done: it serves on with the program that it had.
        """
        if self.plan is None:
            return False
        nodes = self.nodes()
        ahead = [
            name
            for name in nodes[: nodes.index(node)]
            if name in supervisors
            and supervisors[name]["runs"] != self.target(name)
            and not self._has_failed(name, supervisors)
        ]
        changing = [
            name for name in nodes if name != node and name in supervisors and supervisors[name]["changing"]
        ]
        return len(ahead) < self.plan.away and len(changing) < self.plan.away

    def is_changed(self, supervisors: SupervisorStatuses) -> bool:
        """Whether every node runs its target alone."""
        return all(
            name in supervisors
            and supervisors[name]["runs"] == self.target(name)
            and not supervisors[name]["changing"]
            for name in self.nodes()
        )

    def nodes_not_rolled_back(self, supervisors: SupervisorStatuses) -> list[str] | None:
        """Return the nodes that failed to go back; None while some have not tried yet."""
        failed = []
        for name in self.nodes():
            if name not in supervisors or supervisors[name]["changing"]:
                return None
            if supervisors[name]["runs"] != self.target(name):
                if not self._has_failed(name, supervisors):
                    return None
                failed.append(name)
        return failed

    def _has_failed(self, name: str, supervisors: SupervisorStatuses) -> bool:
        return [self.number, self.target(name)] in supervisors[name]["failed"]
