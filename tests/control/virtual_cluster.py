"""Whole control nodes (`ControlService` with its replicator) in virtual time; network and disks fail."""

import asyncio
import contextvars
import logging
import selectors
from concurrent.futures import Future
from contextlib import contextmanager
from random import Random

from wheatroute.cluster.settings import Settings, Tolerate
from wheatroute.control.service import ControlService
from wheatroute.replication import replicator as replicator_module
from wheatroute.replication.storage import StorageError

LOG = logging.getLogger("virtual-cluster")
LOG.setLevel(logging.CRITICAL)
DISK_DELAY = 0.004
LIMIT = 300.0  # seconds of virtual time after which a story counts as hung
running_node = contextvars.ContextVar("running_node", default=None)


class _NoSelector(selectors.SelectSelector):
    """Nothing ever happens outside: time passes until the next timer."""

    loop = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to do")
        self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        self.now = 0.0
        selector = _NoSelector()
        super().__init__(selector)
        selector.loop = self
        self._clock_resolution = 1e-9
        self.set_task_factory(_node_task)

    def time(self):
        return self.now


def _node_task(loop, coroutine, **rest):
    """A task that ends with the process of the node that began it."""
    task = asyncio.Task(coroutine, loop=loop, **rest)
    node = running_node.get()
    if node is not None:
        node.tasks[task] = None
        task.add_done_callback(lambda ended: node.tasks.pop(ended, None))
    return task


class Disk:
    """What outlives a process: a record and the hint, written in turn; stands for storage and its thread."""

    def __init__(self, chance):
        self.record, self.hint = None, b""
        self.chance = chance
        self.delay = DISK_DELAY
        self._busy_until = 0.0
        self.life = 0

    def submit(self, function, *rest):
        loop, future, life = asyncio.get_running_loop(), Future(), self.life
        self._busy_until = max(self._busy_until, loop.time()) + self.delay * (0.5 + self.chance.random())

        def run():
            # a write that was under way when the process died may have reached the disk
            if life != self.life and self.chance.random() < 0.5:
                return
            alive = life == self.life and not future.cancelled()
            try:
                result = function(*rest)
            except StorageError as error:
                if alive:
                    future.set_exception(error)
                return
            if alive:
                future.set_result(result)

        loop.call_at(self._busy_until, run)
        return future

    def read(self):
        return self.record

    def write(self, record):
        self.record = record

    def scrub(self):
        return []

    def read_soft_state(self):
        return self.hint

    def write_soft_state(self, payload):
        self.hint = payload


class VirtualLinks:
    """Stands for `Links`: messages pass at once or are lost."""

    def __init__(self, cluster, identity, address, receive):
        self._cluster, self._identity, self._host, self._receive = cluster, identity, address[0], receive
        self.closed = False

    async def listen(self):
        self._cluster.links[self._host] = self

    def send(self, host, message):
        if not self.closed:
            self._cluster.carry(self._host, host, self._identity, message)

    def take(self, sender, message):
        if self.closed:
            return
        token = running_node.set(self._cluster.nodes[self._host])
        try:
            self._receive(sender, message)
        finally:
            running_node.reset(token)

    def close(self):
        self.closed = True


class Node:
    """A machine and its process, if it runs."""

    def __init__(self, cluster, host, bootstrap):
        self.cluster, self.host, self.bootstrap = cluster, host, bootstrap
        self.disk = Disk(cluster.chance)
        self.service = None
        self.tasks = {}  # in the order in which they began

    @property
    def started(self):
        """Whether a process runs that takes part."""
        return self.service is not None and hasattr(self.service.replicator, "core")

    @property
    def leads(self):
        return self.started and self.service.replicator.is_serving

    async def start(self):
        if self.service is not None:
            return
        token = running_node.set(self)
        try:
            service = ControlService(self.cluster.settings(self.host, self.bootstrap), LOG)
            service.replicator._storage = service.replicator._executor = self.disk
            self.cluster.observe(self, service)
            self.service = service
            self.bootstrap = False
            await service.start()
        finally:
            running_node.reset(token)

    def kill(self):
        """The process ends without a word."""
        self.service = None
        self.disk.life += 1
        if links := self.cluster.links.pop(self.host, None):
            links.close()
        for task in list(self.tasks):
            task.cancel()
        self.tasks.clear()

    def wipe(self):
        self.kill()
        self.disk.record, self.disk.hint = None, b""

    async def call(self, act):
        """One call from outside; raises ConnectionError where the process ends meanwhile, or isn't there."""
        if not self.started:
            raise ConnectionError
        token = running_node.set(self)
        try:
            task = asyncio.get_running_loop().create_task(act(self.service))
        finally:
            running_node.reset(token)
        await asyncio.wait([task])
        if task.cancelled():
            raise ConnectionError
        return task.result()


