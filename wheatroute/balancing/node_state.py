"""What all parts of a node's decisions share: settings, time, measurements, timers, the writer. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.interface import CommandWriter
from wheatroute.balancing.latency_statistics import LatencyStatistics
from wheatroute.balancing.request import Request
from wheatroute.balancing.server_statistics import ServerStatistics
from wheatroute.balancing.settings import DecisionSettings


class BalancerState:
    """Shared state. `now` and `writer` are those of the event batch that is being handled."""

    __slots__ = ("settings", "rng", "now", "writer", "servers", "latencies", "requests", "timers")

    writer: CommandWriter

    def __init__(self, settings: DecisionSettings, rng: Random) -> None:
        self.settings, self.rng = settings, rng
        self.now = 0.0
        self.servers = ServerStatistics()
        self.latencies = LatencyStatistics()
        self.requests: dict[int, Request] = {}
        # a heap of (moment, number, request): hedge timers, and ends of requests as -number - 1
        self.timers: list[tuple[float, int, Request]] = []

    @property
    def tiers_from_here(self) -> int:
        """How many tiers a request passes from here on, this one counted."""
        return max(1, self.settings.tiers - self.settings.tier)
