"""The steps of rollouts, and the documents in which the store keeps them. No I/O.

A document is a JSON object with the fields of its step, except those that have their default value, and with
the fields that link it to the previous record.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from wheatroute.agreement.documents import malformed_document_errors, parse
from wheatroute.agreement.records import RecordHeader, StoredRecord

# The values that `DifferenceSequence.to_stored` returns.
StoredSequence = list[float]


class StepKind(StrEnum):
    """The kind of a step, as stored."""

    START = "start"
    STAGE = "stage"  # the nodes of the next stage change their program
    PASS = "pass"  # the stage is passed
    HOLD = "hold"
    RESUME = "go"
    ROLL_BACK = "back"
    END = "end"


class StepHeader(RecordHeader, frozen=True):
    """The fields of a record that are checked before its step is parsed."""

    stage: object = None


class _Step(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", omit_defaults=True):
    """The common fields: author and time if an operator took the step, evidence if a controller did."""

    author: str | None = msgspec.field(name="by", default=None)
    unix_time: float | None = msgspec.field(name="when", default=None)
    evidence: list[str] | None = None  # a line for each finding

    @property
    def kind(self) -> StepKind:
        """The kind of the step, which is the tag of its stored form."""
        return StepKind(str(self.__struct_config__.tag))


class StartStep(_Step, frozen=True, kw_only=True, tag=StepKind.START.value):
    """Starts a rollout."""

    plan: Any  # document of the plan, see `plan.parse_plan`
    reason: str | None = msgspec.field(name="why", default=None)


class StageStep(_Step, frozen=True, kw_only=True, tag=StepKind.STAGE.value):
    """Starts a stage, whose nodes change their program.

    Contains what the controller measured before the stage, for a controller that takes over later.
    """

    stage: int  # index in the plan
    # Differences between the two sides from before the stage, by metric.
    baseline: dict[str, StoredSequence] | None = msgspec.field(name="seen", default=None)
    # Histogram buckets of the median and of the 99th percentile, by request class.
    slow_thresholds: dict[str, tuple[int, int]] | None = msgspec.field(name="slow", default=None)


class PassStep(_Step, frozen=True, kw_only=True, tag=StepKind.PASS.value):
    """Records that a stage has passed, so that the next one may begin."""

    stage: int


class HoldStep(_Step, frozen=True, kw_only=True, tag=StepKind.HOLD.value):
    """Holds the rollout: no further node changes until an operator resumes."""

    reason: str
    # Whether the reason is a baseline of the next stage with too little data for a verdict on that stage.
    is_baseline_missing: bool = msgspec.field(name="unseen", default=False)


class ResumeStep(_Step, frozen=True, kw_only=True, tag=StepKind.RESUME.value):
    """Resumes a held rollout, by an operator's command."""


class RollBackStep(_Step, frozen=True, kw_only=True, tag=StepKind.ROLL_BACK.value):
    """Rolls back: all nodes return to the old program."""

    reason: str
    # Whether the reason is a baseline of the next stage with too little data for a verdict on that stage.
    is_baseline_missing: bool = msgspec.field(name="unseen", default=False)


class EndStep(_Step, frozen=True, kw_only=True, tag=StepKind.END.value):
    """Ends the rollout."""

    outcome: str | None = msgspec.field(name="how", default=None)
    # Nodes that failed to roll back.
    failed_nodes: list[str] | None = msgspec.field(name="mixed", default=None)


Step = StartStep | StageStep | PassStep | HoldStep | ResumeStep | RollBackStep | EndStep


class RolloutRecord(NamedTuple):
    """A step and its number in the chain."""

    number: int
    step: Step


def parse_header(document: StoredRecord) -> StepHeader:
    """Returns the header of a document; raises `MalformedDocumentError` if it is malformed."""
    return parse(document, StepHeader)


def parse_step(document: StoredRecord) -> Step:
    """Returns the step in a document; raises `MalformedDocumentError` if it is malformed."""
    with malformed_document_errors():
        step: Step = msgspec.convert(document, type=Step)
    return step


def step_fields(step: Step) -> dict[str, Any]:
    """Returns the fields of a step by their stored keys, with its kind first."""
    fields: dict[str, Any] = msgspec.to_builtins(step)
    return fields
