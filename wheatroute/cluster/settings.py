"""Reads and validates the settings file of a process (YAML).

The environment variable `WHEATROUTE_SETTINGS` holds its path. Unknown fields are ignored.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

import msgspec
import yaml

SETTINGS_VARIABLE = "WHEATROUTE_SETTINGS"

_Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class SettingsError(Exception):
    """The settings file is missing, unreadable or invalid; the message is one line for the operator."""


class Limits(msgspec.Struct, frozen=True):
    """The resources that the machine provides for this process."""

    memory_mb: int = 256
    max_fds: int = 1024
    disk_mb: int = 64


class FailureTolerance(msgspec.Struct, frozen=True):
    """How many of the counted machines, zones or regions may fail at one time; only `machines` is used."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(msgspec.Struct, frozen=True):
    """The bounds of the service rules; names ending in `_s` are seconds, those in `_ms` milliseconds.

    The edge and control roles use only the fields that have a comment.
    """

    contact_ms: float = 3000.0
    ack_timeout_ms: float = 4000.0
    drain_ms: float = 2000.0  # time for which requests may reach a server after its drain is acknowledged
    grace_s: float = 8.0  # time from the stop signal until the platform kills the process
    converge_ms: float = 2000.0
    downgrade_ms: float = 250.0
    retry_ratio: float = 0.2  # retries per request to a service
    retry_window_s: float = 10.0  # window in which retries and requests are counted
    retry_slack: float = 0.0  # retries to a service that are allowed beyond the ratio, in one window
    quota_window_s: float = 8.0  # window in which a tenant's usage is counted
    quota_excess: float = 0.0  # allowed usage beyond a tenant's limit, as a fraction of the limit
    quota_slack: float = 0.0  # allowed usage beyond the limit and `quota_excess`, in tokens
    pass_ms: float = 120.0
    again_s: float = 10.0  # time for which a repeated prefill of the same prompt is penalized
    reuse_s: float = 2.0


class Settings(msgspec.Struct, frozen=True):
    """The settings of one process."""

    node: str
    ip: str
    zone: str
    listen: dict[str, str]
    port_range: tuple[int, int]
    seeds: tuple[str, ...]
    role: str = ""
    region: str = ""
    zones: dict[str, str] = {}
    bootstrap: bool = False
    counts_for_quorum: bool = False
    limits: Limits = Limits()
    data_dir: str | None = None
    heartbeat_ms: float = 1200.0
    tolerate: FailureTolerance = FailureTolerance()
    bounds: Bounds = Bounds()

    @property
    def replication_port(self) -> int:
        """The port for replication between control nodes, the same on all machines."""
        return self.port_range[0]

    @property
    def internal_port(self) -> int:
        """The port on which control nodes serve edge nodes, the same on all machines."""
        return min(self.port_range[0] + 1, self.port_range[1])

    def address(self, service: str) -> tuple[str, int]:
        """Host and port on which this role serves `service`; raises SettingsError if none is set."""
        if service not in self.listen:
            raise SettingsError(f"listen: no address for {service!r}")
        return split_address(self.listen[service])

    def require(self, services: tuple[str, ...]) -> None:
        """Raises SettingsError unless each of these services has an address."""
        for service in services:
            self.address(service)

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """The hosts of the seeds, without their ports."""
        return tuple(split_address(seed)[0] for seed in self.seeds)


def split_address(text: str) -> tuple[str, int]:
    """Splits `host:port`; raises SettingsError if the text is not such an address."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise SettingsError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


def parse_settings(text: str) -> Settings:
    """Parses the text of a settings file; raises SettingsError with a message of one line."""
    try:
        settings = msgspec.convert(yaml.load(text, Loader=_Loader), Settings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    except (yaml.YAMLError, ValueError) as error:  # yaml raises ValueError for an invalid date
        raise SettingsError(f"not valid YAML: {' '.join(str(error).split())}") from error
    for address in (*settings.seeds, *settings.listen.values()):
        split_address(address)
    first, last = settings.port_range
    if not 0 < first <= last < 65536:
        raise SettingsError(
            f"port_range: must be [first, last] with 1 <= first <= last <= 65535, got {first} to {last}"
        )
    return settings


def settings_path(environment: Mapping[str, str] = os.environ) -> str:
    """The path of the settings file; raises SettingsError if the environment variable is not set."""
    path = environment.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return path


def read_settings(environment: Mapping[str, str] = os.environ) -> Settings:
    """Reads the settings of this process; the message of a SettingsError contains the file's path."""
    path = settings_path(environment)
    try:
        with open(path, encoding="utf-8") as source:
            return parse_settings(source.read())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
