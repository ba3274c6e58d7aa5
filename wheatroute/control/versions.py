"""The newest versions of the configuration, and the differences between them. A state machine without I/O.

Enough versions are kept that an edge node which missed some changes of a burst still gets a difference. Each
difference is encoded once for all nodes that have the same version.
"""

from __future__ import annotations

from collections import OrderedDict

from wheatroute.cluster.configuration import Configuration, Tenant
from wheatroute.cluster.distribution import (
    EMPTY_VERSION,
    ConfigurationVersion,
    encode_difference,
    make_difference,
    make_version,
)

MAX_VERSIONS = 32  # items that several versions have in common are stored once


class ConfigurationVersions:
    """Keeps the newest versions that this node has committed, and their differences to the newest one."""

    def __init__(self) -> None:
        self._versions: OrderedDict[int, ConfigurationVersion] = OrderedDict()  # sequence -> version
        # sequence of the base -> encoded difference from it to the newest version
        self._encoded_differences: dict[int, bytes] = {}
        self._newest = EMPTY_VERSION

    @property
    def tenants(self) -> list[Tenant]:
        """The tenants of the newest version."""
        return list(self._newest.tenants.values())

    def commit(self, configuration: Configuration, sequence: int) -> None:
        """Adds a newer version; the oldest one beyond `MAX_VERSIONS` is dropped."""
        self._newest = make_version(configuration, sequence, self._newest)
        self._versions[sequence] = self._newest
        self._encoded_differences.clear()
        while len(self._versions) > MAX_VERSIONS:
            self._versions.popitem(last=False)

    def difference_since(self, sequence: int) -> bytes:
        """The encoded difference from a version to the newest one.

        If that version isn't kept, it is the difference from the empty version: the full configuration.
        """
        base = self._versions.get(sequence, EMPTY_VERSION)
        if base.sequence not in self._encoded_differences:
            difference = make_difference(base, self._newest)
            self._encoded_differences[base.sequence] = encode_difference(difference)
        return self._encoded_differences[base.sequence]
