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

SupervisorStatuses = Mapping[str, SupervisorStatus]  # by node


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
    records: list[RolloutRecord] = field(default_factory=list)
    phase: Phase = Phase.NONE
    plan: Plan | None = None
    number: int = 0  # of the rollout
    stage: int = -1  # the present one, or the last one that had a verdict
    has_passed: bool = False  # that stage was passed
    reason: str = ""
    resumed_after_stage: int = -1  # the last stage after which an operator has resumed
    # the last stage after which an operator has resumed though too little was seen; -1: before the first
    resumed_without_baseline: int = -2
    _is_baseline_missing: bool = False  # held as too little was seen before the next stage

    @property
    def is_running(self) -> bool:
        """Whether a rollout has started and not ended."""
        return self.phase not in (Phase.NONE, Phase.ENDED)

    def next_record(self, kind: str, **fields: Any) -> StoredRecord:
        """Return a document that would continue the chain; `fields` have the stored keys."""
        chain = {"format": RECORD_FORMAT, "seq": self.head + 1, "before": self.head_digest}
        return chain | {"kind": str(kind)} | fields

    def encode(self, step: Step) -> StoredRecord:
        """Return the document of a step that would continue the chain; it is not applied."""
        return self.next_record(**step_fields(step))

    def apply(self, document: StoredRecord) -> RolloutRecord:
        """Apply the next record and return it; changes nothing if it cannot be applied.

        Raises `HistoryError` if it is not the next one, `MalformedDocumentError` if it is malformed.
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
                f"record {self.head + 1} has form {header.format!r}, this program knows {RECORD_FORMAT}"
            )
        if header.number != self.head + 1 or header.previous_digest != self.head_digest:
            raise HistoryError(f"record {header.number!r} does not follow record {self.head}")
        if header.kind not in list(StepKind):
            raise HistoryError(f"record {self.head + 1}: {header.kind!r} is nothing that this program knows")

    def _step_error(self, kind: StepKind, stage: object) -> str:
        """Return why a step is not allowed now; empty if it is."""
        if kind == StepKind.START:
            return "another rollout is under way" if self.is_running else ""
        if not self.is_running:
            return f"{kind}, and no rollout is under way"
        if kind in (StepKind.STAGE, StepKind.PASS):
            if stage != self.stage + (kind == StepKind.STAGE):
                return f"{kind} {stage!r} out of its order"
        return "" if self.phase in _PHASES_FOR_STEP[kind] else f"{kind} while {self.phase}"

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
        """A stage that was held counts as passed: an operator has looked at the evidence."""
        self.phase, self.has_passed, self.reason = Phase.BEFORE_STAGE, True, ""
        self.resumed_after_stage = self.stage
        if self._is_baseline_missing:
            self.resumed_without_baseline = self.stage

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
        """Whether a node may change now: at most `max_changing` nodes of the plan change at a time.

        A node that failed to change counts as done: it serves on with the program that it had.
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

    def is_changed(self, supervisors: SupervisorStatuses) -> bool:
        """Whether every node runs its target alone."""
        return all(
            name in supervisors
            and supervisors[name].program == self.target(name)
            and not supervisors[name].is_changing
            for name in self.nodes()
        )

    def nodes_not_rolled_back(self, supervisors: SupervisorStatuses) -> list[str] | None:
        """Return the nodes that failed to go back; None while some have not tried yet."""
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