class Cluster:
    """All nodes, the network between them, and every configuration that any leader has committed."""

    def __init__(self, seed, hosts=3):
        self.chance = Random(seed)
        self.nodes = {}
        self.links = {}
        self.cuts = set()
        self.history = []  # of commits: (time, sequence, generation, digests), each sequence once
        self.seeds = tuple(f"10.0.0.{number + 1}" for number in range(3))
        for number in range(hosts):
            host = f"10.0.0.{number + 1}"
            self.nodes[host] = Node(self, host, bootstrap=True)

    def settings(self, host, bootstrap):
        return Settings(
            node=host,
            ip=host,
            zone="z",
            listen={"control": f"{host}:80"},
            port_range=(1, 2),
            seeds=tuple(f"{one}:80" for one in self.seeds),
            bootstrap=bootstrap,
            tolerate=Tolerate(machines=1),
            data_dir="/virtual",
            heartbeat_ms=60_000.0,
        )

    def carry(self, source, target, sender, message):
        delay = 0.0005 + 0.002 * self.chance.random()

        def deliver():
            if (source, target) not in self.cuts and target in self.links:
                self.links[target].take(sender, message)

        asyncio.get_running_loop().call_later(delay, deliver)

    def cut(self, one, other):
        """Nothing passes between two sets of hosts."""
        pairs = {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}
        self.cuts |= pairs
        return pairs

    def observe(self, node, service):
        """Notes each new committed state; nodes that commit the same sequence have the same one."""
        committed = service.replicator._on_commit

        def note(document):
            committed(document)
            state = service._state
            entry = (document.version.sequence, state.generation, state.taken)
            known = [one for one in self.history if one[1] == entry[0]]
            if known:
                assert known[0][1:] == entry, f"two histories: {known[0]} and {entry} on {node.host}"
            else:
                self.history.append((asyncio.get_running_loop().time(), *entry))

        service.replicator._on_commit = note

    async def start(self):
        for node in self.nodes.values():
            await node.start()

    def leader(self):
        """A node that serves, or None."""
        return next((node for node in self.nodes.values() if node.leads), None)

    async def wait_for_leader(self, but=()):
        while True:
            for node in self.nodes.values():
                if node.leads and node.host not in but and node.service._sequence >= 0:
                    return node
            await asyncio.sleep(0.01)


class _DrawnNonces:
    """Stands for `secrets`, so that a day can be played again."""

    def __init__(self, chance):
        self._chance = chance

    def token_hex(self, count):
        return f"{self._chance.getrandbits(8 * count):x}"


@contextmanager
def _patched_replicator(cluster):
    kept = {name: getattr(replicator_module, name) for name in ("Links", "Random", "secrets")}
    replicator_module.Links = lambda identity, address, receive, log: VirtualLinks(
        cluster, identity, address, receive
    )
    replicator_module.Random = lambda: Random(cluster.chance.random())
    replicator_module.secrets = _DrawnNonces(cluster.chance)
    try:
        yield
    finally:
        for name, value in kept.items():
            setattr(replicator_module, name, value)


def play(seed, tell, hosts=3):
    """Runs `tell(cluster)` in virtual time and returns what it returns."""
    loop = VirtualLoop()
    cluster = Cluster(seed, hosts)

    async def story():
        await cluster.start()
        try:
            async with asyncio.timeout(LIMIT):
                return await tell(cluster)
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

    with _patched_replicator(cluster):
        try:
            return loop.run_until_complete(story())
        finally:
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
