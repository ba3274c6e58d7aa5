"""Whether the primary knows what this node's tenants used in the last window. A state machine without I/O.

Each new primary is sent once, with a usage report, all that was used within a window, and what is leased.
"""

from __future__ import annotations

from wheatroute.cluster.messages import QuotaDemand, UsageReport, UsageResponse
from wheatroute.edge.quota_leases import QuotaLeases


class RecentUsageReporter:
    """Adds the recent usage to the first report that each primary gets.

    `started_at` is when this process started: it knows of no usage before.
    """

    def __init__(self, quotas: QuotaLeases, started_at: float) -> None:
        self._quotas = quotas
        self._started_at = started_at
        self._reported_to = ""  # the primary that knows the recent usage
        self._leadership_epoch = -1  # of that primary

    def is_due(self, primary: str) -> bool:
        """Return whether this primary lacks the recent usage."""
        return primary != self._reported_to

    def has_primary_changed(self, primary: str) -> bool:
        """Return whether an earlier primary knew the recent usage and this one, new to it, doesn't."""
        return self.is_due(primary) and bool(self._reported_to)

    def make_report(
        self, node: str, primary: str, demands: dict[str, QuotaDemand], now: float
    ) -> UsageReport:
        """Return a report with these demands, and with the recent usage of all tenants if it is due."""
        if not self.is_due(primary):
            return UsageReport(node, demands)
        reported = {
            tenant: self._quotas.demand(tenant, 0.0, 0.0, now, with_recent_usage=True)
            for tenant in self._quotas.tenants()
        }
        for tenant, demand in demands.items():
            reported[tenant] = self._quotas.demand(tenant, demand.wanted, 0.0, now, with_recent_usage=True)
        span_s = min(self._quotas.window_s, now - self._started_at)
        return UsageReport(node, reported, recent_usage_span_s=span_s)

    def record_response(self, primary: str, report: UsageReport, response: UsageResponse) -> None:
        """Record a primary's response to a report."""
        if report.recent_usage_span_s is not None:
            self._reported_to, self._leadership_epoch = primary, response.leadership_epoch
        elif response.leadership_epoch != self._leadership_epoch:
            # it was deposed, leads again, and has lost the recent usage
            self._reported_to = ""
