"""The settings file of a running process: read again on SIGHUP, and when it has changed without a signal.

Its text is compared, not its time or size: a copy may keep both.

A file is taken whole or not at all. What a process cannot change while it runs (its addresses, its folder,
what the machine gives it) stays as it was until the next start, and is named in the log.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from wheatroute.cluster.settings import Settings, SettingsError, parse_settings, settings_path

LOOK_INTERVAL = 1.0  # seconds between two looks at the file
NEEDS_RESTART = ("node", "ip", "listen", "port_range", "role", "data_dir", "bootstrap", "limits")


class SettingsFile:
    """The file and what was taken from it; calls read a small local file and may block that long."""

    def __init__(
        self, settings: Settings, log: logging.Logger, environment: Mapping[str, str] = os.environ
    ) -> None:
        self.settings = settings
        self._log = log
        self._environment = environment
        # what the settings were read from isn't known: the file may have changed since
        self._taken = self._looked = b""

    def changed(self) -> bool:
        """Whether the file holds something else than was taken last, and did so at the look before.

        Two looks, so that a file which is just being written is not taken half.
        """
        before, self._looked = self._looked, self._content()
        return self._looked == before != self._taken

    def read(self) -> Settings:
        """The settings in force from now on; those of before where the file can't be used."""
        self._taken = self._looked = self._content()
        try:
            told = parse_settings(self._taken.decode())
        except (SettingsError, UnicodeDecodeError) as error:
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

    def _content(self) -> bytes:
        try:
            return Path(settings_path(self._environment)).read_bytes()
        except (SettingsError, OSError):
            return b""


def _merged(before: Settings, told: Settings) -> Settings:
    """What was told, but for what needs a restart."""
    return msgspec.structs.replace(told, **{name: getattr(before, name) for name in NEEDS_RESTART})


def _differing(one: Settings, other: Settings) -> list[str]:
    """The names of the fields in which two settings differ."""
    return [name for name in one.__struct_fields__ if getattr(one, name) != getattr(other, name)]
