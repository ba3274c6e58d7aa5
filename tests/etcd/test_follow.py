"""Servers followed through etcd: one story for each way in which the watch, a member or a value can fail."""

import json
import random
from contextlib import asynccontextmanager

import pytest
import structlog
import trio
from asynchronous import story, until

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import Cluster
from wheatroute.etcd.follow import Follower
from wheatroute.grpc.messages import CallError, Status
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store

PREFIX = b"/pools/shop/servers/"
LOG = structlog.get_logger()


def value(port, **more):
    return json.dumps({"addr": f"127.0.0.1:{port}"} | more).encode()


def put(store, name, port=7000, **more):
    store.put(wire.PutRequest(key=PREFIX + name.encode(), value=value(port, **more)))


class Told:
    """What a follower handed on, and the servers as they stand by it."""

    def __init__(self):
        self.all, self.states, self.when = [], {}, {}

    def __call__(self, told):
        self.all.append(told)
        if told["full"]:
            self.states = {}
        for one in told["servers"]:
            self.states[one["id"]] = one["state"]
            self.when[one["id"], one["state"]] = trio.current_time()
            if one["state"] == "terminated":
                del self.states[one["id"]]


@asynccontextmanager
async def cluster(members=1, store=None, **how):
    """Members of one store, a follower of its servers, and what it handed on."""
    store = store or Store()
    running = [Member(store, **how) for _ in range(members)]
    client = Cluster(
        [one.place for one in running],
        random.Random(1),
        **({"user": "node", "password": "secret"} if how.get("users") else {}),
    )
    told = Told()
    follower = Follower(client, PREFIX, told, random.Random(2), LOG)
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            for one in running:
                nursery.start_soon(one.run)
            nursery.start_soon(follower.run)
            yield store, running, follower, told, nursery
            nursery.cancel_scope.cancel()


async def followed(store, told, name, state="in_service", within=2.0, **changes):
    """Puts a change and waits until it is handed on; it must be within two seconds."""
    began = trio.current_time()
    put(store, name, state=state, **changes)
    await until(lambda: told.states.get(name) == state and told.when.get((name, state), -1.0) >= began)
    assert trio.current_time() - began < within
    return trio.current_time() - began


@story
async def test_servers_are_listed_then_each_change_is_told_whole():
    async with cluster() as (store, _, follower, told, _):
        await until(lambda: told.all)
        for n in range(5):
            put(store, f"s{n}", 7000 + n)
        await until(lambda: len(told.states) == 5)
        await followed(store, told, "s1", "terminating", port=7001)
        store.delete(wire.DeleteRangeRequest(key=PREFIX + b"s2"))
        await until(lambda: "s2" not in told.states)
        # a transaction is one revision: both ends of it come in one piece
        before = len(told.all)
        store.txn(
            wire.TxnRequest(
                success=[
                    wire.RequestOp(request_put=wire.PutRequest(key=PREFIX + b"s9", value=value(7009))),
                    wire.RequestOp(request_delete_range=wire.DeleteRangeRequest(key=PREFIX + b"s0")),
                ]
            )
        )
        await until(lambda: "s9" in told.states)
        assert {one["id"]: one["state"] for one in told.all[before]["servers"]} == {
            "s9": "in_service",
            "s0": "terminated",
        }
        assert (follower.lists, follower.streams) == (1, 1)


@story
async def test_a_follower_does_not_go_behind_what_the_process_before_it_acted_on():
    store = Store()
    put(store, "s0")
    async with cluster(store=store) as (store, members, follower, told, _):
        await until(lambda: told.all)
        cluster_id, revision = follower.floor
        assert (cluster_id, revision) == (store.cluster, store.revision)
    store = Store()  # an older backup of it: s0 is drained later, which the process before had heard of
    put(store, "s0")
    later = Told()
    running = Member(store)
    follower = Follower(Cluster([running.place], random.Random(1)), PREFIX, later, random.Random(2), LOG)
    follower.begin_at(store.cluster, store.revision + 2)
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(running.run)
            nursery.start_soon(follower.run)
            await until(lambda: running.calls >= 3)
            assert not later.all
            put(store, "s0", state="terminating")
            put(store, "s1", 7001)
            await until(lambda: later.states == {"s0": "terminating", "s1": "in_service"})
            nursery.cancel_scope.cancel()


