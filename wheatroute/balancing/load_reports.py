"""The load of servers as they report it, themselves or by other nodes; the probes that ask for it. No I/O.

Load is what a server holds for all nodes: requests, or, where servers report how many requests wait,
seconds that one more request will wait there.
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

PROBING_NODES = 2  # nodes that probe for all others: probes by every node would cost too much
LIGHT_WAIT_OF_TARGET = 0.375  # of the shortest target latency may be spent waiting at a lightly loaded server


class LoadReports:
    """What is known of the servers' load, and how it is heard."""

    def __init__(self, state: BalancerState, ready: ReadyServers) -> None:
        self._state, self._ready = state, ready
        self.mean_load = 0.0  # of the servers that this node sends to, by recent reports
        self._to_probe = deque[int]()
        self._probes_in_flight = 0
        self._probed_loads: dict[int, float] = {}  # shown by probes, not sent to other nodes yet
        self.apply_settings()

    def apply_settings(self) -> None:
        """Takes over changed settings."""
        settings = self._state.settings
        reported = settings.reported
        self.is_probing = (
            settings.report_how == "probe"
            and settings.can_probe
            and settings.has_peers
            and settings.node < PROBING_NODES
        )
        self.reports_wait = {"queued", "rate"}.issubset(reported) and "held" not in reported
        self.reports_load = self.reports_wait or "held" in reported
        # what one more request adds: at a lightly loaded server even the shortest target must be met
        self.load_of_request = 1.0
        if self.reports_wait:
            shortest = min(one.target_latency for one in settings.request_classes)
            self.load_of_request = LIGHT_WAIT_OF_TARGET * shortest / MIN_IN_FLIGHT_PER_SERVER
        self._light_load = MIN_IN_FLIGHT_PER_SERVER * sqrt(self._state.tiers_from_here) * self.load_of_request

    def take_report(self, server: int, report: Report, elapsed_s: float) -> None:
        """Takes a server's own report, which came with an answer after this time.

        A report without a load gives one by Little's law: requests a second times the time that this one
        took.
        """
        rate = report.get("rate", 0.0)
        load = report.get("held", rate * elapsed_s)
        if self.reports_wait:  # at a server that answers nothing a request waits for ever
            load = min(LATENCY_WINDOW_S, report.get("queued", 0.0) / (rate or 1.0 / LATENCY_WINDOW_S))
        servers = self._state.servers
        servers.load[server], servers.reported_at[server] = load, self._state.now

    def take_peer_report(self, loads: Mapping[int, float]) -> None:
        """Takes what another node heard, for the servers that this node's list has."""
        servers = self._state.servers
        for server, load in loads.items():
            if server < len(servers.is_ready) and servers.is_ready[server]:
                servers.load[server], servers.reported_at[server] = load, self._state.now

    def add_sent(self, server: int) -> None:
        """Adds a request that was sent to what the server reported last."""
        weight = EXCESS_CAPACITY_FRACTION if self.reports_wait else 1.0
        self._state.servers.load[server] += self.load_of_request * weight

    def mark_full(self, server: int) -> None:
        """Counts a server that rejected an attempt as full as congested until its next report."""
        load = self._state.servers.load
        load[server] = max(load[server], CONGESTED_LOAD_RATIO * self.mean_load + 2 * self.load_of_request)

    def update_mean(self, members: list[int]) -> None:
        """Updates the mean load of these servers."""
        servers, now = self._state.servers, self._state.now
        loads = [servers.load[one] for one in members if now - servers.reported_at[one] < LATENCY_WINDOW_S]
        self.mean_load = sum(loads) / len(loads) if loads else 0.0

    def is_congested(self, server: int) -> bool:
        """Whether a server holds far more than the mean; an old report counts for little.

        It shows requests of other nodes, which this node's own attempts don't.
        """
        servers, mean = self._state.servers, self.mean_load
        age = self._state.now - servers.reported_at[server]
        load = mean + (servers.load[server] - mean) / (1.0 + age / UPDATE_INTERVAL_S)
        return load > CONGESTED_LOAD_RATIO * mean + self.load_of_request

    def is_lightly_loaded(self, server: int, fraction: float = 1.0) -> bool:
        """Whether a server holds little for all nodes, by a fresh report and what was sent since.

        A node that sees little traffic would else take a random cluster of requests for a lack of capacity.
        A server also holds what waits for the tiers below, which leaves it the less busy: the bound grows
        with them.
        """
        servers, now = self._state.servers, self._state.now
        return (
            self.reports_load
            and servers.load[server] < self._light_load * fraction
            and now - servers.reported_at[server] < UPDATE_INTERVAL_S
            and servers.full_until[server] <= now
        )

    def probe_next(self) -> None:
        """Probes the next part of all servers, each once in `UPDATE_INTERVAL_S` by each probing node."""
        self._probes_in_flight = 0
        ring = self._ready.ring()
        half = len(ring) // 2
        if not self._to_probe:  # one of the two nodes is half a ring ahead
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
        """Takes a probe's answer; once all have ended, sends what they showed to the other nodes."""
        self._probes_in_flight -= 1
        if report and outcome == AttemptOutcome.SERVED:
            self.take_report(server, report, elapsed_s)
            self._probed_loads[server] = self._state.servers.load[server]
        if self._probes_in_flight <= 0 and self._probed_loads:
            self._state.writer.send_loads(self._probed_loads)
            self._probed_loads = {}
