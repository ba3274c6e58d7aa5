"""Fault injection: what goes wrong in a run, when, and what comes back. No I/O.

Which servers or nodes a fault strikes comes from a random stream of its own for each fault, so that another
fault or policy changes nothing of it.
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

DRAIN_TIMEOUT_S = 8.0  # that a drained server has to finish what it holds
DRAIN_CHECK_DELAY_S = 1.0  # until it is first checked whether it has,
DRAIN_CHECK_INTERVAL_S = 0.25  # and between further checks
MIN_NEIGHBOUR_SPEED = 0.01  # what a neighbour leaves of a machine, at least

Handler = Callable[[FaultPlan, str, Random], None]


class FaultInjector:
    """Schedules all faults of a plan."""

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
        """A fraction of the servers of each tier that are alive, in the fault's zone if it names one."""
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

    # servers that end

    def _crash(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Processes end; the list is told, and they come back cold."""
        servers = self._choose_servers(fault, fault.fraction, rng)
        self._kill_servers(servers, fault.duration_s, is_silent=False)

    def _kill_servers(self, servers: list[Server], duration_s: float, is_silent: bool) -> None:
        for server in servers:
            self._membership.kill_server(server, is_silent)
            self._membership.announce(server, ServerState.REMOVED)
            self._engine.call_later(duration_s, self._membership.restart_server, server)

    def _zone_loss(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """All servers and nodes of a zone end without a word; they come back cold."""
        servers = self._choose_servers(fault, 1.0, rng)
        self._kill_servers(servers, fault.duration_s, is_silent=True)
        for node in list(self._membership.entry_nodes):
            if node.is_alive and self._zones[node.zone] == fault.zone:
                self._kill_node(node, fault.duration_s)

    def _node_loss(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Entry nodes end, and start again."""
        alive = [node for node in self._membership.entry_nodes if node.is_alive]
        rng.shuffle(alive)
        for node in alive[: ceil(fault.fraction * len(alive))]:
            self._kill_node(node, fault.duration_s)

    def _kill_node(self, node: Node, duration_s: float) -> None:
        self._membership.kill_entry_node(node)
        self._engine.call_later(duration_s, self._membership.restart_entry_node, node.number)

    def _deploy(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Servers are drained, finish and end, a batch at a time; cold successors start as they drain."""
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
        latest = self._engine.now + DRAIN_TIMEOUT_S
        self._engine.call_later(DRAIN_CHECK_DELAY_S, self._end_drained, server, latest)

    def _end_drained(self, server: Server, latest: float) -> None:
        """Ends a server once it holds nothing, or at the latest moment."""
        if not server.is_alive:
            return
        if server.held_jobs and self._engine.now < latest:
            self._engine.call_later(DRAIN_CHECK_INTERVAL_S, self._end_drained, server, latest)
        else:
            self._membership.kill_server(server)
            self._membership.announce(server, ServerState.REMOVED)

    # servers that do worse

    def _hang(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Servers take requests and answer nothing."""
        self._slow_down(self._choose_servers(fault, fault.fraction, rng), HANG_FAULT, 0.0, fault.duration_s)

    def _slow(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Some servers are slower by a factor."""
        servers = self._choose_servers(fault, fault.fraction, rng)
        self._slow_down(servers, name, 1.0 / max(1.0, fault.severity), fault.duration_s)

    def _shared_slow(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """All servers are slower by a factor, as with a shared dependency."""
        servers = self._choose_servers(fault, 1.0, rng)
        self._slow_down(servers, name, 1.0 / max(1.0, fault.severity), fault.duration_s)

    def _slow_down(self, servers: list[Server], name: str, factor: float, duration_s: float) -> None:
        self._set_factor(servers, name, factor)
        self._engine.call_later(duration_s, self._set_factor, servers, name, 1.0)

    def _set_factor(self, servers: list[Server], name: str, factor: float) -> None:
        for server in servers:
            if server.is_alive:
                server.set_fault_factor(name, factor)

    def _errors(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Servers fail a fraction of their requests at once."""
        servers = self._choose_servers(fault, fault.fraction, rng)
        self._set_error_rate(servers, min(1.0, fault.severity))
        self._engine.call_later(fault.duration_s, self._set_error_rate, servers, 0.0)

    def _set_error_rate(self, servers: list[Server], error_rate: float) -> None:
        for server in servers:
            server.error_rate = error_rate

    def _pauses(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Servers pause again and again, as with garbage collection."""
        self._alternate(fault, name, rng, 0.0, fault.severity, fault.interval_s)

    def _neighbour(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """A neighbour takes a fraction of each machine from time to time."""
        factor = max(MIN_NEIGHBOUR_SPEED, 1.0 - fault.severity)
        self._alternate(fault, name, rng, factor, fault.interval_s, fault.interval_s)

    def _alternate(
        self, fault: FaultPlan, name: str, rng: Random, factor: float, on_s: float, off_s: float
    ) -> None:
        """Changes speeds by a factor and back, with phases of half to one and a half times these lengths."""
        end = self._engine.now + fault.duration_s

        def begin(server: Server) -> None:
            if self._engine.now < end and server.is_alive:
                server.set_fault_factor(name, factor)
                self._engine.call_later(on_s * (0.5 + rng.random()), stop, server)

        def stop(server: Server) -> None:
            if server.is_alive:
                server.set_fault_factor(name, 1.0)
                self._engine.call_later(off_s * (0.5 + rng.random()), begin, server)

        for server in self._choose_servers(fault, fault.fraction, rng):
            self._engine.call_later(off_s * rng.random(), begin, server)

    # network and list

    def _list_late(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """Changes of the server list arrive later."""
        self._add_list_delay(fault.severity)
        self._engine.call_later(fault.duration_s, self._add_list_delay, -fault.severity)

    def _add_list_delay(self, delay_s: float) -> None:
        self._membership.server_list.extra_delay_s += delay_s

    def _cut_off(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """A zone, or some servers where the fault names no zone, can't be reached."""
        if fault.zone:
            self._network.partition(name, frozenset([self._zones.index(fault.zone)]))
        else:
            servers = self._choose_servers(fault, fault.fraction, rng)
            self._network.isolate(name, frozenset(server.address for server in servers))
        self._engine.call_later(fault.duration_s, self._network.repair, name)

    def _lossy(self, fault: FaultPlan, name: str, rng: Random) -> None:
        """A fraction of the responses is lost."""
        self._network.lose_responses(name, min(1.0, fault.severity))
        self._engine.call_later(fault.duration_s, self._network.repair, name)
