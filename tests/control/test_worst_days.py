"""The operators' worst days, brought about on whole control nodes in virtual time."""

import asyncio
import json

import msgspec
import pytest
from control import virtual_cluster
from control.operators import ContradictionError, World
from control.virtual_cluster import play
from replication.lease_mutants import with_names
from replication.simulation import patched

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import NotPrimary, RegistryVersion, UpdateRequest
from wheatroute.control.changes import Change
from wheatroute.control.registry import ServerHeartbeat
from wheatroute.control.service import ControlService
from wheatroute.replication import lease, timing
from wheatroute.replication.timing import ELECTION_TIMEOUT_S

LENGTH = 24.0  # seconds of a drawn day, before its calm end
SYNC_S = 4.0


async def trouble(cluster, until):
    """Draws what strikes next; one disk at a time is lost, and the next once the one before had its time."""
    loop, chance = asyncio.get_running_loop(), cluster.chance
    safe_at = 0.0
    while loop.time() < until:
        await asyncio.sleep(0.2 + 2.0 * chance.random())
        node = chance.choice(sorted(cluster.nodes.values(), key=lambda one: one.host))
        if chance.random() < 0.5:
            node = cluster.leader() or node
        kind = chance.choice(("cut", "cut", "kill", "all", "halves", "wipe", "stop", "slow"))
        others = [one for one in cluster.nodes if one != node.host]
        if kind in ("cut", "halves"):
            pairs = cluster.cut([node.host], others)
            await asyncio.sleep(0.2 + 2.5 * chance.random())
            cluster.cuts -= pairs
            safe_at = max(safe_at, loop.time() + SYNC_S)
        elif kind == "kill":
            node.kill()
            await asyncio.sleep(0.05 + 1.5 * chance.random())
            await node.start()
        elif kind == "all":
            for one in cluster.nodes.values():
                one.kill()
            for one in cluster.nodes.values():
                await asyncio.sleep(0.3 * chance.random())
                await one.start()
        elif kind == "wipe" and loop.time() > safe_at:
            node.wipe()
            await asyncio.sleep(0.05 + chance.random())
            await node.start()
            safe_at = loop.time() + SYNC_S
        elif kind == "stop" and node.service is not None:
            try:
                await node.call(lambda service: service.stop())
            except ConnectionError:
                pass
            node.kill()
            await asyncio.sleep(0.3)
            await node.start()
        elif kind == "slow":
            node.disk.delay = 0.3
            await asyncio.sleep(chance.random())
            node.disk.delay = 0.004
    cluster.cuts.clear()
    for one in cluster.nodes.values():
        await one.start()


async def drawn_day(cluster):
    world = World(cluster)
    until = asyncio.get_running_loop().time() + LENGTH
    async with asyncio.TaskGroup() as group:
        group.create_task(trouble(cluster, until - 6.0))
        for name in ("anna", "ben"):
            group.create_task(world.operate(name, until))
        for number in range(3):
            group.create_task(world.edge(f"edge-{number}", until))
    world.check_end()
    await cluster.wait_for_leader()
    assert await world.read() is not None or world.version_at(world.now) == 0
    return world


def drawn(seed):
    """A drawn day; in every other one no final word may rest on clocks."""
    return (play_without_clocks if seed % 2 else play)(seed, drawn_day)


@pytest.mark.parametrize("block", range(4))
def test_orders_reads_and_configurations_fit_one_history_on_drawn_days(block):
    taken = refused = handed_out = 0
    for seed in range(block * 5, block * 5 + 5):
        world = drawn(seed)
        taken += sum(one.outcome == "taken" for one in world.orders)
        refused += sum(one.outcome == "refused" for one in world.orders)
        handed_out += world.handed_out
    assert taken > 50 and refused > 10 and handed_out > 30


# each point brought about on its own


def order(match, generation, name):
    body = {"generation": generation, "routes": [], "services": [{"name": name}]}
    return Change(False, str(match), json.dumps(body).encode())


async def kind_of(call):
    """The kind of error that a call ends with, or nothing."""
    try:
        await call
    except RequestError as error:
        return error.kind
    return None


def ask(node, change):
    return node.call(lambda service: service.change(change))


