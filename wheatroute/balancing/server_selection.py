"""Server selection: a weighted random draw among the servers of the subset. No I/O."""

from bisect import bisect
from math import inf

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import MIN_IN_FLIGHT_PER_SERVER
from wheatroute.balancing.request import Request
from wheatroute.balancing.retry_rules import deduplication_group
from wheatroute.balancing.server_subset import ServerSubset
from wheatroute.balancing.slow_start import SlowStart

MAX_DRAWS = 4  # servers drawn for an attempt before the best one of them is used
# The draw is repeated if the drawn server's attempts in flight reach this multiple of the subset's mean, plus
# 0.1.
BUSY_SERVER_RATIO = 1.0


class ServerSelection:
    """Chooses the server for each attempt, except for half-open trials (`OutlierEjection.pick_for_trial`)."""

    def __init__(
        self,
        state: BalancerState,
        limiter: ConcurrencyLimiter,
        reports: LoadReports,
        slow_start: SlowStart,
        subset: ServerSubset,
    ) -> None:
        self._state, self._limiter, self._reports = state, limiter, reports
        self._slow_start, self._subset = slow_start, subset

    def pick(self, request: Request, only_lightly_loaded: bool = False) -> int:
        """Draws a server by weight and redraws if that server should be avoided; returns -1 for none.

        A server should be avoided if it is busier than the mean, is congested, hangs for this request class,
        or would answer too late. `only_lightly_loaded` restricts the choice to servers that report a low
        load.
        """
        subset, cumulative = self._subset, self._subset.cumulative_weights
        if not cumulative:
            return -1
        in_flight, rng = self._state.servers.in_flight, self._state.rng
        busy_threshold = BUSY_SERVER_RATIO * self._limiter.in_flight / len(cumulative) + 0.1
        best, min_load = -1, inf
        for _ in range(MAX_DRAWS):
            position = bisect(cumulative, rng.random() * cumulative[-1])
            server = subset.servers[min(len(cumulative) - 1, position)]
            if not self._can_take(request, server, only_lightly_loaded):
                continue
            should_avoid = request.class_number in subset.stuck_classes(server) or self._would_be_late(
                request, server
            )
            if (
                in_flight[server] < busy_threshold
                and not should_avoid
                and not self._reports.is_congested(server)
            ):
                return server
            load = (in_flight[server] + 1 + should_avoid * self._limiter.in_flight) / subset.weights[server]
            if load < min_load:
                best, min_load = server, load
        if best < 0 or self._would_be_late(request, best):
            best = self._least_loaded(request, only_lightly_loaded)
        if best < 0 and request.servers and not only_lightly_loaded:
            # A retry may need a server outside the subset: one of its deduplication group or, after a full
            # server rejected the request, any that has capacity.
            best = self._any_server(request)
        return best

    def _least_loaded(self, request: Request, only_lightly_loaded: bool) -> int:
        in_flight, subset = self._state.servers.in_flight, self._subset
        return min(
            (server for server in subset.servers if self._can_take(request, server, only_lightly_loaded)),
            default=-1,
            key=lambda server: (
                self._would_be_late(request, server) and subset.expected_latency[server],
                (in_flight[server] + 1) / subset.weights[server],
            ),
        )

    def _any_server(self, request: Request) -> int:
        all_servers = range(len(self._state.servers.is_ready))
        eligible = [server for server in all_servers if self._can_take(request, server)]
        if not eligible:
            return -1
        lightly_loaded = [server for server in eligible if self._reports.is_lightly_loaded(server)]
        return self._state.rng.choice(lightly_loaded or eligible)

    def pick_last_resort(self, request: Request) -> int:
        """Returns the server with the fewest attempts in flight, for when all are ejected; -1 for none."""
        servers = self._state.servers
        eligible = [
            server
            for server, is_ready in enumerate(servers.is_ready)
            if is_ready
            and servers.in_flight[server] < MIN_IN_FLIGHT_PER_SERVER
            and self.may_send(request, server)
        ]
        return min(
            eligible,
            key=lambda server: (servers.in_flight[server], servers.ejected_until[server]),
            default=-1,
        )

    def has_lightly_loaded(self) -> bool:
        """Returns whether any server of the subset reports a low load."""
        return any(map(self._reports.is_lightly_loaded, self._subset.servers))

    def _can_take(self, request: Request, server: int, only_lightly_loaded: bool = False) -> bool:
        servers, reports = self._state.servers, self._reports
        if not servers.is_ready[server] or servers.ejected_until[server]:
            return False
        if only_lightly_loaded:
            fraction = request.capacity_fraction if reports.reports_wait else 1.0
            if not reports.is_lightly_loaded(server, fraction):
                return False
        return self.may_send(request, server)

    def may_send(self, request: Request, server: int) -> bool:
        """Returns whether an attempt may go to the server.

        It may not if the request was already sent to the server, or if the server:
        - rejected an attempt as full a moment ago,
        - needs a new connection while new connections to it are in backoff,
        - is warming up and has no slow-start credit left, or
        - is outside the deduplication group of a keyed request that may have run.
        """
        servers, now = self._state.servers, self._state.now
        if server in request.servers or servers.full_until[server] > now:
            return False
        if servers.connect_after[server] > now and not servers.spare_calls[server]:
            return False
        if servers.slow_start_credit[server] < 1.0 and self._slow_start.warmup_fraction(server) < 1.0:
            return False
        rules = request.rules
        if rules.idempotency == Idempotency.KEYED and (request.may_have_run or request.attempts_in_flight):
            return deduplication_group(rules, servers, server) == request.group
        return True

    def _would_be_late(self, request: Request, server: int) -> bool:
        """Returns whether a heavy request would miss its target latency at the server.

        A server can be fast enough for light requests and too slow for this one.
        """
        if request.relative_size <= 1.0:
            return False
        mean_s = self._state.latencies.mean[request.class_number] * request.relative_size
        return self._state.now + mean_s * self._subset.expected_latency[server] > request.target
