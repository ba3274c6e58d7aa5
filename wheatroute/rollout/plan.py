"""The plan of a rollout: the programs, the stages, and the margins that stop it. Does file I/O.

A plan is a TOML file that is validated as a whole; no node may be in it twice. The stored record has the same
keys as the file. A field whose name differs from its key has the key as its alias.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.rollout.errors import PlanError

Seconds = Annotated[float, Field(gt=0.0, le=86400.0)]
# By how much each metric may be worse at the new nodes. The margins are fractions; the last three are
# relative to the value at the old nodes.
DEFAULT_MARGINS = {
    "worth": 0.01,  # value of the requests that were not served in time
    "refused": 0.01,  # requests rejected for lack of capacity
    "terminated": 0.005,  # requests that failed or whose client left
    "slow": 0.05,  # requests slower than the old median
    "slowest": 0.005,  # requests slower than the old 99th percentile
    "relays": 0.02,  # requests with more than one attempt
    "cpu": 0.25,  # CPU time per request
    "memory": 0.25,  # resident memory of the process
    "connections": 0.5,  # open connections to servers
}


class Table(BaseModel):
    """Base class of the tables in the file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, serialize_by_alias=True)


class Stage(Table):
    """The nodes of one stage, and for how long they are watched after their change.

    The nodes change one after the other, at most `Plan.max_changing` at a time.
    """

    name: str
    nodes: list[str] = Field(min_length=1)
    # Shortest time before the stage may pass.
    min_watched_s: Seconds = Field(default=60.0, alias="least")
    # Time after which a stage without a verdict ends with `Plan.step_when_unsure`.
    max_watched_s: Seconds = Field(default=600.0, alias="most")
    # Whether the rollout is held after the stage until an operator resumes.
    is_held_after: bool = Field(default=False, alias="ask")

    @model_validator(mode="after")
    def _check(self) -> Stage:
        if self.max_watched_s < self.min_watched_s:
            raise ValueError('"most" must not be less than "least"')
        return self


class Plan(Table):
    """The plan of a rollout from the program `old` to the program `new`."""

    name: str = Field(min_length=1)
    old: str
    new: str
    stages: list[Stage] = Field(min_length=1)
    # Time for which both sides are watched before each stage.
    baseline_s: Seconds = Field(default=60.0, alias="before")
    # Most nodes that change at the same time.
    max_changing: int = Field(default=1, ge=1, alias="away")
    # Time for a new process to come up, confirm its settings and replace the old one.
    change_timeout_s: Seconds = Field(default=60.0, alias="patience")
    # Probability of stopping a good version, over the whole rollout.
    risk: float = Field(default=0.01, gt=0.0, lt=0.5)
    # What happens if there is not enough data for a verdict when a stage ends, or for the baseline before a
    # stage: hold, go (continue) or back (roll back).
    step_when_unsure: Literal["hold", "go", "back"] = Field(default="hold", alias="unsure")
    # By how much each metric may be worse; metrics that are not listed are not compared.
    margins: dict[str, float] = DEFAULT_MARGINS
    # Metrics that must be known not to be worse before a stage passes.
    required_metrics: list[str] = Field(default=["worth", "refused", "terminated"], alias="watched")

    @model_validator(mode="after")
    def _check(self) -> Plan:
        if self.old == self.new:
            raise ValueError('"old" and "new" must be different programs')
        names = [name for stage in self.stages for name in stage.nodes]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f"nodes listed more than once: {', '.join(twice)}")
        unknown = sorted((self.margins.keys() | set(self.required_metrics)) - DEFAULT_MARGINS.keys())
        if unknown:
            raise ValueError(f"unknown metrics: {', '.join(unknown)}; known are {', '.join(DEFAULT_MARGINS)}")
        without = sorted(set(self.required_metrics) - self.margins.keys())
        if without:
            raise ValueError(f'metrics in "watched" without a margin: {", ".join(without)}')
        return self


def read_plan(path: str) -> Plan:
    """Reads a plan file; raises `PlanError` if it cannot be read or is invalid."""
    try:
        return parse_plan(tomllib.loads(Path(path).read_text(encoding="utf-8")), path)
    except OSError as error:
        raise PlanError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: is not TOML: {error}") from error


def parse_plan(document: Any, path: str = "plan") -> Plan:
    """Validates the document of a plan; raises `PlanError`, whose lines begin with `path`."""
    try:
        return Plan.model_validate(document)
    except ValidationError as error:
        raise PlanError(
            "\n".join(
                f"{path}: {'.'.join(map(str, details['loc'])) or 'the whole plan'}: {details['msg']}"
                for details in error.errors()
            )
        ) from error
