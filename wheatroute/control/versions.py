"""The newest versions of the configuration as edge nodes are told them; a state machine without I/O.

Kept are so many versions that an edge node which missed some of a storm of changes gets a difference. Each
answer is encoded once for all nodes that have the same version.
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

KEPT_VERSIONS = 32  # items that versions have in common are kept once


class ConfigurationVersions:
    """Versions that this primary has committed, the newest last."""

    def __init__(self) -> None:
        self._kept: OrderedDict[int, ConfigurationVersion] = OrderedDict()
        self._encoded: dict[int, bytes] = {}  # the way to the newest version, by the version that a node has
        self._newest = EMPTY_VERSION

    @property
    def tenants(self) -> list[Tenant]:
        """Those of the newest version."""
        return list(self._newest.tenants.values())

    def commit(self, configuration: Configuration, sequence: int) -> None:
        """A newer version is in force."""
        self._newest = make_version(configuration, sequence, self._newest)
        self._kept[sequence] = self._newest
        self._encoded.clear()
        while len(self._kept) > KEPT_VERSIONS:
            self._kept.popitem(last=False)

    def since(self, sequence: int) -> bytes:
        """What a node with this version is sent: a difference, the whole if it is too far behind."""
        base = self._kept.get(sequence, EMPTY_VERSION)
        if base.sequence not in self._encoded:
            self._encoded[base.sequence] = encode_difference(make_difference(base, self._newest))
        return self._encoded[base.sequence]
