"""How many attempts a node may have in flight, adapted to how long they stay in flight. No I/O.

By Little's law, attempts in flight over attempts served a second is the time that an attempt stays in
flight. Unlike the latency of attempts that have ended, it also grows with those that don't end. The limit
falls where this time is well above the shortest of late, and grows where it is not.
"""

from math import inf, sqrt
from random import Random

from wheatroute.balancing.parameters import LATENCY_WINDOW_S, MIN_IN_FLIGHT_PER_SERVER, MIN_SAMPLES

UNEVENNESS = 2.0  # standard errors of the time in flight added to its bound: with uneven work it fluctuates
CONGESTION_TOLERANCE = 0.9  # attempts may be this fraction above their shortest time in flight
GROWTH = 0.2  # of the limit a tick while it binds, times what congestion is below 1
INITIAL_PER_SERVER = 3.0  # attempts in flight at first, for the node's part of a server
# The limit stays between these multiples of the attempts that the peak rate holds in flight for the shortest
# time, but may always be as high as the initial limit. With as many nodes as servers, or more, two thirds of
# the upper one count.
MIN_OF_FULL_RATE = 1.0
MAX_OF_FULL_RATE = 2.0
PEAK_DECAY = 0.97  # of the peak rate, after a second without a higher one


class ConcurrencyLimiter:
    """The limit of the attempts that a node has in flight at the servers that it sends to."""

    def __init__(self) -> None:
        self.servers_per_node = 1.0  # servers for each node that sends to them
        self.healthy_fraction = 1.0  # of the servers that the node sends to: those not ejected
        self.in_flight = 0
        self.served_count = 0  # since the last tick
        self.mean_in_flight = self.served_rate = 0.0  # moving averages; the rate a second
        self.peak_rate = 0.0  # highest rate of late
        self.min_time_s = 0.0  # shortest time in flight of late
        self.limit = inf
        self.capacity = 0  # the limit as a whole number, rounded up or down at random

    def tick(self, interval_s: float, spread: float, tolerance: float, rng: Random) -> None:
        """Adapts the limit to the last `interval_s` seconds.

        `tolerance` is the fraction of the shortest time in flight that attempts may stay longer without
        congestion, `spread` the standard deviation of latencies over their mean.
        """
        per_node, fraction = self.servers_per_node, min(1.0, 1.0 / self.servers_per_node)
        initial = INITIAL_PER_SERVER * per_node * (1.0 + fraction)
        if self.limit == inf:
            # nothing is known at the start, when a node may start in the middle of a burst
            self.limit = initial
        # Rounded at random: many nodes that each round up would exceed what the servers can take. A node
        # with a small part of the traffic meets its requests in clusters and needs capacity for the deviation
        # of their number, but not for good. What ejected servers would hold is not given to the others.
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
        bound = 1.0 + tolerance + UNEVENNESS * spread / sqrt(self.served_rate * interval_s / weight)
        full = self.min_time_s * self.peak_rate
        minimum = max(MIN_IN_FLIGHT_PER_SERVER * per_node, MIN_OF_FULL_RATE * full)
        self._adapt(time_s / self.min_time_s / bound, minimum, per_node)
        self.limit = min(self.limit, max(initial, MAX_OF_FULL_RATE * full / (1.0 + fraction / 2)))

    def _update_min_time(self, time_s: float, interval_s: float) -> None:
        if not self.min_time_s or time_s < self.min_time_s:
            self.min_time_s += (time_s - self.min_time_s) * 0.25 if self.min_time_s else time_s
        else:
            # slowly: congestion of half a minute must not pass for the usual
            self.min_time_s += (time_s - self.min_time_s) * interval_s / (30 * LATENCY_WINDOW_S)

    def _adapt(self, congestion: float, minimum: float, per_node: float) -> None:
        """Lowers the limit where attempts stay in flight for long (`congestion` above 1), else lets it grow.

        Servers turn slow for long once too much waits in them. What they can't take waits here instead,
        where it can still be ordered, or be rejected unharmed. The limit never falls below what keeps every
        server busy, shortest time in flight times peak rate: a slowness that all servers share would else
        lower it ever more.
        """
        if congestion > 1.0:
            self.limit = max(minimum, min(self.limit, self.in_flight) * max(0.8, 1.0 / congestion))
        elif self.in_flight > 0.7 * self.limit:
            growth = max(0.5 * min(1.0, per_node), GROWTH * (1.0 - congestion) * self.limit)
            self.limit = max(minimum, self.limit + growth)
