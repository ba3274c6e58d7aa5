"""Keeps this node's configuration and servers up to date by long polls of the primary.

A poll carries the versions of the configuration and of the registry that are in force on this node. The
primary answers it once it has a newer version of either, or after the time that the poll names.
"""

from __future__ import annotations

import msgspec
import trio

from wheatroute.cluster.distribution import DifferenceError, decode_difference
from wheatroute.cluster.messages import UPDATES_PATH, Update, UpdateRequest
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.primary_client import CONNECT_TIMEOUT_S, PrimaryClient
from wheatroute.edge.routing import RoutingTable
from wheatroute.edge.usage_reporter import UsageReporter

POLL_WAIT_S = 0.7  # seconds for which the primary may hold a poll
FIRST_POLL_WAIT_S = 0.3  # seconds for which the primary may hold a poll of a node without a configuration
POLL_MARGIN_S = 0.45  # seconds beyond `POLL_WAIT_S` after which a poll without a response has failed
HOST_BACKOFF_S = 0.06  # mean pause after a failed poll, before the next host is polled


class ControlClient:
    """Polls the primary for updates, and runs the usage reports."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node
        self._primary_client = PrimaryClient(node)
        self._usage_reporter = UsageReporter(node, self._primary_client)
        self._epoch = -1  # highest epoch of all updates received
        self._wants_full = False  # whether the last difference could not be applied

    async def run(self) -> None:
        """Polls for updates and reports usage until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._usage_reporter.run)
            await self._poll_forever()

    async def request_lease(self, tenant: str, tokens: float) -> None:
        """Requests quota tokens of a tenant; without a response, refills the tenant's local tokens."""
        await self._usage_reporter.request_lease(tenant, tokens)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seed hosts, which are the control nodes named in the settings."""
        self._primary_client.set_seeds(seeds)

    async def _poll_forever(self) -> None:
        client = self._primary_client
        is_redirected = False
        while True:
            host = client.primary
            if await self._poll():
                is_redirected = False
                continue
            # A redirect to another primary is followed at once, unless it came from a host that was itself
            # reached by a redirect.
            is_redirected = not is_redirected and client.was_redirected and client.primary != host
            if not is_redirected:
                await trio.sleep(HOST_BACKOFF_S * (0.5 + self._node.rng.random()))

    async def _poll(self) -> bool:
        """Does one long poll and applies the update; returns False if either fails."""
        node, client = self._node, self._primary_client
        request = UpdateRequest(
            node.settings.node,
            node.settings.zone,
            node.table.sequence,
            node.instances.version,
            POLL_WAIT_S if node.is_configured else FIRST_POLL_WAIT_S,
            self._wants_full,
        )
        body = await client.post(UPDATES_PATH, request, POLL_WAIT_S + POLL_MARGIN_S, CONNECT_TIMEOUT_S)
        if body is None:
            return False
        update = msgspec.msgpack.decode(body, type=Update)
        if update.epoch < self._epoch:
            client.switch_host()
            return False
        self._epoch, client.updated_at = update.epoch, trio.current_time()
        self._usage_reporter.report_if_primary_changed()
        client.set_hosts(update.control_hosts)
        node.apply(update, self._updated_table(update))
        return not self._wants_full

    def _updated_table(self, update: Update) -> RoutingTable | None:
        """Returns the routing table of a newer configuration, None if there is none.

        If the difference cannot be applied, the next poll requests the full configuration.
        """
        if update.configuration_change is None:
            return None
        node = self._node
        try:
            table = node.table.apply_difference(decode_difference(update.configuration_change))
        except DifferenceError as error:
            self._wants_full = True
            node.log.warning("configuration-difference-rejected", extra={"error": str(error)})
            return None
        self._wants_full = False
        return table
