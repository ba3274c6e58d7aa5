"""The settings file of a running process: read again on SIGHUP, and when it has changed without a signal.

A file is taken whole or not at all. What a process cannot change while it runs (its addresses, its folder,
what the machine gives it) stays as it was until the next start, and is named in the log.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Mapping

import msgspec

from wheatroute.cluster.settings import SETTINGS_VARIABLE, Settings, SettingsError, read_settings

LOOK_INTERVAL = 1.0  # seconds between two looks at the file
NEEDS_RESTART = ("node", "ip", "listen", "port_range", "role", "data_dir", "bootstrap", "limits")

_Signature = tuple[int, int, int]  # inode, size, time of the last change in nanoseconds


class SettingsFile:
    """The file and what was taken from it; calls read a small local file and may block that long."""

    def __init__(
        self, settings: Settings, log: logging.Logger, environment: Mapping[str, str] = os.environ
    ) -> None:
        self.settings = settings
        self._log = log
        self._environment = environment
        self._seen = self._signature()

    def changed(self) -> bool:
        """Whether the file is another one, or was written, since it was read last."""
        return self._signature() != self._seen

    def read(self) -> Settings:
        """The settings in force from now on; those of before where the file can't be used."""
        self._seen = self._signature()
        try:
            told = read_settings(self._environment)
        except SettingsError as error:
            self._log.error("settings-refused", extra={"trouble": str(error)})
            return self.settings
        before, self.settings = self.settings, _merged(self.settings, told)
        self._log.info(
            "settings-taken",
            extra={
                "changed": _differing(before, self.settings),
                "needs_restart": _differing(self.settings, told),
            },
        )
        return self.settings

    def _signature(self) -> _Signature | None:
        try:
            status = os.stat(self._environment.get(SETTINGS_VARIABLE, ""))
        except OSError:
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns


def _merged(before: Settings, told: Settings) -> Settings:
    """What was told, but for what needs a restart."""
    return msgspec.structs.replace(told, **{name: getattr(before, name) for name in NEEDS_RESTART})


def _differing(one: Settings, other: Settings) -> list[str]:
    """The names of the fields in which two settings differ."""
    return [name for name in one.__struct_fields__ if getattr(one, name) != getattr(other, name)]
