"""The settings of a node's supervisor: a TOML file that is validated as a whole. Does file I/O."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from wheatroute.net.addresses import parse_address
from wheatroute.rollout.errors import SupervisorSettingsError


class SupervisorSettings(BaseModel):
    """The settings file of a supervisor; a field whose name differs from its key has the key as its alias."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1)
    site: str = ""
    # Path of the node's own settings file, passed to its processes in PROXY_CONFIG.
    node_file: str = Field(alias="file")
    # Command lines, as lists of arguments, by the name of the program.
    programs: dict[str, list[str]] = Field(min_length=1)
    # Program that runs until a rollout names one.
    first_program: str = Field(alias="first")
    # Path of the file in which the supervisor keeps the running processes.
    state_file: str = Field(alias="state")
    # Path of the processes' log; by default the path of the state file with ".log" appended.
    node_log: str = Field(default="", alias="log")
    # The rollout store: a directory, or etcd endpoints with a key prefix.
    directory: str = ""
    etcd: list[str] = []
    prefix: str = "/rollouts"
    # Seconds after its start within which a new process must be ready.
    ready_timeout_s: float = Field(default=30.0, gt=0.0, alias="patience")
    # Seconds after SIGTERM within which an old process must have stopped; it is killed after that.
    drain_timeout_s: float = Field(default=30.0, gt=0.0, alias="leaves")

    @model_validator(mode="after")
    def _check(self) -> SupervisorSettings:
        if self.first_program not in self.programs:
            raise ValueError(f'"first" names {self.first_program!r}, which is not in "programs"')
        if bool(self.directory) == bool(self.etcd):
            raise ValueError('exactly one of "directory" and "etcd" must be set')
        for address in self.etcd:
            parse_address(address)
        return self


def read_supervisor_settings(path: str) -> SupervisorSettings:
    """Reads the settings; raises `SupervisorSettingsError` if they cannot be read or are invalid."""
    try:
        return SupervisorSettings.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise SupervisorSettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SupervisorSettingsError(f"{path}: is not TOML: {error}") from error
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(map(str, details['loc'])) or 'the whole file'}: {details['msg']}"
            for details in error.errors()
        ]
        raise SupervisorSettingsError("\n".join(lines)) from error
