"""Reloads the settings file of a running process, on SIGHUP and when its content has changed.

The content is compared, not the modification time or size, since copying a file may preserve both. A file is
applied completely or not at all. Settings that need a restart (addresses, data directory, machine limits)
keep their values until the next start; the log names them.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from wheatroute.cluster.settings import Settings, SettingsError, parse_settings, settings_path

CHECK_INTERVAL_S = 1.0  # interval between checks of the file's content
NEEDS_RESTART = ("node", "ip", "listen", "port_range", "role", "data_dir", "bootstrap", "limits")


class SettingsFile:
    """The settings file and the applied settings; methods block while they read the small local file."""

    def __init__(
        self, settings: Settings, log: logging.Logger, environment: Mapping[str, str] = os.environ
    ) -> None:
        self.settings = settings
        self._log = log
        self._environment = environment
        # Unknown at the start, since the file may have changed after the settings were read from it.
        self._applied_content = self._last_content = b""

    def has_changed(self) -> bool:
        """Whether the content differs from the applied one and is the same as at the last check.

        It must be the same in two checks, so that a file is not applied while it is being written.
        """
        previous, self._last_content = self._last_content, self._content()
        return self._last_content == previous != self._applied_content

    def reload(self) -> Settings:
        """Applies the file; returns the settings now in effect, unchanged if the file is invalid."""
        self._applied_content = self._last_content = self._content()
        try:
            requested = parse_settings(self._applied_content.decode())
        except (SettingsError, UnicodeDecodeError) as error:
            self._log.error("settings-rejected", extra={"error": str(error)})
            return self.settings
        previous, self.settings = self.settings, _keep_until_restart(self.settings, requested)
        self._log.info(
            "settings-applied",
            extra={
                "changed": _differing_fields(previous, self.settings),
                "needs_restart": _differing_fields(self.settings, requested),
            },
        )
        return self.settings

    def _content(self) -> bytes:
        try:
            return Path(settings_path(self._environment)).read_bytes()
        except (SettingsError, OSError):
            return b""


def _keep_until_restart(previous: Settings, requested: Settings) -> Settings:
    """The requested settings, with the previous values of the settings that need a restart."""
    return msgspec.structs.replace(requested, **{name: getattr(previous, name) for name in NEEDS_RESTART})


def _differing_fields(one: Settings, other: Settings) -> list[str]:
    """The names of the fields that differ between two settings."""
    return [name for name in one.__struct_fields__ if getattr(one, name) != getattr(other, name)]
