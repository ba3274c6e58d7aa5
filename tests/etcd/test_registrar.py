"""Nodes that register and count each other, and nodes that appear, disappear, flap or share a name."""

import random
from contextlib import asynccontextmanager

import structlog
import trio
from async_scenarios import scenario, until

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import EtcdClient
from wheatroute.etcd.membership import DECREASE_INTERVAL_S, REMOVAL_DELAY_S, Membership
from wheatroute.etcd.registrar import Registrar
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store

PREFIX = b"/pools/shop/nodes/"
LOG = structlog.get_logger()


def test_the_estimate_rises_at_once_and_falls_slowly():
    membership = Membership(PREFIX, "c", 1)
    membership.update([f"n{i}" for i in range(9)], 0.0)
    assert membership.estimate(0.0) == (10, 0)
    membership.update(["n0"], 100.0)
    assert membership.estimate(100.0 + REMOVAL_DELAY_S - 0.1)[0] == 10
    counts = [
        membership.estimate(100.0 + REMOVAL_DELAY_S + (i + 1) * DECREASE_INTERVAL_S)[0] for i in range(12)
    ]
    assert counts == [9, 8, 7, 6, 5, 4, 3, 2, 2, 2, 2, 2]
    membership.update([f"n{i}" for i in range(5)], 200.0)
    assert membership.estimate(200.0)[0] == 6


def test_a_node_that_flaps_is_always_counted():
    membership = Membership(PREFIX, "a", 1)
    for i in range(100):
        membership.update(["a", "b"] if i % 2 else ["a"], i * 3.0)
        if i:
            assert membership.estimate(i * 3.0) == (2, 0)


def test_indexes_differ_between_nodes_that_see_the_same_names():
    names = [f"n{i}" for i in range(7)]
    estimates = []
    for name in names:
        membership = Membership(PREFIX, name, 1)
        membership.update(names, 0.0)
        estimates.append(membership.estimate(0.0))
    assert estimates == [(7, i) for i in range(7)]


def test_a_node_whose_key_belongs_to_another_process_counts_both():
    membership = Membership(PREFIX, "a", 5)
    kvs = [
        wire.KeyValue(key=PREFIX + name, value=value)
        for name, value in ((b"a", b'{"epoch": 6}'), (b"b", b"?"))
    ]
    _, errors = membership.load(kvs, 0.0)
    assert membership.has_duplicate and membership.estimate(0.0)[0] == 3 and len(errors) == 1


@asynccontextmanager
async def nodes(*names):
    """Runs a registrar in one cluster for each name; `reports` has the last report of each.

    A report is the number of nodes, the index of this one and its caution. The yielded function
    `start(name, epoch, key)` starts another registrar, which `reports` and `registrars` have under `key`.
    """
    store = Store()
    member, reports, registrars = Member(store), {}, {}
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.run)

            def start(name, epoch=1, key=None):
                key = key or name
                rng = random.Random(key)
                client = EtcdClient([member.address], rng)
                registrars[key] = Registrar(
                    client,
                    Membership(PREFIX, name, epoch),
                    {"zone": "a"},
                    lambda *report: reports.__setitem__(key, report),
                    rng,
                    LOG,
                )
                scope = trio.CancelScope()

                async def run():
                    with scope:
                        async with trio.open_nursery() as inner:
                            inner.start_soon(client.run)
                            inner.start_soon(registrars[key].run)

                nursery.start_soon(run)
                return scope

            scopes = {name: start(name) for name in names}
            yield store, member, reports, registrars, scopes, start
            nursery.cancel_scope.cancel()


@scenario
async def test_nodes_that_start_together_count_each_other():
    async with nodes("a", "b", "c") as (store, _, reports, registrars, scopes, start):
        await until(lambda: reports == {"a": (3, 0, 1.0), "b": (3, 1, 1.0), "c": (3, 2, 1.0)})
        start("d")
        await until(lambda: [reports.get(name, (0,))[0] for name in "abcd"] == [4] * 4)
        await registrars["d"].leave()
        await until(lambda: PREFIX + b"d" not in store.keys)
        assert reports["a"][0] == 4  # a node that left is still counted for a while


@scenario
async def test_a_younger_process_takes_over_the_key_of_its_name_and_an_older_one_does_not():
    async with nodes("a") as (store, _, reports, registrars, scopes, start):
        await until(lambda: PREFIX + b"a" in store.keys)
        start("a", epoch=7, key="younger")
        await until(lambda: b"7" in store.keys[PREFIX + b"a"].value)
        # The older process counts both, and sends less to cold servers.
        await until(lambda: reports.get("a") == (2, 0, 4.0))
        await until(lambda: reports.get("younger") == (1, 0, 1.0))
        start("a", epoch=3, key="oldest")
        await until(lambda: reports.get("oldest", (0, 0, 0))[2] == 4.0)
        assert b"7" in store.keys[PREFIX + b"a"].value


@scenario
async def test_a_node_whose_lease_is_lost_registers_again():
    async with nodes("a", "b") as (store, member, reports, registrars, scopes, start):
        await until(lambda: len(store.keys) == 2 and reports.get("b", (0,))[0] == 2)
        lease = registrars["a"]._lease
        store.revoke_lease(lease)
        await until(lambda: PREFIX + b"a" in store.keys and registrars["a"]._lease != lease)
        assert reports["b"][0] == 2
