"""Snapshots, and servers that are listed by etcd."""

from contextlib import asynccontextmanager

import trio
from async_scenarios import scenario, until
from processor_harness import (
    balancer_of,
    route,
    running_worker,
)

from wheatroute import snapshot
from wheatroute.etcd import messages as wire
from wheatroute.net.clock import now
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store

SNAPSHOT_TABLE = '[snapshot]\npath = "{}"\nevery = 0.02\noldest = {}\n[[pools]]'
ETCD = '[pools.etcd]\nendpoints = ["{}:{}"]\nprefix = "/servers/"\nnodes_prefix = "/nodes/"'


@asynccontextmanager
async def etcd_with_servers(count=4):
    """A stand-in with servers, and what a file needs to follow it."""
    store = Store()
    for n in range(count):
        store.put(wire.PutRequest(key=b"/servers/s%d" % n, value=b'{"addr": "127.0.0.1:%d"}' % (7000 + n)))
    member = Member(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(member.run)
        await until(lambda: member.is_serving)
        yield store, member, ETCD.format(*member.address)
        nursery.cancel_scope.cancel()


@scenario
async def test_a_drain_written_to_etcd_is_heeded_at_once(tmp_path):
    async with (
        etcd_with_servers() as (store, _, table),
        running_worker(tmp_path, pool=table) as (worker, channel),
    ):
        await until(lambda: len(worker.discovery.entries) == 4)
        assert len({await route(channel, f"a{n}") for n in range(60)}) == 4
        drained = b'{"addr": "127.0.0.1:7001", "state": "terminating"}'
        store.put(wire.PutRequest(key=b"/servers/s1", value=drained))
        await until(lambda: worker.discovery.entries["s1"]["state"] == "terminating")
        assert "127.0.0.1:7001" not in {await route(channel, f"b{n}") for n in range(60)}
        await until(lambda: b"/nodes/wheatroute" in store.keys)
        await worker.stop()


@scenario
async def test_a_start_while_etcd_is_away_serves_from_the_snapshot_and_counts_the_peers(tmp_path):
    keep = {"[[pools]]": SNAPSHOT_TABLE.format(tmp_path / "kept", 60.0)}
    async with etcd_with_servers() as (store, member, table):
        store.put(wire.PutRequest(key=b"/nodes/other", value=b'{"epoch": 1}'))
        async with running_worker(tmp_path, pool=table, **keep) as (worker, channel):
            await until(lambda: len(worker.discovery.entries) == 4 and len(worker.discovery.peers()) == 2)
            assert len({await route(channel, f"a{n}") for n in range(60)}) == 4
            written = worker._snapshot.written_count
            await until(lambda: worker._snapshot.written_count > written + 1)
        member.stop()
        async with running_worker(tmp_path, pool=table, **keep) as (worker, channel):
            assert len({await route(channel, f"b{n}") for n in range(60)}) == 4
            assert any(balancer_of(worker).servers.weight) and not worker.discovery.etcd.follower.list_count
            await until(lambda: balancer_of(worker)._state.settings.nodes == 2)


@scenario
async def test_a_snapshot_that_is_no_use_is_not_used(tmp_path):
    kept = tmp_path / "kept"
    other = {"source": {}, "servers": [{"id": "s0", "addr": "127.0.0.1:7000"}]}
    kept.write_bytes(snapshot.encode(other, now()))
    keep = {"[[pools]]": SNAPSHOT_TABLE.format(kept, 60.0)}
    async with etcd_with_servers() as (_, member, table):
        member.stop()
        async with running_worker(tmp_path, pool=table, **keep) as (worker, channel):
            assert await route(channel, "a", timeout_s=0.1) == 503  # of another pool
        assert kept.read_bytes().startswith(snapshot.FORMAT)  # and nothing known does not replace it
