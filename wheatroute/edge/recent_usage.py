"""Sends the recent usage of this node's tenants to each new primary. No I/O.

The recent usage is all tokens that were used within the last window of the quota rule, and those that are
leased. Each new primary gets it once, as part of a usage report.
"""

from __future__ import annotations

from wheatroute.cluster.messages import QuotaDemand, UsageReport, UsageResponse
from wheatroute.edge.quota_leases import QuotaLeases


class RecentUsageReporter:
    """Adds the recent usage to the first report to each primary.

    `started_at` is the time when this process started; usage before that is not known to it.
    """

    def __init__(self, quotas: QuotaLeases, started_at: float) -> None:
        self._quotas = quotas
        self._started_at = started_at
        self._reported_to = ""  # the primary that knows the recent usage
        self._leadership_epoch = -1  # epoch in which that primary began to lead

    def is_due(self, primary: str) -> bool:
        """Returns whether this primary lacks the recent usage."""
        return primary != self._reported_to

    def has_primary_changed(self, primary: str) -> bool:
        """Returns whether an earlier primary knows the recent usage and this one does not."""
        return self.is_due(primary) and bool(self._reported_to)

    def make_report(
        self, node: str, primary: str, demands: dict[str, QuotaDemand], now: float
    ) -> UsageReport:
        """Returns a report with these demands, and with all tenants' recent usage if the primary lacks it."""
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
        """Records which primary knows the recent usage, from its response to a report."""
        if report.recent_usage_span_s is not None:
            self._reported_to, self._leadership_epoch = primary, response.leadership_epoch
        elif response.leadership_epoch != self._leadership_epoch:
            # The host lost its role as the primary and has become the primary again since. It no longer has
            # the recent usage.
            self._reported_to = ""
