"""A complete router set in virtual time: control nodes, edge nodes, tenants' clients, and the quota rule.

Control service, replication, control client, admission and quota leases are the production code; the network,
disks, servers and clients are simulated. Usage is counted where a request would be written to its server, and
checked only against the quota rule.
"""

import json
import logging
from math import inf
from random import Random

import httpx
import msgspec
import trio
import trio._core._run as trio_run
from control.simulated_cluster import SimulatedCluster, patched_replicator
from soak.asyncio_bridge import AsyncioBridge
from soak.quota_rule import LimitedTenant, QuotaRule, make_configuration
from trio.testing import MockClock

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import (
    UPDATES_PATH,
    NotPrimary,
    ServerLoad,
    UpdateRequest,
    UsageReport,
)
from wheatroute.cluster.settings import Bounds, FailureTolerance, Settings
from wheatroute.control.changes import Change
from wheatroute.edge.admission import Admission
from wheatroute.edge.control_client import ControlClient
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.request import ClientRequest

HOST = "desk.example"
REQUEST_TOKENS = (1_630, 1_630, 9_240, 17_140)  # sizes of requests, equally likely
MEAN_REQUEST_TOKENS = sum(REQUEST_TOKENS) / len(REQUEST_TOKENS)
LATENCY_RANGE_S = (0.001, 0.003)  # of the network, one way
REJECTION_PROBABILITY = 0.02  # that the server rejects a request without running it
DEMAND_CHECK_INTERVAL_S = 0.5  # between two checks of waiting clients whether their tenant has become hot
MAX_RETRIES = 2  # by the client after a rejection
BOUNDS = Bounds(
    quota_window_s=8.0, quota_excess=0.1, quota_slack=190_000.0, converge_ms=2500.0, contact_ms=4000.0
)
USUAL_DEMAND = 1 / 1.3  # as a fraction of a tenant's rate
RULE = QuotaRule(
    BOUNDS.quota_window_s,
    BOUNDS.quota_excess,
    BOUNDS.quota_slack,
    # A lower limit applies one window after it was acknowledged and every edge node has applied it.
    (BOUNDS.converge_ms + BOUNDS.contact_ms) / 1000.0 + 2.0 + BOUNDS.quota_window_s,
)
LOG = logging.getLogger("simulated-fleet")
LOG.setLevel(logging.CRITICAL)


class SimulatedTenant(LimitedTenant):
    """A tenant and its clients' demand: a fraction of its initial rate, a multiple of that while hot."""

    def __init__(self, name, rate, burst, hot=()):
        super().__init__(RULE, name, rate, burst, uncached_tokens=200)
        self.limits.append((-inf, rate, burst))
        self.demand = rate * USUAL_DEMAND
        self.hot = list(hot)  # (begin, end, multiple of the usual demand)
        self.rejected_count = 0

    def requests_per_s(self, now):
        factor = max((factor for begin, end, factor in self.hot if begin <= now < end), default=1.0)
        return self.demand * factor / MEAN_REQUEST_TOKENS


