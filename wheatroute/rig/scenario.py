"""A scenario of the rig: its shape, load, servers and steps in time, as a TOML file gives them. No other I/O.

The keys of the file are the aliases of the fields.
"""

from __future__ import annotations

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.rig.options import RigOptions, StoreKind

MAX_BUILD_S = 120.0  # beyond twice the duration, in which a run has to end


class ScenarioError(Exception):
    """The file cannot be used: a line for each thing that is wrong."""


class Table(BaseModel):
    """A table of a scenario file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ClientsTable(Table):
    """The clients of each node: requests a second, weights of the request classes, time for a response."""

    rate: float = Field(default=50.0, ge=0.0, le=500.0)
    class_weights: dict[str, float] = Field(default={"look": 0.6, "change": 0.2, "buy": 0.2}, alias="mix")
    timeout_s: float = Field(default=2.0, gt=0.0, le=30.0, alias="left")


class ServersTable(Table):
    """How many servers there are, how long they run a request, and which part of the requests they fail."""

    count: int = Field(default=4, ge=1, le=64)
    mean_service_time_s: float = Field(default=0.01, gt=0.0, alias="takes")
    reset_ratio: float = Field(default=0.0, ge=0.0, le=1.0, alias="reset")
    error_ratio: float = Field(default=0.0, ge=0.0, le=1.0, alias="error")
    unanswered_ratio: float = Field(default=0.0, ge=0.0, le=1.0, alias="silent")


class Action(StrEnum):
    """What a step does, by the words of the file."""

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
    """Something that is done at a time, in seconds since the clients began."""

    at_s: float = Field(ge=0.0, alias="at")
    action: Action = Field(alias="do")
    target: str = Field(default="", alias="one")  # a process, or for a drain a server
    other: str = ""  # the process at the other end of a link, or `store`
    direction: Literal["both", "there", "back"] = Field(default="both", alias="way")
    parameters: dict[str, Any] = Field(default={}, alias="how")  # of a link's fault, or a command to etcd
    changes: dict[str, Any] = Field(default={}, alias="change")  # of settings, see `with_changes`
    reason: str = Field(default="a step of the script", alias="why")
    over: int = 0  # a pending version that may be replaced

    @model_validator(mode="after")
    def _check_operands(self) -> Step:
        if self.action in LINK_ACTIONS and not (self.target and self.other):
            raise ValueError(f"{self.action} wants one and other")
        if self.action in TARGET_ACTIONS and not self.target:
            raise ValueError(f"{self.action} wants one")
        return self


class Scenario(Table):
    """The whole file; without nodes there are processors."""

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
            raise ValueError("neither nodes nor processors: nobody would serve")
        return self

    def rig_options(self, folder: Path) -> RigOptions:
        """The options of the scenario's rig, which keeps its files in a folder."""
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
    """Reads and checks a scenario; raises `ScenarioError`."""
    try:
        return Scenario.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise ScenarioError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: is not TOML: {error}") from error
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(map(str, one['loc'])) or 'the whole'}: {one['msg']}" for one in error.errors()
        ]
        raise ScenarioError("\n".join(lines)) from error