@story
async def test_a_broken_watch_resumes_where_it_was_and_tells_nothing_twice():
    async with cluster() as (store, members, follower, told, _):
        await until(lambda: members[0].watches == 1)
        for n in range(30):
            put(store, f"s{n}", 7000 + n)
            if n % 10 == 5:
                members[0].drop_streams()
            await trio.sleep(0.001)
        await until(lambda: len(told.states) == 30)
        names = [one["id"] for part in told.all for one in part["servers"]]
        assert sorted(names) == sorted(f"s{n}" for n in range(30)) and follower.lists == 1


@story
async def test_a_break_inside_the_fragments_of_a_revision_applies_none_of_it_until_it_is_whole():
    async with cluster() as (store, members, follower, told, _):
        await until(lambda: members[0].watches == 1)
        members[0].fragment_at, members[0].cut_after = 3, 1
        store.txn(
            wire.TxnRequest(
                success=[
                    wire.RequestOp(
                        request_put=wire.PutRequest(key=PREFIX + b"s%d" % n, value=value(7000 + n))
                    )
                    for n in range(10)
                ]
            )
        )
        await until(lambda: told.states)
        assert len(told.states) == 10 and [len(part["servers"]) for part in told.all] == [0, 10]
        assert members[0].watches == 2


@story
async def test_a_compaction_under_a_watcher_leads_to_a_new_list_and_what_went_meanwhile_leaves():
    async with cluster() as (store, members, follower, told, nursery):
        put(store, "stays")
        put(store, "goes", 7001)
        await until(lambda: len(told.states) == 2)
        members[0].stop()
        await trio.sleep(0.05)
        store.delete(wire.DeleteRangeRequest(key=PREFIX + b"goes"))
        put(store, "new", 7002)
        store.compact(store.revision)
        nursery.start_soon(members[0].run)
        await until(lambda: set(told.states) == {"stays", "new"})
        assert follower.lists == 2
        await followed(store, told, "new", "terminating", port=7002)


@story
async def test_etcd_away_for_long_costs_no_server_and_a_drain_told_after_is_seen_at_once():
    async with cluster() as (store, members, follower, told, nursery):
        put(store, "a")
        await until(lambda: told.states)
        members[0].stop()
        await trio.sleep(1.0)
        assert set(told.states) == {"a"}
        put(store, "a", state="terminating")
        began = trio.current_time()
        nursery.start_soon(members[0].run)
        await until(lambda: told.states == {"a": "terminating"})
        assert trio.current_time() - began < 2.0 and follower.lists == 1


@story
async def test_a_member_that_accepts_and_says_nothing_is_left_for_another():
    async with cluster(members=3) as (store, members, follower, told, _):
        await until(lambda: told.all and any(one.watches for one in members))
        at = next(one for one in members if one.watches)
        at.silent = True
        await followed(store, told, "a")
        assert sum(one.watches for one in members) >= 2


@story
async def test_a_member_that_lies_behind_is_left_for_another():
    async with cluster(members=3) as (store, members, follower, told, _):
        put(store, "a")
        await until(lambda: told.states and any(one.watches for one in members))
        at = next(one for one in members if one.watches)
        at.behind = 1  # it is cut off just before the next change
        await followed(store, told, "a", "terminating")


@story
async def test_another_cluster_under_the_old_address_is_read_anew():
    async with cluster() as (store, members, follower, told, nursery):
        for n in range(5):
            put(store, f"old{n}", 7000 + n)
        await until(lambda: len(told.states) == 5)
        members[0].stop()
        await trio.sleep(0.05)
        members[0].store = other = Store(cluster=2)
        put(other, "new", 7009)
        assert other.revision < store.revision
        nursery.start_soon(members[0].run)
        await until(lambda: set(told.states) == {"new"})


