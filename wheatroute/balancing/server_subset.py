"""Subsetting: the servers that a node sends to, and their load-balancing weights. No I/O."""

from math import ceil, inf, sqrt

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.half_open_trials import HalfOpenTrials
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import LATENCY_WINDOW_S, MIN_SAMPLES, OUTLIER_LATENCY_RATIO
from wheatroute.balancing.ready_servers import ReadyServers
from wheatroute.balancing.slow_start import SlowStart
from wheatroute.split import clamped_weights

MAX_SERVERS_PER_TICK = 64  # with more servers, the work of a tick is spread over several batches
# Minimum number of servers that a node sends to, and minimum mean number of nodes that send to a server. With
# few nodes for many servers, the second minimum requires larger subsets.
MIN_SUBSET = 8.0
# If open connections have a price, this factor divides the minimum subset and the subset size that follows
# from a node's traffic, and multiplies the minimum number of nodes per server.
CONNECTION_PRICE_FACTOR = 3.0
# Distance on the ring between the starts of the subsets of two consecutive nodes, as a fraction of the ring.
# The golden ratio places any number of nodes evenly.
SUBSET_STEP = (sqrt(5.0) - 1.0) / 2.0
# The latency penalty of a server in another zone, in mean latencies, is this factor times the crossing price.
CROSSING_PRICE_FACTOR = 10.0
STUCK_RATIO = 5.0  # an attempt may be stuck once in flight for this multiple of its class's mean latency


