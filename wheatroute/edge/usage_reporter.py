"""Reports this node's demand for quota tokens, server load and unresponsive servers to the primary.

A report is sent at once when a request needs tokens, and periodically otherwise. The response contains grants
and the load that other nodes put on the servers.
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
REPORT_INTERVAL_S = 0.3  # minimum mean interval between two reports of one node
# Minimum mean interval between two reports that the primary receives, from whichever nodes: the rate of all
# reports determines its load.
REPORT_SPACING_S = 0.01
MIN_INTERVAL_JITTER, INTERVAL_JITTER_RANGE = 0.8, 0.4  # the interval is multiplied by 0.8 to 1.2
MAX_LEASE_ATTEMPTS = 2  # the second goes to the primary that another host has named
LEASE_BACKOFF_S = 0.3  # after a host did not answer, no request waits for a lease for this time


class UsageReporter:
    """Sends the usage reports of one edge node."""

    def __init__(self, node: EdgeNode, primary_client: PrimaryClient) -> None:
        self._node = node
        self._primary_client = primary_client
        self._recent_usage = RecentUsageReporter(node.quotas, trio.current_time())
        self._report_due = trio.Event()
        self._reported_loads: dict[str, ServerLoad] = {}
        # Whether the last periodic report named an unresponsive server.
        self._has_reported_unresponsive = False

    async def run(self) -> None:
        """Sends periodic reports until cancelled."""
        while True:
            await self._wait_for_next_report()
            await self._report()

    def report_if_primary_changed(self) -> None:
        """Sends the next report at once if a new primary lacks the recent usage."""
        if self._recent_usage.has_primary_changed(self._primary_client.primary):
            self._report_due.set()

    # Quota leases

    async def request_lease(self, tenant: str, tokens: float) -> None:
        """Requests tokens of a tenant; without a response, refills the tenant's local tokens."""
        if await self._send_lease_request(tenant, tokens):
            return
        node = self._node
        if limits := node.table.tenants.get(tenant):
            slack = node.settings.bounds.quota_slack
            node.quotas.refill_isolated(limits, trio.current_time(), node.edge_node_count, slack)

    async def _send_lease_request(self, tenant: str, tokens: float) -> bool:
        """Requests a lease from the primary; if that is redirected, requests it from the host that was named.

        Returns False if there is no response. Sends no request, and returns False at once, if the primary
        counts as lost or if within the last `LEASE_BACKOFF_S` a host did not answer.
        """
        client = self._primary_client
        for _ in range(MAX_LEASE_ATTEMPTS):
            if client.has_lost_primary or trio.current_time() - client.failed_at < LEASE_BACKOFF_S:
                return False
            now = trio.current_time()
            demands = {tenant: self._node.quotas.demand(tenant, tokens, 0.0, now)}
            if await self._send(self._make_report(demands, now)):
                return True
        return False

    # Reports to the primary

    def _make_report(self, demands: dict[str, QuotaDemand], now: float) -> UsageReport:
        primary = self._primary_client.primary
        return self._recent_usage.make_report(self._node.settings.node, primary, demands, now)

    async def _send(self, report: UsageReport) -> bool:
        """Sends a report and applies the response; returns False if there is none."""
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
        """Reports the load and unresponsive servers, and returns surplus tokens.

        Sends a report only if the primary doesn't count as lost and there is news: load now or in the last
        report, or a primary that has changed and lacks the recent usage.
        """
        node, primary = self._node, self._primary_client.primary
        now = trio.current_time()
        loads = node.selector.load.local()
        has_changes = loads or self._reported_loads or self._recent_usage.has_primary_changed(primary)
        if self._primary_client.has_lost_primary or not has_changes:
            return
        self._reported_loads = dict(loads)
        unresponsive = node.instances.unresponsive_for(now, node.selector.response_timeout_s)
        # After a report with unresponsive servers, one with an empty map reports that they have answered.
        reported = unresponsive if unresponsive or self._has_reported_unresponsive else None
        self._has_reported_unresponsive = bool(unresponsive)
        # A report with the recent usage counts leased tokens as used, so surplus tokens are not returned in
        # it but in a later report.
        demands = {} if self._recent_usage.is_due(primary) else self._demands(now)
        report = self._make_report(demands, now)
        await self._send(msgspec.structs.replace(report, servers=loads, unresponsive_for=reported))

    def _demands(self, now: float) -> dict[str, QuotaDemand]:
        """Returns each tenant's demand, including the surplus tokens that this node returns."""
        quotas = self._node.quotas
        return {
            tenant: quotas.demand(tenant, 0.0, quotas.take_surplus(tenant, now), now)
            for tenant in quotas.tenants()
            if quotas.demand_rate(tenant, now) or quotas.has_unacknowledged_usage(tenant)
        }