@story
async def test_a_value_that_cannot_be_read_moves_nothing():
    async with cluster() as (store, _, follower, told, _):
        put(store, "a")
        await until(lambda: told.states)
        for bad in (
            b"",
            b"{",
            b"[]",
            b'{"addr": "nowhere"}',
            b'{"addr": "127.0.0.1:1", "state": "odd"}',
            b'{"addr": "127.0.0.1:1", "cell": "x"}',
            b"\xff",
        ):
            store.put(wire.PutRequest(key=PREFIX + b"a", value=bad))
            store.put(wire.PutRequest(key=PREFIX + b"never", value=bad))
        await followed(store, told, "b", port=7001)
        assert told.states == {"a": "in_service", "b": "in_service"}


@story
async def test_a_server_at_another_address_under_its_old_key_counts_as_new():
    async with cluster() as (store, _, follower, told, _):
        put(store, "a", 7000, started_ms=5)
        await until(lambda: told.states)
        await followed(store, told, "a", port=7001)
        assert follower.registry.entries["a"]["started_ms"] > 5
        await followed(store, told, "a", "terminating", port=7001)
        assert follower.registry.entries["a"]["started_ms"] > 5


@story
async def test_ten_thousand_servers_are_read_in_pages_of_one_revision():
    store = Store()
    for n in range(10000):
        put(store, f"s{n:05}", 1 + n % 60000)
    async with cluster(store=store) as (_, members, follower, told, _):
        await until(lambda: len(told.states) == 10000)
        assert members[0].calls >= 10 and follower.lists == 1
        await followed(store, told, "s00007", "terminating", port=8)


@story
async def test_a_value_changed_again_and_again_ends_as_it_was_put_last():
    async with cluster() as (store, _, follower, told, _):
        await until(lambda: follower.streams)
        for n in range(2000):
            put(store, "a", state=("in_service", "terminating")[n % 2], cell=n)
        await until(lambda: follower.registry.entries.get("a", {}).get("cell") == 1999)
        assert told.states == {"a": "terminating"}


@story
async def test_a_token_that_expired_is_asked_for_anew_and_a_wrong_password_is_said():
    async with cluster(users={"node": "secret"}) as (store, members, follower, told, _):
        put(store, "a")
        await until(lambda: told.states)
        members[0].tokens.clear()
        members[0].drop_streams()
        await followed(store, told, "b", port=7001)
        wrong = Cluster([members[0].place], random.Random(1), "node", "guess")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wrong.run)
            with pytest.raises(CallError) as caught:
                await wrong.range(b"a")
            nursery.cancel_scope.cancel()
        assert caught.value.status == Status.INVALID_ARGUMENT


@story
async def test_a_change_is_never_written_twice_by_a_client_that_heard_nothing():
    async with cluster(members=2) as (store, members, follower, told, _):
        client = follower._cluster
        await until(lambda: follower.streams)
        revision = store.revision
        for one in members:
            one.silent = True
        with pytest.raises(CallError) as caught:
            await client.put(PREFIX + b"x", b"{}")
        assert caught.value.status == Status.DEADLINE_EXCEEDED and store.revision == revision
        assert sum(one.calls for one in members) < 30


@story
async def test_leases_end_on_the_clock_and_take_their_keys_along():
    moment = [0.0]
    async with cluster(store=Store(clock=lambda: moment[0])) as (store, _, follower, told, _):
        client = follower._cluster
        lease = await client.grant(10)
        await client.put(PREFIX + b"a", value(7000), lease)
        await until(lambda: told.states)
        moment[0] = 9.0
        store.keep_alive(lease)
        moment[0] = 18.0
        await followed(store, told, "b", port=7001)
        assert "a" in told.states
        moment[0] = 19.5
        await until(lambda: "a" not in told.states)