class QuotaCluster(SimulatedCluster):
    """A cluster of control nodes whose bounds are those of the quota rule."""

    def settings(self, host, bootstrap):
        tolerate = FailureTolerance(machines=(len(self.nodes) - 1) // 2)
        return msgspec.structs.replace(super().settings(host, bootstrap), bounds=BOUNDS, tolerate=tolerate)


class SimulatedNetwork(httpx.AsyncBaseTransport):
    """The network between one edge node and the control nodes."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name

    async def handle_async_request(self, request):
        fleet, limits = self._fleet, request.extensions["timeout"]
        host = request.url.host
        await trio.sleep(fleet.draw_latency())
        node = fleet.cluster.nodes.get(host)
        if fleet.is_blocked(self._name, host):
            await trio.sleep(limits["connect"])
            raise httpx.ConnectTimeout("no response")
        if node is None or node.service is None:
            raise httpx.ConnectError("refused")
        body = await request.aread()
        with trio.move_on_after(limits["read"]):
            try:
                message = await fleet.bridge.call(node.request(self._handler(request.url.path, body)))
            except ConnectionError:
                if fleet.is_silent_on_exit:
                    await trio.sleep_forever()
                raise httpx.ReadError("reset") from None
            await trio.sleep(fleet.draw_latency() + fleet.draw_response_delay())
            if fleet.is_blocked(self._name, host):
                await trio.sleep_forever()
            status = 503 if isinstance(message, NotPrimary) else 200
            return httpx.Response(status, content=msgspec.msgpack.encode(message))
        raise httpx.ReadTimeout("no response")

    @staticmethod
    def _handler(path, body):
        async def handle(service):
            if path == UPDATES_PATH:
                return await service.updates(msgspec.msgpack.decode(body, type=UpdateRequest))
            return service.usage(msgspec.msgpack.decode(body, type=UsageReport))

        return handle


class SimulatedEdgeNode:
    """One edge node; its process runs until `kill`."""

    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"edge-{number}"
        self.scope = None
        self.node = None  # of the process that runs now
        self.started_at = inf

    async def run(self):
        """Runs one incarnation of the process, until it is killed."""
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
        self.node, self.started_at = node, trio.current_time()
        node.rng = Random(fleet.rng.random())
        node.selector.load.local = lambda: {"s": ServerLoad(100, 1)}
        control = ControlClient(node)
        control._primary_client._http = httpx.AsyncClient(transport=SimulatedNetwork(fleet, self.name))
        admission = Admission(node, control.request_lease)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(control.run)
                for tenant in fleet.tenants:
                    nursery.start_soon(self._run_clients, tenant, node, admission, nursery)

    def kill(self):
        if self.scope is not None:
            self.scope.cancel()
        self.node = None

    async def _run_clients(self, tenant, node, admission, nursery):
        rng = Random(self.fleet.rng.random())
        while True:
            rate = tenant.requests_per_s(trio.current_time()) / len(self.fleet.edges)
            pause = rng.expovariate(rate)
            await trio.sleep(min(DEMAND_CHECK_INTERVAL_S, pause))
            if pause <= DEMAND_CHECK_INTERVAL_S:
                nursery.start_soon(self._send_request, tenant, node, admission, rng)

    async def _send_request(self, tenant, node, admission, rng):
        tokens = rng.choice(REQUEST_TOKENS)
        for _ in range(1 + MAX_RETRIES):
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
                tenant.rejected_count += 1
                await trio.sleep(0.5 + 0.3 * rng.random())
                continue
            if rng.random() < REJECTION_PROBABILITY:
                admission.refund(request)
                continue
            tenant.usage.append((trio.current_time(), tokens))
            return


class SimulatedFleet:
    """All nodes and clients, and the faults that are in effect."""

    def __init__(self, seed, tenants, edges, controls=5):
        self.rng = Random(seed)
        self.tenants = tenants
        self.bridge = AsyncioBridge()
        self.cluster = QuotaCluster(seed, controls)
        self.edges = [SimulatedEdgeNode(self, number) for number in range(edges)]
        self.blocked = set()  # partitioned pairs: (edge node, host of a control node)
        # Whether connections to ended processes time out instead of being refused.
        self.is_silent_on_exit = False
        self.response_delay_s = 0.0  # maximum additional delay of a control node's response
        self.generation = 0

    def draw_latency(self):
        return self.rng.uniform(*LATENCY_RANGE_S)

    def draw_response_delay(self):
        return self.response_delay_s * self.rng.random()

    def is_blocked(self, edge, host):
        node = self.cluster.nodes.get(host)
        return (edge, host) in self.blocked or (
            self.is_silent_on_exit and (node is None or node.service is None)
        )

    async def on_control(self, coroutine):
        """Runs a coroutine on the event loop of the control nodes and returns its result."""
        return await self.bridge.call(coroutine)

    async def configure(self):
        """Sends the tenants' current limits until they are acknowledged."""
        base, self.generation = self.generation, self.generation + 1
        body = make_configuration(self.generation, self.tenants, timeout_ms=4000, target_ms=500, host=HOST)
        change = Change(False, str(base), json.dumps(body).encode())
        while True:
            primary = await self.primary()
            try:
                await self.on_control(primary.request(lambda service: service.change(change)))
                return
            except (RequestError, ConnectionError, TimeoutError):
                await trio.sleep(0.1)

    async def primary(self):
        """Waits for a primary that may acknowledge changes, and returns it."""

        async def find():
            return self.cluster.primary()

        while (primary := await self.on_control(find())) is None:
            await trio.sleep(0.02)
        return primary

    async def keep_running(self, edge, down_s=0.3):
        """Runs an edge node, and starts it again `down_s` after each exit of its process."""
        while True:
            await edge.run()
            await trio.sleep(down_s)

    def violations(self):
        """Returns a line for each tenant that broke the quota rule."""
        return [line for tenant in self.tenants for line in tenant.violations()]


def run_fleet(fleet, scenario, length_s):
    """Runs `scenario(fleet)` beside the clients for `length_s`; returns the violations of the quota rule."""

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.bridge.run)
            await fleet.on_control(fleet.cluster.start())
            await fleet.configure()
            for edge in fleet.edges:
                nursery.start_soon(fleet.keep_running, edge)
            with trio.move_on_at(length_s):
                nursery.start_soon(scenario, fleet)
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()
        fleet.bridge.close()

    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = Random(fleet.rng.random())
    with patched_replicator(fleet.cluster):
        trio.run(run, clock=MockClock(autojump_threshold=0))
    return fleet.violations()
