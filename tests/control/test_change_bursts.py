"""Bursts of changes to a configuration with many routes, over links of limited bandwidth, in virtual time."""

import asyncio
import hashlib

import msgspec
import pytest
from control.simulated_cluster import run_scenario

from wheatroute.cluster.distribution import decode_difference
from wheatroute.cluster.messages import NotPrimary, RegistryVersion, UpdateRequest
from wheatroute.control.api import encode_message
from wheatroute.control.changes import Change
from wheatroute.control.versions import MAX_VERSIONS
from wheatroute.edge.routing import EMPTY_TABLE

EDGE_NODES = 94
ROUTES = 1520
CHANGES, CHANGE_INTERVAL_S = 25, 0.08  # number and interval of the changes in a burst
CONTROL_BANDWIDTH, EDGE_BANDWIDTH = 210e6 / 8, 5e6 / 8  # bytes per second
POLL_S, RETRY_S = 0.7, 0.06
MAX_PROPAGATION_S = 2.5  # from the acknowledgement of a version until every edge node has applied it
HEAD_BYTES = 250  # size of a response's head


def random_name(text):
    """A random-looking name, so that it compresses no better than the names that operators use."""
    return hashlib.blake2b(text.encode(), digest_size=5).hexdigest()


def route(number):
    return {
        "name": f"route-{random_name(str(number))}",
        "hostname": f"{random_name(f'host{number % 300}')}.example",
        "path_prefix": f"/{random_name(f'path{number}')}/2f",
        "kind": "streaming",
        "timeout_ms": 10634,
        "target_ms": 1063,
        "backend": "s",
        "gap_aim_ms": 400,
    }


class Link:
    """A link of limited bandwidth (bytes per second) that sends one message after another."""

    def __init__(self, bandwidth):
        self._bandwidth, self._free_at, self.sent_bytes = bandwidth, 0.0, 0

    async def send(self, size):
        loop = asyncio.get_running_loop()
        self._free_at = max(self._free_at, loop.time()) + size / self._bandwidth
        self.sent_bytes += size
        await asyncio.sleep(self._free_at - loop.time())


class EdgeNodeStandIn:
    """Polls as an edge node does, and records when it applied each generation."""

    def __init__(self, name, control_link):
        self.name, self.control_link, self.link = name, control_link, Link(EDGE_BANDWIDTH)
        self.table = EMPTY_TABLE
        self.applied = []  # (time, generation)

    async def run(self, service):
        loop, registry = asyncio.get_running_loop(), RegistryVersion()
        while True:
            request = UpdateRequest(self.name, "z", self.table.sequence, registry, POLL_S)
            update = await service.updates(request)
            if isinstance(update, NotPrimary):
                await asyncio.sleep(RETRY_S)
                continue
            size = len(encode_message(update)) + HEAD_BYTES
            await self.control_link.send(size)
            await self.link.send(size)
            registry = update.registry
            if update.configuration_change is not None:
                self.table = self.table.apply_difference(decode_difference(update.configuration_change))
                self.applied.append((loop.time(), self.table.generation))


class ChangeBurst:
    """An operator that sends changes, and edge nodes that apply them."""

    def __init__(self, cluster):
        self.cluster, self.generation = cluster, 0
        self.acknowledged_at = {}  # generation -> time
        self.control_link = Link(CONTROL_BANDWIDTH)
        self.edge_nodes = []

    async def start(self, edge_node_count=EDGE_NODES):
        self.service = (await self.cluster.wait_for_primary()).service
        configuration = {"generation": 1, "routes": [route(0)], "services": [{"name": "s"}], "tenants": []}
        await self.change(Change(False, "0", msgspec.json.encode(configuration)))
        await self.start_edge_nodes(edge_node_count)

    async def start_edge_nodes(self, count):
        for _ in range(count):
            edge = EdgeNodeStandIn(f"edge-{len(self.edge_nodes)}", self.control_link)
            self.edge_nodes.append(edge)
            asyncio.get_running_loop().create_task(edge.run(self.service))

    async def change(self, change):
        self.generation = await self.service.change(change)
        self.acknowledged_at[self.generation] = asyncio.get_running_loop().time()

    async def patch(self, routes):
        patch = {"generation": self.generation + 1, "upsert": {"routes": routes}}
        await self.change(Change(True, str(self.generation), msgspec.json.encode(patch)))

    @staticmethod
    def applied_at(edge, generation):
        """The time at which this edge node applied the generation or a newer one."""
        return min((at for at, applied in edge.applied if applied >= generation), default=float("inf"))

    def check(self):
        for edge in self.edge_nodes:
            generations = [generation for _, generation in edge.applied]
            assert generations == sorted(set(generations)), (
                f"{edge.name} returned to an older generation: {generations}"
            )
            late = {
                generation: self.applied_at(edge, generation) - at
                for generation, at in self.acknowledged_at.items()
                if edge.applied[0][0] < at and self.applied_at(edge, generation) > at + MAX_PROPAGATION_S
            }
            assert not late, f"{edge.name} applied {late} late"
            assert edge.table.generation == self.generation


def test_a_burst_of_changes_to_many_routes_is_applied_in_time_by_every_edge_node():
    async def scenario(cluster):
        burst = ChangeBurst(cluster)
        await burst.start()
        await burst.patch([route(number) for number in range(1, ROUTES)])
        await asyncio.sleep(1.0)
        before = burst.control_link.sent_bytes
        for number in range(CHANGES):
            await burst.patch([route(ROUTES + number)])
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await asyncio.sleep(MAX_PROPAGATION_S)
        burst.check()
        assert {len(edge.table.version.routes) for edge in burst.edge_nodes} == {ROUTES + CHANGES}
        assert len(burst.service.configuration._versions._versions) <= MAX_VERSIONS
        # a change of one route costs each node a few hundred bytes, not the list again
        assert burst.control_link.sent_bytes - before < EDGE_NODES * CHANGES * 1000

    run_scenario(1, scenario)


def test_an_edge_node_that_missed_two_bursts_of_changes_is_up_to_date_in_time():
    async def scenario(cluster):
        burst = ChangeBurst(cluster)
        await burst.start(edge_node_count=2)
        await burst.patch([route(number) for number in range(1, ROUTES)])
        await asyncio.sleep(1.0)
        stale = burst.edge_nodes[0].table
        for number in range(2 * MAX_VERSIONS):
            await burst.patch([route(ROUTES + number)])
        await burst.start_edge_nodes(1)
        burst.edge_nodes[-1].table = stale
        await asyncio.sleep(MAX_PROPAGATION_S)
        burst.check()

    run_scenario(2, scenario)


@pytest.mark.parametrize("routes", [ROUTES, 12_000])
def test_a_first_configuration_of_many_routes_is_applied_in_time(routes):
    """Uncompressed JSON of 12,000 routes would take more than four seconds on an edge node's link."""

    async def scenario(cluster):
        burst = ChangeBurst(cluster)
        await burst.start(edge_node_count=0)
        await burst.patch([route(number) for number in range(1, routes)])
        await burst.start_edge_nodes(1)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(MAX_PROPAGATION_S)
        burst.check()
        assert burst.edge_nodes[0].applied[0][0] - began < 1.0

    run_scenario(3, scenario)
