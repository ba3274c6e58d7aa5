"""Adaptive concurrency limit: how many attempts a node may have in flight. No I/O.

By Little's law, the attempts in flight divided by the attempts served per second is the time that an attempt
stays in flight. Unlike the latency of ended attempts, this time also grows with attempts that never end. The
limit falls while this time is well above its recent minimum and grows otherwise.
"""

from math import inf, sqrt
from random import Random

from wheatroute.balancing.parameters import LATENCY_WINDOW_S, MIN_IN_FLIGHT_PER_SERVER, MIN_SAMPLES

# The bound on the time in flight includes this number of standard errors of that time, because the time
# fluctuates if requests need uneven work.
BOUND_STANDARD_ERRORS = 2.0
CONGESTION_TOLERANCE = 0.9  # fraction by which the time in flight may exceed its minimum without congestion
# While attempts in flight exceed 0.7 of the limit, it grows per tick by this fraction of itself, multiplied
# by 1 - congestion.
GROWTH_PER_TICK = 0.2
INITIAL_PER_SERVER = 3.0  # initial limit per server of the node's share
# The limit stays between these multiples of the attempts in flight at the peak rate with the shortest time in
# flight, but it may always be as high as the initial limit. With at least as many nodes as servers, the upper
# multiple is reduced to two thirds.
MIN_PEAK_RATIO = 1.0
MAX_PEAK_RATIO = 2.0
PEAK_DECAY = 0.97  # factor applied to the peak rate for each second without a higher rate


class ConcurrencyLimiter:
    """Adapts the limit of attempts in flight at the servers that this node sends to."""

    def __init__(self) -> None:
        self.servers_per_node = 1.0  # servers divided by the nodes that send to them
        self.healthy_fraction = 1.0  # fraction of the node's servers that are not ejected
        self.in_flight = 0  # attempts in flight
        self.served_count = 0  # attempts served since the last tick
        self.mean_in_flight = self.served_rate = 0.0  # moving averages; the rate is per second
        self.peak_rate = 0.0  # highest recent served rate, per second
        self.min_time_s = 0.0  # shortest recent time in flight
        self.limit = inf
        # The limit of the healthy servers, plus extra capacity for clusters of requests, rounded at random.
        self.capacity = 0

    def update(self, interval_s: float, spread: float, tolerance: float, rng: Random) -> None:
        """Adapts the limit to the measurements of the last `interval_s` seconds.

        `tolerance` is the fraction by which the time in flight may exceed its minimum without congestion;
        `spread` is the standard deviation of the latencies divided by their mean.
        """
        per_node, fraction = self.servers_per_node, min(1.0, 1.0 / self.servers_per_node)
        initial = INITIAL_PER_SERVER * per_node * (1.0 + fraction)
        if self.limit == inf:
            # Nothing has been measured yet, and a node may start in the middle of a burst.
            self.limit = initial
        # The limit is rounded at random, because many nodes that each round up would exceed what the servers
        # can take. Requests of a node with a small part of the traffic arrive in clusters. While such a node
        # uses little of its limit, its capacity is raised by up to two standard deviations of the number of
        # requests. The part of the limit that belongs to ejected servers is not given to the other servers.
        limit = self.limit * self.healthy_fraction
        unused = max(0.0, 1.0 - self.mean_in_flight / limit)
        self.capacity = int(limit + 2.0 * unused * sqrt(limit) * fraction + rng.random())
        weight = min(0.25, max(interval_s / LATENCY_WINDOW_S, self.served_rate * interval_s / MIN_SAMPLES))
        self.served_rate += (self.served_count / interval_s - self.served_rate) * weight
        self.served_count = 0
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * weight
        self.peak_rate = max(self.served_rate, self.peak_rate * PEAK_DECAY**interval_s)
        if self.served_rate * LATENCY_WINDOW_S < MIN_SAMPLES or not self.mean_in_flight:
            return
        time_s = self.mean_in_flight / self.served_rate
        self._update_min_time(time_s, interval_s)
        bound = (
            1.0 + tolerance + BOUND_STANDARD_ERRORS * spread / sqrt(self.served_rate * interval_s / weight)
        )
        peak_in_flight = self.min_time_s * self.peak_rate
        minimum = max(MIN_IN_FLIGHT_PER_SERVER * per_node, MIN_PEAK_RATIO * peak_in_flight)
        self._adapt(time_s / self.min_time_s / bound, minimum, per_node)
        self.limit = min(self.limit, max(initial, MAX_PEAK_RATIO * peak_in_flight / (1.0 + fraction / 2)))

    def _update_min_time(self, time_s: float, interval_s: float) -> None:
        if not self.min_time_s or time_s < self.min_time_s:
            self.min_time_s += (time_s - self.min_time_s) * 0.25 if self.min_time_s else time_s
        else:
            # The minimum rises slowly, so that half a minute of congestion doesn't count as normal.
            self.min_time_s += (time_s - self.min_time_s) * interval_s / (30 * LATENCY_WINDOW_S)

    def _adapt(self, congestion: float, minimum: float, per_node: float) -> None:
        """Lowers the limit if attempts stay in flight for too long (`congestion` above 1), else raises it.

        Servers with too many waiting requests stay slow for a long time. Requests that they can't take wait
        in this node instead, where they can still be reordered or safely rejected. The limit never falls
        below the shortest time in flight times the peak rate, which keeps every server busy. Without this
        minimum, a slowdown of all servers would lower the limit further and further.
        """
        if congestion > 1.0:
            self.limit = max(minimum, min(self.limit, self.in_flight) * max(0.8, 1.0 / congestion))
        elif self.in_flight > 0.7 * self.limit:
            growth = max(0.5 * min(1.0, per_node), GROWTH_PER_TICK * (1.0 - congestion) * self.limit)
            self.limit = max(minimum, self.limit + growth)
