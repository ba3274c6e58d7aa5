"""Whether the primary has been told what this node's tenants used of late; a state machine without I/O."""

from __future__ import annotations

from wheatroute.cluster.messages import QuotaDemand, UsageReport, UsageResponse
from wheatroute.edge.quota_leases import QuotaLeases


class UsageAccounts:
    """What each new primary is told once: all that was used within a window, and what is in hand."""

    def __init__(self, quotas: QuotaLeases, begun: float) -> None:
        self._quotas = quotas
        self._begun = begun  # when this process began: it knows of nothing before
        self._host = ""  # the primary that has the account
        self._lead = -1  # epoch in which it began to lead

    def due(self, primary: str) -> bool:
        """Whether this primary is to be told."""
        return primary != self._host

    def moved(self, primary: str) -> bool:
        """Whether another one had been told: then this one has just begun, and is to be told soon."""
        return self.due(primary) and bool(self._host)

    def report(self, node: str, primary: str, needs: dict[str, QuotaDemand], now: float) -> UsageReport:
        """A report with these needs, and with the account if it is due."""
        if not self.due(primary):
            return UsageReport(node, needs)
        recent = {
            tenant: self._quotas.need(tenant, 0.0, 0.0, now, recent=True) for tenant in self._quotas.tenants()
        }
        for tenant, need in needs.items():
            recent[tenant] = self._quotas.need(tenant, need.wanted, 0.0, now, recent=True)
        reach_s = min(self._quotas.window_s, now - self._begun)
        return UsageReport(node, recent, recent_usage_span_s=reach_s)

    def answered(self, primary: str, report: UsageReport, answer: UsageResponse) -> None:
        """The answer to a report that went to this primary."""
        if report.recent_usage_span_s is not None:
            self._host, self._lead = primary, answer.leadership_epoch
        elif answer.leadership_epoch != self._lead:
            self._host = ""  # it had been deposed, leads again and has lost the account
