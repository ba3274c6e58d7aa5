"""The plan of a rollout: what changes, in which stages, and what stops it. Does file I/O.

A TOML file, checked as a whole; a plan never names a node twice. Field names are the keys of the file and of
the stored record.
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

    model_config = ConfigDict(extra="forbid", frozen=True)


class Stage(Table):
    """Nodes that change together, at most `away` at a time, and how long they are watched afterwards."""

    name: str
    nodes: list[str] = Field(min_length=1)
    least: Seconds = 60.0  # watched at least
    most: Seconds = 600.0  # watched at most
    ask: bool = False  # hold after it, until an operator resumes

    @model_validator(mode="after")
    def _check(self) -> Stage:
        if self.most < self.least:
            raise ValueError("most is less than least")
        return self


class Plan(Table):
    """The file."""

    name: str = Field(min_length=1)
    old: str
    new: str
    stages: list[Stage] = Field(min_length=1)
    before: Seconds = 60.0  # how long both sides are watched before a stage
    away: int = Field(default=1, ge=1)  # nodes that change at a time
    patience: Seconds = 60.0  # for a new process to come up, confirm its settings and take over
    risk: float = Field(default=0.01, gt=0.0, lt=0.5)  # of stopping a good version, over the whole rollout
    unsure: Literal["hold", "go", "back"] = "hold"  # without a verdict at the end of a stage
    margins: dict[str, float] = DEFAULT_MARGINS
    # metrics that must be known not to be worse before a stage passes
    watched: list[str] = ["worth", "refused", "terminated"]

    @model_validator(mode="after")
    def _check(self) -> Plan:
        if self.old == self.new:
            raise ValueError("old and new are one program")
        names = [name for stage in self.stages for name in stage.nodes]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f"in two stages: {', '.join(twice)}")
        unknown = sorted((self.margins.keys() | set(self.watched)) - DEFAULT_MARGINS.keys())
        if unknown:
            raise ValueError(f"not looked at: {', '.join(unknown)}; there is {', '.join(DEFAULT_MARGINS)}")
        without = sorted(set(self.watched) - self.margins.keys())
        if without:
            raise ValueError(f"watched without a margin: {', '.join(without)}")
        return self


def read_plan(path: str) -> Plan:
    """Read a plan; raises `PlanError`."""
    try:
        return parse_plan(tomllib.loads(Path(path).read_text(encoding="utf-8")), path)
    except OSError as error:
        raise PlanError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: is not TOML: {error}") from error


def parse_plan(document: Any, path: str = "plan") -> Plan:
    """Check a plan's document; raises `PlanError` with `path` in its lines."""
    try:
        return Plan.model_validate(document)
    except ValidationError as error:
        raise PlanError(
            "\n".join(
                f"{path}: {'.'.join(map(str, one['loc'])) or 'the whole'}: {one['msg']}"
                for one in error.errors()
            )
        ) from error
