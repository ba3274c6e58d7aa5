"""The newest versions of the configuration, and the differences between them. A state machine without I/O.

So many versions are kept that an edge node which missed some of many changes in a row gets a difference. Each
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

MAX_VERSIONS = 32  # items that versions have in common are kept once


class ConfigurationVersions:
    """Versions that this node has committed, the newest last."""

    def __init__(self) -> None:
        self._versions: OrderedDict[int, ConfigurationVersion] = OrderedDict()  # by sequence
        self._encoded_differences: dict[int, bytes] = {}  # to the newest version, by the base's sequence
        self._newest = EMPTY_VERSION

    @property
    def tenants(self) -> list[Tenant]:
        """The tenants of the newest version."""
        return list(self._newest.tenants.values())

    def commit(self, configuration: Configuration, sequence: int) -> None:
        """Adds a newer version."""
        self._newest = make_version(configuration, sequence, self._newest)
        self._versions[sequence] = self._newest
        self._encoded_differences.clear()
        while len(self._versions) > MAX_VERSIONS:
            self._versions.popitem(last=False)

    def difference_since(self, sequence: int) -> bytes:
        """The encoded difference from a version to the newest one; from nothing if it isn't kept."""
        base = self._versions.get(sequence, EMPTY_VERSION)
        if base.sequence not in self._encoded_differences:
            difference = make_difference(base, self._newest)
            self._encoded_differences[base.sequence] = encode_difference(difference)
        return self._encoded_differences[base.sequence]
