"""The follower of servers in etcd: one scenario for each way in which a watch, member or value can fail."""

import json
import random
from contextlib import asynccontextmanager

import pytest
import structlog
import trio
from async_scenarios import scenario, until

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import EtcdClient
from wheatroute.etcd.follower import Follower
from wheatroute.grpc.messages import CallError, Status
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store

PREFIX = b"/pools/shop/servers/"
LOG = structlog.get_logger()


def value(port, **fields):
    return json.dumps({"addr": f"127.0.0.1:{port}"} | fields).encode()


def put(store, name, port=7000, **fields):
    store.put(wire.PutRequest(key=PREFIX + name.encode(), value=value(port, **fields)))


class FollowedServers:
    """Records the changes that a follower reports, and the resulting states of the servers."""

    def __init__(self):
        self.changes, self.states, self.changed_at = [], {}, {}

    def __call__(self, change):
        self.changes.append(change)
        if change["full"]:
            self.states = {}
        for server in change["servers"]:
            self.states[server["id"]] = server["state"]
            self.changed_at[server["id"], server["state"]] = trio.current_time()
            if server["state"] == "terminated":
                del self.states[server["id"]]


@asynccontextmanager
async def cluster(member_count=1, store=None, **options):
    """Runs members of one store and a follower of its servers; yields them and the nursery.

    `options` are those of the members. The changes that the follower reports are recorded in `servers`.
    """
    store = store or Store()
    members = [Member(store, **options) for _ in range(member_count)]
    client = EtcdClient(
        [member.address for member in members],
        random.Random(1),
        **({"user": "node", "password": "secret"} if options.get("users") else {}),
    )
    servers = FollowedServers()
    follower = Follower(client, PREFIX, servers, random.Random(2), LOG)
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(member.run)
            nursery.start_soon(follower.run)
            yield store, members, follower, servers, nursery
            nursery.cancel_scope.cancel()


async def put_and_wait(store, servers, name, state="in_service", timeout_s=2.0, **fields):
    """Puts a server and waits until the follower reports it; returns the seconds that this took.

    Fails if they are `timeout_s` or more: two seconds is the promised maximum.
    """
    began = trio.current_time()
    put(store, name, state=state, **fields)
    await until(
        lambda: servers.states.get(name) == state and servers.changed_at.get((name, state), -1.0) >= began
    )
    assert trio.current_time() - began < timeout_s
    return trio.current_time() - began


@scenario
async def test_servers_are_listed_and_then_each_revision_is_reported_at_once():
    async with cluster() as (store, _, follower, servers, _):
        await until(lambda: servers.changes)
        for n in range(5):
            put(store, f"s{n}", 7000 + n)
        await until(lambda: len(servers.states) == 5)
        await put_and_wait(store, servers, "s1", "terminating", port=7001)
        store.delete(wire.DeleteRangeRequest(key=PREFIX + b"s2"))
        await until(lambda: "s2" not in servers.states)
        # A transaction is one revision: its changes are reported together.
        before = len(servers.changes)
        store.txn(
            wire.TxnRequest(
                success=[
                    wire.RequestOp(request_put=wire.PutRequest(key=PREFIX + b"s9", value=value(7009))),
                    wire.RequestOp(request_delete_range=wire.DeleteRangeRequest(key=PREFIX + b"s0")),
                ]
            )
        )
        await until(lambda: "s9" in servers.states)
        assert {server["id"]: server["state"] for server in servers.changes[before]["servers"]} == {
            "s9": "in_service",
            "s0": "terminated",
        }
        assert (follower.list_count, follower.stream_count) == (1, 1)


@scenario
async def test_a_follower_does_not_apply_revisions_older_than_the_position_of_its_predecessor():
    store = Store()
    put(store, "s0")
    async with cluster(store=store) as (store, members, follower, servers, _):
        await until(lambda: servers.changes)
        cluster_id, revision = follower.min_position
        assert (cluster_id, revision) == (store.cluster_id, store.revision)
    # An older backup of the store: s0 was drained after it, which the previous process had applied.
    store = Store()
    put(store, "s0")
    servers = FollowedServers()
    member = Member(store)
    follower = Follower(
        EtcdClient([member.address], random.Random(1)), PREFIX, servers, random.Random(2), LOG
    )
    follower.resume_from(store.cluster_id, store.revision + 2)
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.run)
            nursery.start_soon(follower.run)
            await until(lambda: member.call_count >= 3)
            assert not servers.changes
            put(store, "s0", state="terminating")
            put(store, "s1", 7001)
            await until(lambda: servers.states == {"s0": "terminating", "s1": "in_service"})
            nursery.cancel_scope.cancel()


