"""Probes of servers by a node: they bypass the queue and report the server's current load. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from wheatroute.balancing.interface import AttemptOutcome, Report
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.plan import FleetPlan
from wheatroute.fleet.servers import Server
from wheatroute.fleet.transport import AttemptTransport

STOPPED_SERVER_LATENCY_S = 1e9  # reported by a server whose speed is 0


class Prober:
    """Sends the probes of one node; `on_result` gets the server, outcome, elapsed seconds and report."""

    def __init__(
        self,
        engine: Engine,
        plan: FleetPlan,
        transport: AttemptTransport,
        on_result: Callable[[int, AttemptOutcome, float, Report | None], None],
    ) -> None:
        self._engine = engine
        self._plan = plan
        self._transport = transport
        self._on_result = on_result

    def probe(self, server: Server) -> None:
        """Sends one probe to a server."""
        delay_s = self._transport.delay_to(server)
        if delay_s == inf or not server.is_alive:
            timeout_s = self._plan.network.connect_timeout_s
            self._engine.call_later(
                timeout_s, self._on_result, server.number, AttemptOutcome.TIMED_OUT, timeout_s, None
            )
        else:
            self._engine.call_later(2 * delay_s, self._answered, server, 2 * delay_s)

    def _answered(self, server: Server, elapsed_s: float) -> None:
        if server.is_hanging:
            self._on_result(server.number, AttemptOutcome.TIMED_OUT, elapsed_s, None)
            return
        report = {"held": float(server.held_jobs), "latency": self._estimated_latency_s(server)}
        self._on_result(server.number, AttemptOutcome.SERVED, elapsed_s, report)

    def _estimated_latency_s(self, server: Server) -> float:
        """Returns the latency that a server reports.

        It is the mean work of a call times the jobs per core (at least 1), divided by a core's speed.
        """
        speed = server.current_speed()
        if speed <= 0.0:
            return STOPPED_SERVER_LATENCY_S
        mean_work_s = self._plan.mean_work_s() * server.tier.work
        return mean_work_s * max(1.0, server.held_jobs / server.cores) / speed
