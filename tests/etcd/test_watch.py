"""Watches and server keys without I/O, and the stand-in for etcd with the client of another project."""

import asyncio
import random
import threading

import aetcd
import pytest
import trio

from wheatroute.etcd import messages as wire
from wheatroute.etcd.server_keys import ServerKeys
from wheatroute.etcd.watch import MemberBehindError, Watch, WatchLostError
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store


def event(key, revision, event_type=wire.PUT):
    return wire.Event(type=event_type, kv=wire.KeyValue(key=key, mod_revision=revision, value=b"v"))


def response(*events, revision=50, **more):
    header = wire.ResponseHeader(cluster_id=7, revision=revision)
    return wire.WatchResponse(header=header, events=events, **more)


def test_streams_that_break_anywhere_give_each_revision_once_complete_and_in_order():
    rng = random.Random(3)
    for _ in range(300):
        history = [(r, [event(b"k%d" % n, r) for n in range(rng.randint(1, 4))]) for r in range(11, 31)]
        watch, batches = Watch(7, 10), []
        # Each pass is one stream from the requested revision on, which may break after any response.
        while watch.next_revision <= 30:
            start = watch.request(b"k").create_request.start_revision
            events = [sent_event for r, events in history if r >= start for sent_event in events]
            broken_at = rng.randrange(len(events) + 1)
            for index, sent_event in enumerate(events):
                if index == broken_at and rng.random() < 0.5:
                    break
                is_last = (
                    index + 1 == len(events)
                    or events[index + 1].kv.mod_revision != sent_event.kv.mod_revision
                )
                batches += watch.receive(response(sent_event, fragment=not is_last))
        assert [(batch.revision, len(batch.events)) for batch in batches] == [(r, len(e)) for r, e in history]


def test_the_error_of_a_lost_watch_has_the_reason():
    watch = Watch(7, 10)
    with pytest.raises(WatchLostError, match="history before revision 20"):
        watch.receive(response(canceled=True, compact_revision=20))
    with pytest.raises(WatchLostError, match="no permission"):
        watch.receive(response(canceled=True, cancel_reason="no permission"))
    with pytest.raises(MemberBehindError):
        watch.receive(response(created=True, revision=9))
    other = response()
    other.header.cluster_id = 8
    with pytest.raises(WatchLostError, match="cluster 8"):
        watch.receive(other)


def test_a_progress_response_is_recorded_and_changes_nothing():
    watch = Watch(7, 10)
    assert watch.receive(response(revision=40, watch_id=-1)) == []
    assert (watch.progress_revision, watch.next_revision) == (40, 11)


def test_the_deletion_of_an_unknown_key_changes_nothing():
    keys = ServerKeys(b"p/")
    change, errors = keys.apply([event(b"p/x", 3, wire.DELETE)], 1.0)
    assert change["servers"] == [] and errors == []


def test_the_stand_in_works_with_the_aetcd_client():
    """Put, get, a prefix, a transaction, a lease, a watch and its cancellation, and a deletion."""
    store, ready, done = Store(), threading.Event(), threading.Event()
    addresses = []

    async def serve():
        member = Member(store)
        addresses.append(member.address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.run)
            ready.set()
            await trio.to_thread.run_sync(done.wait)
            nursery.cancel_scope.cancel()

    async def run_client():
        async with aetcd.Client(*addresses[0]) as client:
            await client.put(b"/a/1", b"one")
            await client.put(b"/a/2", b"two")
            assert (await client.get(b"/a/1")).value == b"one"
            assert await client.get(b"/none") is None
            assert [kv.value async for kv in as_aiter(await client.get_prefix(b"/a/"))] == [b"one", b"two"]
            succeeded, _ = await client.transaction(
                compare=[client.transactions.value(b"/a/1") == b"one"],
                success=[client.transactions.put(b"/a/1", b"uno")],
                failure=[client.transactions.put(b"/a/1", b"never")],
            )
            assert succeeded and (await client.get(b"/a/1")).value == b"uno"
            lease = await client.lease(30)
            await client.put(b"/a/3", b"three", lease)
            watch = await client.watch_prefix(b"/a/")
            await lease.revoke()
            async for received in watch:
                assert received.kind == aetcd.EventKind.DELETE and received.kv.key == b"/a/3"
                break
            await watch.cancel()
            assert (await client.delete_prefix(b"/a/")).deleted == 2

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    try:
        ready.wait(10)
        asyncio.run(asyncio.wait_for(run_client(), 20))
    finally:
        done.set()
        thread.join()


async def as_aiter(items):
    for item in items:
        yield item
