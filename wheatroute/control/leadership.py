"""Whether this control node leads, and what it tells callers if it doesn't.

A primary acts on one of two grounds:

- Its lease (`can_acknowledge`) is enough for heartbeats of servers and for quotas, which the next primary
  learns of by later messages, and for updates of edge nodes that have a configuration, as they take no older
  one.
- Every other final response needs the confirmation of a majority that is asked from then on
  (`require_confirmation`): a primary that was deposed without knowing it doesn't get that.
"""

from __future__ import annotations

import asyncio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import NotPrimary
from wheatroute.control.committed_configuration import CommittedConfiguration
from wheatroute.replication.replicator import Replicator

CONFIRMATION_TIMEOUT_S = 0.6


class Leadership:
    """The role of this node in the newest view, as far as callers are concerned."""

    def __init__(self, replicator: Replicator, configuration: CommittedConfiguration) -> None:
        self._replicator = replicator
        self._configuration = configuration

    @property
    def is_leading(self) -> bool:
        """Whether this node is the primary of its newest view; it may not be able to acknowledge."""
        return self._replicator.core.is_leading

    @property
    def epoch(self) -> int:
        """The epoch of the newest view."""
        return self._replicator.core.view.epoch

    @property
    def control_hosts(self) -> tuple[str, ...]:
        """The hosts of all control nodes, the primary first."""
        return self._replicator.core.hosts

    @property
    def primary_host(self) -> str:
        """The host of another node that is thought to lead; empty if it is unknown or sends no heartbeats."""
        return self._replicator.core.primary_host(asyncio.get_running_loop().time())

    @property
    def can_acknowledge(self) -> bool:
        """Whether this node has a lease as primary, and a committed document."""
        return self._replicator.is_serving and self._configuration.is_committed

    def require_primary(self) -> None:
        """Raises `RequestError` unless this node leads and can acknowledge."""
        if not self.is_leading:
            raise RequestError(ErrorKind.NOT_PRIMARY, self.primary_host)
        if not self.can_acknowledge:
            raise RequestError(ErrorKind.NO_QUORUM, "no majority of control nodes answers")

    async def is_confirmed(self) -> bool:
        """Whether a majority that is asked from now on confirms that this node leads."""
        return await self._replicator.confirm_leadership(CONFIRMATION_TIMEOUT_S)

    async def require_confirmation(self) -> None:
        """Raises `RequestError` unless a majority that is asked from now on confirms that this node leads."""
        if not await self.is_confirmed():
            raise RequestError(ErrorKind.NO_QUORUM, "not confirmed as leader")

    def not_primary(self) -> NotPrimary:
        """The response to an edge node that asks a node which can't answer."""
        return NotPrimary(self.primary_host, self.control_hosts)
