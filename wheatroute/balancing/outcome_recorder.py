"""Records the outcomes of attempts in the statistics, and triggers the ejection of servers. No I/O."""

from __future__ import annotations

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.idle_connections import IdleConnectionStatistics
from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.outlier_ejection import OutlierEjection
from wheatroute.balancing.parameters import LATENCY_WINDOW_S, SMOOTHING, UPDATE_INTERVAL_S
from wheatroute.balancing.request import Request


class OutcomeRecorder:
    """Records the outcome of each attempt: server health, idle losses, connections."""

    def __init__(
        self,
        state: BalancerState,
        limiter: ConcurrencyLimiter,
        reports: LoadReports,
        ejection: OutlierEjection,
        idle: IdleConnectionStatistics,
    ) -> None:
        self._state, self._limiter, self._reports = state, limiter, reports
        self._ejection, self._idle = ejection, idle
        self._served_count = 0  # attempts served since the last tick
        self.served_rate = 0.0  # attempts served per second, moving average

    def update_served_rate(self, interval_s: float) -> None:
        """Updates `served_rate` with the attempts served in the last `interval_s` seconds."""
        rate = self._served_count / interval_s
        self.served_rate += (rate - self.served_rate) * SMOOTHING if self.served_rate else rate
        self._served_count = 0

    def record(
        self, request: Request, n: int, server: int, outcome: AttemptOutcome, elapsed_s: float
    ) -> None:
        """Records how attempt number `n` of a request ended at a server, `elapsed_s` after it was sent."""
        self._record_health(request, server, outcome, elapsed_s)
        self._record_idle_loss(request, n, server, outcome, elapsed_s)
        self._record_connection(request.opened_connection[n], server, outcome)

    def _record_health(
        self, request: Request, server: int, outcome: AttemptOutcome, elapsed_s: float
    ) -> None:
        servers, now = self._state.servers, self._state.now
        mean = self._state.latencies.mean[request.class_number]
        if outcome == AttemptOutcome.SERVED:
            self._record_served(request, server, elapsed_s)
        elif outcome == AttemptOutcome.TIMED_OUT:
            self._add_latency(request, server, elapsed_s, False)
        elif outcome == AttemptOutcome.WITHDRAWN:
            # Without the cancellation the attempt would have taken at least `elapsed_s`.
            relative = elapsed_s / (mean * request.relative_size or elapsed_s or 1.0)
            if relative > servers.latency[server] > 0.0:
                self._smooth_latency(server, relative)
                servers.connection_failures[server] += 1
        elif outcome in (AttemptOutcome.ERROR, AttemptOutcome.UNKNOWN):
            servers.error_rate[server] += (1.0 - servers.error_rate[server]) * SMOOTHING
            self._ejection.check_errors(server)
        elif outcome == AttemptOutcome.UNCONNECTED:
            # A server that refuses connections has stopped. After its restart it must warm up, even if the
            # server list shows no restart. If the connection attempt timed out instead (half the timeout or
            # more has passed), the network path may be at fault.
            if elapsed_s < self._state.settings.connect_timeout_s / 2:
                servers.started_at[server] = max(servers.started_at[server], now)
        elif outcome == AttemptOutcome.FULL:
            # No attempt is sent to the server until it can have finished a request.
            servers.full_until[server] = now + mean / 2
            self._reports.mark_full(server)
        if outcome != AttemptOutcome.SERVED:
            # Any outcome but SERVED fails a half-open trial, also if its request was rejected or never sent.
            self._ejection.fail_trial(server)

    def _record_served(self, request: Request, server: int, elapsed_s: float) -> None:
        servers = self._state.servers
        self._served_count += 1
        self._limiter.served_count += 1
        servers.served_count[server] += 1
        servers.full_until[server] = 0.0
        self._add_latency(request, server, elapsed_s, True)
        servers.answered_at[server] = self._state.now
        servers.error_rate[server] *= 1.0 - SMOOTHING
        servers.connection_failures[server] = 0
        self._ejection.pass_trial(server)

    def _add_latency(self, request: Request, server: int, elapsed_s: float, is_served: bool) -> None:
        latencies, now = self._state.latencies, self._state.now
        relative = latencies.add(now, request.class_number, elapsed_s, is_served, request.relative_size)
        self._smooth_latency(server, relative)

    def _smooth_latency(self, server: int, relative: float) -> None:
        """Adds a latency to a server's moving average, in which old measurements lose weight."""
        servers, now = self._state.servers, self._state.now
        kept = servers.weight[server] * min(1.0 - SMOOTHING, servers.recency(server, now))
        servers.weight[server], servers.latency_at[server] = kept + 1.0, now
        servers.latency[server] += (relative - servers.latency[server]) / (kept + 1.0)

    def _record_idle_loss(
        self, request: Request, n: int, server: int, outcome: AttemptOutcome, elapsed_s: float
    ) -> None:
        bucket = request.idle_buckets[n]
        if outcome == AttemptOutcome.SERVED:
            self._idle.answered[bucket] += 1.0
            self._state.servers.used_at[server] = self._state.now
        elif outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.WITHDRAWN):
            latencies = self._state.latencies
            expected_s = latencies.mean[request.class_number] * max(1.0, latencies.latest_median)
            if elapsed_s > 2 * expected_s:
                self._idle.lost[bucket] += 1.0

    def _record_connection(self, opened: bool, server: int, outcome: AttemptOutcome) -> None:
        """Tracks open connections, and detects servers that accept no new connections.

        The servers of a tier may refuse new connections for a while, or have reached their limit of
        connections, and still answer on open connections. Open connections to them stay in use; otherwise the
        load would be concentrated on few servers.
        """
        servers = self._state.servers
        if outcome in (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.FULL):
            servers.spare_calls[server] += 1
            if opened:
                servers.connect_backoff_s[server] = servers.connect_after[server] = 0.0
            return
        if outcome == AttemptOutcome.UNCONNECTED and opened:
            servers.connect_backoff_s[server] = min(
                max(UPDATE_INTERVAL_S / 2, 2 * servers.connect_backoff_s[server]), LATENCY_WINDOW_S / 2
            )
            servers.connect_after[server] = self._state.now + servers.connect_backoff_s[server]
        elif outcome in (AttemptOutcome.UNCONNECTED, AttemptOutcome.RESET):
            servers.spare_calls[server] = 0
            servers.connection_failures[server] += 1
            if servers.connection_failures[server] > 1:
                # A single failure may be the network path's fault. If the paths to all servers are bad,
                # ejecting at the first failure would concentrate the load on the few servers that happened to
                # be reached.
                self._ejection.eject(server)
