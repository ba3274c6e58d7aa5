"""Sends attempts if there is capacity, and updates the statistics that depend on them. No I/O."""

from math import inf

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.hedging import Hedging
from wheatroute.balancing.idle_connections import IdleConnectionStatistics
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.outlier_ejection import OutlierEjection
from wheatroute.balancing.request import Request
from wheatroute.balancing.retry_rules import deduplication_group
from wheatroute.balancing.server_selection import ServerSelection
from wheatroute.balancing.server_subset import ServerSubset


class AttemptSender:
    """Chooses a server for each attempt, sends it and records it."""

    def __init__(
        self,
        state: BalancerState,
        limiter: ConcurrencyLimiter,
        reports: LoadReports,
        subset: ServerSubset,
        selection: ServerSelection,
        ejection: OutlierEjection,
        hedging: Hedging,
        idle: IdleConnectionStatistics,
    ) -> None:
        self._state, self._limiter, self._reports = state, limiter, reports
        self._subset, self._selection, self._ejection = subset, selection, ejection
        self._hedging, self._idle = hedging, idle

    def send(self, request: Request) -> bool:
        """Sends one attempt if there is capacity and a suitable server; returns whether it was sent."""
        limiter, selection = self._limiter, self._selection
        server = self._ejection.pick_for_trial(request)
        if server < 0:
            is_over_limit = limiter.in_flight >= limiter.capacity * request.capacity_fraction
            if not is_over_limit or selection.has_lightly_loaded():
                server = selection.pick(request, is_over_limit)
        if server < 0 and not self._subset.servers:
            server = selection.pick_last_resort(request)
        if server < 0:
            return False
        self.send_to(request, server)
        return True

    def send_to(self, request: Request, server: int) -> None:
        """Sends one attempt to `server`, without a check of the capacity."""
        state, servers, n = self._state, self._state.servers, len(request.servers)
        now, settings = state.now, state.settings
        if not request.may_have_run and not request.attempts_in_flight:
            request.group, request.first_sent_at = deduplication_group(request.rules, servers, server), now
        request.servers.append(server)
        request.attempts_in_flight.add(n)
        request.idle_buckets.append(self._idle.bucket(self._close_idle(server)))
        opens_connection = not servers.spare_calls[server]
        request.opened_connection.append(opens_connection)
        servers.spare_calls[server] += (settings.calls_per_connection if opens_connection else 0) - 1
        servers.sent_at[server][request.number, n] = now
        servers.in_flight[server] += 1
        self._reports.add_sent(server)
        servers.slow_start_credit[server] -= 1.0
        self._limiter.in_flight += server in self._subset.weights
        state.writer.attempt(request.number, server, request.give_up_at - now)
        self._hedging.attempt_sent(request, n)

    def _close_idle(self, server: int) -> float:
        """Closes the connections to a server if they have been idle for too long.

        Connections that were idle for longer than the servers' idle timeout count as closed by the server.
        Returns for how many seconds the connection that the attempt will use was idle; 0 if it is busy or
        new.
        """
        servers, timeout_s = self._state.servers, self._state.settings.idle_timeout_s
        if servers.in_flight[server] or servers.used_at[server] == -inf:
            return 0.0
        idle_s = self._state.now - servers.used_at[server]
        if idle_s < min(self._idle.max_idle_s, timeout_s):
            return idle_s
        servers.spare_calls[server] = 0
        if idle_s < timeout_s:
            self._state.writer.close(server)
        return 0.0
