"""Nodes that find each other: what is assumed when they come, go, flap, double, or cannot be heard."""

import random
from contextlib import asynccontextmanager

import structlog
import trio
from asynchronous import story, until

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import Cluster
from wheatroute.etcd.membership import HOLD, STEP, Membership
from wheatroute.etcd.register import Registrar
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store

PREFIX = b"/pools/shop/nodes/"
LOG = structlog.get_logger()


def test_more_nodes_count_at_once_and_fewer_slowly():
    peers = Membership(PREFIX, "c", 1)
    peers.told([f"n{i}" for i in range(9)], 0.0)
    assert peers.assumed(0.0) == (10, 0)
    peers.told(["n0"], 100.0)
    assert peers.assumed(100.0 + HOLD - 0.1)[0] == 10
    counts = [peers.assumed(100.0 + HOLD + (i + 1) * STEP)[0] for i in range(12)]
    assert counts == [9, 8, 7, 6, 5, 4, 3, 2, 2, 2, 2, 2]
    peers.told([f"n{i}" for i in range(5)], 200.0)
    assert peers.assumed(200.0)[0] == 6


def test_a_peer_that_flaps_is_always_counted():
    peers = Membership(PREFIX, "a", 1)
    for i in range(100):
        peers.told(["a", "b"] if i % 2 else ["a"], i * 3.0)
        if i:
            assert peers.assumed(i * 3.0) == (2, 0)


def test_places_differ_between_nodes_that_see_the_same():
    names = [f"n{i}" for i in range(7)]
    seen = []
    for name in names:
        peers = Membership(PREFIX, name, 1)
        peers.told(names, 0.0)
        seen.append(peers.assumed(0.0))
    assert seen == [(7, i) for i in range(7)]


def test_a_node_whose_key_is_another_processs_counts_both():
    peers = Membership(PREFIX, "a", 5)
    kvs = [
        wire.KeyValue(key=PREFIX + name, value=value)
        for name, value in ((b"a", b'{"epoch": 6}'), (b"b", b"?"))
    ]
    _, troubles = peers.whole(kvs, 0.0)
    assert peers.doubled and peers.assumed(0.0)[0] == 3 and len(troubles) == 1


@asynccontextmanager
async def nodes(*names):
    """Registrars of one cluster by name and epoch; what each told its module last."""
    store = Store()
    member, told, started = Member(store), {}, {}
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.run)

            def start(name, epoch=1, key=None):
                key = key or name
                chance = random.Random(key)
                cluster = Cluster([member.place], chance)
                started[key] = Registrar(
                    cluster,
                    Membership(PREFIX, name, epoch),
                    {"zone": "a"},
                    lambda *what: told.__setitem__(key, what),
                    chance,
                    LOG,
                )
                scope = trio.CancelScope()

                async def run():
                    with scope:
                        async with trio.open_nursery() as inner:
                            inner.start_soon(cluster.run)
                            inner.start_soon(started[key].run)

                nursery.start_soon(run)
                return scope

            scopes = {name: start(name) for name in names}
            yield store, member, told, started, scopes, start
            nursery.cancel_scope.cancel()


@story
async def test_nodes_that_start_together_find_each_other():
    async with nodes("a", "b", "c") as (store, _, told, started, scopes, start):
        await until(lambda: told == {"a": (3, 0, 1.0), "b": (3, 1, 1.0), "c": (3, 2, 1.0)})
        start("d")
        await until(lambda: [told.get(name, (0,))[0] for name in "abcd"] == [4] * 4)
        await started["d"].leave()
        await until(lambda: PREFIX + b"d" not in store.keys)
        assert told["a"][0] == 4  # it counts on


@story
async def test_a_restarted_node_takes_its_own_key_and_an_older_one_does_not():
    async with nodes("a") as (store, _, told, started, scopes, start):
        await until(lambda: PREFIX + b"a" in store.keys)
        start("a", epoch=7, key="younger")
        await until(lambda: b"7" in store.keys[PREFIX + b"a"].value)
        await until(lambda: told.get("a") == (2, 0, 4.0))  # the older counts both, and is careful
        await until(lambda: told.get("younger") == (1, 0, 1.0))
        start("a", epoch=3, key="oldest")
        await until(lambda: told.get("oldest", (0, 0, 0))[2] == 4.0)
        assert b"7" in store.keys[PREFIX + b"a"].value


@story
async def test_a_lease_lost_while_serving_is_registered_anew():
    async with nodes("a", "b") as (store, member, told, started, scopes, start):
        await until(lambda: len(store.keys) == 2 and told.get("b", (0,))[0] == 2)
        lease = started["a"]._lease
        store.revoke(lease)
        await until(lambda: PREFIX + b"a" in store.keys and started["a"]._lease != lease)
        assert told["b"][0] == 2
