"""State machine of rollouts: replays a chain of records and derives the program that each node runs. No I/O.

Each step is a record with the next number, and the store appends a number only once. So no step is taken
twice, even if two controllers act at the same time, or one dies between two steps and another takes over. A
rollout does not start while another one is running, and does not continue past a stage that has no verdict.
Every node always has a program to run.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from wheatroute.agreement.errors import HistoryError
from wheatroute.agreement.records import StoredRecord
from wheatroute.agreement.versions import digest
from wheatroute.rollout.errors import StepNotAllowedError
from wheatroute.rollout.plan import Plan, parse_plan
from wheatroute.rollout.records import (
    EndStep,
    HoldStep,
    PassStep,
    ResumeStep,
    RollBackStep,
    RolloutRecord,
    StageStep,
    StartStep,
    Step,
    StepHeader,
    StepKind,
    parse_header,
    parse_step,
    step_fields,
)
from wheatroute.rollout.statuses import FailedProgram, SupervisorStatus

RECORD_FORMAT = 1

# Statuses of the supervisors by node.
SupervisorStatuses = Mapping[str, SupervisorStatus]


class Phase(StrEnum):
    """The phase of a rollout, as printed for operators."""

    NONE = "none"
    BEFORE_STAGE = "before a stage"
    IN_STAGE = "in a stage"
    HELD = "held"
    ROLLING_BACK = "going back"
    ENDED = "ended"


# Phases in which each kind of step is allowed; START is checked separately.
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
    """The history of all rollouts of an installation, one after the other, and the state of the last one."""

    head: int = 0  # number of the last record
    head_digest: str = ""
    records: list[RolloutRecord] = field(default_factory=list)
    phase: Phase = Phase.NONE
    plan: Plan | None = None
    number: int = 0  # number of the rollout, which is that of its first record
    # Index of the current stage, or of the last one that had a verdict; -1 before the first stage.
    stage: int = -1
    has_passed: bool = False  # whether the stage with the index `stage` was passed
    reason: str = ""  # why the rollout is held or was rolled back
    # Index of the last stage after which an operator resumed; -1 if there is none.
    resumed_after_stage: int = -1
    # Index of the last stage after which an operator resumed although the baseline of the next stage was
    # missing; -1 if that was before the first stage, -2 if it never happened.
    resumed_without_baseline: int = -2
    # Whether the rollout is held because there was too little data for a baseline of the next stage.
    _is_baseline_missing: bool = False

    @property
    def is_running(self) -> bool:
        """Whether a rollout has started and has not ended."""
        return self.phase not in (Phase.NONE, Phase.ENDED)

    def next_record(self, kind: str, **fields: Any) -> StoredRecord:
        """Returns the document of the next record in the chain; `fields` are named by their stored keys."""
        chain = {"format": RECORD_FORMAT, "seq": self.head + 1, "before": self.head_digest}
        return chain | {"kind": str(kind)} | fields

    def encode(self, step: Step) -> StoredRecord:
        """Returns the document of a step as the next record in the chain, without applying it."""
        return self.next_record(**step_fields(step))

    def apply(self, document: StoredRecord) -> RolloutRecord:
        """Applies the next record and returns it; changes nothing if it cannot be applied.

        Raises `HistoryError` if the record does not continue the chain, `StepNotAllowedError` if its step is
        not allowed now, and `MalformedDocumentError` or `PlanError` if its content is malformed.
        """
        header = parse_header(document)
        self._check_header(header)
        error = self._step_error(StepKind(str(header.kind)), header.stage)
        if error:
            raise StepNotAllowedError(self.head + 1, error)
        record = RolloutRecord(self.head + 1, parse_step(document))
        document_digest = digest(document)
        self._apply_step(record)
        self.head, self.head_digest = record.number, document_digest
        self.records.append(record)
        return record

    def _check_header(self, header: StepHeader) -> None:
        if header.format != RECORD_FORMAT:
            raise HistoryError(
                f"record {self.head + 1} has format {header.format!r}, only {RECORD_FORMAT} is supported"
            )
        if header.number != self.head + 1 or header.previous_digest != self.head_digest:
            raise HistoryError(f"record {header.number!r} does not follow record {self.head}")
        if header.kind not in list(StepKind):
            raise HistoryError(f"record {self.head + 1}: unknown kind {header.kind!r}")

    def _step_error(self, kind: StepKind, stage: object) -> str:
        """Returns why a step is not allowed now; empty if it is allowed."""
        if kind == StepKind.START:
            return "another rollout is under way" if self.is_running else ""
        if not self.is_running:
            return f"{kind} is not allowed: no rollout is under way"
        if kind in (StepKind.STAGE, StepKind.PASS):
            if stage != self.stage + (kind == StepKind.STAGE):
                return f"{kind} of stage {stage!r} is out of order"
        return "" if self.phase in _PHASES_FOR_STEP[kind] else f"{kind} is not allowed in phase {self.phase}"

    def _apply_step(self, record: RolloutRecord) -> None:
        match record.step:
            case StartStep() as step:
                self._apply_start(record.number, step)
            case StageStep() as step:
                self.phase, self.stage, self.has_passed = Phase.IN_STAGE, step.stage, False
            case PassStep():
                self.phase, self.has_passed = Phase.BEFORE_STAGE, True
            case HoldStep() as step:
                self.phase, self.reason = Phase.HELD, step.reason
                self._is_baseline_missing = step.is_baseline_missing
            case ResumeStep():
                self._apply_resume()
            case RollBackStep() as step:
                self.phase, self.reason = Phase.ROLLING_BACK, step.reason
            case EndStep():
                self.phase = Phase.ENDED

    def _apply_start(self, number: int, step: StartStep) -> None:
        self.plan, self.number = parse_plan(step.plan), number
        self.phase, self.stage, self.has_passed, self.reason = Phase.BEFORE_STAGE, -1, False, ""
        self.resumed_after_stage, self.resumed_without_baseline = -1, -2
        self._is_baseline_missing = False

    def _apply_resume(self) -> None:
        """Resumes; a stage that was held counts as passed, since an operator has seen the evidence."""
        self.phase, self.has_passed, self.reason = Phase.BEFORE_STAGE, True, ""
        self.resumed_after_stage = self.stage
        if self._is_baseline_missing:
            self.resumed_without_baseline = self.stage

    def target(self, node: str) -> str | None:
        """Returns the program that a node is to run; None if the node is not in the plan."""
        if self.plan is None:
            return None
        for i, stage in enumerate(self.plan.stages):
            if node in stage.nodes:
                was_rolled_back = self.phase == Phase.ENDED and bool(self.reason)
                is_rolled_back = self.phase == Phase.ROLLING_BACK or was_rolled_back
                return self.plan.new if i <= self.stage and not is_rolled_back else self.plan.old
        return None

    def nodes(self) -> list[str]:
        """Returns the nodes in the order in which they change."""
        return [name for stage in self.plan.stages for name in stage.nodes] if self.plan else []

    def may_change(self, node: str, supervisors: SupervisorStatuses) -> bool:
        """Returns whether a node may change its program now.

        Nodes change in the order of the plan, at most `max_changing` of them at a time. A node that failed to
        change counts as done, since it keeps serving with the program that it had.
        """
        if self.plan is None:
            return False
        nodes = self.nodes()
        ahead = [
            name
            for name in nodes[: nodes.index(node)]
            if name in supervisors
            and supervisors[name].program != self.target(name)
            and not self._has_failed(name, supervisors)
        ]
        changing = [
            name for name in nodes if name != node and name in supervisors and supervisors[name].is_changing
        ]
        return len(ahead) < self.plan.max_changing and len(changing) < self.plan.max_changing

    def all_nodes_on_target(self, supervisors: SupervisorStatuses) -> bool:
        """Returns whether every node runs its target program and no other process besides."""
        return all(
            name in supervisors
            and supervisors[name].program == self.target(name)
            and not supervisors[name].is_changing
            for name in self.nodes()
        )

    def nodes_not_rolled_back(self, supervisors: SupervisorStatuses) -> list[str] | None:
        """Returns the nodes that failed to roll back; None while some node is still rolling back."""
        failed = []
        for name in self.nodes():
            if name not in supervisors or supervisors[name].is_changing:
                return None
            if supervisors[name].program != self.target(name):
                if not self._has_failed(name, supervisors):
                    return None
                failed.append(name)
        return failed

    def _has_failed(self, name: str, supervisors: SupervisorStatuses) -> bool:
        target = self.target(name)
        return target is not None and FailedProgram(self.number, target) in supervisors[name].failed
