"""Consistency of responses to operators and edge nodes under faults: complete control nodes in virtual time.

Random faults first, then specific cases: partitions, lost primaries, resent changes, many changes.
"""

import asyncio
import json

import msgspec
import pytest
from control.simulated_clients import ConsistencyError, Outcome, SimulatedClients
from control.simulated_cluster import DISK_WRITE_S, run_scenario
from replication.lease_mutants import with_lease_mutant
from replication.simulation import patched

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import NotPrimary, RegistryVersion, UpdateRequest
from wheatroute.control import service as service_module
from wheatroute.control.changes import Change
from wheatroute.control.configuration_store import ConfigurationStore
from wheatroute.control.leadership import Leadership
from wheatroute.control.registry import ServerHeartbeat
from wheatroute.control.soft_state_sharing import SoftStateSharing
from wheatroute.control.updates import UpdatePolls
from wheatroute.replication import lease, timing
from wheatroute.replication.timing import ELECTION_TIMEOUT_S

RUN_S = 24.0  # duration of a run with random faults
FAULT_FREE_S = 6.0  # time without faults at the end of a run
SYNC_S = 4.0  # minimum time between the losses of two disks
SLOW_WRITE_S = 0.3
# errors that say nothing about the change's outcome
UNCONFIRMED = (ErrorKind.NO_QUORUM, ErrorKind.NOT_PRIMARY)


class RandomFaults:
    """Injects random faults into a cluster, one after another.

    Only one disk is lost at a time, and the next one only after the node of the last one had time to sync.
    """

    def __init__(self, cluster):
        self.cluster, self.rng = cluster, cluster.rng
        self._wipe_allowed_at = 0.0

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self, until):
        faults = (
            self._partition,
            self._partition,
            self._kill,
            self._kill_all,
            self._partition,
            self._wipe,
            self._stop,
            self._slow_disk,
        )
        while self.now < until:
            await asyncio.sleep(0.2 + 2.0 * self.rng.random())
            node = self.rng.choice(sorted(self.cluster.nodes.values(), key=lambda node: node.host))
            if self.rng.random() < 0.5:
                node = self.cluster.primary() or node
            await self.rng.choice(faults)(node)
        self.cluster.blocked.clear()
        for node in self.cluster.nodes.values():
            await node.start()

    async def _partition(self, node):
        pairs = isolate(self.cluster, node)
        await asyncio.sleep(0.2 + 2.5 * self.rng.random())
        self.cluster.blocked -= pairs
        self._wipe_allowed_at = max(self._wipe_allowed_at, self.now + SYNC_S)

    async def _kill(self, node):
        node.kill()
        await asyncio.sleep(0.05 + 1.5 * self.rng.random())
        await node.start()

    async def _kill_all(self, _):
        for node in self.cluster.nodes.values():
            node.kill()
        for node in self.cluster.nodes.values():
            await asyncio.sleep(0.3 * self.rng.random())
            await node.start()

    async def _wipe(self, node):
        if self.now <= self._wipe_allowed_at:
            return
        node.wipe()
        await asyncio.sleep(0.05 + self.rng.random())
        await node.start()
        self._wipe_allowed_at = self.now + SYNC_S

    async def _stop(self, node):
        if node.service is None:
            return
        try:
            await node.request(lambda service: service.stop())
        except ConnectionError:
            pass
        node.kill()
        await asyncio.sleep(0.3)
        await node.start()

    async def _slow_disk(self, node):
        node.disk.write_s = SLOW_WRITE_S
        await asyncio.sleep(self.rng.random())
        node.disk.write_s = DISK_WRITE_S


def isolate(cluster, node):
    """Blocks all messages between a node and the others; returns the blocked pairs."""
    return cluster.partition([node.host], [host for host in cluster.nodes if host != node.host])


