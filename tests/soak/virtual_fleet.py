"""A whole router set in virtual time: control nodes, edge nodes, tenants' clients, and what the rule allows.

The shipped control service and replication, and the shipped control client, admission and leases of edge
nodes; the network, disks, servers and clients are played. What tenants used is noted where a request would be
written to its server, and judged by the rule alone.
"""

import json
import logging
from math import inf
from random import Random

import httpx
import msgspec
import trio
import trio._core._run as trio_run
from control import virtual_cluster
from control.virtual_cluster import Cluster
from soak.bridge import Bridge
from soak.limits import LimitedTenant, Rule, configuration
from trio.testing import MockClock

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import (
    UPDATES_PATH,
    NotPrimary,
    ServerLoad,
    UpdateRequest,
    UsageReport,
)
from wheatroute.cluster.settings import Bounds, Settings, Tolerate
from wheatroute.control.changes import Change
from wheatroute.edge.admission import Admission
from wheatroute.edge.control_client import ControlClient
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest

HOST = "desk.example"
SIZES = (1_630, 1_630, 9_240, 17_140)  # tokens of a request, each as likely
MEAN_SIZE = sum(SIZES) / len(SIZES)
LATENCY = (0.001, 0.003)  # seconds one way
REJECTED = 0.02  # of the requests, by a server that provably didn't run them
CLIENT_LOOK = 0.5  # seconds after which a client that waits looks whether its tenant is hot now
COME_BACK = 2  # times that a refused client asks again
BOUNDS = Bounds(
    quota_window_s=8.0, quota_excess=0.1, quota_slack=190_000.0, converge_ms=2500.0, contact_ms=4000.0
)
USUAL = 1 / 1.3  # of its rate, what a tenant asks for
RULE = Rule(
    BOUNDS.quota_window_s,
    BOUNDS.quota_excess,
    BOUNDS.quota_slack,
    # a lower limit counts a window after it was acknowledged and told to every node
    (BOUNDS.converge_ms + BOUNDS.contact_ms) / 1000.0 + 2.0 + BOUNDS.quota_window_s,
)
LOG = logging.getLogger("virtual-fleet")
LOG.setLevel(logging.CRITICAL)


class TenantPlay(LimitedTenant):
    """One tenant, and what its clients ask for: a part of its first rate, times more while it is hot."""

    def __init__(self, name, rate, burst, hot=()):
        super().__init__(RULE, name, rate, burst, unread=200)
        self.limits.append((-inf, rate, burst))
        self.demand = rate * USUAL
        self.hot = list(hot)  # (from, to, times its usual)
        self.refused = 0

    def requests_per_s(self, now):
        times = max((times for begin, end, times in self.hot if begin <= now < end), default=1.0)
        return self.demand * times / MEAN_SIZE


