"""Watches and keys without I/O, and the stand-in checked from outside."""

import asyncio
import random
import threading

import aetcd
import pytest
import trio

from wheatroute.etcd import messages as wire
from wheatroute.etcd.registry import Registry
from wheatroute.etcd.watching import BehindError, LostError, Watching
from wheatroute.standin.etcd import Member
from wheatroute.standin.etcd_store import Store


def event(key, revision, kind=wire.PUT):
    return wire.Event(type=kind, kv=wire.KeyValue(key=key, mod_revision=revision, value=b"v"))


def response(*events, revision=50, **more):
    header = wire.ResponseHeader(cluster_id=7, revision=revision)
    return wire.WatchResponse(header=header, events=events, **more)


def test_any_cut_and_repeat_of_a_history_gives_each_revision_once_whole_and_in_order():
    chance = random.Random(3)
    for _ in range(300):
        history = [(r, [event(b"k%d" % n, r) for n in range(chance.randint(1, 4))]) for r in range(11, 31)]
        watching, got = Watching(7, 10), []
        while watching.next <= 30:  # a stream: from what it was asked for, in fragments, cut somewhere
            start = watching.request(b"k").create_request.start_revision
            told = [one for r, events in history if r >= start for one in events]
            cut = chance.randrange(len(told) + 1)
            for at, one in enumerate(told):
                if at == cut and chance.random() < 0.5:
                    break
                last = at + 1 == len(told) or told[at + 1].kv.mod_revision != one.kv.mod_revision
                got += watching.take(response(one, fragment=not last))
        assert [(batch.revision, len(batch.events)) for batch in got] == [(r, len(e)) for r, e in history]


def test_what_ends_a_watch_says_why():
    watching = Watching(7, 10)
    with pytest.raises(LostError, match="history before revision 20"):
        watching.take(response(canceled=True, compact_revision=20))
    with pytest.raises(LostError, match="no permission"):
        watching.take(response(canceled=True, cancel_reason="no permission"))
    with pytest.raises(BehindError):
        watching.take(response(created=True, revision=9))
    other = response()
    other.header.cluster_id = 8
    with pytest.raises(LostError, match="cluster 8"):
        watching.take(other)


def test_progress_is_noted_and_applies_nothing():
    watching = Watching(7, 10)
    assert watching.take(response(revision=40, watch_id=-1)) == []
    assert (watching.seen, watching.next) == (40, 11)


def test_a_deletion_of_what_was_never_known_is_nothing():
    registry = Registry(b"p/")
    told, troubles = registry.changes([event(b"p/x", 3, wire.DELETE)], 1.0)
    assert told["servers"] == [] and troubles == []


def test_the_stand_in_serves_a_client_of_the_registry():
    """Checked from outside: put, get, a prefix, a transaction, a lease, a watch and its end."""
    store, ready, done = Store(), threading.Event(), threading.Event()
    place = []

    async def serve():
        member = Member(store)
        place.append(member.place)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.run)
            ready.set()
            await trio.to_thread.run_sync(done.wait)
            nursery.cancel_scope.cancel()

    async def use():
        async with aetcd.Client(*place[0]) as client:
            await client.put(b"/a/1", b"one")
            await client.put(b"/a/2", b"two")
            assert (await client.get(b"/a/1")).value == b"one"
            assert await client.get(b"/none") is None
            assert [kv.value async for kv in as_aiter(await client.get_prefix(b"/a/"))] == [b"one", b"two"]
            won, _ = await client.transaction(
                compare=[client.transactions.value(b"/a/1") == b"one"],
                success=[client.transactions.put(b"/a/1", b"uno")],
                failure=[client.transactions.put(b"/a/1", b"never")],
            )
            assert won and (await client.get(b"/a/1")).value == b"uno"
            lease = await client.lease(30)
            await client.put(b"/a/3", b"three", lease)
            watch = await client.watch_prefix(b"/a/")
            await lease.revoke()
            async for told in watch:
                assert told.kind == aetcd.EventKind.DELETE and told.kv.key == b"/a/3"
                break
            await watch.cancel()
            assert (await client.delete_prefix(b"/a/")).deleted == 2

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    try:
        ready.wait(10)
        asyncio.run(asyncio.wait_for(use(), 20))
    finally:
        done.set()
        thread.join()


async def as_aiter(found):
    for one in found:
        yield one