async def a_leader_is_cut_off_for_twenty_seconds(cluster):
    """Point 1: what it says meanwhile, second by second, and what becomes of its orders."""
    old = await cluster.wait_for_leader()
    await ask(old, order(0, 1, "first"))
    others = [host for host in cluster.nodes if host != old.host]
    pairs = cluster.cut([old.host], others)
    new = await cluster.wait_for_leader(but=(old.host,))
    taken = order(1, 2, "elsewhere")
    assert await ask(new, taken) == 2
    begun = asyncio.get_running_loop().time()
    starting = UpdateRequest("edge", "z", -1, RegistryVersion(), 0.1)
    while asyncio.get_running_loop().time() < begun + 20.0:
        # taken elsewhere; on top of what was taken elsewhere; new; invalid by an old state
        for change in (taken, order(2, 3, "on it"), order(1, 4, "new"), order(1, 1, "old number")):
            assert await kind_of(ask(old, change)) in (ErrorKind.NO_QUORUM, ErrorKind.NOT_PRIMARY)
        assert await kind_of(old.call(lambda service: service.read())) in (
            ErrorKind.NO_QUORUM,
            ErrorKind.NOT_PRIMARY,
        )
        assert isinstance(await old.call(lambda service: service.updates(starting)), NotPrimary)
        # it sends nobody on to a primary that it hasn't heard for long
        assert old.service.not_serving().primary == ""
        await asyncio.sleep(0.7)
    assert new.leads and len(new.service.replicator.core.view.members) == 2
    cluster.cuts -= pairs
    while old.service.replicator.core.view.epoch != new.service.replicator.core.view.epoch:
        await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() < begun + 22.0
    assert await ask(new, taken) == 2 and await ask(new, order(2, 3, "on it")) == 3


def test_a_leader_that_is_cut_off_for_twenty_seconds_says_nothing_final():
    play(1, a_leader_is_cut_off_for_twenty_seconds)


async def a_deposed_leader_still_trusts_its_lease(cluster):
    """Point 1 without any help of clocks: another has committed while the old one believes that it leads."""
    old = await cluster.wait_for_leader()
    await ask(old, order(0, 1, "first"))
    await asyncio.sleep(1.0)
    cluster.cut([old.host], [host for host in cluster.nodes if host != old.host])
    new = await cluster.wait_for_leader(but=(old.host,))
    taken = order(1, 2, "elsewhere")
    assert await ask(new, taken) == 2
    starting = UpdateRequest("edge", "z", -1, RegistryVersion(), 0.1)
    draining = ServerHeartbeat(backend="s", addr="10.0.0.9:80", state="draining", seq=1)
    assert old.leads
    answers = await asyncio.gather(
        kind_of(ask(old, order(2, 3, "on it"))),
        kind_of(ask(old, order(1, 1, "an old number"))),
        kind_of(old.call(lambda service: service.read())),
        kind_of(old.call(lambda service: service.heartbeat("i-1", draining))),
        old.call(lambda service: service.updates(starting)),
    )
    assert set(answers[:-1]) <= {ErrorKind.NO_QUORUM, ErrorKind.NOT_PRIMARY}
    assert isinstance(answers[-1], NotPrimary)


def play_without_clocks(seed, tell):
    """No seat is bound by a lease, and others lead while the old leader still believes in its own."""
    with patched(lease, GRANT_S=0.0), patched(timing, ELECTION_TIMEOUT_S=0.18, ELECTION_STEP_S=0.02):
        return play(seed, tell)


def test_a_deposed_leader_that_trusts_its_lease_says_nothing_final():
    for seed in range(10):
        play_without_clocks(seed, a_deposed_leader_still_trusts_its_lease)


class UnconfirmedRefusals(ControlService):
    """It refuses, or acknowledges again, by its own state alone."""

    async def _confirm(self):
        pass


class UnconfirmedConfigurations(ControlService):
    """It hands configurations out without asking whether it still leads."""

    async def updates(self, request):
        async def confirm(timeout):
            return True

        kept, self.replicator.confirm_leadership = self.replicator.confirm_leadership, confirm
        try:
            return await super().updates(request)
        finally:
            self.replicator.confirm_leadership = kept


class ForgetfulOrders(ControlService):
    """It doesn't know an order again that was taken behind others."""

    async def _judge(self, change):
        kept, self._state = self._state, msgspec.structs.replace(self._state, taken=self._state.taken[-1:])
        try:
            return await super()._judge(change)
        finally:
            self._state = kept


class UnconfirmedDrains(ControlService):
    """It acknowledges drains without asking whether it still leads."""

    async def _left(self):
        await self._share_soon()


@pytest.mark.parametrize("fault", (UnconfirmedRefusals, UnconfirmedConfigurations, UnconfirmedDrains))
def test_a_word_without_a_majority_is_found(fault, monkeypatch):
    monkeypatch.setattr(virtual_cluster, "ControlService", fault)
    with pytest.raises(AssertionError):
        play_without_clocks(1, a_deposed_leader_still_trusts_its_lease)


def test_a_read_that_is_confirmed_by_older_answers_is_found():
    with with_names("a read confirmed by older answers"), pytest.raises(AssertionError):
        play_without_clocks(1, a_deposed_leader_still_trusts_its_lease)


def test_a_node_that_forgets_orders_is_found(monkeypatch):
    monkeypatch.setattr(virtual_cluster, "ControlService", ForgetfulOrders)
    with pytest.raises(BaseExceptionGroup) as found:
        drawn(0)
    assert found.group_contains(ContradictionError, match="refused and taken")


