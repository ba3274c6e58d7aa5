"""Which server gets an attempt: the draw among those of the subset. No I/O."""

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

MAX_DRAWS = 4
BUSY_SERVER_RATIO = 1.0  # a server with this multiple of the mean in flight, and a bit, is drawn again


class ServerSelection:
    """The choice of a server for a request."""

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

    def pick(self, request: Request, only_light: bool = False) -> int:
        """A server drawn by weight, again where it is far busier than the mean; -1 if none will do.

        With `only_light`, one that reports little load.
        """
        subset, cumulative = self._subset, self._subset.cumulative_weights
        if not cumulative:
            return -1
        in_flight, rng = self._state.servers.in_flight, self._state.rng
        busy = BUSY_SERVER_RATIO * self._limiter.in_flight / len(cumulative) + 0.1
        best, min_load = -1, inf
        for _ in range(MAX_DRAWS):
            position = bisect(cumulative, rng.random() * cumulative[-1])
            server = subset.servers[min(len(cumulative) - 1, position)]
            if not self._can_take(request, server, only_light):
                continue
            is_unfit = request.class_number in subset.stuck_classes(server) or self._is_late(request, server)
            if in_flight[server] < busy and not is_unfit and not self._reports.is_congested(server):
                return server
            load = (in_flight[server] + 1 + is_unfit * self._limiter.in_flight) / subset.weights[server]
            if load < min_load:
                best, min_load = server, load
        if best < 0 or self._is_late(request, best):
            best = self._least_loaded(request, only_light)
        if best < 0 and request.servers and not only_light:
            # a repeat's deduplication group, or another way after a full server, may lie outside the subset
            best = self._any_server(request)
        return best

    def _least_loaded(self, request: Request, only_light: bool) -> int:
        in_flight, subset = self._state.servers.in_flight, self._subset
        return min(
            (server for server in subset.servers if self._can_take(request, server, only_light)),
            default=-1,
            key=lambda server: (
                self._is_late(request, server) and subset.expected_latency[server],
                (in_flight[server] + 1) / subset.weights[server],
            ),
        )

    def _any_server(self, request: Request) -> int:
        everyone = range(len(self._state.servers.is_ready))
        fit = [server for server in everyone if self._can_take(request, server)]
        if not fit:
            return -1
        light = [server for server in fit if self._reports.is_lightly_loaded(server)]
        return self._state.rng.choice(light or fit)

    def pick_last_resort(self, request: Request) -> int:
        """With all servers ejected, the one with the fewest attempts in flight; -1 if none will do."""
        servers = self._state.servers
        fit = [
            server
            for server, is_ready in enumerate(servers.is_ready)
            if is_ready
            and servers.in_flight[server] < MIN_IN_FLIGHT_PER_SERVER
            and self.may_send(request, server)
        ]
        return min(
            fit, key=lambda server: (servers.in_flight[server], servers.ejected_until[server]), default=-1
        )

    def has_lightly_loaded(self) -> bool:
        """Whether any server of the subset reports little load."""
        return any(map(self._reports.is_lightly_loaded, self._subset.servers))

    def _can_take(self, request: Request, server: int, only_light: bool = False) -> bool:
        servers, reports = self._state.servers, self._reports
        if not servers.is_ready[server] or servers.ejected_until[server]:
            return False
        if only_light:
            fraction = request.capacity_fraction if reports.reports_wait else 1.0
            if not reports.is_lightly_loaded(server, fraction):
                return False
        return self.may_send(request, server)

    def may_send(self, request: Request, server: int) -> bool:
        """Whether an attempt may go there: no server twice, its credit, its deduplication group."""
        servers, now = self._state.servers, self._state.now
        if server in request.servers or servers.full_until[server] > now:
            return False
        if servers.connect_after[server] > now and not servers.spare_calls[server]:
            return False
        if servers.slow_start_credit[server] < 1.0 and self._slow_start.warmth(server) < 1.0:
            return False
        rules = request.rules
        if rules.idempotency == Idempotency.KEYED and (request.may_have_run or request.attempts_in_flight):
            return deduplication_group(rules, servers, server) == request.group
        return True

    def _is_late(self, request: Request, server: int) -> bool:
        """Whether a server that is in time with light requests is too slow for this heavy one."""
        if request.relative_size <= 1.0:
            return False
        mean_s = self._state.latencies.mean[request.class_number] * request.relative_size
        return self._state.now + mean_s * self._subset.expected_latency[server] > request.target
