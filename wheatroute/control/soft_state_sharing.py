"""Sends the primary's soft state to the other control nodes, and restores it on a new primary.

The registry and the number of edge nodes are sent together whenever either has changed. The bucket levels
change with each request, so they are sent separately, every `LEVELS_INTERVAL_S`; the next primary needs them
in order to grant no token twice. Invariant: the departure of a server is acknowledged only once every member
of the view has received it, since any member may lead next.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import RegistryVersion
from wheatroute.control.leadership import Leadership
from wheatroute.control.primary_state import PrimaryState
from wheatroute.control.quotas import BucketLevels
from wheatroute.control.soft_state import decode_levels, decode_soft_state, encode_levels, make_soft_state
from wheatroute.replication.replicator import Replicator
from wheatroute.replication.soft_state import SoftStateVersion

SHARE_TIMEOUT_S = 0.5
MIN_SHARE_INTERVAL_S = 0.02  # limits how often departures of servers cause the full registry to be sent
LEVELS_INTERVAL_S = 0.5


class SoftStateSharing:
    """Shares the state of a primary whenever it differs from the state that was shared last."""

    def __init__(
        self, replicator: Replicator, leadership: Leadership, state: PrimaryState, log: logging.Logger
    ) -> None:
        self._replicator = replicator
        self._leadership = leadership
        self._state = state
        self._log = log
        self._shared_version: RegistryVersion | None = None
        self._shared_edge_node_count = 0
        self._shared_soft_state_version = SoftStateVersion(-1, 0)
        self._shared_at = 0.0
        self._pending_share: asyncio.Task[SoftStateVersion] | None = None
        self._shared_levels: dict[str, BucketLevels] = {}
        self._levels_shared_at = 0.0

    # on the primary

    def share_registry(self) -> None:
        """Sends the soft state if the registry or the number of edge nodes has changed."""
        now = asyncio.get_running_loop().time()
        version, edge_node_count = self._state.registry.version, self._state.edge_nodes.count(now)
        if version == self._shared_version and edge_node_count == self._shared_edge_node_count:
            return
        self._shared_version, self._shared_edge_node_count = version, edge_node_count
        self._shared_at = now
        self._shared_soft_state_version = self._replicator.replicate_soft_state(self._encoded_soft_state())

    def share_levels(self, now: float) -> None:
        """Sends the bucket levels if they have changed, at most every `LEVELS_INTERVAL_S`."""
        levels = self._state.quotas.levels()
        if levels == self._shared_levels or now - self._levels_shared_at < LEVELS_INTERVAL_S:
            return
        self._shared_levels, self._levels_shared_at = levels, now
        self._replicator.replicate_bucket_levels(encode_levels(levels))

    def invalidate(self) -> None:
        """Forces the registry to be sent again: a new member of the view may lack it, and may lead next."""
        self._shared_version = None

    async def replicate_departure(self) -> None:
        """Shares the registry, and returns once every member of the view has received it.

        Raises `RequestError` if a member doesn't acknowledge it in time, or if no majority confirms that this
        node leads: edge nodes that follow another primary would not learn of the departure from this one.
        """
        soft_state_version = await self._share_soon()
        is_confirmed, is_shared = await asyncio.gather(
            self._leadership.confirm(),
            self._replicator.wait_for_soft_state_acks(soft_state_version, SHARE_TIMEOUT_S),
        )
        if not is_shared:
            raise RequestError(
                ErrorKind.NO_QUORUM, "not all members of the view received the registry in time"
            )
        if not is_confirmed:
            raise RequestError(ErrorKind.NO_QUORUM, "no majority confirmed that this node leads")

    async def _share_soon(self) -> SoftStateVersion:
        """Shares the registry once `MIN_SHARE_INTERVAL_S` has passed since it was shared last.

        Calls until then share it together.
        """
        if self._pending_share is None or self._pending_share.done():
            self._pending_share = asyncio.get_running_loop().create_task(self._share_after_interval())
        return await asyncio.shield(self._pending_share)

    async def _share_after_interval(self) -> SoftStateVersion:
        await asyncio.sleep(self._shared_at + MIN_SHARE_INTERVAL_S - asyncio.get_running_loop().time())
        self._leadership.require_primary()  # a node that was deposed meanwhile has an empty registry
        self.share_registry()
        return self._shared_soft_state_version

    def _encoded_soft_state(self) -> bytes:
        registry = self._state.registry
        soft_state = make_soft_state(
            registry.live_instances(),
            self._state.quotas.levels(),
            self._shared_edge_node_count,
            registry.departure_ages(self._shared_at),
        )
        return msgspec.msgpack.encode(soft_state)

    # on a new primary

    def restore(self, now: float) -> None:
        """Restores the soft state that the previous primary shared, if this node has received any."""
        if not self._replicator.soft_state:
            return
        try:
            soft_state = decode_soft_state(self._replicator.soft_state)
        except msgspec.DecodeError as error:
            # Written by another version of the program; heartbeats will soon rebuild the registry.
            self._log.warning("soft-state-skipped", extra={"error": str(error)})
            return
        self._state.restore(now, soft_state)
        self._log.info(
            "registry-restored",
            extra={
                "epoch": self._leadership.epoch,
                "servers": [one.id for one in soft_state.instances],
                "departed": list(soft_state.departure_ages()),
            },
        )
        levels = decode_levels(self._replicator.bucket_levels) or soft_state.levels()
        self._state.restore_levels(levels, now - self._replicator.bucket_levels_at)
        self._log_levels(levels)

    def _log_levels(self, levels: dict[str, BucketLevels]) -> None:
        """Logs how many tokens were restored for the rate limit of each tenant."""
        tokens = {tenant: round(level.limit) for tenant, level in levels.items()}
        self._log.info("quota-levels-restored", extra={"epoch": self._leadership.epoch, "levels": tokens})
