"""The measurements of each server by one node. No I/O, no decisions.

They are kept in parallel lists indexed by server number. All servers are scanned often, and a list of numbers
is faster to scan than a list of objects.
"""

from __future__ import annotations

from math import inf

from wheatroute.balancing.parameters import LATENCY_WINDOW_S

# In a server's expected latency, the mean of the server's model has the weight of this many samples.
PRIOR_WEIGHT = 2.0

DEFAULTS = {
    "is_ready": False,
    "is_on_trial": False,
    "answered_at": -inf,
    "used_at": -inf,
    "reported_at": -inf,
}


class ServerStatistics:
    """Statistics by server; latencies are in multiples of the mean of the request's class."""

    def __init__(self) -> None:
        self.is_ready: list[bool] = []  # whether the server list says that it is live
        self.zone: list[int] = []
        self.model: list[int] = []
        self.cell: list[int] = []
        self.started_at: list[float] = []  # start of its process; 0: long ago
        # moving average in multiples of the class's mean; 0: no sample yet
        self.latency: list[float] = []
        self.weight: list[float] = []  # effective number of samples in `latency`
        self.latency_at: list[float] = []  # time of the last sample
        self.in_flight: list[int] = []  # attempts of this node
        # Load from the requests of all nodes: that of the last report plus what this node has sent since.
        self.load: list[float] = []
        self.reported_at: list[float] = []  # time of the last load report
        self.error_rate: list[float] = []  # moving average of the fraction of answers that are errors
        self.answered_at: list[float] = []  # time of the last answer that shows that the server works
        self.used_at: list[float] = []  # time of the last answer; its connection may be idle since then
        # Time from which a half-open trial may be sent; no ordinary attempt is sent before a trial succeeds.
        # 0: not ejected.
        self.ejected_until: list[float] = []
        self.ejection_s: list[float] = []  # duration of the last ejection
        self.is_on_trial: list[bool] = []  # whether a half-open trial is in flight
        self.spare_calls: list[int] = []  # number of attempts that fit on connections already open
        # After a failure to connect, no new connection is opened before this time.
        self.connect_after: list[float] = []
        self.connect_backoff_s: list[float] = []
        self.connection_failures: list[int] = []  # failures since the last answer
        self.slow_start_credit: list[float] = []  # attempts that it may get now while it is warming up
        # After the server rejected an attempt as full, no new attempt is sent before this time.
        self.full_until: list[float] = []
        self.served_rate: list[float] = []  # attempts served per second, moving average
        self.served_count: list[int] = []  # attempts served since the last tick
        # time of sending by (request, attempt) of the attempts in flight, the oldest first
        self.sent_at: list[dict[tuple[int, int], float]] = []

    def extend(self, count: int) -> None:
        """Adds entries for all servers with numbers below `count`."""
        for _ in range(count - len(self.is_ready)):
            for name, values in vars(self).items():
                values.append({} if name == "sent_at" else DEFAULTS.get(name, 0))

    def recency(self, server: int, now: float) -> float:
        """Returns the factor, 1 down to 0, on the weight of a server's latency as its last sample ages."""
        return 1.0 / (1.0 + (now - self.latency_at[server]) / LATENCY_WINDOW_S)

    def expected_latencies(self, members: list[int], now: float, mean_latency_s: float) -> list[float]:
        """Returns the expected latency of each member, in multiples of the class's mean.

        It is a weighted mean of the server's own latencies, those of its model and those of all members. So a
        slow model is detected early, and a single heavy request doesn't make a server look slow. The oldest
        attempt in flight counts once it has taken longer than the mean, so that a hanging server is detected
        before its attempts time out. `mean_latency_s` is the mean over all request classes.
        """
        own: list[tuple[float, float]] = []  # weight and weighted sum of each member
        by_model: dict[int, tuple[float, float]] = {}
        for server in members:
            weight = self.weight[server] * self.recency(server, now)
            total = weight * self.latency[server]
            age = 0.0
            if self.sent_at[server] and mean_latency_s:
                age = (now - next(iter(self.sent_at[server].values()))) / mean_latency_s
            if age * (PRIOR_WEIGHT + weight) > PRIOR_WEIGHT + total:
                weight, total = weight + 1.0, total + age
            own.append((weight, total))
            model_weight, model_total = by_model.get(self.model[server], (0.0, 0.0))
            by_model[self.model[server]] = (model_weight + weight, model_total + total)
        all_weight, all_total = (sum(column) for column in zip((0.0, 0.0), *by_model.values(), strict=True))
        mean = (PRIOR_WEIGHT + all_total) / (PRIOR_WEIGHT + all_weight)
        model_means = {
            model: (PRIOR_WEIGHT * mean + total) / (PRIOR_WEIGHT + weight)
            for model, (weight, total) in by_model.items()
        }
        return [
            (PRIOR_WEIGHT * model_means[self.model[server]] + total) / (PRIOR_WEIGHT + weight)
            for server, (weight, total) in zip(members, own, strict=True)
        ]

    def reset(self, server: int, started_at: float) -> None:
        """Discards the measurements of a server that has restarted, or whose number may be reused."""
        for values in (
            self.latency,
            self.weight,
            self.error_rate,
            self.load,
            self.ejected_until,
            self.ejection_s,
            self.spare_calls,
            self.connection_failures,
            self.connect_after,
            self.connect_backoff_s,
            self.served_rate,
        ):
            values[server] = 0
        self.started_at[server], self.is_on_trial[server] = started_at, False
        self.answered_at[server] = self.used_at[server] = self.reported_at[server] = -inf
