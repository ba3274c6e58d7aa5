"""Random runs of a simulated fleet with hot tenants and overlapping faults.

The faults are lost primaries, partitions, restarts, slow responses and changes of limits. The seed determines
the run.
"""

from random import Random

import trio
from soak.simulated_fleet import SimulatedFleet, SimulatedTenant, run_fleet

RUN_S = 26.0  # in virtual time
FAULT_FREE_END_S = 3.0  # time at the end of a run in which no fault is injected
FIRST_FAULT_AT_S = 2.0


def make_tenants(rng):
    """Returns a large tenant and three smaller ones; one or two of the four become hot."""
    tenants = []
    for number, rate in enumerate((190_000.0, 120_000.0, 70_000.0, 47_000.0)):
        rate *= 0.8 + 0.4 * rng.random()
        tenants.append(SimulatedTenant(f"t{number}", rate, rate * rng.uniform(0.5, 1.8)))
    for tenant in rng.sample(tenants, rng.choice((1, 2))):
        begin = rng.uniform(1.0, RUN_S / 2)
        tenant.hot.append((begin, begin + rng.uniform(3.0, 14.0), rng.uniform(2.0, 7.5)))
    return tenants


class RandomFaults:
    """Injects random faults into a fleet and records them as (time, fault) in `injected`."""

    def __init__(self, fleet, rng):
        self.fleet, self.rng = fleet, rng
        self.injected = []
        self._has_wiped = False

    async def run(self, fleet):
        rng = self.rng
        faults = (
            self._lose_primary,
            self._lose_primary,
            self._lose_primary,
            self._lose_all_controls,
            self._isolate_edges,
            self._delay_responses,
            self._restart_edges,
            self._stop_primary,
            self._change_limits,
            self._isolate_primary,
            self._lose_controls_and_edges,
        )
        await trio.sleep(FIRST_FAULT_AT_S)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < RUN_S - FAULT_FREE_END_S:
                fault = rng.choice(faults)
                self.injected.append((round(trio.current_time(), 2), fault.__name__))
                nursery.start_soon(fault)
                await trio.sleep(rng.choice((0.1, 0.5, 1.0, 2.5)) * (0.5 + rng.random()))

    async def _lose(self, node, down_s):
        """Kills a control node, restarts it after `down_s`; at most once in a run wipes its disk."""
        self.fleet.is_silent_on_exit = self.rng.random() < 0.6
        if self.rng.random() < 0.3 and not self._has_wiped:
            self._has_wiped = True
            node.wipe()
        else:
            node.kill()
        await trio.sleep(down_s)
        await self.fleet.on_control(node.start())

    async def _lose_primary(self):
        await self._lose(await self.fleet.primary(), self.rng.uniform(0.3, 4.0))

    async def _lose_all_controls(self):
        """Kills all control nodes at once and restarts them one by one, within about a second."""
        nodes = list(self.fleet.cluster.nodes.values())
        self.fleet.is_silent_on_exit = self.rng.random() < 0.5
        for node in nodes:
            node.kill()
        for node in nodes:
            await trio.sleep(0.4 * self.rng.random())
            await self.fleet.on_control(node.start())

    async def _isolate_edges(self):
        """Partitions some edge nodes from all control nodes."""
        fraction = self.rng.choice((0.1, 0.2, 0.35))
        edges = [edge.name for edge in self.fleet.edges if self.rng.random() < fraction]
        pairs = {(edge, host) for edge in edges for host in self.fleet.cluster.nodes}
        self.fleet.blocked |= pairs
        await trio.sleep(self.rng.uniform(0.3, 6.0))
        self.fleet.blocked -= pairs

    async def _isolate_primary(self):
        """Partitions the primary from the other control nodes; edge nodes still reach all of them."""
        primary = await self.fleet.primary()
        others = [host for host in self.fleet.cluster.nodes if host != primary.host]
        pairs = self.fleet.cluster.partition([primary.host], others)
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        self.fleet.cluster.blocked -= pairs

    async def _delay_responses(self):
        """Delays the responses of control nodes beyond the timeout of edge nodes."""
        self.fleet.response_delay_s = self.rng.choice((0.2, 0.5))
        await trio.sleep(self.rng.uniform(0.5, 3.0))
        self.fleet.response_delay_s = 0.0

    async def _restart_edges(self):
        """Kills some edge nodes, which `SimulatedFleet.keep_running` starts again."""
        for edge in self.fleet.edges:
            if self.rng.random() < 0.2:
                edge.kill()

    async def _lose_controls_and_edges(self):
        """Kills many edge nodes and all control nodes at the same moment."""
        for edge in self.fleet.edges:
            if self.rng.random() < 0.6:
                edge.kill()
        await self._lose_all_controls()

    async def _stop_primary(self):
        """Stops the primary gracefully, so that it hands over its leadership, and starts it again."""
        primary = await self.fleet.primary()
        try:
            await self.fleet.on_control(primary.request(lambda service: service.stop()))
        except ConnectionError:
            pass
        primary.kill()
        await trio.sleep(0.3)
        await self.fleet.on_control(primary.start())

    async def _change_limits(self):
        """Raises or lowers the limit of a tenant."""
        tenant = self.rng.choice(self.fleet.tenants)
        factor = self.rng.choice((0.5, 0.8, 1.2, 2.0))
        tenant.set_limit(trio.current_time(), tenant.rate * factor, tenant.burst * factor)
        await self.fleet.configure()


def run_random_faults(seed, edges):
    """Runs the fleet of a seed; returns it with the injected faults and the violations of the rule."""
    rng = Random(seed)
    fleet = SimulatedFleet(rng.random(), make_tenants(rng), edges)
    faults = RandomFaults(fleet, rng)
    violations = run_fleet(fleet, faults.run, RUN_S)
    return fleet, faults.injected, violations