class ServerSubset:
    """Holds the servers that this node sends to, and their weights.

    Weights are inverse to the smoothed latency and clamped around the even share (`wheatroute/split.py`).
    """

    def __init__(
        self,
        state: BalancerState,
        ready: ReadyServers,
        limiter: ConcurrencyLimiter,
        reports: LoadReports,
        slow_start: SlowStart,
        trials: HalfOpenTrials,
    ) -> None:
        self._state, self._ready, self._limiter = state, ready, limiter
        self._reports, self._slow_start, self._trials = reports, slow_start, trials
        self.servers: list[int] = []  # the servers of the subset that are not ejected
        self.size = 0  # number of servers of the subset, ejected ones included
        self.max_servers_at_once = 0  # `update_soon` leaves a larger subset to the periodic tick
        self.weights: dict[int, float] = {}  # by server
        self.cumulative_weights: list[float] = []  # in the order of `servers`
        self.expected_latency: dict[int, float] = {}  # by server, in multiples of the class's mean
        self.slow_servers: list[int] = []  # servers of the subset that are latency outliers

    def apply_settings(self) -> None:
        """Sets `max_servers_at_once` from changed settings."""
        maximum = self._state.settings.max_servers_per_tick
        self.max_servers_at_once = MAX_SERVERS_PER_TICK if maximum is None else maximum

    def update(self) -> None:
        """Recomputes the subset and the weights."""
        state, servers, limiter = self._state, self._state.servers, self._limiter
        ring = self._ready.ring()
        subset = self._choose_servers(ring)
        self.servers = [server for server in subset if not servers.ejected_until[server]]
        self._trials.reset([server for server in subset if servers.ejected_until[server]])
        limiter.healthy_fraction = max(1, len(self.servers)) / max(1, len(subset))
        limiter.in_flight = sum(
            servers.in_flight[server] - len(self.stuck_classes(server))
            for server in self.servers
            if servers.in_flight[server]
        )
        limiter.servers_per_node = max(1, len(ring)) / state.settings.nodes
        self._update_weights()
        self.size = len(subset)

    def update_soon(self) -> None:
        """Updates at once, or with the next tick if the subset is large.

        Until that tick, a drawn server that can't be used is skipped. A large subset is not updated at once,
        because with an update at every ejection a batch would take longer the more servers there are.
        """
        if self.size <= self.max_servers_at_once:
            self.update()

    def _choose_servers(self, ring: list[int]) -> list[int]:
        """Returns the servers that this node sends to: a contiguous section of the ring.

        If the node sent to all servers of a large tier, it would get too few answers from each to tell slow
        servers from fast ones. Each node's section starts elsewhere, and together they cover the tier evenly.
        A node with more traffic sends to more servers, but only to so many that each still answers it often
        enough. If its subset didn't grow, its servers would carry more load than others.
        """
        settings, count = self._state.settings, len(ring)
        price_factor = CONNECTION_PRICE_FACTOR if settings.connection_price > 0 else 1.0
        by_traffic = self._limiter.peak_rate * LATENCY_WINDOW_S / MIN_SAMPLES / price_factor
        by_nodes = MIN_SUBSET * price_factor * count / settings.nodes
        size = min(count, ceil(max(MIN_SUBSET / price_factor, by_nodes, by_traffic)))
        first = int(settings.node * SUBSET_STEP % 1.0 * count)
        return ring[first : first + size] + ring[: max(0, first + size - count)]

    def _update_weights(self) -> None:
        state, settings, members = self._state, self._state.settings, self.servers
        zone = state.servers.zone
        mean_latency_s = sum(state.latencies.mean) / len(state.latencies.mean)
        expected = state.servers.expected_latencies(members, state.now, mean_latency_s)
        self.expected_latency = dict(zip(members, expected, strict=True))
        # Weights are at least half the even share. A server that is too slow for even half gets only
        # half-open trials.
        median = sorted(expected)[len(expected) // 2] if expected else 1.0
        self.slow_servers = [
            server
            for server, latency in zip(members, expected, strict=True)
            if latency > OUTLIER_LATENCY_RATIO * median
        ]
        # The latency that is spent in the tiers below is the same for all servers and would hide how slow
        # some of them are, so it is subtracted. Each tier is assumed to cause an equal part of the shortest
        # latency.
        lower_tiers_latency = (1.0 - 1.0 / state.tiers_from_here) * min(expected, default=0.0)
        # A server in another zone is treated as slower by the price of crossing zones.
        crossing_penalty = CROSSING_PRICE_FACTOR * settings.crossing_price
        weights = clamped_weights(
            [
                latency - lower_tiers_latency + crossing_penalty * (zone[server] != settings.zone)
                for server, latency in zip(members, expected, strict=True)
            ]
        )
        self._reports.update_mean(members)
        self.cumulative_weights, self.weights, total = [], {}, 0.0
        for server, weight in zip(members, weights, strict=True):
            weight *= self._slow_start.warmup_fraction(server)
            total += weight
            self.cumulative_weights.append(total)
            self.weights[server] = weight

    def stuck_classes(self, server: int) -> list[int]:
        """Returns the class of each attempt that hangs at a server which still answers other attempts.

        A class is in the list once per hanging attempt, and only if it has at least two of them.

        Some request classes hang at some servers only. Hanging attempts don't count against the concurrency
        limit, since they would use it up for all other classes. Other servers are preferred for further
        requests of the class.
        """
        state, latencies = self._state, self._state.latencies
        sent_at, stuck = state.servers.sent_at[server], list[int]()
        if len(sent_at) < 2 or latencies.is_all_slow:
            return stuck
        # Attempts are ordered by age, the oldest first. Once one was sent too recently to be stuck even in
        # the class with the shortest mean, neither it nor any later one can be stuck.
        sent_before, answered_at = (
            state.now - STUCK_RATIO * latencies.min_mean,
            state.servers.answered_at[server],
        )
        for (number, _), sent in sent_at.items():
            if sent >= sent_before:
                break
            class_number = state.requests[number].class_number
            if sent < state.now - STUCK_RATIO * (latencies.mean[class_number] or inf) < answered_at:
                stuck.append(class_number)
        # A single attempt may just be a long request.
        return [class_number for class_number in stuck if stuck.count(class_number) > 1]
