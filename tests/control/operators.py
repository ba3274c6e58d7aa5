"""Operators and edge nodes before a virtual cluster, and what their answers may be.

An operator's call that gets no clear answer is sent again unchanged, to any node. Versions are told apart by
the commits of `Cluster.history`: those, in their order, are the one history that every answer has to fit in.
"""

import asyncio
import json
from dataclasses import dataclass, field

from wheatroute.cluster.distribution import EMPTY_VERSION, apply_difference, decode_difference
from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import NotPrimary, RegistryVersion, UpdateRequest
from wheatroute.control.changes import Change

CALL_TIMEOUT = 1.0  # seconds of silence after which a caller moves on
PATIENCE = 60.0  # seconds for which an order is sent again
FINAL = (ErrorKind.VERSION_MISMATCH, ErrorKind.INVALID_CONFIGURATION)


class ContradictionError(AssertionError):
    """An answer that doesn't fit the one history."""


@dataclass
class Order:
    """One order and what became of it; `asked` and `answered` are of its last call."""

    change: Change
    match: int
    generation: int
    asked: float = 0.0
    answered: float = 0.0
    outcome: str = ""
    acknowledged: list = field(default_factory=list)  # when a node said yes, whether or not the word arrived


class World:
    """Everybody outside; checks each answer as it comes."""

    def __init__(self, cluster, answers_lost=0.3):
        self.cluster = cluster
        self.chance = cluster.chance
        self.answers_lost = answers_lost
        self.orders = []
        self.reads = self.handed_out = self.unclear = 0

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    # the one history

    def version_at(self, moment):
        """The generation that was committed last by then."""
        found = [generation for at, _, generation, _ in self.cluster.history if at <= moment]
        return max(found, default=0)

    def acknowledged_by(self, moment):
        """The newest generation whose order was acknowledged by then."""
        found = [one.generation for one in self.orders if any(at <= moment for at in one.acknowledged)]
        return max(found, default=0)

    def taken(self, order):
        return any(order.change.digest in digests for _, _, _, digests in self.cluster.history)

    def check_refusal(self, order, kind):
        """A refusal tells of a moment between question and answer, and is never of what was taken."""
        if self.taken(order):
            raise ContradictionError(f"refused and taken: {order}")
        still = {self.version_at(order.asked), self.version_at(order.answered)} == {order.match}
        if kind == ErrorKind.VERSION_MISMATCH and still:
            raise ContradictionError(f"refused by an old state: {order}")
        if kind == ErrorKind.INVALID_CONFIGURATION and order.generation > self.version_at(order.answered):
            raise ContradictionError(f"refused as too old by a state that nobody had: {order}")

    def check_end(self):
        """Each acknowledged order is in the history once, each refused one not at all."""
        current = self.version_at(self.now)
        bases = {}
        for order in self.orders:
            if order.acknowledged:
                if not self.taken(order):
                    raise ContradictionError(f"acknowledged and lost: {order}")
                if bases.setdefault(order.match, order) is not order:
                    raise ContradictionError(f"two on one version: {order} and {bases[order.match]}")
            if order.outcome == "refused" and self.taken(order):
                raise ContradictionError(f"refused and taken after all: {order}")
        assert self.acknowledged_by(self.now) <= current

    # operators

    async def _ask(self, act):
        """One call at a node and what it redirects to; the answer, or None where there is none."""
        host = self.chance.choice(sorted(self.cluster.nodes))
        for _ in range(3):
            node = self.cluster.nodes.get(host)
            if node is None:
                return None
            try:
                async with asyncio.timeout(CALL_TIMEOUT):
                    return await node.call(act)
            except (ConnectionError, TimeoutError):
                return None
            except RequestError as error:
                if error.kind != ErrorKind.NOT_PRIMARY or not error.detail:
                    return error
                host = error.detail
        return None

    async def order(self, name, match):
        """Sends one order until it gets a clear answer."""
        step = self.chance.choice((1, 1, 2))  # two operators often choose the same number
        body = {"generation": match + step, "routes": [], "services": [{"name": name}]}
        change = Change(False, str(match), json.dumps(body).encode())
        order = Order(change, match, match + step)
        self.orders.append(order)
        end, pause = self.now + PATIENCE, 0.05
        while self.now < end:
            await self._send(order)
            if order.outcome:
                return order
            self.unclear += 1
            await asyncio.sleep(pause * (0.5 + self.chance.random()))
            pause = min(1.0, pause * 1.5)
        order.outcome = "unclear"
        return order

    async def _send(self, order):
        async def act(service):
            version = await service.change(order.change)
            order.acknowledged.append(self.now)
            return version

        order.asked = self.now
        answer = await self._ask(act)
        order.answered = self.now
        if isinstance(answer, RequestError):
            if answer.kind in FINAL:
                self.check_refusal(order, answer.kind)
                order.outcome = "refused"
        elif answer is not None and self.chance.random() >= self.answers_lost:
            order.outcome = "taken"

    async def read(self):
        """The current version, as a read tells it; None without a clear answer."""
        known = self.acknowledged_by(self.now)
        answer = await self._ask(lambda service: service.read())
        if not isinstance(answer, bytes):
            return None
        self.reads += 1
        generation = json.loads(answer)["generation"]
        if generation < known:
            raise ContradictionError(f"read {generation} after {known} was acknowledged")
        return generation

    async def operate(self, name, until):
        """Orders on what the operator believes to be current; now and then on what it was long ago."""
        version = number = 0
        while self.now < until:
            number += 1
            order = await self.order(f"{name}-{number}", version)
            if order.outcome == "taken":
                version = order.generation
            elif (told := await self.read()) is not None:
                version = told
            await asyncio.sleep(0.3 * self.chance.random())

    # edge nodes

    async def edge(self, name, until, life=4.0):
        """Polls as an edge node does, and is started again now and then."""
        while self.now < until:
            await self._edge_life(name, min(until, self.now + life * (0.5 + self.chance.random())))

    async def _edge_life(self, name, until):
        version, epoch, registry = EMPTY_VERSION, -1, RegistryVersion()
        host = self.chance.choice(sorted(self.cluster.nodes))
        while self.now < until:
            known = self.acknowledged_by(self.now)
            node = self.cluster.nodes.get(host)
            request = UpdateRequest(name, "z", version.sequence, registry, 0.3)
            update = None
            if node is not None:
                update = await self._poll(node, request)
            if update is None or update.epoch < epoch:
                host = self.chance.choice(sorted(self.cluster.nodes))
                await asyncio.sleep(0.05)
                continue
            epoch, registry = update.epoch, update.registry
            if update.configuration_change is not None:
                told = decode_difference(update.configuration_change)
                newer = apply_difference(version if told.base >= 0 else EMPTY_VERSION, told)
                self.handed_out += 1
                if version is EMPTY_VERSION and newer.generation < known:
                    raise ContradictionError(
                        f"{name} starts {newer.generation} after {known} was acknowledged"
                    )
                if newer.sequence <= version.sequence or newer.generation <= version.generation:
                    raise ContradictionError(
                        f"{name} steps back from {version.generation} to {newer.generation}"
                    )
                version = newer

    @staticmethod
    async def _poll(node, request):
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                update = await node.call(lambda service: service.updates(request))
        except (ConnectionError, TimeoutError):
            return None
        if isinstance(update, NotPrimary):
            return None
        return update
