"""What changes, in which stages, and what stops it: the plan of a rollout, a TOML file checked whole.

Owns the form and its checks. It must never let a plan through that leaves a node out or names one twice.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

Seconds = Annotated[float, Field(gt=0.0, le=86400.0)]
# shares; the last three as parts of the old figure
MARGINS = {
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


class PlanError(Exception):
    """A plan that is no use: a line for each thing that is wrong."""


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Stage(Table):
    """Nodes that change together, `away` at a time, and how long they are watched after."""

    name: str
    nodes: list[str] = Field(min_length=1)
    least: Seconds = 60.0
    most: Seconds = 600.0
    ask: bool = False  # a person says go before the next stage

    @model_validator(mode="after")
    def _ordered(self) -> Stage:
        if self.most < self.least:
            raise ValueError("most is less than least")
        return self


class Plan(Table):
    """The whole file."""

    name: str = Field(min_length=1)
    old: str
    new: str
    stages: list[Stage] = Field(min_length=1)
    before: Seconds = 60.0  # how long both sides are watched before a stage
    away: int = Field(default=1, ge=1)
    patience: Seconds = 60.0  # for a new process to come up, confirm its settings and take over
    risk: float = Field(default=0.01, gt=0.0, lt=0.5)  # of a good version stopped, over the whole rollout
    unsure: Literal["hold", "go", "back"] = "hold"  # at the end of a stage that has not seen enough
    margins: dict[str, float] = MARGINS
    watched: list[str] = ["worth", "refused", "terminated"]  # known to be no worse before a stage is passed

    @model_validator(mode="after")
    def _whole(self) -> Plan:
        if self.old == self.new:
            raise ValueError("old and new are one program")
        names = [name for stage in self.stages for name in stage.nodes]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f"in two stages: {', '.join(twice)}")
        unknown = sorted((self.margins.keys() | set(self.watched)) - MARGINS.keys())
        if unknown:
            raise ValueError(f"not looked at: {', '.join(unknown)}; there is {', '.join(MARGINS)}")
        without = sorted(set(self.watched) - self.margins.keys())
        if without:
            raise ValueError(f"watched without a margin: {', '.join(without)}")
        return self


def read(path: str) -> Plan:
    """The plan, checked whole; raises `PlanError`."""
    try:
        return checked(tomllib.loads(Path(path).read_text(encoding="utf-8")), path)
    except OSError as trouble:
        raise PlanError(f"{path}: cannot be read: {trouble.strerror}") from trouble
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as trouble:
        raise PlanError(f"{path}: is not TOML: {trouble}") from trouble


def checked(told: Any, path: str = "plan") -> Plan:
    """As `read`, of what is read already."""
    try:
        return Plan.model_validate(told)
    except ValidationError as trouble:
        raise PlanError(
            "\n".join(
                f"{path}: {'.'.join(map(str, one['loc'])) or 'the whole'}: {one['msg']}"
                for one in trouble.errors()
            )
        ) from trouble
