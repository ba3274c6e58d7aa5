"""The plan of a rollout: what changes, in which stages, and what stops it. Does file I/O.

A TOML file, checked as a whole; a plan never names a node twice. The keys of the file are those of the stored
record too; a field whose name differs has its key as alias.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.rollout.errors import PlanError

Seconds = Annotated[float, Field(gt=0.0, le=86400.0)]
# by how much a metric may be worse: fractions; the last three relative to the old value
DEFAULT_MARGINS = {
    "worth": 0.01,
    "refused": 0.01,
    "terminated": 0.005,
    "slow": 0.05,
    "slowest": 0.005,
    "relays": 0.02,
    "cpu": 0.25,
    "memory": 0.25,
    "connections": 0.5,
}


class Table(BaseModel):
    """A table of the file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, serialize_by_alias=True)


class Stage(Table):
    """Nodes that change together, at most `max_changing` at a time, and how long they are watched then."""

    name: str
    nodes: list[str] = Field(min_length=1)
    min_watched_s: Seconds = Field(default=60.0, alias="least")
    max_watched_s: Seconds = Field(default=600.0, alias="most")
    is_held_after: bool = Field(default=False, alias="ask")  # until an operator resumes

    @model_validator(mode="after")
    def _check(self) -> Stage:
        if self.max_watched_s < self.min_watched_s:
            raise ValueError("most is less than least")
        return self


class Plan(Table):
    """The file."""

    name: str = Field(min_length=1)
    old: str
    new: str
    stages: list[Stage] = Field(min_length=1)
    # how long both sides are watched before a stage
    baseline_s: Seconds = Field(default=60.0, alias="before")
    max_changing: int = Field(default=1, ge=1, alias="away")  # nodes that change at a time
    # for a new process to come up, confirm its settings and take over
    change_timeout_s: Seconds = Field(default=60.0, alias="patience")
    risk: float = Field(default=0.01, gt=0.0, lt=0.5)  # of stopping a good version, over the whole rollout
    # the step without a verdict at the end of a stage
    step_when_unsure: Literal["hold", "go", "back"] = Field(default="hold", alias="unsure")
    margins: dict[str, float] = DEFAULT_MARGINS
    # metrics that must be known not to be worse before a stage passes
    required_metrics: list[str] = Field(default=["worth", "refused", "terminated"], alias="watched")

    @model_validator(mode="after")
    def _check(self) -> Plan:
        if self.old == self.new:
            raise ValueError("old and new are one program")
        names = [name for stage in self.stages for name in stage.nodes]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f"in two stages: {', '.join(twice)}")
        unknown = sorted((self.margins.keys() | set(self.required_metrics)) - DEFAULT_MARGINS.keys())
        if unknown:
            raise ValueError(f"not looked at: {', '.join(unknown)}; there is {', '.join(DEFAULT_MARGINS)}")
        without = sorted(set(self.required_metrics) - self.margins.keys())
        if without:
            raise ValueError(f"watched without a margin: {', '.join(without)}")
        return self


def read_plan(path: str) -> Plan:
    """Reads a plan; raises `PlanError`."""
    try:
        return parse_plan(tomllib.loads(Path(path).read_text(encoding="utf-8")), path)
    except OSError as error:
        raise PlanError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: is not TOML: {error}") from error


def parse_plan(document: Any, path: str = "plan") -> Plan:
    """Checks a plan's document; raises `PlanError` with `path` in its lines."""
    try:
        return Plan.model_validate(document)
    except ValidationError as error:
        raise PlanError(
            "\n".join(
                f"{path}: {'.'.join(map(str, one['loc'])) or 'the whole'}: {one['msg']}"
                for one in error.errors()
            )
        ) from error
