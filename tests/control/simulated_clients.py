"""Operators and edge nodes of a simulated cluster, which check the responses that they get.

An operator resends a change without a final response, unmodified, to any node. The commits in
`SimulatedCluster.history`, in their order, are the single history with which every response must be
consistent: changes and reads are linearizable, and no edge node returns to an older configuration.
"""

import asyncio
import json
from dataclasses import dataclass, field
from enum import Enum

from wheatroute.cluster.distribution import EMPTY_VERSION, apply_difference, decode_difference
from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import NotPrimary, RegistryVersion, UpdateRequest
from wheatroute.control.changes import Change

REQUEST_TIMEOUT_S = 1.0  # time without a response, after which a caller tries another node
CHANGE_TIMEOUT_S = 60.0  # time for which an operator resends a change
MAX_REDIRECTS = 3
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0
POLL_S = 0.3  # duration of an edge node's long poll
REJECTIONS = (ErrorKind.VERSION_MISMATCH, ErrorKind.INVALID_CONFIGURATION)


class ConsistencyError(AssertionError):
    """A response is inconsistent with the history of commits."""


class Outcome(Enum):
    """What an operator knows about a change."""

    PENDING = "pending"
    ACKNOWLEDGED = "acknowledged"
    REJECTED = "rejected"
    UNKNOWN = "unknown"  # no final response in time


@dataclass
class SentChange:
    """A change and its outcome; `sent_at` and `answered_at` are the times of its last request."""

    change: Change
    base: int  # the generation on which it is based
    generation: int
    sent_at: float = 0.0
    answered_at: float = 0.0
    outcome: Outcome = Outcome.PENDING
    # times of acknowledgement by a node, even if the response was lost
    acknowledged_at: list = field(default_factory=list)


