"""Long polls of edge nodes: each is answered once there is something newer than the versions it names."""

from __future__ import annotations

import asyncio

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import NotPrimary, Update, UpdateRequest
from wheatroute.control.committed_configuration import CommittedConfiguration
from wheatroute.control.leadership import Leadership
from wheatroute.control.primary_state import PrimaryState

MAX_POLL_S = 5.0
LEADERSHIP_CHECK_INTERVAL_S = 0.2  # a primary that lost its majority must not keep an edge node waiting


class UpdatePolls:
    """The long polls that wait on this node."""

    def __init__(
        self, leadership: Leadership, configuration: CommittedConfiguration, state: PrimaryState
    ) -> None:
        self._leadership = leadership
        self._configuration = configuration
        self._state = state
        self._update_available = asyncio.Event()
        self._is_closed = False

    def notify_all(self) -> None:
        """Wakes every poll that waits: there may be an update for it."""
        update_available, self._update_available = self._update_available, asyncio.Event()
        update_available.set()

    def close(self) -> None:
        """Ends every poll, also those to come: edge nodes ask other control nodes."""
        self._is_closed = True
        self.notify_all()

    async def poll(self, request: UpdateRequest) -> Update | NotPrimary:
        """Waits until there is something new for this edge node, or its time is up.

        An edge node's first configuration is handed out only once a majority has confirmed that this node
        leads: an edge node that has just started can't recognize an old primary. One that has a configuration
        takes nothing older, so the lease is enough for it.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + min(request.wait_s, MAX_POLL_S)
        while True:
            update_available = self._update_available
            if not self._can_answer():
                return self._leadership.not_primary()
            now = loop.time()
            self._state.edge_nodes.contact(now, request.node)
            if now < end and not self._has_update(request):
                await _wait(update_available, min(end - now, LEADERSHIP_CHECK_INTERVAL_S))
                continue
            if request.configuration >= 0 or not self._configuration.has_configuration:
                return self._update(request, now)
            if not await self._leadership.is_confirmed():
                return self._leadership.not_primary()
            if self._leadership.can_acknowledge:  # else it was deposed meanwhile
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
    """Waits until an event is set or the time is up."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
