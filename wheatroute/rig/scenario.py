"""Scenario files of the rig (TOML): they describe its processes, servers and load, and a list of timed steps.

The key of a field in the file is the field's alias, or its name if it has no alias. Reading the file is the
only I/O of this module.
"""

from __future__ import annotations

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.rig.options import RigOptions, StoreKind

# A run has to end within twice its duration plus this time.
MAX_BUILD_S = 120.0


class ScenarioError(Exception):
    """A scenario file that cannot be used; the message has a line for each problem."""


class Table(BaseModel):
    """The base of the tables of a scenario file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ClientsTable(Table):
    """The clients of each node: requests per second, weights of the request classes, timeout of a request."""

    rate: float = Field(default=50.0, ge=0.0, le=500.0)
    class_weights: dict[str, float] = Field(default={"look": 0.6, "change": 0.2, "buy": 0.2}, alias="mix")
    timeout_s: float = Field(default=2.0, gt=0.0, le=30.0, alias="left")


class ServersTable(Table):
    """The number of servers, their mean service time, and the ratios of requests that they fail."""

    count: int = Field(default=4, ge=1, le=64)
    mean_service_time_s: float = Field(default=0.01, gt=0.0, alias="takes")
    reset_ratio: float = Field(default=0.0, ge=0.0, le=1.0, alias="reset")
    error_ratio: float = Field(default=0.0, ge=0.0, le=1.0, alias="error")
    unanswered_ratio: float = Field(default=0.0, ge=0.0, le=1.0, alias="silent")


class Action(StrEnum):
    """What a step does; the values are those of the key `do` in the file."""

    PARTITION = "cut"
    HEAL = "heal"
    IMPAIR = "spoil"
    RESET_CONNECTIONS = "reset"
    STOP = "stop"
    RESUME = "continue"
    KILL = "kill"
    START = "start"
    PUT = "put"
    ETCD = "etcd"
    DRAIN = "drain"


LINK_ACTIONS = {Action.PARTITION, Action.HEAL, Action.IMPAIR, Action.RESET_CONNECTIONS}
TARGET_ACTIONS = {Action.STOP, Action.RESUME, Action.KILL, Action.START, Action.DRAIN}


class Step(Table):
    """An action that the rig performs `at_s` seconds after the clients started."""

    at_s: float = Field(ge=0.0, alias="at")
    action: Action = Field(alias="do")
    target: str = Field(default="", alias="one")  # a process; for a drain, a server
    other: str = ""  # the process at the other end of a link, or `store`
    direction: Literal["both", "there", "back"] = Field(default="both", alias="way")
    # the parameters of a link fault, or a command to the etcd cluster
    parameters: dict[str, Any] = Field(default={}, alias="how")
    # changed settings by path, see `settings.with_changes`
    changes: dict[str, Any] = Field(default={}, alias="change")
    reason: str = Field(default="a step of the script", alias="why")
    over: int = 0  # the number of a pending version that the new one may replace

    @model_validator(mode="after")
    def _check_operands(self) -> Step:
        if self.action in LINK_ACTIONS and not (self.target and self.other):
            raise ValueError(f'the action "{self.action}" requires the keys "one" and "other"')
        if self.action in TARGET_ACTIONS and not self.target:
            raise ValueError(f'the action "{self.action}" requires the key "one"')
        return self


class Scenario(Table):
    """A scenario file. At least one node or processor is required."""

    name: str
    seed: int = 1
    nodes: int = Field(default=3, ge=0, le=16)
    processors: int = Field(default=0, ge=0, le=8)
    workers: int = Field(default=2, ge=1, le=8)
    store: StoreKind = "directory"
    etcd_members: int = Field(default=3, ge=1, le=7, alias="members")
    zones: int = Field(default=1, ge=1, le=8)
    bound_s: float = Field(default=2.0, gt=0.2, le=60.0, alias="within")
    duration_s: float = Field(default=12.0, gt=0.0, le=600.0, alias="seconds")
    clients: ClientsTable = Field(default=ClientsTable(), alias="callers")
    servers: ServersTable = ServersTable()
    steps: list[Step] = []

    @model_validator(mode="after")
    def _check_processes(self) -> Scenario:
        if not self.nodes + self.processors:
            raise ValueError('at least one of "nodes" and "processors" must be above 0')
        return self

    def rig_options(self, folder: Path) -> RigOptions:
        """Returns the options of the scenario's rig, which keeps its files in `folder`."""
        return RigOptions(
            nodes=self.nodes,
            servers=self.servers.count,
            zones=self.zones,
            processors=self.processors,
            workers=self.workers,
            store=self.store,
            etcd_members=self.etcd_members,
            bound_s=self.bound_s,
            seed=self.seed,
            timeout_s=self.duration_s * 2 + MAX_BUILD_S,
            folder=folder,
        )


def read_scenario(path: str) -> Scenario:
    """Reads and validates a scenario file; raises `ScenarioError` if it cannot be used."""
    try:
        return Scenario.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise ScenarioError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: invalid TOML: {error}") from error
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(map(str, details['loc'])) or 'whole file'}: {details['msg']}"
            for details in error.errors()
        ]
        raise ScenarioError("\n".join(lines)) from error