class SimulatedClients:
    """Runs operators and edge nodes, and checks each response when it arrives."""

    def __init__(self, cluster, response_loss=0.3):
        self.cluster = cluster
        self.rng = cluster.rng
        self.response_loss = response_loss  # probability that the response to a change is lost
        self.changes = []
        self.read_count = self.configuration_count = self.unknown_count = 0

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    # checks against the history of commits

    def generation_at(self, moment):
        """The newest generation that was committed up to that time."""
        generations = [commit.generation for commit in self.cluster.history if commit.time <= moment]
        return max(generations, default=0)

    def acknowledged_by(self, moment):
        """The newest generation whose change was acknowledged up to that time."""
        generations = [
            sent.generation for sent in self.changes if any(at <= moment for at in sent.acknowledged_at)
        ]
        return max(generations, default=0)

    def is_committed(self, sent):
        return any(sent.change.digest in commit.applied_digests for commit in self.cluster.history)

    def check_rejection(self, sent, kind):
        """Checks that a rejection fits a state between request and response, and no commit of the change."""
        if self.is_committed(sent):
            raise ConsistencyError(f"rejected and committed: {sent}")
        generations = {self.generation_at(sent.sent_at), self.generation_at(sent.answered_at)}
        if kind == ErrorKind.VERSION_MISMATCH and generations == {sent.base}:
            raise ConsistencyError(f"rejected by a stale state: {sent}")
        if kind == ErrorKind.INVALID_CONFIGURATION and sent.generation > self.generation_at(sent.answered_at):
            raise ConsistencyError(f"rejected as too old by a state that no node had: {sent}")

    def check_final_history(self):
        """Checks that each acknowledged change is in the history once, and no rejected one at all."""
        changes_by_base = {}
        for sent in self.changes:
            if sent.acknowledged_at:
                if not self.is_committed(sent):
                    raise ConsistencyError(f"acknowledged and lost: {sent}")
                if changes_by_base.setdefault(sent.base, sent) is not sent:
                    raise ConsistencyError(
                        f"two changes acknowledged on one generation: {sent} and {changes_by_base[sent.base]}"
                    )
            if sent.outcome == Outcome.REJECTED and self.is_committed(sent):
                raise ConsistencyError(f"rejected and committed later: {sent}")
        assert self.acknowledged_by(self.now) <= self.generation_at(self.now)

    # operators

    async def _request(self, call):
        """Sends a request to a random node and follows redirects; None without a response."""
        host = self.rng.choice(sorted(self.cluster.nodes))
        for _ in range(MAX_REDIRECTS):
            node = self.cluster.nodes.get(host)
            if node is None:
                return None
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    return await node.request(call)
            except (ConnectionError, TimeoutError):
                return None
            except RequestError as error:
                if error.kind != ErrorKind.NOT_PRIMARY or not error.detail:
                    return error
                host = error.detail
        return None

    async def change(self, service_name, base):
        """Sends one change repeatedly until it gets a final response."""
        step = self.rng.choice((1, 1, 2))  # two operators often pick the same number
        body = {"generation": base + step, "routes": [], "services": [{"name": service_name}]}
        sent = SentChange(Change(False, str(base), json.dumps(body).encode()), base, base + step)
        self.changes.append(sent)
        end, backoff_s = self.now + CHANGE_TIMEOUT_S, INITIAL_BACKOFF_S
        while self.now < end:
            await self._send(sent)
            if sent.outcome != Outcome.PENDING:
                return sent
            self.unknown_count += 1
            await asyncio.sleep(backoff_s * (0.5 + self.rng.random()))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 1.5)
        sent.outcome = Outcome.UNKNOWN
        return sent

    async def _send(self, sent):
        async def call(service):
            generation = await service.change(sent.change)
            sent.acknowledged_at.append(self.now)
            return generation

        sent.sent_at = self.now
        response = await self._request(call)
        sent.answered_at = self.now
        if isinstance(response, RequestError):
            if response.kind in REJECTIONS:
                self.check_rejection(sent, response.kind)
                sent.outcome = Outcome.REJECTED
        elif response is not None and self.rng.random() >= self.response_loss:
            sent.outcome = Outcome.ACKNOWLEDGED

    async def read(self):
        """Reads the newest generation; None without a final response."""
        acknowledged = self.acknowledged_by(self.now)
        response = await self._request(lambda service: service.read())
        if not isinstance(response, bytes):
            return None
        self.read_count += 1
        generation = json.loads(response)["generation"]
        if generation < acknowledged:
            raise ConsistencyError(f"read {generation} after {acknowledged} was acknowledged")
        return generation

    async def run_operator(self, name, until):
        """Sends changes based on the newest generation that the operator knows, which may be stale."""
        generation = count = 0
        while self.now < until:
            count += 1
            sent = await self.change(f"{name}-{count}", generation)
            if sent.outcome == Outcome.ACKNOWLEDGED:
                generation = sent.generation
            elif (newest := await self.read()) is not None:
                generation = newest
            await asyncio.sleep(0.3 * self.rng.random())

    # edge nodes

    async def run_edge_node(self, name, until, lifetime_s=4.0):
        """Polls as an edge node does, and restarts from time to time."""
        while self.now < until:
            end = min(until, self.now + lifetime_s * (0.5 + self.rng.random()))
            await self._run_edge_incarnation(name, end)

    async def _run_edge_incarnation(self, name, until):
        version, epoch, registry = EMPTY_VERSION, -1, RegistryVersion()
        host = self.rng.choice(sorted(self.cluster.nodes))
        while self.now < until:
            acknowledged = self.acknowledged_by(self.now)
            update = await self._poll(host, UpdateRequest(name, "z", version.sequence, registry, POLL_S))
            if update is None or update.epoch < epoch:
                host = self.rng.choice(sorted(self.cluster.nodes))
                await asyncio.sleep(0.05)
                continue
            epoch, registry = update.epoch, update.registry
            if update.configuration_change is not None:
                version = self._apply(name, version, update.configuration_change, acknowledged)

    def _apply(self, name, version, configuration_change, acknowledged):
        """An edge node's version after a change; `acknowledged` is the newest generation before its poll."""
        difference = decode_difference(configuration_change)
        newer = apply_difference(version if difference.base >= 0 else EMPTY_VERSION, difference)
        self.configuration_count += 1
        if version is EMPTY_VERSION and newer.generation < acknowledged:
            raise ConsistencyError(
                f"{name} starts with {newer.generation} after {acknowledged} was acknowledged"
            )
        if newer.sequence <= version.sequence or newer.generation <= version.generation:
            raise ConsistencyError(f"{name} returns from {version.generation} to {newer.generation}")
        return newer

    async def _poll(self, host, request):
        """The update of one long poll; None if the node doesn't respond or isn't the primary."""
        node = self.cluster.nodes.get(host)
        if node is None:
            return None
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                update = await node.request(lambda service: service.updates(request))
        except (ConnectionError, TimeoutError):
            return None
        return None if isinstance(update, NotPrimary) else update
