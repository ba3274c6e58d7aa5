"""The subset of the servers that a node sends to, and their weights in the split. No I/O."""

from math import ceil, inf, sqrt

from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.half_open_trials import HalfOpenTrials
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.parameters import LATENCY_WINDOW_S, MIN_SAMPLES, OUTLIER_LATENCY_RATIO
from wheatroute.balancing.ready_servers import ReadyServers
from wheatroute.balancing.slow_start import SlowStart
from wheatroute.split import clamped_weights

MAX_SERVERS_PER_TICK = 64  # with more, a tick's work is spread over several batches
MIN_SUBSET = 8.0  # servers that a node sends to; more where a server would have fewer nodes than that
# Where open connections have a price, MIN_SUBSET and the number of servers by a node's traffic are divided by
# this, and the number of nodes that a server must have is multiplied by it.
CONNECTION_PRICE_FACTOR = 3.0
SUBSET_STEP = (sqrt(5.0) - 1.0) / 2.0  # of the ring, between the places of one node's subset and the next's
CROSSING_PRICE_FACTOR = 10.0  # a crossing of zones counts as so many times its price, in mean latencies
STUCK_RATIO = 5.0  # an attempt in flight for this multiple of its class's mean may be stuck


class ServerSubset:
    """The servers that this node sends to.

    Weights are inverse to smoothed latency, clamped round the even share (`wheatroute/split.py`).
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
        self.servers: list[int] = []  # those of the subset that are not ejected
        self.size = 0  # ejected ones counted
        self.max_servers_at_once = 0  # a larger subset is updated with ticks only
        self.weights: dict[int, float] = {}
        self.cumulative_weights: list[float] = []
        self.expected_latency: dict[int, float] = {}  # in multiples of the class's mean
        self.slow_servers: list[int] = []  # outliers by their latency

    def apply_settings(self) -> None:
        """Takes over changed settings."""
        maximum = self._state.settings.max_servers_per_tick
        self.max_servers_at_once = MAX_SERVERS_PER_TICK if maximum is None else maximum

    def update(self) -> None:
        """Computes subset and weights anew."""
        state, servers, limiter = self._state, self._state.servers, self._limiter
        ring = self._ready.ring()
        subset = self._choose(ring)
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
        """Updates at once, or a large subset with the next tick; until then draws pass by unfit servers.

        With every ejection in a large tier, batches would else take as long as its servers are many.
        """
        if self.size <= self.max_servers_at_once:
            self.update()

    def _choose(self, ring: list[int]) -> list[int]:
        """The servers that this node sends to: a stretch of the ring at a place of its own.

        With all of a large tier it would hear each server too seldom to tell the slow from the quick. All
        nodes' stretches together cover the tier evenly. A node with more traffic sends to more servers, as
        many as it hears often enough; else its servers would carry more than others.
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
        # a server too slow for half the even share, where weights are clamped, is left to trials
        median = sorted(expected)[len(expected) // 2] if expected else 1.0
        self.slow_servers = [
            server
            for server, one in zip(members, expected, strict=True)
            if one > OUTLIER_LATENCY_RATIO * median
        ]
        # Latency that is spent in the tiers below is the same for all servers and would hide how slow some
        # are; each tier is taken to have an equal part of the shortest latency.
        below = (1.0 - 1.0 / state.tiers_from_here) * min(expected, default=0.0)
        # a server in another zone looks slower by what the crossing costs
        crossing = CROSSING_PRICE_FACTOR * settings.crossing_price
        weights = clamped_weights(
            [
                one - below + crossing * (zone[server] != settings.zone)
                for server, one in zip(members, expected, strict=True)
            ]
        )
        self._reports.update_mean(members)
        self.cumulative_weights, self.weights, total = [], {}, 0.0
        for server, weight in zip(members, weights, strict=True):
            weight *= self._slow_start.warmth(server)
            total += weight
            self.cumulative_weights.append(total)
            self.weights[server] = weight

    def stuck_classes(self, server: int) -> list[int]:
        """The request classes of attempts that last far too long on a server that goes on answering others.

        Some classes hang at some servers only. Their attempts don't count against the limit, where they
        would keep out all other classes, and no more of the class is sent there.
        """
        state, latencies = self._state, self._state.latencies
        sent_at, stuck = state.servers.sent_at[server], list[int]()
        if len(sent_at) < 2 or latencies.is_all_slow:
            return stuck
        # oldest first: the rest was sent too late for the shortest mean there is
        latest, answered_at = state.now - STUCK_RATIO * latencies.min_mean, state.servers.answered_at[server]
        for (number, _), sent in sent_at.items():
            if sent >= latest:
                break
            class_number = state.requests[number].class_number
            if sent < state.now - STUCK_RATIO * (latencies.mean[class_number] or inf) < answered_at:
                stuck.append(class_number)
        # one alone may be a long request
        return [one for one in stuck if stuck.count(one) > 1]
