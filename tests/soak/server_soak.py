"""Random runs of a fleet whose servers come, beat late, crash and leave while faults overlap.

A run has rounds: faults that overlap, then a calm time in which what was acknowledged must be kept. It ends
with the loss of all control nodes in half of the runs, and with the check that all live servers are offered.
The seed determines the run.
"""

from functools import partial
from random import Random

import trio
from soak.simulated_fleet import run_fleet
from soak.simulated_servers import RECOVERY_S, ServerFleet, SimulatedServer

ROUNDS = 3
FAULTS_S, CALM_S = 5.0, 11.0  # of a round; the calm time is longer than it takes edge nodes to be in touch
SETTLED_S = 2.0  # until the first round
FIRST_SERVERS = 5
RUN_S = SETTLED_S + ROUNDS * (FAULTS_S + CALM_S) + 2 * RECOVERY_S
WIPE_INTERVAL_S = 10.0  # longer than `sync_s`, between the losses of two disks


class ServerSoak:
    """Injects faults and changes of servers; records them as (time, name) in `injected`."""

    def __init__(self, fleet, rng):
        self.fleet, self.rng = fleet, rng
        self.injected = []
        self._server_count = 0
        self._wiped_at = -WIPE_INTERVAL_S
        self._nursery = None

    async def run(self, fleet):
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(fleet.check_departures)
            for _ in range(FIRST_SERVERS):
                self._add_server()
            await trio.sleep(SETTLED_S)
            for _ in range(ROUNDS):
                await self._play_round()
            if self.rng.random() < 0.5:
                await self._lose_controls(list(fleet.cluster.nodes.values()), "lose-all")
            await trio.sleep(RECOVERY_S)
            fleet.check_recovery()

    async def _play_round(self):
        end = trio.current_time() + FAULTS_S
        async with trio.open_nursery() as faults:
            while trio.current_time() < end:
                fault = self.rng.choice(self._faults())
                self._note(fault.__name__)
                faults.start_soon(fault)
                self._change_servers()
                await trio.sleep(self.rng.choice((0.1, 0.4, 1.0)) * (0.5 + self.rng.random()))
        for _ in range(4):
            await trio.sleep(CALM_S / 4)
            self._change_servers()

    def _note(self, what):
        self.injected.append((round(trio.current_time(), 2), what))

    # servers

    def _add_server(self):
        self._server_count += 1
        server = SimulatedServer(self.fleet, self._server_count)
        self.fleet.servers.append(server)
        self._nursery.start_soon(server.run)

    def _change_servers(self):
        live = [server for server in self.fleet.servers if server.is_live]
        if len(live) > 2 and self.rng.random() < 0.6:
            server = self.rng.choice(live)
            if self.rng.random() < 0.15:
                self._note(f"crash {server.identity}")
                server.crash()
            else:
                says_draining = self.rng.random() < 0.4
                self._note(f"{'drain' if says_draining else 'delete'} {server.identity}")
                self._nursery.start_soon(partial(server.leave, says_draining))
        if len(live) < 2 * FIRST_SERVERS:
            self._add_server()

    # faults

    def _faults(self):
        return (
            self._lose_primary,
            self._lose_primary,
            self._lose_two,
            self._lose_all,
            self._isolate_edges,
            self._isolate_edges,
            self._isolate_primary,
            self._restart_edges,
            self._stop_primary,
            self._wipe_one,
            self._delay_responses,
        )

    async def _lose_controls(self, nodes, name):
        """Kills control nodes at once, and starts them again one after the other."""
        self._note(name)
        self.fleet.is_silent_on_exit = self.rng.random() < 0.4
        self.fleet.disturb_core()
        for node in nodes:
            node.kill()
        for node in nodes:
            await trio.sleep(self.rng.uniform(0.1, 0.8))
            await self.fleet.on_control(node.start())
            self.fleet.disturb_core()

    async def _lose_primary(self):
        primary = await self.fleet.primary()
        self.fleet.disturb_core()
        primary.kill()
        await trio.sleep(self.rng.uniform(0.3, 3.5))
        await self.fleet.on_control(primary.start())
        self.fleet.disturb_core()

    async def _lose_two(self):
        nodes = self.rng.sample(list(self.fleet.cluster.nodes.values()), 2)
        await self._lose_controls(nodes, "two")

    async def _lose_all(self):
        await self._lose_controls(list(self.fleet.cluster.nodes.values()), "all")

    async def _wipe_one(self):
        """Replaces the disk of a control node by an empty one."""
        if trio.current_time() - self._wiped_at < WIPE_INTERVAL_S:
            return
        self._wiped_at = trio.current_time()
        node = self.rng.choice(list(self.fleet.cluster.nodes.values()))
        self.fleet.disturb_core()
        node.wipe()
        await trio.sleep(self.rng.uniform(0.3, 1.5))
        await self.fleet.on_control(node.start())
        self.fleet.disturb_core()

    async def _stop_primary(self):
        """Stops the primary gracefully, so that it hands over, and starts it again."""
        primary = await self.fleet.primary()
        self.fleet.disturb_core()
        try:
            await self.fleet.on_control(primary.request(lambda service: service.stop()))
        except ConnectionError:
            pass
        primary.kill()
        await trio.sleep(0.3)
        await self.fleet.on_control(primary.start())
        self.fleet.disturb_core()

    async def _isolate_primary(self):
        """Cuts the primary off from the other control nodes; edge nodes and servers reach all of them."""
        primary = await self.fleet.primary()
        others = [host for host in self.fleet.cluster.nodes if host != primary.host]
        self.fleet.disturb_core()
        pairs = self.fleet.cluster.partition([primary.host], others)
        await trio.sleep(self.rng.uniform(0.5, 3.5))
        self.fleet.cluster.blocked -= pairs
        self.fleet.disturb_core()

    async def _isolate_edges(self):
        """Keeps some edge nodes from all control nodes, as a freeze or a cut does."""
        fleet = self.fleet
        edges = [edge for edge in fleet.edges if self.rng.random() < 0.35]
        pairs = {(edge.name, host) for edge in edges for host in fleet.cluster.nodes}
        fleet.blocked |= pairs
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        fleet.blocked -= pairs
        for edge in edges:
            fleet.edge_disturbed_at[edge.name] = trio.current_time()

    async def _restart_edges(self):
        for edge in self.fleet.edges:
            if self.rng.random() < 0.3:
                edge.kill()

    async def _delay_responses(self):
        """Delays answers of control nodes to edge nodes beyond their timeout."""
        fleet = self.fleet
        fleet.disturb_core()
        fleet.response_delay_s = self.rng.choice((0.2, 0.6))
        await trio.sleep(self.rng.uniform(0.5, 2.5))
        fleet.response_delay_s = 0.0
        fleet.disturb_core()


def run_server_soak(seed, edges):
    """Runs the fleet of a seed; returns it with the injected faults and changes."""
    rng = Random(seed)
    fleet = ServerFleet(rng.random(), edges)
    soak = ServerSoak(fleet, rng)
    run_fleet(fleet, soak.run, RUN_S)
    return fleet, soak.injected
