"""What a primary keeps for its term: servers, edge nodes and tenants' tokens. A state machine without I/O.

It is not part of the replicated document: a new primary starts empty, or from the soft state that the
previous primary shared. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import UsageReport, UsageResponse
from wheatroute.cluster.process_limits import max_registry_bytes
from wheatroute.cluster.settings import Settings
from wheatroute.control.edge_nodes import EdgeNodes
from wheatroute.control.failure_detector import FailureDetector
from wheatroute.control.quotas import BucketLevels, QuotaBuckets, handle_usage_report
from wheatroute.control.registry import Registry
from wheatroute.control.soft_state import SoftState

NO_EPOCH = -1  # epoch of the registry on a node that isn't the primary
FIRST_EPOCH = 1  # epoch of the first primary that the system ever had


class SuspectedServer(NamedTuple):
    """A server that the failure detector suspects, and the age of its last heartbeat."""

    server: str
    last_heartbeat_age_s: float


class PrimaryState:
    """Holds the server registry, the edge nodes, the tenants' token buckets and the failure detector."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.registry = self._new_registry(NO_EPOCH, 0.0)
        self.quotas = self._new_quotas(is_first=True)
        self.edge_nodes = EdgeNodes()
        self._failure_detector = FailureDetector(self._heartbeat_s)

    @property
    def _heartbeat_s(self) -> float:
        return self._settings.heartbeat_ms / 1000.0

    def _new_registry(self, epoch: int, now: float) -> Registry:
        return Registry(epoch, self._heartbeat_s, now, max_registry_bytes(self._settings.limits))

    def _new_quotas(self, is_first: bool) -> QuotaBuckets:
        bounds = self._settings.bounds
        return QuotaBuckets(bounds.quota_slack, bounds.quota_excess, is_first)

    def apply_settings(self, settings: Settings) -> None:
        """Applies changed settings; servers, edge nodes and tokens are kept."""
        self._settings = settings
        self.registry.expect_heartbeats(self._heartbeat_s)
        self._failure_detector.expect_heartbeats(self._heartbeat_s)
        self.quotas.set_allowance(settings.bounds.quota_slack, settings.bounds.quota_excess)

    # start and end of the term

    @property
    def leadership_epoch(self) -> int:
        """The epoch in which this node became primary; `NO_EPOCH` if it isn't the primary."""
        return self.registry.version.epoch

    @property
    def is_in_term(self) -> bool:
        """Whether this node's term as primary has begun and not ended."""
        return self.leadership_epoch > NO_EPOCH

    def begin_term(self, now: float, epoch: int, tenants: list[Tenant]) -> None:
        """Resets all state for the term that begins in `epoch`, and applies the tenants' rate limits."""
        self.registry = self._new_registry(epoch, now)
        self.quotas = self._new_quotas(is_first=epoch <= FIRST_EPOCH)
        self.quotas.configure(tenants, now)
        self.edge_nodes = EdgeNodes(now)
        self._failure_detector = FailureDetector(self._heartbeat_s)
        self.quotas.begin_term(now, 0, self._settings.bounds.quota_window_s)

    def restore(self, now: float, soft_state: SoftState) -> None:
        """Restores the servers and the number of edge nodes that the previous primary shared."""
        self.registry.restore(now, soft_state.instances)
        self.registry.restore_departures(now, soft_state.departure_ages())
        self.edge_nodes = EdgeNodes(now, soft_state.edge_node_count)
        self.quotas.begin_term(now, soft_state.edge_node_count, self._settings.bounds.quota_window_s)

    def restore_levels(self, levels: dict[str, BucketLevels], age_s: float) -> None:
        """Restores the bucket levels that the previous primary shared `age_s` seconds ago."""
        self.quotas.restore(levels, age_s)

    def end_term(self, now: float) -> None:
        """Clears the registry: this node is no longer the primary."""
        self.registry = self._new_registry(NO_EPOCH, now)

    # reports of edge nodes

    def report_usage(self, now: float, report: UsageReport) -> UsageResponse:
        """Applies an edge node's usage report and returns the grants for it."""
        return handle_usage_report(self.quotas, self.edge_nodes, now, report, self.leadership_epoch)

    def report_unresponsive(
        self, now: float, node: str, unresponsive_for: dict[str, float]
    ) -> list[SuspectedServer]:
        """Applies an edge node's report of unresponsive servers; returns the servers that are now suspected.

        `unresponsive_for` maps each server to the seconds without a response. Suspected servers are marked as
        unresponsive in the registry.
        """
        self._failure_detector.report(now, node, unresponsive_for)
        suspected = []
        for server in unresponsive_for:
            last_heartbeat = self.registry.last_heartbeat(server)
            if last_heartbeat is None or not self._failure_detector.is_suspected(
                now, server, last_heartbeat, self.edge_nodes.count(now)
            ):
                continue
            self.registry.mark_unresponsive(server)
            suspected.append(SuspectedServer(server, now - last_heartbeat))
        return suspected