async def random_faults(cluster):
    """Runs operators and edge nodes while random faults occur."""
    clients = SimulatedClients(cluster)
    until = asyncio.get_running_loop().time() + RUN_S
    async with asyncio.TaskGroup() as group:
        group.create_task(RandomFaults(cluster).run(until - FAULT_FREE_S))
        for number in range(2):
            group.create_task(clients.run_operator(f"operator-{number}", until))
        for number in range(3):
            group.create_task(clients.run_edge_node(f"edge-{number}", until))
    clients.check_final_history()
    await cluster.wait_for_primary()
    assert await clients.read() is not None or clients.generation_at(clients.now) == 0
    return clients


def run_random_faults(seed):
    """A run with random faults; for odd seeds without leases, so that no final response may rely on them."""
    return (run_without_leases if seed % 2 else run_scenario)(seed, random_faults)


@pytest.mark.parametrize("block", range(4))
def test_changes_reads_and_configurations_fit_one_history_under_random_faults(block):
    acknowledged = rejected = configurations = 0
    for seed in range(block * 5, block * 5 + 5):
        clients = run_random_faults(seed)
        acknowledged += sum(sent.outcome == Outcome.ACKNOWLEDGED for sent in clients.changes)
        rejected += sum(sent.outcome == Outcome.REJECTED for sent in clients.changes)
        configurations += clients.configuration_count
    assert acknowledged > 50 and rejected > 10 and configurations > 30


# specific cases


def make_change(base, generation, service_name):
    body = {"generation": generation, "routes": [], "services": [{"name": service_name}]}
    return Change(False, str(base), json.dumps(body).encode())


async def error_kind(request):
    """The kind of error with which a request fails, or None."""
    try:
        await request
    except RequestError as error:
        return error.kind
    return None


def send_change(node, change):
    return node.request(lambda service: service.change(change))


def read(node):
    return node.request(lambda service: service.read())


def poll(node, request):
    return node.request(lambda service: service.updates(request))


async def primary_isolated_for_twenty_seconds(cluster):
    """Checks the responses of an isolated primary over time, and the outcome of the changes sent to it."""
    old = await cluster.wait_for_primary()
    await send_change(old, make_change(0, 1, "first"))
    pairs = isolate(cluster, old)
    new = await cluster.wait_for_primary(excluding=(old.host,))
    committed = make_change(1, 2, "elsewhere")
    assert await send_change(new, committed) == 2
    began = asyncio.get_running_loop().time()
    starting = UpdateRequest("edge", "z", -1, RegistryVersion(), 0.1)
    while asyncio.get_running_loop().time() < began + 20.0:
        # committed elsewhere; based on the change committed elsewhere; new; invalid in the old state
        changes = (
            committed,
            make_change(2, 3, "based on it"),
            make_change(1, 4, "new"),
            make_change(1, 1, "old number"),
        )
        for change in changes:
            assert await error_kind(send_change(old, change)) in UNCONFIRMED
        assert await error_kind(read(old)) in UNCONFIRMED
        assert isinstance(await poll(old, starting), NotPrimary)
        # It redirects no caller to a primary whose heartbeats it doesn't receive.
        assert old.service.leadership.not_primary().primary == ""
        await asyncio.sleep(0.7)
    assert new.is_serving and len(new.service.replicator.core.view.members) == 2
    cluster.blocked -= pairs
    while old.service.replicator.core.view.epoch != new.service.replicator.core.view.epoch:
        await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() < began + 22.0
    assert await send_change(new, committed) == 2
    assert await send_change(new, make_change(2, 3, "based on it")) == 3


def test_a_primary_that_is_isolated_for_twenty_seconds_gives_no_final_response():
    run_scenario(1, primary_isolated_for_twenty_seconds)