class FleetCluster(Cluster):
    """Control nodes with the bounds of the rule."""

    def settings(self, host, bootstrap):
        tolerate = Tolerate(machines=(len(self.nodes) - 1) // 2)
        return msgspec.structs.replace(super().settings(host, bootstrap), bounds=BOUNDS, tolerate=tolerate)


class Network(httpx.AsyncBaseTransport):
    """One edge node's way to the control nodes."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name

    async def handle_async_request(self, request):
        fleet, limits = self._fleet, request.extensions["timeout"]
        host = request.url.host
        await trio.sleep(fleet.latency())
        node = fleet.cluster.nodes.get(host)
        if fleet.silent(self._name, host):
            await trio.sleep(limits["connect"])
            raise httpx.ConnectTimeout("silent")
        if node is None or node.service is None:
            raise httpx.ConnectError("refused")
        body = await request.aread()
        with trio.move_on_after(limits["read"]):
            try:
                answer = await fleet.bridge.call(node.call(self._handler(request.url.path, body)))
            except ConnectionError:
                if fleet.dark:
                    await trio.sleep_forever()
                raise httpx.ReadError("reset") from None
            await trio.sleep(fleet.latency() + fleet.answer_delay())
            if fleet.silent(self._name, host):
                await trio.sleep_forever()
            status = 503 if isinstance(answer, NotPrimary) else 200
            return httpx.Response(status, content=msgspec.msgpack.encode(answer))
        raise httpx.ReadTimeout("silent")

    @staticmethod
    def _handler(path, body):
        async def act(service):
            if path == UPDATES_PATH:
                return await service.updates(msgspec.msgpack.decode(body, type=UpdateRequest))
            return service.usage(msgspec.msgpack.decode(body, type=UsageReport))

        return act


class VirtualEdge:
    """One edge machine: its process lives from `start` to `kill`."""

    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"edge-{number}"
        self.frozen_until = 0.0
        self.scope = None

    async def run(self):
        """One life."""
        fleet = self.fleet
        settings = Settings(
            node=self.name,
            ip="10.1.0.1",
            zone="z",
            listen={},
            port_range=(1, 2),
            seeds=tuple(f"{host}:80" for host in fleet.cluster.seeds),
            bounds=BOUNDS,
        )
        node = EdgeNode(settings, LOG)
        node.rng = Random(fleet.chance.random())
        node.selector.load.local = lambda: {"s": ServerLoad(100, 1)}
        control = ControlClient(node)
        control._primary_client._http = httpx.AsyncClient(transport=Network(fleet, self.name))
        admission = Admission(node, control.request_lease)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control.run)
                for tenant in fleet.tenants:
                    nursery.start_soon(self._clients, tenant, node, admission, nursery)

    def kill(self):
        if self.scope is not None:
            self.scope.cancel()

    async def _clients(self, tenant, node, admission, nursery):
        chance = Random(self.fleet.chance.random())
        while True:
            rate = tenant.requests_per_s(trio.current_time()) / len(self.fleet.edges)
            pause = chance.expovariate(rate)
            await trio.sleep(min(CLIENT_LOOK, pause))
            if pause <= CLIENT_LOOK:
                nursery.start_soon(self._ask, tenant, node, admission, chance)

    async def _ask(self, tenant, node, admission, chance):
        tokens = chance.choice(SIZES)
        for _ in range(1 + COME_BACK):
            now = trio.current_time()
            headers = [
                (b"host", HOST.encode()),
                (b"authorization", f"Token key-{tenant.name}".encode()),
                (b"token-count", f"{tokens},0".encode()),
            ]
            request = ClientRequest(b"POST", b"/ask/", headers, b"", now)
            try:
                await admission.admit(request)
            except RequestError:
                tenant.refused += 1
                await trio.sleep(0.5 + 0.3 * chance.random())
                continue
            if chance.random() < REJECTED:
                admission.refund(request)
                continue
            tenant.used.append((trio.current_time(), tokens))
            return


class Fleet:
    """Everything, and what troubles do to it."""

    def __init__(self, seed, tenants, edges, controls=5):
        self.chance = Random(seed)
        self.tenants = tenants
        self.bridge = Bridge()
        self.cluster = FleetCluster(seed, controls)
        self.edges = [VirtualEdge(self, number) for number in range(edges)]
        self.cuts = set()  # of (edge, host)
        self.dark = False  # whether processes that end say nothing
        self.slow = 0.0  # seconds that answers of control nodes take beyond the link
        self.generation = 0

    def latency(self):
        return self.chance.uniform(*LATENCY)

    def answer_delay(self):
        return self.slow * self.chance.random()

    def silent(self, edge, host):
        node = self.cluster.nodes.get(host)
        return (edge, host) in self.cuts or (self.dark and (node is None or node.service is None))

    async def on_control(self, coroutine):
        """Something that control nodes do."""
        return await self.bridge.call(coroutine)

    async def configure(self):
        """Has the tenants' present limits taken."""
        match, self.generation = self.generation, self.generation + 1
        body = configuration(self.generation, self.tenants, timeout_ms=4000, target_ms=500, host=HOST)
        change = Change(False, str(match), json.dumps(body).encode())
        while True:
            leader = await self.leader()
            try:
                await self.on_control(leader.call(lambda service: service.change(change)))
                return
            except (RequestError, ConnectionError, TimeoutError):
                await trio.sleep(0.1)

    async def leader(self):
        """The control node that serves, once there is one."""

        async def find():
            return self.cluster.leader()

        while (found := await self.on_control(find())) is None:
            await trio.sleep(0.02)
        return found

    async def keep_edge(self, edge, down=0.3):
        """Starts an edge node again whenever its process has ended."""
        while True:
            await edge.run()
            await trio.sleep(down)

    def verdict(self):
        """What broke the rule, a line for each tenant."""
        return [line for tenant in self.tenants for line in tenant.verdict()]


def play(fleet, tell, length):
    """Runs `tell(fleet)` beside the clients until `length` seconds have passed; the verdict."""

    async def story():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.bridge.run)
            await fleet.on_control(fleet.cluster.start())
            await fleet.configure()
            for edge in fleet.edges:
                nursery.start_soon(fleet.keep_edge, edge)
            with trio.move_on_at(length):
                nursery.start_soon(tell, fleet)
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()
        fleet.bridge.close()

    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = Random(fleet.chance.random())
    with virtual_cluster._patched_replicator(fleet.cluster):
        trio.run(story, clock=MockClock(autojump_threshold=0))
    return fleet.verdict()
