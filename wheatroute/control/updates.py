"""Long polls of edge nodes: each returns once there is anything newer than the versions that it names."""

from __future__ import annotations

import asyncio

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import NotPrimary, Update, UpdateRequest
from wheatroute.control.committed_configuration import CommittedConfiguration
from wheatroute.control.leadership import Leadership
from wheatroute.control.primary_state import PrimaryState

MAX_POLL_S = 5.0
# Pending polls check this often that this node still leads, so that a primary that has lost its majority
# doesn't keep edge nodes waiting.
LEADERSHIP_CHECK_INTERVAL_S = 0.2


class UpdatePolls:
    """Handles the long polls of edge nodes, and wakes them when there may be an update."""

    def __init__(
        self, leadership: Leadership, configuration: CommittedConfiguration, state: PrimaryState
    ) -> None:
        self._leadership = leadership
        self._configuration = configuration
        self._state = state
        self._update_available = asyncio.Event()
        self._is_closed = False

    def notify_all(self) -> None:
        """Wakes all pending polls, because there may be an update."""
        update_available, self._update_available = self._update_available, asyncio.Event()
        update_available.set()

    def close(self) -> None:
        """Ends all pending and future polls, so that edge nodes turn to other control nodes."""
        self._is_closed = True
        self.notify_all()

    async def poll(self, request: UpdateRequest) -> Update | NotPrimary:
        """Waits until there is an update for this edge node or its poll times out; returns the response.

        An edge node gets its first configuration only after a majority has confirmed that this node leads,
        because an edge node that has just started can't recognize a deposed primary. A node that has a
        configuration never applies an older one, so the lease is sufficient for it.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + min(request.wait_s, MAX_POLL_S)
        while True:
            update_available = self._update_available
            if not self._can_answer():
                return self._leadership.not_primary()
            now = loop.time()
            self._state.edge_nodes.record_contact(now, request.node)
            if now < end and not self._has_update(request):
                await _wait(update_available, min(end - now, LEADERSHIP_CHECK_INTERVAL_S))
                continue
            if request.configuration >= 0 or not self._configuration.has_edge_configuration:
                return self._update(request, now)
            if not await self._leadership.confirm():
                return self._leadership.not_primary()
            if self._leadership.can_acknowledge:  # false if it was deposed during the confirmation
                return self._update(request, loop.time())

    def _can_answer(self) -> bool:
        try:
            self._leadership.require_primary()
        except RequestError:
            return False
        return not self._is_closed

    def _has_update(self, request: UpdateRequest) -> bool:
        if self._configuration.is_newer_than(request):
            return True
        version = self._state.registry.version
        return request.registry.epoch != version.epoch or request.registry.number != version.number

    def _update(self, request: UpdateRequest, now: float) -> Update:
        instances, is_full = self._state.registry.changes(request.registry)
        return Update(
            epoch=self._leadership.epoch,
            configuration=self._configuration.edge_sequence,
            configuration_change=self._configuration.difference_for(request),
            registry=self._state.registry.version,
            instances=instances,
            is_full=is_full,
            is_settled=self._state.registry.is_settled(now),
            control_hosts=self._leadership.control_hosts,
            edge_node_count=self._state.edge_nodes.count(now),
        )


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Waits until an event is set or the timeout expires."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