async def deposed_primary_with_a_lease(cluster):
    """Another primary commits while the old one still holds its lease: no clock reveals the change."""
    old = await cluster.wait_for_primary()
    await send_change(old, make_change(0, 1, "first"))
    await asyncio.sleep(1.0)
    isolate(cluster, old)
    new = await cluster.wait_for_primary(excluding=(old.host,))
    assert await send_change(new, make_change(1, 2, "elsewhere")) == 2
    starting = UpdateRequest("edge", "z", -1, RegistryVersion(), 0.1)
    draining = ServerHeartbeat(backend="s", addr="10.0.0.9:80", state="draining", seq=1)
    assert old.is_serving
    *kinds, update = await asyncio.gather(
        error_kind(send_change(old, make_change(2, 3, "based on it"))),
        error_kind(send_change(old, make_change(1, 1, "an old number"))),
        error_kind(read(old)),
        error_kind(old.request(lambda service: service.heartbeat("i-1", draining))),
        poll(old, starting),
    )
    assert set(kinds) <= set(UNCONFIRMED)
    assert isinstance(update, NotPrimary)


def run_without_leases(seed, scenario):
    """Runs a scenario in which leases bind no voter: another node may lead while the old lease is valid."""
    with patched(lease, GRANT_S=0.0), patched(timing, ELECTION_TIMEOUT_S=0.18, ELECTION_STEP_S=0.02):
        return run_scenario(seed, scenario)


def test_a_deposed_primary_with_a_lease_gives_no_final_response():
    for seed in range(10):
        run_without_leases(seed, deposed_primary_with_a_lease)


class UnconfirmedRejections(Leadership):
    """Rejects changes, reads, and acknowledges resent changes from local state without a confirmation."""

    async def require_confirmation(self):
        pass


class UnconfirmedConfigurations(UpdatePolls):
    """Sends first configurations without confirming that this node still leads."""

    async def poll(self, request):
        async def confirm():
            return True

        with patched(self._leadership, confirm=confirm):
            return await super().poll(request)


class ForgetfulStore(ConfigurationStore):
    """Recognizes only the most recently applied change."""

    async def _apply(self, change):
        state = self._configuration.state
        forgetful = msgspec.structs.replace(state, applied_digests=state.applied_digests[-1:])
        with patched(self._configuration, state=forgetful):
            return await super()._apply(change)


class UnconfirmedDrains(SoftStateSharing):
    """Acknowledges drains without confirming that this node still leads."""

    async def replicate_departure(self):
        await self._share_soon()


FAULTS = (
    ("Leadership", UnconfirmedRejections),
    ("UpdatePolls", UnconfirmedConfigurations),
    ("SoftStateSharing", UnconfirmedDrains),
)


@pytest.mark.parametrize(("replaced", "fault"), FAULTS)
def test_a_response_without_a_majority_is_detected(replaced, fault, monkeypatch):
    monkeypatch.setattr(service_module, replaced, fault)
    with pytest.raises(AssertionError):
        run_without_leases(1, deposed_primary_with_a_lease)


def test_a_read_that_is_confirmed_by_older_acknowledgements_is_detected():
    with with_lease_mutant("a read confirmed by older answers"), pytest.raises(AssertionError):
        run_without_leases(1, deposed_primary_with_a_lease)


def test_a_node_that_forgets_changes_is_detected(monkeypatch):
    monkeypatch.setattr(service_module, "ConfigurationStore", ForgetfulStore)
    with pytest.raises(BaseExceptionGroup) as found:
        run_random_faults(0)
    assert found.group_contains(ConsistencyError, match="rejected and committed")


async def replica_isolated_for_twenty_seconds(cluster):
    primary = await cluster.wait_for_primary()
    await send_change(primary, make_change(0, 1, "first"))
    replica = next(node for node in cluster.nodes.values() if node is not primary)
    while await error_kind(send_change(replica, make_change(1, 2, "x"))) != ErrorKind.NOT_PRIMARY:
        await asyncio.sleep(0.05)
    assert replica.service.leadership.not_primary().primary == primary.host
    pairs = isolate(cluster, replica)
    await asyncio.sleep(ELECTION_TIMEOUT_S + 0.1)
    for _ in range(19):
        assert replica.service.leadership.not_primary().primary == ""
        assert replica.service.leadership.primary_host == ""
        await asyncio.sleep(1.0)
    # It deposed no primary, neither while isolated nor when it reconnected.
    epoch = primary.service.replicator.core.view.epoch
    cluster.blocked -= pairs
    await asyncio.sleep(2.0)
    assert primary.is_serving and primary.service.replicator.core.view.primary == f"{primary.host}/0"
    assert primary.service.replicator.core.view.epoch == epoch + 1  # the replica is a member again
    assert replica.service.leadership.not_primary().primary == primary.host


