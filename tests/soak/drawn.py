"""Days drawn by a seed: hot tenants, lost primaries, cuts, restarts and changes of limits, that overlap."""

from random import Random

import trio
from soak.virtual_fleet import Fleet, TenantPlay, play

LENGTH = 26.0
CALM_END = 3.0  # seconds at the end in which nothing more begins
BEGIN = 2.0
KINDS = (
    "primary",
    "primary",
    "primary",
    "all",
    "cut",
    "slow",
    "edges",
    "stop",
    "limits",
    "split",
    "together",
)


def tenants(chance):
    """A large one and three smaller ones, of which one or two become hot."""
    found = []
    for number, rate in enumerate((190_000.0, 120_000.0, 70_000.0, 47_000.0)):
        rate *= 0.8 + 0.4 * chance.random()
        found.append(TenantPlay(f"t{number}", rate, rate * chance.uniform(0.5, 1.8)))
    for tenant in chance.sample(found, chance.choice((1, 2))):
        begin = chance.uniform(1.0, LENGTH / 2)
        tenant.hot.append((begin, begin + chance.uniform(3.0, 14.0), chance.uniform(2.0, 7.5)))
    return found


class Troubles:
    """What strikes a fleet, by the draw of its seed; `told` is what came when."""

    def __init__(self, fleet, chance):
        self.fleet, self.chance = fleet, chance
        self.told = []
        self._wiped = 0

    def _tell(self, what):
        self.told.append((round(trio.current_time(), 2), what))

    async def run(self, fleet):
        chance = self.chance
        await trio.sleep(BEGIN)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < LENGTH - CALM_END:
                kind = chance.choice(KINDS)
                self._tell(kind)
                nursery.start_soon(getattr(self, f"_{kind}"))
                await trio.sleep(chance.choice((0.1, 0.5, 1.0, 2.5)) * (0.5 + chance.random()))

    async def _lose(self, node, away):
        """A control node ends without a word; now and then its disk goes with it."""
        self.fleet.dark = self.chance.random() < 0.6
        if self.chance.random() < 0.3 and not self._wiped:
            self._wiped += 1
            node.wipe()
        else:
            node.kill()
        await trio.sleep(away)
        await self.fleet.on_control(node.start())

    async def _primary(self):
        await self._lose(await self.fleet.leader(), self.chance.uniform(0.3, 4.0))

    async def _all(self):
        """All control nodes at once, a second or so."""
        nodes = list(self.fleet.cluster.nodes.values())
        self.fleet.dark = self.chance.random() < 0.5
        for node in nodes:
            node.kill()
        for node in nodes:
            await trio.sleep(0.4 * self.chance.random())
            await self.fleet.on_control(node.start())

    async def _cut(self):
        """Some edge nodes hear no control node."""
        share = self.chance.choice((0.1, 0.2, 0.35))
        edges = [edge.name for edge in self.fleet.edges if self.chance.random() < share]
        pairs = {(edge, host) for edge in edges for host in self.fleet.cluster.nodes}
        self.fleet.cuts |= pairs
        await trio.sleep(self.chance.uniform(0.3, 6.0))
        self.fleet.cuts -= pairs

    async def _split(self):
        """The primary is cut off from other control nodes, and edge nodes reach them all."""
        leader = await self.fleet.leader()
        others = [host for host in self.fleet.cluster.nodes if host != leader.host]
        pairs = self.fleet.cluster.cut([leader.host], others)
        await trio.sleep(self.chance.uniform(0.5, 4.0))
        self.fleet.cluster.cuts -= pairs

    async def _slow(self):
        """Answers of control nodes come later than edge nodes wait for."""
        self.fleet.slow = self.chance.choice((0.2, 0.5))
        await trio.sleep(self.chance.uniform(0.5, 3.0))
        self.fleet.slow = 0.0

    async def _edges(self):
        """Some edge nodes are killed, and start again."""
        for edge in self.fleet.edges:
            if self.chance.random() < 0.2:
                edge.kill()

    async def _together(self):
        """Many processes of all kinds at the same moment."""
        for edge in self.fleet.edges:
            if self.chance.random() < 0.6:
                edge.kill()
        await self._all()

    async def _stop(self):
        """The primary is told to stop, hands over and starts again."""
        leader = await self.fleet.leader()
        try:
            await self.fleet.on_control(leader.call(lambda service: service.stop()))
        except ConnectionError:
            pass
        leader.kill()
        await trio.sleep(0.3)
        await self.fleet.on_control(leader.start())

    async def _limits(self):
        """The operator changes limits: up, down, or none for a while."""
        tenant = self.chance.choice(self.fleet.tenants)
        times = self.chance.choice((0.5, 0.8, 1.2, 2.0))
        tenant.limit(trio.current_time(), tenant.rate * times, tenant.burst * times)
        await self.fleet.configure()


def day(seed, edges):
    """Plays the day of this seed; the fleet, what came, and the verdict."""
    chance = Random(seed)
    fleet = Fleet(chance.random(), tenants(chance), edges)
    troubles = Troubles(fleet, chance)
    verdict = play(fleet, troubles.run, LENGTH)
    return fleet, troubles.told, verdict
