"""The settings of a node's supervisor: a TOML file, checked as a whole. Does file I/O."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.net.addresses import parse_address
from wheatroute.rollout.errors import SupervisorSettingsError


class SupervisorSettings(BaseModel):
    """The file of a supervisor; a field whose name differs from its key has that as alias."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1)
    site: str = ""
    node_file: str = Field(alias="file")  # the node's own settings file, which PROXY_CONFIG names
    programs: dict[str, list[str]] = Field(min_length=1)  # by name: the words of the command
    first_program: str = Field(alias="first")  # that runs where no rollout names one
    state_file: str = Field(alias="state")  # in which a supervisor keeps what runs
    node_log: str = Field(default="", alias="log")  # path; by default beside the state file
    directory: str = ""
    etcd: list[str] = []
    prefix: str = "/rollouts"
    ready_timeout_s: float = Field(default=30.0, gt=0.0, alias="patience")  # for a new process
    drain_timeout_s: float = Field(default=30.0, gt=0.0, alias="leaves")  # for an old one; then it is killed

    @model_validator(mode="after")
    def _check(self) -> SupervisorSettings:
        if self.first_program not in self.programs:
            raise ValueError(f"first: no program {self.first_program!r}")
        if bool(self.directory) == bool(self.etcd):
            raise ValueError("one place: directory or etcd")
        for address in self.etcd:
            parse_address(address)
        return self


def read_supervisor_settings(path: str) -> SupervisorSettings:
    """Reads the settings; raises `SupervisorSettingsError`."""
    try:
        return SupervisorSettings.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise SupervisorSettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SupervisorSettingsError(f"{path}: is not TOML: {error}") from error
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(map(str, one['loc'])) or 'the whole'}: {one['msg']}" for one in error.errors()
        ]
        raise SupervisorSettingsError("\n".join(lines)) from error
