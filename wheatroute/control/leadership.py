"""Whether this control node is the primary, and the errors and redirects for callers if it is not.

A primary checks its leadership in one of two ways before it responds:

- Its lease (`can_acknowledge`) is sufficient for server heartbeats and quotas: the next primary learns of
  these from later messages. It is also sufficient for updates to edge nodes that already have a
  configuration: these never apply an older one.
- Every other final response requires a leadership confirmation (`require_confirmation`, a read index): a
  round trip to a majority that starts after the request arrived. A primary that was deposed without knowing
  it does not get this confirmation.
"""

from __future__ import annotations

import asyncio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import NotPrimary
from wheatroute.control.committed_configuration import CommittedConfiguration
from wheatroute.replication.replicator import Replicator

CONFIRMATION_TIMEOUT_S = 0.6


class Leadership:
    """Reports whether this node is the primary of its newest view and may respond to callers."""

    def __init__(self, replicator: Replicator, configuration: CommittedConfiguration) -> None:
        self._replicator = replicator
        self._configuration = configuration

    @property
    def is_leading(self) -> bool:
        """Whether this node is the primary of its newest view, with or without a lease."""
        return self._replicator.core.is_leading

    @property
    def epoch(self) -> int:
        """The epoch of the newest view."""
        return self._replicator.core.view.epoch

    @property
    def control_hosts(self) -> tuple[str, ...]:
        """The hosts of all control nodes that this node knows, sorted."""
        return self._replicator.core.hosts

    @property
    def primary_host(self) -> str:
        """The host of another node believed to be primary; empty if unknown or if it sends no heartbeats."""
        return self._replicator.core.primary_host(asyncio.get_running_loop().time())

    @property
    def can_acknowledge(self) -> bool:
        """Whether this node holds the lease of a primary and has a committed document."""
        return self._replicator.is_serving and self._configuration.is_committed

    def require_primary(self) -> None:
        """Raises `RequestError` unless this node leads and can acknowledge."""
        if not self.is_leading:
            raise RequestError(ErrorKind.NOT_PRIMARY, self.primary_host)
        if not self.can_acknowledge:
            raise RequestError(ErrorKind.NO_QUORUM, "no majority of control nodes responds")

    async def confirm(self) -> bool:
        """Returns whether a majority, asked after this call, confirms that this node leads."""
        return await self._replicator.confirm_leadership(CONFIRMATION_TIMEOUT_S)

    async def require_confirmation(self) -> None:
        """Raises `RequestError` unless a majority, asked after this call, confirms that this node leads."""
        if not await self.confirm():
            raise RequestError(ErrorKind.NO_QUORUM, "no majority confirmed that this node leads")

    def not_primary(self) -> NotPrimary:
        """The response to an edge node whose request this node can't serve."""
        return NotPrimary(self.primary_host, self.control_hosts)
