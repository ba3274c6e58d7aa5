"""State that all components of a balancer share: settings, time, measurements, timers, writer. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.interface import CommandWriter
from wheatroute.balancing.latency_statistics import LatencyStatistics
from wheatroute.balancing.request import Request
from wheatroute.balancing.server_statistics import ServerStatistics
from wheatroute.balancing.settings import DecisionSettings


class BalancerState:
    """The shared state of one node's balancer; `now` and `writer` belong to the current event batch."""

    __slots__ = ("settings", "rng", "now", "writer", "servers", "latencies", "requests", "timers")

    writer: CommandWriter

    def __init__(self, settings: DecisionSettings, rng: Random) -> None:
        self.settings, self.rng = settings, rng
        self.now = 0.0
        self.servers = ServerStatistics()
        self.latencies = LatencyStatistics()
        self.requests: dict[int, Request] = {}
        # A heap of (time, number, request). `number` is the request's number for a hedge timer, and
        # `-1 - request.number` for the timer of the request's `give_up_at`.
        self.timers: list[tuple[float, int, Request]] = []

    @property
    def tiers_from_here(self) -> int:
        """The number of tiers that a request passes from here on, including this node's tier."""
        return max(1, self.settings.tiers - self.settings.tier)
