"""Reports of this node's usage to the primary: demand for tokens, load of the servers, unresponsive servers.

A report is sent at once when a request needs tokens, and regularly otherwise; its response brings grants and
the load of other nodes.
"""

from __future__ import annotations

import msgspec
import trio

from wheatroute.cluster.messages import USAGE_PATH, QuotaDemand, ServerLoad, UsageReport, UsageResponse
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.primary_client import PrimaryClient
from wheatroute.edge.quota_leases import IsolationPeriod
from wheatroute.edge.recent_usage import RecentUsageReporter

REPORT_TIMEOUT_S = 0.25
REPORT_INTERVAL_S = 0.3  # between two reports of one node
REPORT_SPACING_S = 0.01  # between two reports of all nodes, as the primary's load depends on it
MIN_INTERVAL_JITTER, INTERVAL_JITTER_RANGE = 0.8, 0.4  # factors of the interval
MAX_LEASE_ATTEMPTS = 2  # a host that isn't the primary names the next
LEASE_BACKOFF_S = 0.3  # after a host gave no answer, in which no request waits for a lease


class UsageReporter:
    """Sends the usage reports of one edge node."""

    def __init__(self, node: EdgeNode, primary_client: PrimaryClient) -> None:
        self._node = node
        self._primary_client = primary_client
        self._recent_usage = RecentUsageReporter(node.quotas, trio.current_time())
        self._report_due = trio.Event()
        self._reported_loads: dict[str, ServerLoad] = {}
        self._has_reported_unresponsive = False  # whether the last report named an unresponsive server

    async def run(self) -> None:
        """Report regularly until cancelled."""
        while True:
            await self._wait_for_next_report()
            await self._report()

    def report_soon(self) -> None:
        """Send the next report at once if a new primary lacks the recent usage."""
        if self._recent_usage.has_primary_changed(self._primary_client.primary):
            self._report_due.set()

    # leases

    async def request_lease(self, tenant: str, tokens: float) -> None:
        """Request tokens of a tenant; without a response the node uses local tokens."""
        if await self._send_lease_request(tenant, tokens):
            return
        node = self._node
        if limits := node.table.tenants.get(tenant):
            slack = node.settings.bounds.quota_slack
            node.quotas.refill_isolated(limits, trio.current_time(), node.edge_node_count, slack)

    async def _send_lease_request(self, tenant: str, tokens: float) -> bool:
        """Ask the primary, or the one that it names; return False at once if none has answered lately."""
        client = self._primary_client
        for _ in range(MAX_LEASE_ATTEMPTS):
            if client.is_isolated or trio.current_time() - client.failed_at < LEASE_BACKOFF_S:
                return False
            now = trio.current_time()
            demands = {tenant: self._node.quotas.demand(tenant, tokens, 0.0, now)}
            if await self._send(self._make_report(demands, now)):
                return True
        return False

    # reports

    def _make_report(self, demands: dict[str, QuotaDemand], now: float) -> UsageReport:
        primary = self._primary_client.primary
        return self._recent_usage.make_report(self._node.settings.node, primary, demands, now)

    async def _send(self, report: UsageReport) -> bool:
        """Send a report and apply the response; return False if there is none."""
        primary = self._primary_client.primary
        body = await self._primary_client.post(USAGE_PATH, report, REPORT_TIMEOUT_S, REPORT_TIMEOUT_S)
        if body is None:
            return False
        response = msgspec.msgpack.decode(body, type=UsageResponse)
        self._node.edge_node_count = response.edge_node_count
        self._recent_usage.record_response(primary, report, response)
        self._node.selector.load.set_remote(response.servers)
        for tenant, grant in response.grants.items():
            isolated_usage = report.tenants[tenant].isolated_usage
            period = self._node.quotas.apply_grant(tenant, grant, trio.current_time(), isolated_usage)
            if period is not None:
                self._log_isolation(period)
        return True

    def _log_isolation(self, period: IsolationPeriod) -> None:
        self._node.log.info(
            "quota-isolation-ended",
            extra={
                "tenant": period.tenant,
                "duration_s": round(period.duration_s, 2),
                "tokens": round(period.tokens),
                "edge_nodes": period.edge_node_count,
            },
        )

    async def _wait_for_next_report(self) -> None:
        node = self._node
        interval_s = max(REPORT_INTERVAL_S, REPORT_SPACING_S * node.edge_node_count)
        jitter = MIN_INTERVAL_JITTER + INTERVAL_JITTER_RANGE * node.rng.random()
        with trio.move_on_after(interval_s * jitter):
            await self._report_due.wait()
        self._report_due = trio.Event()

    async def _report(self) -> None:
        """Report the load and unresponsive servers, and return tokens that aren't needed."""
        node, primary = self._node, self._primary_client.primary
        now = trio.current_time()
        loads = node.selector.load.local()
        has_changes = loads or self._reported_loads or self._recent_usage.has_primary_changed(primary)
        if self._primary_client.is_isolated or not has_changes:
            return
        self._reported_loads = dict(loads)
        unresponsive = node.instances.unresponsive_for(now, node.selector.response_timeout_s)
        # an empty map says once that those named before have answered
        reported = unresponsive if unresponsive or self._has_reported_unresponsive else None
        self._has_reported_unresponsive = bool(unresponsive)
        # leased tokens are part of the recent usage, so none are returned in the same report
        demands = {} if self._recent_usage.is_due(primary) else self._demands(now)
        report = self._make_report(demands, now)
        await self._send(msgspec.structs.replace(report, servers=loads, unresponsive_for=reported))

    def _demands(self, now: float) -> dict[str, QuotaDemand]:
        """Return each tenant's demand, with the tokens that this node returns as it doesn't need them."""
        quotas = self._node.quotas
        return {
            tenant: quotas.demand(tenant, 0.0, quotas.take_surplus(tenant, now), now)
            for tenant in quotas.tenants()
            if quotas.demand_rate(tenant, now) or quotas.has_unacknowledged_usage(tenant)
        }