@scenario
async def test_a_broken_watch_resumes_at_its_revision_and_reports_nothing_twice():
    async with cluster() as (store, members, follower, servers, _):
        await until(lambda: members[0].watch_stream_count == 1)
        for n in range(30):
            put(store, f"s{n}", 7000 + n)
            if n % 10 == 5:
                members[0].drop_streams()
            await trio.sleep(0.001)
        await until(lambda: len(servers.states) == 30)
        names = [server["id"] for change in servers.changes for server in change["servers"]]
        assert sorted(names) == sorted(f"s{n}" for n in range(30)) and follower.list_count == 1


@scenario
async def test_a_revision_whose_stream_breaks_between_fragments_is_applied_only_once_it_is_complete():
    async with cluster() as (store, members, follower, servers, _):
        await until(lambda: members[0].watch_stream_count == 1)
        faults = members[0].faults
        faults.max_fragment_events, faults.fragments_before_drop = 3, 1
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
        await until(lambda: servers.states)
        assert len(servers.states) == 10 and [len(change["servers"]) for change in servers.changes] == [0, 10]
        assert members[0].watch_stream_count == 2


@scenario
async def test_after_a_compaction_all_keys_are_read_again_and_deleted_servers_removed():
    async with cluster() as (store, members, follower, servers, nursery):
        put(store, "stays")
        put(store, "goes", 7001)
        await until(lambda: len(servers.states) == 2)
        members[0].stop()
        await trio.sleep(0.05)
        store.delete(wire.DeleteRangeRequest(key=PREFIX + b"goes"))
        put(store, "new", 7002)
        store.compact(store.revision)
        nursery.start_soon(members[0].run)
        await until(lambda: set(servers.states) == {"stays", "new"})
        assert follower.list_count == 2
        await put_and_wait(store, servers, "new", "terminating", port=7002)


@scenario
async def test_an_outage_of_etcd_removes_no_server_and_a_drain_during_it_is_applied_soon_after():
    async with cluster() as (store, members, follower, servers, nursery):
        put(store, "a")
        await until(lambda: servers.states)
        members[0].stop()
        await trio.sleep(1.0)
        assert set(servers.states) == {"a"}
        put(store, "a", state="terminating")
        began = trio.current_time()
        nursery.start_soon(members[0].run)
        await until(lambda: servers.states == {"a": "terminating"})
        assert trio.current_time() - began < 2.0 and follower.list_count == 1


@scenario
async def test_an_unresponsive_member_is_replaced_by_another():
    async with cluster(member_count=3) as (store, members, follower, servers, _):
        await until(lambda: servers.changes and any(member.watch_stream_count for member in members))
        member = next(member for member in members if member.watch_stream_count)
        member.faults.is_unresponsive = True
        await put_and_wait(store, servers, "a")
        assert sum(member.watch_stream_count for member in members) >= 2


@scenario
async def test_a_member_that_lags_behind_is_replaced_by_another():
    async with cluster(member_count=3) as (store, members, follower, servers, _):
        put(store, "a")
        await until(lambda: servers.states and any(member.watch_stream_count for member in members))
        member = next(member for member in members if member.watch_stream_count)
        member.faults.revision_lag = 1  # the member is partitioned just before the next change
        await put_and_wait(store, servers, "a", "terminating")


@scenario
async def test_all_keys_are_read_again_from_a_different_cluster_at_the_same_address():
    async with cluster() as (store, members, follower, servers, nursery):
        for n in range(5):
            put(store, f"old{n}", 7000 + n)
        await until(lambda: len(servers.states) == 5)
        members[0].stop()
        await trio.sleep(0.05)
        members[0].store = other = Store(cluster_id=2)
        put(other, "new", 7009)
        assert other.revision < store.revision
        nursery.start_soon(members[0].run)
        await until(lambda: set(servers.states) == {"new"})


