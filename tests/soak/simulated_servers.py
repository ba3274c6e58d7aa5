"""Servers in virtual time that register, fall silent, beat late and leave, and the rules for that.

They call the control nodes of a `SimulatedFleet` as the protocol says: an answer counts within a second,
otherwise the next node is called. Rules: once a departure is acknowledged, no edge node in touch still offers
the server to requests after `DRAIN_S`; once faults are over, every edge node offers every live server within
`RECOVERY_S`.
"""

from collections import defaultdict
from functools import partial

import msgspec
import trio
from soak.simulated_fleet import QuotaCluster, SimulatedFleet, SimulatedTenant

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.control.registry import ServerHeartbeat

SERVICE = "s"
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
CONTACT_S = 3.0
RECOVERY_S = 12.0
ANSWER_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
SERVE_ON_S = 14.0  # from the acknowledgement of a departure to the end of the server
LEAVE_TIMEOUT_S = 6.0  # after which a server ends without an acknowledgement
CHECK_INTERVAL_S = 0.1


class ServerCluster(QuotaCluster):
    """Control nodes that expect a heartbeat every `HEARTBEAT_S`."""

    def settings(self, host, bootstrap):
        settings = super().settings(host, bootstrap)
        return msgspec.structs.replace(settings, heartbeat_ms=HEARTBEAT_S * 1000)


class ServerFleet(SimulatedFleet):
    """Edge nodes, control nodes and the servers that register with them; records broken rules."""

    def __init__(self, seed, edges, controls=3):
        super().__init__(seed, [SimulatedTenant("t0", 1_000.0, 1_000.0)], edges, controls)
        self.cluster = ServerCluster(self.rng.random(), controls)
        self.servers = []
        self.departed_at = {}  # time of the first acknowledged departure, by server
        self.core_disturbed_at = (
            0.0  # when a control node was last killed, started, stopped, cut off or joined
        )
        self.edge_disturbed_at = defaultdict(float)  # the same for each edge node
        self.broken = []
        self.late_heartbeats = 0

    def disturb_core(self):
        self.core_disturbed_at = trio.current_time()

    def is_in_touch(self, edge):
        """Whether neither this edge node nor the core was disturbed within `CONTACT_S`."""
        now = trio.current_time()
        disturbed_at = max(self.core_disturbed_at, self.edge_disturbed_at[edge.name], edge.started_at)
        is_blocked = any(name == edge.name for name, _ in self.blocked)
        return edge.node is not None and not is_blocked and now - disturbed_at > CONTACT_S

    def offered(self, edge):
        """The servers that an edge node may send requests to."""
        return {server.id for server in edge.node.instances.available(SERVICE)}

    async def check_departures(self):
        """Records each departed server that an edge node in touch still offers, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            gone = {server for server, at in self.departed_at.items() if now - at > DRAIN_S}
            for edge in self.edges:
                if self.is_in_touch(edge) and (found := self.offered(edge) & gone):
                    self.broken.append(f"{now:.2f}: {edge.name} offers departed {sorted(found)}")

    def check_recovery(self):
        """Records each edge node that doesn't offer exactly the live servers."""
        live = {server.identity for server in self.servers if server.is_live}
        for edge in self.edges:
            offered = self.offered(edge) if edge.node is not None else set()
            if missing := live - offered:
                self.broken.append(f"{trio.current_time():.2f}: {edge.name} lacks live {sorted(missing)}")


class SimulatedServer:
    """One incarnation of a server."""

    def __init__(self, fleet, number):
        self.fleet, self.identity = fleet, f"i-{number}"
        self.address = f"10.2.{number // 250}.{number % 250}:80"
        self.rng = fleet.rng
        self.seq = 0
        self.is_live = True  # neither leaving nor crashed
        self.hosts = list(fleet.cluster.nodes)
        self.rng.shuffle(self.hosts)
        self.scope = trio.CancelScope()

    async def run(self):
        """Sends heartbeats until the server leaves or crashes."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                while True:
                    if self.rng.random() < 0.15:
                        self._send_late(nursery)
                    elif self.rng.random() < 0.1:
                        await trio.sleep(self.rng.uniform(2.0, 7.0))  # the next one comes late, whole
                    for _ in self.hosts:
                        if await self._call_present(self._heartbeat("ready")):
                            break
                    await trio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))

    def crash(self):
        self.is_live = False
        self.scope.cancel()

    async def leave(self, says_draining):
        """Leaves as announced: drains or deregisters, serves on, and ends."""
        self.is_live = False
        self.scope.cancel()
        if says_draining:
            await self._announce(partial(self._heartbeat, "draining"))
            await trio.sleep(SERVE_ON_S * self.rng.random())
        await self._announce(lambda: lambda service: service.deregister(self.identity))

    def _heartbeat(self, state):
        self.seq += 1
        heartbeat = ServerHeartbeat(
            backend=SERVICE, addr=self.address, zone="z", slots=4, state=state, seq=self.seq
        )
        return lambda service: service.heartbeat(self.identity, heartbeat)

    async def _announce(self, make_call):
        """Repeats a call until it is acknowledged or `LEAVE_TIMEOUT_S` has passed."""
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            while not await self._call_present(make_call()):
                await trio.sleep(0.05)
            self.fleet.departed_at.setdefault(self.identity, trio.current_time())

    def _send_late(self, nursery):
        """Sends a heartbeat whose way to a control node takes seconds; nobody waits for its answer."""
        call, host = self._heartbeat("ready"), self.rng.choice(self.hosts)
        delay_s = self.rng.uniform(1.0, 6.0)
        self.fleet.late_heartbeats += 1

        async def deliver():
            with trio.CancelScope(shield=True):  # it arrives although its server has left
                await trio.sleep(delay_s)
                await self._call(host, call)

        nursery.start_soon(deliver)

    async def _call_present(self, call):
        """Calls the present control node; if that fails, the next call goes to another one."""
        if await self._call(self.hosts[0], call):
            return True
        self.hosts.append(self.hosts.pop(0))
        return False

    async def _call(self, host, call):
        """Calls a control node and follows its redirects; returns whether it acknowledged in time."""
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            for _ in range(1 + MAX_REDIRECTS):
                try:
                    node = self.fleet.cluster.nodes[host]
                    await self.fleet.on_control(node.request(call))
                    return True
                except RequestError as error:
                    if error.kind != ErrorKind.NOT_PRIMARY or error.detail not in self.fleet.cluster.nodes:
                        return False
                    host = error.detail
                except ConnectionError:
                    return False
        return False