async def a_follower_is_cut_off_for_twenty_seconds(cluster):
    leader = await cluster.wait_for_leader()
    await ask(leader, order(0, 1, "first"))
    host = next(host for host in cluster.nodes if host != leader.host)
    follower = cluster.nodes[host]
    while await kind_of(ask(follower, order(1, 2, "x"))) != ErrorKind.NOT_PRIMARY:
        await asyncio.sleep(0.05)
    assert follower.service.not_serving().primary == leader.host
    pairs = cluster.cut([host], [one for one in cluster.nodes if one != host])
    await asyncio.sleep(ELECTION_TIMEOUT_S + 0.1)
    for _ in range(19):
        assert follower.service.not_serving().primary == ""
        assert follower.service.primary_host == ""
        await asyncio.sleep(1.0)
    # it has deposed nobody, neither meanwhile nor by its return
    epoch = leader.service.replicator.core.view.epoch
    cluster.cuts -= pairs
    await asyncio.sleep(2.0)
    assert leader.leads and leader.service.replicator.core.view.primary == f"{leader.host}/0"
    assert leader.service.replicator.core.view.epoch == epoch + 1  # the follower is a member again
    assert follower.service.not_serving().primary == leader.host


def test_a_follower_that_is_cut_off_sends_nobody_to_a_primary_that_it_does_not_hear():
    play(2, a_follower_is_cut_off_for_twenty_seconds)


async def two_operators_choose_one_number(cluster):
    """Point 2: the answers are lost, the leader dies, and both orders are sent again at every node."""
    leader = await cluster.wait_for_leader()
    await ask(leader, order(0, 1, "first"))
    one, other = order(1, 2, "one"), order(1, 2, "other")
    outcomes = await asyncio.gather(kind_of(ask(leader, one)), kind_of(ask(leader, other)))
    assert sorted(map(str, outcomes)) == sorted((str(None), str(ErrorKind.VERSION_MISMATCH)))
    taken, refused = (one, other) if outcomes[0] is None else (other, one)
    await ask(leader, order(2, 3, "behind it"))
    leader.kill()
    new = await cluster.wait_for_leader()
    for _ in range(2):
        assert await kind_of(ask(new, refused)) == ErrorKind.VERSION_MISMATCH
        assert await ask(new, taken) == 3  # acknowledged again, behind a later change
    await leader.start()
    assert [generation for _, _, generation, _ in cluster.history] == [0, 1, 2, 3]


def test_two_orders_under_one_number_are_never_both_taken():
    play(3, two_operators_choose_one_number)


async def an_order_is_sent_again_at_the_next_leader(cluster):
    """Its first leader dies in each stage of the write; the answer is one and the same in the end."""
    outcomes = set()
    for step in range(24):
        leader = await cluster.wait_for_leader()
        version = leader.service._state.generation
        change = order(version, version + 1, f"change {step}")
        first = asyncio.get_running_loop().create_task(kind_of(ask(leader, change)))
        await asyncio.sleep(0.0006 * step)
        leader.kill()
        try:
            outcomes.add(await first)
        except ConnectionError:
            outcomes.add("lost")
        new = await cluster.wait_for_leader()
        assert await ask(new, change) == version + 1
        await leader.start()
        await asyncio.sleep(1.0)
    assert "lost" in outcomes and None in outcomes


def test_an_order_whose_leader_dies_is_taken_once_and_acknowledged_at_the_next():
    play(4, an_order_is_sent_again_at_the_next_leader)


async def hundreds_of_changes_pass_a_node_by(cluster):
    """Point 4: 600 changes in one life, 400 of them while a node is down; it is in sync soon."""
    leader = await cluster.wait_for_leader()
    absent = next(node for node in cluster.nodes.values() if node is not leader)
    for generation in range(1, 601):
        if generation == 150:
            absent.kill()
        if generation == 550:
            begun = asyncio.get_running_loop().time()
            await absent.start()
        await ask(leader, order(generation - 1, generation, f"change {generation}"))
    identity = absent.service.replicator.core.identity
    while identity not in leader.service.replicator.core.view.members:
        await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() < begun + 2.0
    assert absent.service.replicator.core.document == leader.service.replicator.core.document
    # it comes back with the newest state, and knows the oldest order again
    for node in list(cluster.nodes.values()):
        if node is not absent:
            node.wipe() if node is leader else node.kill()
    for node in cluster.nodes.values():
        await node.start()
    new = await cluster.wait_for_leader()
    assert new.service._state.generation == 600
    assert await ask(new, order(0, 1, "change 1")) == 600


def test_a_node_that_missed_hundreds_of_changes_catches_up_and_leads_with_all_of_them():
    play(5, hundreds_of_changes_pass_a_node_by)