@scenario
async def test_a_malformed_value_changes_nothing():
    async with cluster() as (store, _, follower, servers, _):
        put(store, "a")
        await until(lambda: servers.states)
        for malformed in (
            b"",
            b"{",
            b"[]",
            b'{"addr": "nowhere"}',
            b'{"addr": "127.0.0.1:1", "state": "odd"}',
            b'{"addr": "127.0.0.1:1", "cell": "x"}',
            b"\xff",
        ):
            store.put(wire.PutRequest(key=PREFIX + b"a", value=malformed))
            store.put(wire.PutRequest(key=PREFIX + b"never", value=malformed))
        await put_and_wait(store, servers, "b", port=7001)
        assert servers.states == {"a": "in_service", "b": "in_service"}


@scenario
async def test_a_server_whose_address_changes_counts_as_newly_started():
    async with cluster() as (store, _, follower, servers, _):
        put(store, "a", 7000, started_ms=5)
        await until(lambda: servers.states)
        await put_and_wait(store, servers, "a", port=7001)
        assert follower.keys.entries["a"]["started_ms"] > 5
        await put_and_wait(store, servers, "a", "terminating", port=7001)
        assert follower.keys.entries["a"]["started_ms"] > 5


@scenario
async def test_ten_thousand_servers_are_read_in_pages_of_one_revision():
    store = Store()
    for n in range(10000):
        put(store, f"s{n:05}", 1 + n % 60000)
    async with cluster(store=store) as (_, members, follower, servers, _):
        await until(lambda: len(servers.states) == 10000)
        assert members[0].call_count >= 10 and follower.list_count == 1
        await put_and_wait(store, servers, "s00007", "terminating", port=8)


@scenario
async def test_a_value_that_changes_many_times_ends_as_last_written():
    async with cluster() as (store, _, follower, servers, _):
        await until(lambda: follower.stream_count)
        for n in range(2000):
            put(store, "a", state=("in_service", "terminating")[n % 2], cell=n)
        await until(lambda: follower.keys.entries.get("a", {}).get("cell") == 1999)
        assert servers.states == {"a": "terminating"}


@scenario
async def test_an_expired_token_is_renewed_and_a_wrong_password_is_an_error():
    async with cluster(users={"node": "secret"}) as (store, members, follower, servers, _):
        put(store, "a")
        await until(lambda: servers.states)
        members[0].tokens.clear()
        members[0].drop_streams()
        await put_and_wait(store, servers, "b", port=7001)
        wrong = EtcdClient([members[0].address], random.Random(1), "node", "guess")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wrong.run)
            with pytest.raises(CallError) as caught:
                await wrong.range(b"a")
            nursery.cancel_scope.cancel()
        assert caught.value.status == Status.INVALID_ARGUMENT


@scenario
async def test_a_write_without_a_response_is_never_repeated():
    async with cluster(member_count=2) as (store, members, follower, servers, _):
        client = follower._client
        await until(lambda: follower.stream_count)
        revision = store.revision
        for member in members:
            member.faults.is_unresponsive = True
        with pytest.raises(CallError) as caught:
            await client.put(PREFIX + b"x", b"{}")
        assert caught.value.status == Status.DEADLINE_EXCEEDED and store.revision == revision
        assert sum(member.call_count for member in members) < 30


@scenario
async def test_an_expired_lease_deletes_its_keys():
    current_time = [0.0]
    async with cluster(store=Store(clock=lambda: current_time[0])) as (store, _, follower, servers, _):
        client = follower._client
        lease = await client.grant(10)
        await client.put(PREFIX + b"a", value(7000), lease)
        await until(lambda: servers.states)
        current_time[0] = 9.0
        store.keep_alive(lease)
        current_time[0] = 18.0
        await put_and_wait(store, servers, "b", port=7001)
        assert "a" in servers.states
        current_time[0] = 19.5
        await until(lambda: "a" not in servers.states)
