"""What a node measured of each server. No I/O, no decisions.

Parallel lists under the servers' numbers: all servers are looked through often, and a list of numbers is
quicker to look through than objects.
"""

from __future__ import annotations

from math import inf

from wheatroute.balancing.parameters import LATENCY_WINDOW_S

PRIOR_WEIGHT = 2.0  # latencies that the mean of a server's model counts for beside the server's own

DEFAULTS = {
    "is_ready": False,
    "is_on_trial": False,
    "answered_at": -inf,
    "used_at": -inf,
    "reported_at": -inf,
}


class ServerStatistics:
    """Figures by server; latencies are in multiples of the mean of the request's class."""

    def __init__(self) -> None:
        self.is_ready: list[bool] = []  # by the list: live
        self.zone: list[int] = []
        self.model: list[int] = []
        self.cell: list[int] = []
        self.started_at: list[float] = []  # 0: long ago
        self.latency: list[float] = []  # moving average; 0: nothing measured
        self.weight: list[float] = []  # how many latencies it stands for
        self.latency_at: list[float] = []  # when the last of them came
        self.in_flight: list[int] = []  # attempts of this node
        self.load: list[float] = []  # of all nodes, by the last report and what was sent since
        self.reported_at: list[float] = []
        self.error_rate: list[float] = []  # moving average of errors over answers
        self.answered_at: list[float] = []  # last answer that shows that it works
        self.used_at: list[float] = []  # last answer: since then its connection is idle
        # when a half-open trial may be sent, for whose success ordinary attempts wait; 0: not ejected
        self.ejected_until: list[float] = []
        self.ejection_s: list[float] = []  # how long the last ejection lasts
        self.is_on_trial: list[bool] = []  # the half-open trial is in flight
        self.spare_calls: list[int] = []  # attempts that fit on connections already open
        self.connect_after: list[float] = []  # a new connection failed: none is tried before this moment
        self.connect_backoff_s: list[float] = []
        self.connection_failures: list[int] = []  # since the last answer
        self.slow_start_credit: list[float] = []  # attempts that it may get now while it warms up
        self.full_until: list[float] = []  # rejected an attempt as full: nothing new before this moment
        self.served_rate: list[float] = []  # attempts served a second, moving average
        self.served_count: list[int] = []  # attempts served since the last tick
        self.sent_at: list[dict[tuple[int, int], float]] = []  # attempts in flight, the oldest first

    def extend(self, count: int) -> None:
        """Makes entries for the servers with numbers below `count`."""
        for _ in range(count - len(self.is_ready)):
            for name, figures in vars(self).items():
                figures.append({} if name == "sent_at" else DEFAULTS.get(name, 0))

    def recency(self, server: int, now: float) -> float:
        """The factor, 0 to 1, by which a server's latencies have lost weight since the last one."""
        return 1.0 / (1.0 + (now - self.latency_at[server]) / LATENCY_WINDOW_S)

    def expected_latencies(self, members: list[int], now: float, usual_latency_s: float) -> list[float]:
        """The latency to expect of each member, in multiples of its class's mean.

        A weighted mean of a server's own latencies, those of its model and those of all members: a slow
        model is found early, and one heavy request doesn't make a server look slow. An attempt in flight
        counts once it has taken longer than the mean, so that a server which hangs is found before
        time-outs end its attempts.
        """
        own: list[tuple[float, float]] = []  # weight and weighted sum, by member
        by_model: dict[int, tuple[float, float]] = {}
        for server in members:
            weight = self.weight[server] * self.recency(server, now)
            total = weight * self.latency[server]
            age = 0.0
            if self.sent_at[server] and usual_latency_s:
                age = (now - next(iter(self.sent_at[server].values()))) / usual_latency_s
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

    def forget(self, server: int, started_at: float) -> None:
        """Drops what was measured: a process that started anew, or took over a number, is another server."""
        for figures in (
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
            figures[server] = 0
        self.started_at[server], self.is_on_trial[server] = started_at, False
        self.answered_at[server] = self.used_at[server] = self.reported_at[server] = -inf
