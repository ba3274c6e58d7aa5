"""Thousands of changes of a long configuration: what they leave on disk, and nodes that come back late."""

import asyncio

import msgspec
import pytest
from control.test_storms import CORE_LINK, ROUTES, Link, drawn, route
from control.virtual_cluster import Cluster, play

from wheatroute.control.changes import Change, ConfigurationState, apply_change, encode_state
from wheatroute.replication.messages import Replicate
from wheatroute.replication.records import AcceptorRecord, Document, DocumentVersion, NodeRecord
from wheatroute.replication.storage import FILE_NAME, LmdbStorage, StorageError
from wheatroute.replication.views import View

TENANTS = 19
DISK_MB = 128
SYNC, STALL = 0.002, 0.4  # seconds for a write to disk, and for one in a stall
LARGEST_FILE = 4 << 20  # bytes, of the store
IN_SYNC = 3.0  # seconds from a node's start


def tenant(number):
    keys = [drawn(f"key {number} {one}") + drawn(f"more {number} {one}") for one in range(4)]
    return {"name": f"t-{drawn(str(number))}", "api_keys": keys, "unit": "token_usage", "rate_per_s": 70_000}


def first_state(routes=ROUTES):
    whole = {
        "generation": 1,
        "routes": [route(number) for number in range(routes)],
        "services": [{"name": "s"}],
        "tenants": [tenant(number) for number in range(TENANTS)],
    }
    return apply_change(ConfigurationState(), Change(False, "0", msgspec.json.encode(whole)))


def next_state(state):
    """One route gets another time-out, and a key is exchanged."""
    generation = state.generation + 1
    patch = {
        "generation": generation,
        "upsert": {
            "routes": [route(generation % ROUTES) | {"timeout_ms": 5000 + generation}],
            "tenants": [tenant(generation % TENANTS) | {"api_keys": [drawn(f"new {generation}") * 2]}],
        },
    }
    return apply_change(state, Change(True, str(state.generation), msgspec.json.encode(patch)))


def record(state, epoch=3):
    view = View(epoch, "a/0", ("a/0", "b/0"), ("a/0", "b/0", "c/0"))
    document = Document(DocumentVersion(epoch, state.generation), encode_state(state))
    return NodeRecord("a/0", AcceptorRecord(view), document)


def largest_file(folder, changes):
    """The largest size of the store over so many changes, each written whole; and its last record."""
    disk, state, largest = LmdbStorage(str(folder), DISK_MB), first_state(), 0
    for number in range(changes):
        state = next_state(state)
        disk.write(record(state, epoch=3 + number // 100))
        disk.write_soft_state(drawn(str(number)).encode() * 2000)
        largest = max(largest, (folder / FILE_NAME).stat().st_size)
    disk.close()
    return largest, record(state, epoch=3 + (changes - 1) // 100)


def test_the_store_stays_small_over_hundreds_of_changes_of_a_long_configuration(tmp_path):
    largest, last = largest_file(tmp_path, 200)
    assert largest < LARGEST_FILE
    assert LmdbStorage(str(tmp_path), DISK_MB).read() == last


def test_a_store_that_was_full_takes_what_fits_again(tmp_path):
    disk, state = LmdbStorage(str(tmp_path), 16), first_state()
    disk.write(record(state))
    huge = ConfigurationState(2, b"".join(drawn(str(number)).encode() for number in range(2_000_000)))
    for _ in range(3):
        with pytest.raises(StorageError):
            disk.write(record(huge))
    assert disk.read() == record(state)
    for _ in range(50):
        state = next_state(state)
        disk.write(record(state))
    disk.close()
    assert LmdbStorage(str(tmp_path), 16).read() == record(state)


class NarrowCluster(Cluster):
    """Documents pass one after the other at the width of a control machine's link."""

    def __init__(self, seed, hosts):
        super().__init__(seed, hosts)
        self.widths = {host: Link(CORE_LINK) for host in self.nodes}

    def carry(self, source, target, sender, message):
        if not isinstance(message, Replicate):
            super().carry(source, target, sender, message)
            return

        async def pass_on():
            await self.widths[source].carry(len(message.document.payload))
            super(NarrowCluster, self).carry(source, target, sender, message)

        asyncio.get_running_loop().create_task(pass_on())


async def catches_up(cluster):
    for node in cluster.nodes.values():
        node.disk.delay = SYNC
    leader = await cluster.wait_for_leader()
    whole = msgspec.json.decode(first_state().body)
    await leader.service.change(Change(False, "0", msgspec.json.encode(whole)))
    absent = next(node for node in cluster.nodes.values() if node is not leader)
    absent.kill()
    state = first_state()
    for _ in range(400):
        patch = {"generation": state.generation + 1, "upsert": {"routes": [route(state.generation % ROUTES)]}}
        change = Change(True, str(state.generation), msgspec.json.encode(patch))
        state = apply_change(state, change)
        await leader.service.change(change)
    stall(cluster, absent)
    begun = asyncio.get_running_loop().time()
    await absent.start()
    while absent.service.replicator.core.identity not in leader.service.replicator.core.view.members:
        await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() < begun + IN_SYNC
    assert absent.service.replicator.core.document == leader.service.replicator.core.document


def stall(cluster, node):
    """Each other write to this disk stalls."""
    submit, turns = node.disk.submit, [0]

    def stalling(function, *rest):
        turns[0] += 1
        node.disk.delay = STALL if turns[0] % 2 else SYNC
        return submit(function, *rest)

    node.disk.submit = stalling


def test_a_node_that_missed_400_changes_is_in_sync_in_time_though_its_disk_stalls(monkeypatch):
    monkeypatch.setattr("control.virtual_cluster.Cluster", NarrowCluster)
    play(7, catches_up)


async def fills_up(cluster):
    leader = await cluster.wait_for_leader()
    await leader.service.change(Change(False, "0", first_state(routes=20).body))
    full = next(node for node in cluster.nodes.values() if node is not leader)
    identity, core = full.service.replicator.core.identity, leader.service.replicator.core
    write = full.disk.write

    def refuse(record):
        raise StorageError("no space left on device")

    full.disk.write = refuse
    state = first_state(routes=20)
    for _ in range(10):  # acknowledged without it
        patch = {"generation": state.generation + 1, "upsert": {"routes": [route(state.generation)]}}
        change = Change(True, str(state.generation), msgspec.json.encode(patch))
        state = apply_change(state, change)
        await leader.service.change(change)
    assert identity not in core.view.members and identity in core.view.voters
    full.disk.write = write
    while identity not in core.view.members:
        await asyncio.sleep(0.01)
    assert full.disk.record.document.payload == core.document.payload


def test_a_node_whose_disk_is_full_leaves_the_view_and_returns_when_there_is_room():
    play(3, fills_up)
