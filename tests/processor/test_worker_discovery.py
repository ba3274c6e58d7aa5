"""Tests of a worker's snapshots and of servers that are listed in etcd."""

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
    """Yields the store of a simulated etcd with servers, its member, and a settings table for it."""
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
async def test_a_server_marked_as_terminating_in_etcd_gets_no_new_requests(tmp_path):
    async with (
        etcd_with_servers() as (store, _, table),
        running_worker(tmp_path, pool=table) as (worker, channel),
    ):
        await until(lambda: len(worker.discovery.entries) == 4)
        assert len({await route(channel, f"a{n}") for n in range(60)}) == 4
        draining_entry = b'{"addr": "127.0.0.1:7001", "state": "terminating"}'
        store.put(wire.PutRequest(key=b"/servers/s1", value=draining_entry))
        await until(lambda: worker.discovery.entries["s1"]["state"] == "terminating")
        assert "127.0.0.1:7001" not in {await route(channel, f"b{n}") for n in range(60)}
        await until(lambda: b"/nodes/wheatroute" in store.keys)
        await worker.stop()


@scenario
async def test_a_worker_started_without_etcd_uses_the_servers_and_peers_of_the_snapshot(tmp_path):
    snapshot_changes = {"[[pools]]": SNAPSHOT_TABLE.format(tmp_path / "kept", 60.0)}
    async with etcd_with_servers() as (store, member, table):
        store.put(wire.PutRequest(key=b"/nodes/other", value=b'{"epoch": 1}'))
        async with running_worker(tmp_path, pool=table, **snapshot_changes) as (worker, channel):
            await until(lambda: len(worker.discovery.entries) == 4 and len(worker.discovery.peers()) == 2)
            assert len({await route(channel, f"a{n}") for n in range(60)}) == 4
            written_count = worker._snapshot.written_count
            await until(lambda: worker._snapshot.written_count > written_count + 1)
        member.stop()
        async with running_worker(tmp_path, pool=table, **snapshot_changes) as (worker, channel):
            assert len({await route(channel, f"b{n}") for n in range(60)}) == 4
            assert any(balancer_of(worker).servers.weight) and not worker.discovery.etcd.follower.list_count
            await until(lambda: balancer_of(worker)._state.settings.nodes == 2)


@scenario
async def test_a_snapshot_of_another_source_is_neither_used_nor_replaced_while_no_server_is_known(tmp_path):
    path = tmp_path / "kept"
    content = {"source": {}, "servers": [{"id": "s0", "addr": "127.0.0.1:7000"}]}
    path.write_bytes(snapshot.encode(content, now()))
    snapshot_changes = {"[[pools]]": SNAPSHOT_TABLE.format(path, 60.0)}
    async with etcd_with_servers() as (_, member, table):
        member.stop()
        async with running_worker(tmp_path, pool=table, **snapshot_changes) as (worker, channel):
            # The snapshot was written for another pool.
            assert await route(channel, "a", timeout_s=0.1) == 503
        # The worker does not replace the file while it knows no server.
        assert path.read_bytes().startswith(snapshot.FORMAT)
