"""Operators' reads and writes of the replicated configuration, on the primary.

Invariant: of two changes that are based on the same generation, at most one is ever acknowledged. Changes are
applied one at a time to the committed state. A rejection, or the acknowledgement of a change that was applied
before, is sent only after a majority has confirmed that this node leads.
"""

from __future__ import annotations

import asyncio

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.control.changes import Change, ConfigurationState, apply_change, encode_state
from wheatroute.control.committed_configuration import CommittedConfiguration
from wheatroute.control.configuration_limits import ConfigurationLimits
from wheatroute.control.leadership import Leadership
from wheatroute.replication.replicator import Replicator

WRITE_TIMEOUT_S = 0.8  # less than the 1 s after which a caller tries another node
EARLIER_COMMIT_TIMEOUT_S = 0.2
COMMIT_POLL_INTERVAL_S = 0.005


class ConfigurationStore:
    """Reads the replicated configuration and applies operators' changes to it, one at a time."""

    def __init__(
        self,
        replicator: Replicator,
        leadership: Leadership,
        configuration: CommittedConfiguration,
        limits: ConfigurationLimits,
    ) -> None:
        self._limits = limits
        self._replicator = replicator
        self._leadership = leadership
        self._configuration = configuration
        self._write_lock = asyncio.Lock()

    async def change(self, change: Change) -> int:
        """Applies a change; returns the present generation once the change is committed.

        Raises `RequestError` if the change can't be applied or acknowledged, and `TimeoutError` if earlier
        changes take too long.
        """
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self._write_lock.acquire()
        try:
            return await self._change_locked(change)
        finally:
            self._write_lock.release()

    async def read(self) -> bytes:
        """Returns the newest configuration as JSON, never older than one acknowledged before the call."""
        self._leadership.require_primary()
        await self._leadership.require_confirmation()
        if not self._configuration.has_configuration:
            raise RequestError(ErrorKind.NO_ROUTE, "no configuration yet")
        return self._configuration.state.body

    async def _change_locked(self, change: Change) -> int:
        await self._wait_for_earlier_commit()
        if not self._replicator.core.is_healthy:
            raise RequestError(ErrorKind.STORAGE, "the disk does not accept writes")
        state = await self._apply(change)
        if state is None:
            return self._configuration.state.generation
        if not await self._replicator.write(encode_state(state), WRITE_TIMEOUT_S):
            raise RequestError(ErrorKind.NO_QUORUM, "too few control nodes wrote the change to disk in time")
        if self._configuration.state != state:
            raise RequestError(ErrorKind.NO_QUORUM, "the change is on disk, but not in force on this node")
        return state.generation

    async def _apply(self, change: Change) -> ConfigurationState | None:
        """Returns the state after a change, or None if the change was applied before.

        Raises `RequestError` if the change can't be applied.

        A result that isn't followed by a write (a rejection, or None) requires a leadership confirmation:
        without it, a primary that was deposed without knowing it could reject a change that another node has
        acknowledged.
        """
        try:
            state = apply_change(self._configuration.state, change, self._limits)
        except RequestError:
            await self._leadership.require_confirmation()
            raise
        if state is None:
            await self._leadership.require_confirmation()
            self._require_readable()
        return state

    def _require_readable(self) -> None:
        """Raises `RequestError` if no node can read the newest configuration, which is then not in force."""
        if reason := self._configuration.unreadable_reason:
            raise RequestError(ErrorKind.INVALID_CONFIGURATION, reason)

    async def _wait_for_earlier_commit(self) -> None:
        """Waits until the newest document is committed.

        It may be uncommitted because an earlier write is in progress, or because the leader has to commit it
        again after a view change. Raises `RequestError` if the commit takes too long.
        """
        loop, core = asyncio.get_running_loop(), self._replicator.core
        end = loop.time() + EARLIER_COMMIT_TIMEOUT_S
        while True:
            self._leadership.require_primary()
            if core.committed is not None and core.committed.version == core.document.version:
                return
            if loop.time() >= end or not core.is_healthy:
                raise RequestError(ErrorKind.NO_QUORUM, "an earlier change is not acknowledged yet")
            await asyncio.sleep(COMMIT_POLL_INTERVAL_S)
