"""Fault injection: applies the faults of a plan at their times and ends them. No I/O.

Each fault draws the servers or nodes that it affects from its own random stream, so that the choice depends
neither on other faults nor on the policy.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from random import Random

from wheatroute.balancing.interface import ServerState
from wheatroute.fleet import random_streams
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.membership import Membership
from wheatroute.fleet.network import SimulatedNetwork
from wheatroute.fleet.nodes import Node
from wheatroute.fleet.plan import ALL_TIERS, FaultPlan, FleetPlan
from wheatroute.fleet.server_speed import HANG_FAULT
from wheatroute.fleet.servers import Server

DRAIN_TIMEOUT_S = 8.0  # time that a draining server has to finish its jobs
DRAIN_CHECK_DELAY_S = 1.0  # from the start of a drain to the first check whether the server is idle
DRAIN_CHECK_INTERVAL_S = 0.25  # between later checks whether it is idle
MIN_NEIGHBOUR_SPEED = 0.01  # least fraction of its speed that a machine with a noisy neighbour keeps

Handler = Callable[[FaultPlan, str, Random], None]


class FaultInjector:
    """Schedules all faults of a plan; the methods named after kinds of faults apply them."""

    def __init__(
        self,
        plan: FleetPlan,
        seed: int,
        engine: Engine,
        membership: Membership,
        network: SimulatedNetwork,
    ) -> None:
        self._engine = engine
        self._membership = membership
        self._network = network
        self._zones = plan.network.zones
        handlers: dict[str, Handler] = {
            "crash": self._crash,
            "hang": self._hang,
            "slow": self._slow,
            "errors": self._errors,
            "pauses": self._pauses,
            "neighbour": self._neighbour,
            "deploy": self._deploy,
            "zone_loss": self._zone_loss,
            "shared_slow": self._shared_slow,
            "list_late": self._list_late,
            "cut_off": self._cut_off,
            "node_loss": self._node_loss,
            "lossy": self._lossy,
        }
        for number, fault in enumerate(plan.faults):
            rng = random_streams.stream(seed, "fault", number)
            name = f"{fault.kind}/{number}"
            engine.call_later(fault.start_s, handlers[fault.kind], fault, name, rng)

    # targets

    def _choose_servers(self, fault: FaultPlan, fraction: float, rng: Random) -> list[Server]:
        """Chooses a fraction of the live servers in each of the fault's tiers.

        If the fault names a zone, only servers in this zone are considered.
        """
        chosen = []
        for depth, tier in enumerate(self._membership.tiers):
            if fault.tier not in (ALL_TIERS, depth):
                continue
            alive = [server for server in tier if server.is_alive and self._is_in_zone(fault, server)]
            rng.shuffle(alive)
            chosen += alive[: ceil(fraction * len(alive))]
        return chosen

    def _is_in_zone(self, fault: FaultPlan, server: Server) -> bool:
        return not fault.zone or self._zones[server.zone] == fault.zone

    # servers and nodes that end

    def _crash(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Crashes servers: their removal is announced, and they restart cold after the fault's duration."""
        servers = self._choose_servers(fault, fault.fraction, rng)
        self._kill_servers(servers, fault.duration_s, is_silent=False)

    def _kill_servers(self, servers: list[Server], duration_s: float, is_silent: bool) -> None:
        for server in servers:
            self._membership.kill_server(server, is_silent)
            self._membership.announce(server, ServerState.REMOVED)
            self._engine.call_later(duration_s, self._membership.restart_server, server)

    def _zone_loss(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Ends all servers and nodes of a zone without resetting connections; they restart cold later."""
        servers = self._choose_servers(fault, 1.0, rng)
        self._kill_servers(servers, fault.duration_s, is_silent=True)
        for node in list(self._membership.entry_nodes):
            if node.is_alive and self._zones[node.zone] == fault.zone:
                self._kill_node(node, fault.duration_s)

    def _node_loss(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Ends some entry nodes; they restart after the fault's duration."""
        alive = [node for node in self._membership.entry_nodes if node.is_alive]
        rng.shuffle(alive)
        for node in alive[: ceil(fault.fraction * len(alive))]:
            self._kill_node(node, fault.duration_s)

    def _kill_node(self, node: Node, duration_s: float) -> None:
        self._membership.kill_entry_node(node)
        self._engine.call_later(duration_s, self._membership.restart_entry_node, node.number)

    def _deploy(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Drains servers in batches and ends them when idle; a cold replacement starts with each drain."""
        servers = self._choose_servers(fault, fault.fraction, rng)
        batches = max(1, round(fault.duration_s / fault.interval_s))
        for number, server in enumerate(servers):
            batch = number * batches // max(1, len(servers))
            self._engine.call_later(fault.interval_s * batch, self._drain, server)

    def _drain(self, server: Server) -> None:
        if not server.is_alive:
            return
        self._membership.replace_server(server)
        self._membership.announce(server, ServerState.DRAINING)
        deadline = self._engine.now + DRAIN_TIMEOUT_S
        self._engine.call_later(DRAIN_CHECK_DELAY_S, self._end_drained, server, deadline)

    def _end_drained(self, server: Server, deadline: float) -> None:
        """Ends a server once it holds no jobs, or at the time `deadline`."""
        if not server.is_alive:
            return
        if server.held_jobs and self._engine.now < deadline:
            self._engine.call_later(DRAIN_CHECK_INTERVAL_S, self._end_drained, server, deadline)
        else:
            self._membership.kill_server(server)
            self._membership.announce(server, ServerState.REMOVED)

    # degraded servers

    def _hang(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Hangs servers: they accept requests and answer none."""
        self._slow_down(self._choose_servers(fault, fault.fraction, rng), HANG_FAULT, 0.0, fault.duration_s)

    def _slow(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Slows down some servers by a factor."""
        servers = self._choose_servers(fault, fault.fraction, rng)
        self._slow_down(servers, name, 1.0 / max(1.0, fault.severity), fault.duration_s)

    def _shared_slow(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Slows down all servers by a factor, like a slow shared dependency."""
        servers = self._choose_servers(fault, 1.0, rng)
        self._slow_down(servers, name, 1.0 / max(1.0, fault.severity), fault.duration_s)

    def _slow_down(self, servers: list[Server], name: str, factor: float, duration_s: float) -> None:
        self._set_fault_factor(servers, name, factor)
        self._engine.call_later(duration_s, self._set_fault_factor, servers, name, 1.0)

    def _set_fault_factor(self, servers: list[Server], name: str, factor: float) -> None:
        for server in servers:
            if server.is_alive:
                server.set_fault_factor(name, factor)

    def _errors(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Makes servers fail a fraction of their requests immediately."""
        servers = self._choose_servers(fault, fault.fraction, rng)
        self._set_error_rate(servers, min(1.0, fault.severity))
        self._engine.call_later(fault.duration_s, self._set_error_rate, servers, 0.0)

    def _set_error_rate(self, servers: list[Server], error_rate: float) -> None:
        for server in servers:
            server.error_rate = error_rate

    def _pauses(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Pauses servers repeatedly, like garbage collection."""
        self._alternate(fault, name, rng, 0.0, fault.severity, fault.interval_s)

    def _neighbour(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Slows down machines from time to time, like a noisy neighbour that takes a fraction of each."""
        factor = max(MIN_NEIGHBOUR_SPEED, 1.0 - fault.severity)
        self._alternate(fault, name, rng, factor, fault.interval_s, fault.interval_s)

    def _alternate(
        self, fault: FaultPlan, name: str, rng: Random, factor: float, on_s: float, off_s: float
    ) -> None:
        """Alternates the speed of some servers between `factor` times the normal speed and the normal speed.

        A slow phase lasts 0.5 to 1.5 times `on_s`, a normal phase 0.5 to 1.5 times `off_s`. The first slow
        phase starts after at most `off_s`.
        """
        end = self._engine.now + fault.duration_s

        def apply(server: Server) -> None:
            if self._engine.now < end and server.is_alive:
                server.set_fault_factor(name, factor)
                self._engine.call_later(on_s * (0.5 + rng.random()), revert, server)

        def revert(server: Server) -> None:
            if server.is_alive:
                server.set_fault_factor(name, 1.0)
                self._engine.call_later(off_s * (0.5 + rng.random()), apply, server)

        for server in self._choose_servers(fault, fault.fraction, rng):
            self._engine.call_later(off_s * rng.random(), apply, server)

    # network and list

    def _list_late(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Delays changes of the server list."""
        self._add_list_delay(fault.severity)
        self._engine.call_later(fault.duration_s, self._add_list_delay, -fault.severity)

    def _add_list_delay(self, delay_s: float) -> None:
        self._membership.server_list.extra_delay_s += delay_s

    def _cut_off(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Cuts off the fault's zone from the other zones; if it names no zone, isolates some servers."""
        if fault.zone:
            self._network.partition(name, frozenset([self._zones.index(fault.zone)]))
        else:
            servers = self._choose_servers(fault, fault.fraction, rng)
            self._network.isolate(name, frozenset(server.address for server in servers))
        self._engine.call_later(fault.duration_s, self._network.repair, name)

    def _lossy(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Loses a fraction of the responses."""
        self._network.lose_responses(name, min(1.0, fault.severity))
        self._engine.call_later(fault.duration_s, self._network.repair, name)
