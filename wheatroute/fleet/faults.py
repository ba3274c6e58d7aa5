"""The script of faults: what goes wrong, when, and what comes back.

Owns the choice of who is struck, from a stream of its own for each line, so that another line or another
policy changes nothing of it. It acts on servers, paths and the list only through what they offer for it.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from random import Random
from typing import TYPE_CHECKING

from wheatroute.balancing.interface import ServerState
from wheatroute.fleet import random_streams
from wheatroute.fleet.plan import FaultPlan

if TYPE_CHECKING:
    from wheatroute.fleet.servers import Server
    from wheatroute.fleet.world import World

LEAVES_WITHIN = 8.0  # seconds that a drained server has to finish what it holds


class Script:
    """All faults of a run."""

    def __init__(self, world: World) -> None:
        self.world, self.engine = world, world.engine
        for number, fault in enumerate(world.plan.faults):
            draw = random_streams.stream(world.seed, "fault", number)
            begin: Callable[[FaultPlan, str, Random], None] = getattr(self, f"_{fault.kind}")
            self.engine.call_later(fault.start_s, begin, fault, f"{fault.kind}/{number}", draw)

    # who

    def _struck(self, fault: FaultPlan, draw: Random) -> list[Server]:
        """The part of each tier's servers that are alive, in the fault's zone where it names one."""
        names, struck = self.world.plan.network.zones, []
        for depth, tier in enumerate(self.world.tiers):
            if fault.tier in (-1, depth):
                alive = [
                    one for one in tier if one.is_alive and (not fault.zone or names[one.zone] == fault.zone)
                ]
                draw.shuffle(alive)
                struck += alive[: ceil(fault.fraction * len(alive))]
        return struck

    def _for_a_while(self, fault: FaultPlan, begin: Callable[[], None], end: Callable[[], None]) -> None:
        begin()
        self.engine.call_later(fault.duration_s, end)

    def _change(self, servers: list[Server], name: str, factor: float) -> None:
        for server in servers:
            if server.is_alive:
                server.set_fault_factor(name, factor)

    # what

    def _crash(self, fault: FaultPlan, name: str, draw: Random) -> None:
        self._lose(self._struck(fault, draw), fault.duration_s, False)

    def _lose(self, servers: list[Server], length: float, silent: bool) -> None:
        for server in servers:
            self.world.kill(server, silent)
            self.world.tell(server, ServerState.REMOVED)
            self.engine.call_later(length, self.world.revive, server)

    def _hang(self, fault: FaultPlan, name: str, draw: Random) -> None:
        struck = self._struck(fault, draw)
        self._for_a_while(
            fault, lambda: self._change(struck, "hang", 0.0), lambda: self._change(struck, "hang", 1.0)
        )

    def _slow(self, fault: FaultPlan, name: str, draw: Random) -> None:
        struck = self._struck(fault, draw)
        self._for_a_while(
            fault,
            lambda: self._change(struck, name, 1.0 / max(1.0, fault.severity)),
            lambda: self._change(struck, name, 1.0),
        )

    def _shared_slow(self, fault: FaultPlan, name: str, draw: Random) -> None:
        self._slow(fault.model_copy(update={"fraction": 1.0}), name, draw)

    def _errors(self, fault: FaultPlan, name: str, draw: Random) -> None:
        struck = self._struck(fault, draw)

        def put(share: float) -> None:
            for server in struck:
                server.error_rate = share

        self._for_a_while(fault, lambda: put(min(1.0, fault.severity)), lambda: put(0.0))

    def _pauses(self, fault: FaultPlan, name: str, draw: Random) -> None:
        self._on_and_off(fault, name, draw, 0.0, fault.severity, fault.interval_s)

    def _neighbour(self, fault: FaultPlan, name: str, draw: Random) -> None:
        self._on_and_off(
            fault, name, draw, max(0.01, 1.0 - fault.severity), fault.interval_s, fault.interval_s
        )

    def _on_and_off(
        self, fault: FaultPlan, name: str, draw: Random, factor: float, on: float, off: float
    ) -> None:
        end = self.engine.now + fault.duration_s

        def begin(server: Server) -> None:
            if self.engine.now < end and server.is_alive:
                server.set_fault_factor(name, factor)
                self.engine.call_later(on * (0.5 + draw.random()), stop, server)

        def stop(server: Server) -> None:
            if server.is_alive:
                server.set_fault_factor(name, 1.0)
                self.engine.call_later(off * (0.5 + draw.random()), begin, server)

        for server in self._struck(fault, draw):
            self.engine.call_later(off * draw.random(), begin, server)

    def _deploy(self, fault: FaultPlan, name: str, draw: Random) -> None:
        """Servers are drained, finish and go, a batch at a time; cold successors start as they drain."""
        struck = self._struck(fault, draw)
        batches = max(1, round(fault.duration_s / fault.interval_s))
        for number, server in enumerate(struck):
            self.engine.call_later(
                fault.interval_s * (number * batches // max(1, len(struck))), self._retire, server
            )

    def _retire(self, server: Server) -> None:
        if not server.is_alive:
            return
        self.world.replace(server)
        self.world.drain(server)
        self.engine.call_later(1.0, self._leave, server, self.engine.now + LEAVES_WITHIN)

    def _leave(self, server: Server, latest: float) -> None:
        if server.is_alive and (server.held and self.engine.now < latest):
            self.engine.call_later(0.25, self._leave, server, latest)
        elif server.is_alive:
            # it finishes what it has once nobody sends any more; what comes now was never begun
            self.world.kill(server)
            self.world.tell(server, ServerState.REMOVED)

    def _zone_loss(self, fault: FaultPlan, name: str, draw: Random) -> None:
        """A zone with its nodes goes at once and says nothing; it comes back cold."""
        whole = fault.model_copy(update={"fraction": 1.0})
        self._lose(self._struck(whole, draw), fault.duration_s, True)
        names = self.world.plan.network.zones
        for node in list(self.world.front):
            if node.alive and names[node.zone] == fault.zone:
                self.world.kill_node(node)
                self.engine.call_later(fault.duration_s, self.world.revive_node, node.number)

    def _node_loss(self, fault: FaultPlan, name: str, draw: Random) -> None:
        alive = [node for node in self.world.front if node.alive]
        draw.shuffle(alive)
        for node in alive[: ceil(fault.fraction * len(alive))]:
            self.world.kill_node(node)
            self.engine.call_later(fault.duration_s, self.world.revive_node, node.number)

    def _list_late(self, fault: FaultPlan, name: str, draw: Random) -> None:
        def put(seconds: float) -> None:
            self.world.list_late += seconds

        self._for_a_while(fault, lambda: put(fault.severity), lambda: put(-fault.severity))

    def _cut_off(self, fault: FaultPlan, name: str, draw: Random) -> None:
        zones = frozenset([self.world.plan.network.zones.index(fault.zone)] if fault.zone else [])
        places = frozenset() if zones else frozenset(one.address for one in self._struck(fault, draw))

        def begin() -> None:
            self.world.network.partition(name, zones)
            self.world.network.isolate(name, places)

        self._for_a_while(fault, begin, lambda: self.world.network.repair(name))

    def _lossy(self, fault: FaultPlan, name: str, draw: Random) -> None:
        self._for_a_while(
            fault,
            lambda: self.world.network.lose_responses(name, min(1.0, fault.severity)),
            lambda: self.world.network.repair(name),
        )
