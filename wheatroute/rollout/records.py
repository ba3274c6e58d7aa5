"""The steps of rollouts, and the documents in which a store keeps them. No I/O.

A document is a JSON object: the fields of its step, without those that have their default, and those that
chain it to the record before.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from wheatroute.agreement.documents import malformed_document_errors, parse
from wheatroute.agreement.records import RecordHeader, StoredRecord

StoredSequence = list[float]  # see `DifferenceSequence.to_stored`


class StepKind(StrEnum):
    """The kind of a record, as stored."""

    START = "start"
    STAGE = "stage"  # the nodes of the next stage change
    PASS = "pass"  # the stage had a verdict
    HOLD = "hold"
    RESUME = "go"
    ROLL_BACK = "back"
    END = "end"


class StepHeader(RecordHeader, frozen=True):
    """What is checked of a record before the rest is read."""

    stage: object = None


class _Step(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", omit_defaults=True):
    """A step, with its author and time if an operator took it, and the evidence if a controller did."""

    author: str | None = msgspec.field(name="by", default=None)
    unix_time: float | None = msgspec.field(name="when", default=None)
    evidence: list[str] | None = None  # a line for each finding

    @property
    def kind(self) -> StepKind:
        """The kind, by which the stored form is told apart."""
        return StepKind(str(self.__struct_config__.tag))


class StartStep(_Step, frozen=True, kw_only=True, tag=StepKind.START.value):
    """A rollout begins."""

    plan: Any  # parsed by `plan.parse_plan`
    reason: str | None = msgspec.field(name="why", default=None)


class StageStep(_Step, frozen=True, kw_only=True, tag=StepKind.STAGE.value):
    """The nodes of a stage change; with what the controller measured before, for another that continues."""

    stage: int
    baseline: dict[str, StoredSequence] | None = msgspec.field(name="seen", default=None)  # by metric
    # by request class: buckets of the median and of the 99th percentile
    slow_thresholds: dict[str, tuple[int, int]] | None = msgspec.field(name="slow", default=None)


class PassStep(_Step, frozen=True, kw_only=True, tag=StepKind.PASS.value):
    """A stage had a verdict."""

    stage: int


class HoldStep(_Step, frozen=True, kw_only=True, tag=StepKind.HOLD.value):
    """Nothing more changes until an operator resumes."""

    reason: str
    # too little was seen before the next stage for a verdict on it
    is_baseline_missing: bool = msgspec.field(name="unseen", default=False)


class ResumeStep(_Step, frozen=True, kw_only=True, tag=StepKind.RESUME.value):
    """An operator resumes."""


class RollBackStep(_Step, frozen=True, kw_only=True, tag=StepKind.ROLL_BACK.value):
    """All nodes go back to the old program."""

    reason: str
    is_baseline_missing: bool = msgspec.field(name="unseen", default=False)


class EndStep(_Step, frozen=True, kw_only=True, tag=StepKind.END.value):
    """The rollout has ended."""

    outcome: str | None = msgspec.field(name="how", default=None)
    # nodes that failed to go back
    failed_nodes: list[str] | None = msgspec.field(name="mixed", default=None)


Step = StartStep | StageStep | PassStep | HoldStep | ResumeStep | RollBackStep | EndStep


class RolloutRecord(NamedTuple):
    """A step under its number in the chain."""

    number: int
    step: Step


def parse_header(document: StoredRecord) -> StepHeader:
    """Returns what is checked of a document before it is parsed."""
    return parse(document, StepHeader)


def parse_step(document: StoredRecord) -> Step:
    """Returns the step in a document; raises `MalformedDocumentError` if it is malformed."""
    with malformed_document_errors():
        step: Step = msgspec.convert(document, type=Step)
    return step


def step_fields(step: Step) -> dict[str, Any]:
    """Returns the stored fields of a step, its kind first."""
    fields: dict[str, Any] = msgspec.to_builtins(step)
    return fields