def test_an_isolated_replica_redirects_no_caller_to_the_primary():
    run_scenario(2, replica_isolated_for_twenty_seconds)


async def two_changes_of_one_generation(cluster):
    """The primary is killed after it accepted one of two changes; both are resent to the next primary."""
    primary = await cluster.wait_for_primary()
    await send_change(primary, make_change(0, 1, "first"))
    one, other = make_change(1, 2, "one"), make_change(1, 2, "other")
    outcomes = await asyncio.gather(
        error_kind(send_change(primary, one)), error_kind(send_change(primary, other))
    )
    assert sorted(map(str, outcomes)) == sorted((str(None), str(ErrorKind.VERSION_MISMATCH)))
    applied, rejected = (one, other) if outcomes[0] is None else (other, one)
    await send_change(primary, make_change(2, 3, "later"))
    primary.kill()
    new = await cluster.wait_for_primary()
    for _ in range(2):
        assert await error_kind(send_change(new, rejected)) == ErrorKind.VERSION_MISMATCH
        assert await send_change(new, applied) == 3  # acknowledged again, after a later change
    await primary.start()
    assert [commit.generation for commit in cluster.history] == [0, 1, 2, 3]


def test_two_changes_of_one_generation_are_never_both_applied():
    run_scenario(3, two_changes_of_one_generation)


async def change_sent_again_at_the_next_primary(cluster):
    """Kills the primary at each stage of a write; the resent change always gets the same response."""
    outcomes = set()
    for step in range(24):
        primary = await cluster.wait_for_primary()
        base = primary.service.configuration.state.generation
        change = make_change(base, base + 1, f"change {step}")
        first = asyncio.get_running_loop().create_task(error_kind(send_change(primary, change)))
        await asyncio.sleep(0.0006 * step)
        primary.kill()
        try:
            outcomes.add(await first)
        except ConnectionError:
            outcomes.add("lost")
        new = await cluster.wait_for_primary()
        assert await send_change(new, change) == base + 1
        await primary.start()
        await asyncio.sleep(1.0)
    assert "lost" in outcomes and None in outcomes


def test_a_change_whose_primary_is_lost_is_applied_once_and_acknowledged_by_the_next():
    run_scenario(4, change_sent_again_at_the_next_primary)


async def node_misses_hundreds_of_changes(cluster):
    """600 changes in one term, 400 of them while a node is down; the node then syncs within 2 s."""
    primary = await cluster.wait_for_primary()
    absent = next(node for node in cluster.nodes.values() if node is not primary)
    for generation in range(1, 601):
        if generation == 150:
            absent.kill()
        if generation == 550:
            began = asyncio.get_running_loop().time()
            await absent.start()
        await send_change(primary, make_change(generation - 1, generation, f"change {generation}"))
    identity = absent.service.replicator.core.identity
    while identity not in primary.service.replicator.core.view.members:
        await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() < began + 2.0
    assert absent.service.replicator.core.document == primary.service.replicator.core.document
    # It can lead with the newest state, and recognizes the oldest change.
    for node in list(cluster.nodes.values()):
        if node is not absent:
            node.wipe() if node is primary else node.kill()
    for node in cluster.nodes.values():
        await node.start()
    new = await cluster.wait_for_primary()
    assert new.service.configuration.state.generation == 600
    assert await send_change(new, make_change(0, 1, "change 1")) == 600


def test_a_node_that_missed_hundreds_of_changes_catches_up_and_leads_with_all_of_them():
    run_scenario(5, node_misses_hundreds_of_changes)
