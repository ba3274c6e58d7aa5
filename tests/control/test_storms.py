"""A long list of routes and storms of changes, in virtual time: links of the width that machines have."""

import asyncio
import hashlib

import msgspec
import pytest
from control.virtual_cluster import play

from wheatroute.cluster.distribution import decode_difference
from wheatroute.cluster.messages import NotPrimary, RegistryVersion, UpdateRequest
from wheatroute.control.api import encode_message
from wheatroute.control.changes import Change
from wheatroute.control.versions import MAX_VERSIONS
from wheatroute.edge.routing import EMPTY_TABLE

EDGES = 94
ROUTES = 1520
CHANGES, SPACING = 25, 0.08  # the storm, and seconds between two changes
CORE_LINK, EDGE_LINK = 210e6 / 8, 5e6 / 8  # bytes a second
CONVERGE = 2.5  # seconds from the acknowledgement until a version is in force everywhere
HEAD_BYTES = 250  # of an answer


def drawn(text):
    """A name that repeats nothing, so that compression finds no more in it than in an operator's names."""
    return hashlib.blake2b(text.encode(), digest_size=5).hexdigest()


def route(number):
    return {
        "name": f"route-{drawn(str(number))}",
        "hostname": f"{drawn(f'host{number % 300}')}.example",
        "path_prefix": f"/{drawn(f'path{number}')}/2f",
        "kind": "streaming",
        "timeout_ms": 10634,
        "target_ms": 1063,
        "backend": "s",
        "gap_aim_ms": 400,
    }


class Link:
    """Bytes go one after the other at its width."""

    def __init__(self, width):
        self._width, self._free_at, self.carried = width, 0.0, 0

    async def carry(self, size):
        loop = asyncio.get_running_loop()
        self._free_at = max(self._free_at, loop.time()) + size / self._width
        self.carried += size
        await asyncio.sleep(self._free_at - loop.time())


class Edge:
    """Polls as an edge node does, and notes when it had which generation."""

    def __init__(self, name, core_link):
        self.name, self.core_link, self.link = name, core_link, Link(EDGE_LINK)
        self.table = EMPTY_TABLE
        self.had = []  # (time, generation)

    async def run(self, service):
        loop, registry = asyncio.get_running_loop(), RegistryVersion()
        while True:
            asked = UpdateRequest(self.name, "z", self.table.sequence, registry, 0.7)
            update = await service.updates(asked)
            if isinstance(update, NotPrimary):
                await asyncio.sleep(0.06)
                continue
            size = len(encode_message(update)) + HEAD_BYTES
            await self.core_link.carry(size)
            await self.link.carry(size)
            registry = update.registry
            if update.configuration_change is not None:
                self.table = self.table.apply_difference(decode_difference(update.configuration_change))
                self.had.append((loop.time(), self.table.generation))


class Storm:
    """An operator beside edge nodes."""

    def __init__(self, cluster):
        self.cluster, self.acknowledged, self.generation = cluster, {}, 0
        self.core_link = Link(CORE_LINK)
        self.edges = []

    async def begin(self, edges=EDGES):
        self.service = (await self.cluster.wait_for_leader()).service
        whole = {"generation": 1, "routes": [route(0)], "services": [{"name": "s"}], "tenants": []}
        await self.put(Change(False, "0", msgspec.json.encode(whole)))
        await self.join(edges)

    async def join(self, count):
        for _ in range(count):
            edge = Edge(f"edge-{len(self.edges)}", self.core_link)
            self.edges.append(edge)
            asyncio.get_running_loop().create_task(edge.run(self.service))

    async def put(self, change):
        self.generation = await self.service.change(change)
        self.acknowledged[self.generation] = asyncio.get_running_loop().time()

    async def patch(self, routes):
        patch = {"generation": self.generation + 1, "upsert": {"routes": routes}}
        await self.put(Change(True, str(self.generation), msgspec.json.encode(patch)))

    def latest(self, edge, generation):
        """When this edge node had the generation, or a newer one."""
        return min((at for at, had in edge.had if had >= generation), default=float("inf"))

    def check(self):
        for edge in self.edges:
            told = [generation for _, generation in edge.had]
            assert told == sorted(set(told)), f"{edge.name} steps back: {told}"
            late = {
                generation: self.latest(edge, generation) - at
                for generation, at in self.acknowledged.items()
                if edge.had[0][0] < at and self.latest(edge, generation) > at + CONVERGE
            }
            assert not late, f"{edge.name} had {late} late"
            assert edge.table.generation == self.generation


def test_a_storm_over_a_long_list_is_in_force_in_time_on_every_edge_node():
    async def tell(cluster):
        storm = Storm(cluster)
        await storm.begin()
        await storm.patch([route(number) for number in range(1, ROUTES)])
        await asyncio.sleep(1.0)
        before = storm.core_link.carried
        for number in range(CHANGES):
            await storm.patch([route(ROUTES + number)])
            await asyncio.sleep(SPACING)
        await asyncio.sleep(CONVERGE)
        storm.check()
        assert {len(edge.table.version.routes) for edge in storm.edges} == {ROUTES + CHANGES}
        assert len(storm.service.configuration._versions._versions) <= MAX_VERSIONS
        # a change of one route costs each node a few hundred bytes, not the list again
        assert storm.core_link.carried - before < EDGES * CHANGES * 1000

    play(1, tell)


def test_a_node_that_missed_two_storms_is_in_force_in_time():
    async def tell(cluster):
        storm = Storm(cluster)
        await storm.begin(edges=2)
        await storm.patch([route(number) for number in range(1, ROUTES)])
        await asyncio.sleep(1.0)
        stale = storm.edges[0].table
        for number in range(2 * MAX_VERSIONS):
            await storm.patch([route(ROUTES + number)])
        await storm.join(1)
        storm.edges[-1].table = stale
        await asyncio.sleep(CONVERGE)
        storm.check()

    play(2, tell)


@pytest.mark.parametrize("routes", [ROUTES, 12_000])
def test_a_first_configuration_longer_than_a_second_of_an_edge_link_comes_in_time(routes):
    """As JSON 12,000 routes take more than four seconds of the link."""

    async def tell(cluster):
        storm = Storm(cluster)
        await storm.begin(edges=0)
        await storm.patch([route(number) for number in range(1, routes)])
        await storm.join(1)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(CONVERGE)
        storm.check()
        assert storm.edges[0].had[0][0] - began < 1.0

    play(3, tell)
