"""Limits the size of a configuration and of a change, before they are decoded. No I/O.

A document of a few megabytes may hold a million objects, which take hundreds of times its size once they are
decoded and validated. So its values are counted first, in units of the smallest ones.
"""

from __future__ import annotations

from typing import NamedTuple

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.process_limits import data_bytes
from wheatroute.cluster.settings import Limits

MAX_CONFIGURATION_BYTES = 8 << 20  # the largest configuration on any machine
CONFIGURATION_FRACTION = 0.125  # part of the memory for data that a configuration may take as JSON
JSON_UNIT_BYTES = 192  # memory in which a unit of a document is decoded and validated
OBJECT_UNITS = 4  # an object takes as much memory as this number of other values


def json_units(document: bytes) -> int:
    """Returns an upper estimate of a document's values, in units; text that looks like JSON counts, too."""
    return OBJECT_UNITS * document.count(b"{") + document.count(b"[") + document.count(b",")


class ConfigurationLimits(NamedTuple):
    """The limits of a change as it was sent, and of the configuration that results from it."""

    max_bytes: int
    max_units: int

    def check(self, document: bytes) -> None:
        """Raises RequestError if a document is too large."""
        if len(document) > self.max_bytes:
            detail = f"the configuration has {len(document)} bytes, {self.max_bytes} are allowed"
            raise RequestError(ErrorKind.BODY_TOO_LARGE, detail)
        if (units := json_units(document)) > self.max_units:
            detail = f"the configuration has too many values: {units} units, {self.max_units} are allowed"
            raise RequestError(ErrorKind.BODY_TOO_LARGE, detail)


def configuration_limits(limits: Limits) -> ConfigurationLimits:
    """Returns the limits on a machine with these resources."""
    memory = data_bytes(limits)
    max_bytes = min(MAX_CONFIGURATION_BYTES, int(CONFIGURATION_FRACTION * memory))
    return ConfigurationLimits(max_bytes, memory // JSON_UNIT_BYTES)
