"""The settings file of a process (YAML), read and checked whole.

The path stands in the environment variable `WHEATROUTE_SETTINGS`. Fields that are not known are ignored.
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
    """The settings file is missing, unreadable or wrong; the text is one line for the operator."""


class Limits(msgspec.Struct, frozen=True):
    """What the machine gives to this process."""

    memory_mb: int = 256
    max_fds: int = 1024
    disk_mb: int = 64


class FailureTolerance(msgspec.Struct, frozen=True):
    """How many counted machines, zones or regions may be lost at one time."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(msgspec.Struct, frozen=True):
    """The figures of the rules; seconds where the name ends in `_s`, milliseconds where it ends in `_ms`."""

    contact_ms: float = 3000.0
    ack_timeout_ms: float = 4000.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    converge_ms: float = 2000.0
    downgrade_ms: float = 250.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    quota_window_s: float = 8.0
    quota_excess: float = 0.0
    quota_slack: float = 0.0
    pass_ms: float = 120.0
    again_s: float = 10.0
    reuse_s: float = 2.0


class Settings(msgspec.Struct, frozen=True):
    """One process of the router set."""

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
        """The port on which control nodes talk to each other, alike on all machines."""
        return self.port_range[0]

    @property
    def internal_port(self) -> int:
        """The port on which control nodes answer edge nodes, alike on all machines."""
        return min(self.port_range[0] + 1, self.port_range[1])

    def address(self, service: str) -> tuple[str, int]:
        """Host and port of what this role serves; raises SettingsError if it isn't named."""
        if service not in self.listen:
            raise SettingsError(f"listen: no address for {service!r}")
        return split_address(self.listen[service])

    def require(self, services: tuple[str, ...]) -> None:
        """Raises SettingsError unless there is an address for each of these."""
        for service in services:
            self.address(service)

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """The machines of the seeds, without their ports."""
        return tuple(split_address(seed)[0] for seed in self.seeds)


def split_address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`; raises SettingsError if it is none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise SettingsError(f"not an address: {text!r}")
    return host, int(port)


def parse_settings(text: str) -> Settings:
    """The settings that a file's text holds; raises SettingsError with one clear line."""
    try:
        settings = msgspec.convert(yaml.load(text, Loader=_Loader), Settings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    except (yaml.YAMLError, ValueError) as error:  # a date that is none is the latter
        raise SettingsError(f"not YAML: {' '.join(str(error).split())}") from error
    for address in (*settings.seeds, *settings.listen.values()):
        split_address(address)
    first, last = settings.port_range
    if not 0 < first <= last < 65536:
        raise SettingsError(f"port_range: {first} to {last}")
    return settings


def settings_path(environment: Mapping[str, str] = os.environ) -> str:
    """Where the settings file is; raises SettingsError if that isn't said."""
    path = environment.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return path


def read_settings(environment: Mapping[str, str] = os.environ) -> Settings:
    """The settings of this process; raises SettingsError with the path in its text."""
    path = settings_path(environment)
    try:
        with open(path, encoding="utf-8") as source:
            return parse_settings(source.read())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
