"""Load of the servers, reported by the servers or by other nodes, and the probes that ask for it. No I/O.

The load of a server includes the requests of all nodes. It is the number of requests in progress at the
server or, if servers report their queue length and rate, the seconds that one more request would wait there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import ceil, sqrt

from wheatroute.balancing.interface import AttemptOutcome, Report
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import (
    CONGESTED_LOAD_RATIO,
    EXCESS_CAPACITY_FRACTION,
    LATENCY_WINDOW_S,
    MIN_IN_FLIGHT_PER_SERVER,
    TICK_INTERVAL_S,
    UPDATE_INTERVAL_S,
)
from wheatroute.balancing.ready_servers import ReadyServers

# Number of nodes that probe on behalf of all others, since probes by every node would cost too much.
PROBING_NODES = 2
# A request at a lightly loaded server may wait for this fraction of the shortest target latency.
LIGHT_WAIT_OF_TARGET = 0.375


class LoadReports:
    """Records load reports, probes servers, and identifies lightly loaded and congested servers."""

    def __init__(self, state: BalancerState, ready: ReadyServers) -> None:
        self._state, self._ready = state, ready
        self.mean_load = 0.0  # mean load of the servers that this node sends to, from recent reports
        self._to_probe = deque[int]()
        self._probes_in_flight = 0
        # Loads by server, as probed, that were not yet sent to the other nodes.
        self._probed_loads: dict[int, float] = {}
        self.apply_settings()

    def apply_settings(self) -> None:
        """Derives from changed settings whether to probe, what kind of load is reported, and load bounds."""
        settings = self._state.settings
        reported = settings.reported
        self.is_probing = (
            settings.report_how == "probe"
            and settings.can_probe
            and settings.has_peers
            and settings.node < PROBING_NODES
        )
        # `reports_wait`: whether the seconds that a request would wait can be computed from the reports.
        # `reports_load`: whether the reports contain any load, that wait or the requests in progress.
        self.reports_wait = {"queued", "rate"}.issubset(reported) and "held" not in reported
        self.reports_load = self.reports_wait or "held" in reported
        # Load that one more request adds. If a load is the seconds that a request would wait, it is
        # set so that a request meets even the shortest target latency at a lightly loaded server.
        self.load_of_request = 1.0
        if self.reports_wait:
            shortest = min(request_class.target_latency for request_class in settings.request_classes)
            self.load_of_request = LIGHT_WAIT_OF_TARGET * shortest / MIN_IN_FLIGHT_PER_SERVER
        self._light_load = MIN_IN_FLIGHT_PER_SERVER * sqrt(self._state.tiers_from_here) * self.load_of_request

    def record_report(self, server: int, report: Report, elapsed_s: float) -> None:
        """Records a server's report, received `elapsed_s` after the attempt or probe was sent.

        If a report lacks the number of requests in progress, it is estimated by Little's law: the server's
        requests per second times the duration of this request.
        """
        rate = report.get("rate", 0.0)
        load = report.get("held", rate * elapsed_s)
        # The wait is capped, because it would be infinite with a reported rate of 0 or none.
        if self.reports_wait:
            load = min(LATENCY_WINDOW_S, report.get("queued", 0.0) / (rate or 1.0 / LATENCY_WINDOW_S))
        servers = self._state.servers
        servers.load[server], servers.reported_at[server] = load, self._state.now

    def record_peer_report(self, loads: Mapping[int, float]) -> None:
        """Records loads that another node received, for the servers in this node's list."""
        servers = self._state.servers
        for server, load in loads.items():
            if server < len(servers.is_ready) and servers.is_ready[server]:
                servers.load[server], servers.reported_at[server] = load, self._state.now

    def add_sent(self, server: int) -> None:
        """Adds a request that was just sent to the load that the server reported last."""
        weight = EXCESS_CAPACITY_FRACTION if self.reports_wait else 1.0
        self._state.servers.load[server] += self.load_of_request * weight

    def mark_full(self, server: int) -> None:
        """Marks a server as congested until its next report, because it rejected an attempt as full."""
        load = self._state.servers.load
        load[server] = max(load[server], CONGESTED_LOAD_RATIO * self.mean_load + 2 * self.load_of_request)

    def update_mean(self, members: list[int]) -> None:
        """Updates `mean_load` from the recent reports of `members`."""
        servers, now = self._state.servers, self._state.now
        loads = [
            servers.load[server] for server in members if now - servers.reported_at[server] < LATENCY_WINDOW_S
        ]
        self.mean_load = sum(loads) / len(loads) if loads else 0.0

    def is_congested(self, server: int) -> bool:
        """Returns whether a server's load is far above the mean; the older its report, the less it counts.

        Unlike this node's attempts in flight, the load includes the requests of other nodes.
        """
        servers, mean = self._state.servers, self.mean_load
        age = self._state.now - servers.reported_at[server]
        load = mean + (servers.load[server] - mean) / (1.0 + age / UPDATE_INTERVAL_S)
        return load > CONGESTED_LOAD_RATIO * mean + self.load_of_request

    def is_lightly_loaded(self, server: int, fraction: float = 1.0) -> bool:
        """Returns whether a server's load is low, from a recent report plus the requests sent since.

        Without this check, a node with little traffic would mistake a random cluster of requests for a lack
        of capacity. The bound grows with the number of tiers, because a server's load includes requests that
        only wait for the tiers below and don't keep the server busy.
        """
        servers, now = self._state.servers, self._state.now
        return (
            self.reports_load
            and servers.load[server] < self._light_load * fraction
            and now - servers.reported_at[server] < UPDATE_INTERVAL_S
            and servers.full_until[server] <= now
        )

    def probe_next(self) -> None:
        """Probes the next servers; each probing node probes every server once per `UPDATE_INTERVAL_S`."""
        self._probes_in_flight = 0
        ring = self._ready.ring()
        half = len(ring) // 2
        # The two probing nodes start half a ring apart.
        if not self._to_probe:
            self._to_probe.extend(ring if self._state.settings.node else ring[half:] + ring[:half])
        count = ceil(len(ring) * TICK_INTERVAL_S / UPDATE_INTERVAL_S)
        for _ in range(min(len(self._to_probe), count)):
            server = self._to_probe.popleft()
            if self._state.servers.is_ready[server]:
                self._probes_in_flight += 1
                self._state.writer.probe(server)

    def probe_ended(
        self, server: int, outcome: AttemptOutcome, elapsed_s: float, report: Report | None
    ) -> None:
        """Records a probe's result; once all probes have ended, sends the results to the other nodes."""
        self._probes_in_flight -= 1
        if report and outcome == AttemptOutcome.SERVED:
            self.record_report(server, report, elapsed_s)
            self._probed_loads[server] = self._state.servers.load[server]
        if self._probes_in_flight <= 0 and self._probed_loads:
            self._state.writer.send_loads(self._probed_loads)
            self._probed_loads = {}
