"""Drain notices: the state machine, the stores, and nodes of which one is cut off from its server list."""

import random
import time
from unittest import mock

import orjson
import pytest
import structlog
import trio
import trio.testing
from async_scenarios import scenario
from test_processes import MIX, WITHIN, first_version, kept

from wheatroute.agreement import relay
from wheatroute.agreement.adapter import AdaptedVersion
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.drain_notices import RETENTION_AGREEMENT_TIMES, DrainNotices
from wheatroute.agreement.errors import VersionStoreError
from wheatroute.agreement.etcd_store import EtcdStore
from wheatroute.agreement.member import Member
from wheatroute.agreement.relay import RelayStore
from wheatroute.agreement.version_follower import VersionFollower, clock
from wheatroute.agreement.version_store import take_received_notices
from wheatroute.etcd import messages as wire
from wheatroute.rig.options import RigOptions
from wheatroute.rig.rig import running_rig
from wheatroute.standin.etcd import Member as Served
from wheatroute.standin.etcd_store import Store


def entry(name, state="in_service", started=0, place=""):
    return {"id": name, "state": state, "started_ms": started, "addr": place or f"10.0.0.1:{name[1:]}"}


def list_of(*servers, full=False):
    return {"full": full, "servers": list(servers)}


class Installation:
    """Processes with a list each, and a store between them."""

    def __init__(self, count, *servers):
        self.store = {}
        self.ones = [DrainNotices(10.0) for _ in range(count)]
        for one in self.ones:
            one.filter_message(list_of(*servers, full=True))

    def exchange(self, *which, now=0.0):
        """Let processes exchange with the store, one after the other; returns what each learns, by server."""
        learned = []
        for number in which:
            one = self.ones[number]
            heard = one.receive(list(self.store.values()), now)
            learned.append({server["id"]: server["state"] for server in heard})
            notices, expired_ids = one.outgoing(now)
            self.store |= {notice["id"]: notice for notice in notices}
            for name in expired_ids:
                self.store.pop(name, None)
        return learned


def test_a_drain_and_a_return_reach_all_processes():
    it = Installation(3, entry("s1"), entry("s2"))
    it.ones[0].filter_message(list_of(entry("s1", "terminating")))
    assert it.exchange(0, 1, 2) == [{}, {"s1": "terminating"}, {"s1": "terminating"}]
    # an own list that lies behind does not undo it, whole or not
    assert it.ones[1].filter_message(list_of(entry("s1"), full=True))["servers"][0]["state"] == "terminating"
    it.ones[0].filter_message(list_of(entry("s1")))
    assert it.exchange(0, 1, 2) == [{}, {"s1": "in_service"}, {"s1": "in_service"}]
    # and drained once more
    it.ones[0].filter_message(list_of(entry("s1", "terminating")))
    assert it.exchange(0, 1) == [{}, {"s1": "terminating"}]


def test_a_server_missing_from_one_list_stays_in_the_others():
    it = Installation(2, entry("s1"), entry("s2"))
    it.ones[0].filter_message(list_of(full=True))
    it.ones[0].filter_message(list_of(entry("s2", "terminated")))
    assert it.exchange(0, 1) == [{}, {}] and not it.store


def test_a_restart_under_the_same_id_and_a_reused_address_create_notices():
    it = Installation(2, entry("s1"), entry("s2", place="10.0.0.9:9"))
    it.ones[0].filter_message(list_of(entry("s1", started=5)))
    it.ones[0].filter_message(list_of(entry("s2", "terminated")))
    it.ones[0].filter_message(list_of(entry("s7", place="10.0.0.9:9")))
    assert it.exchange(0, 1) == [{}, {"s1": "terminating", "s2": "terminating"}]
    # the new process under the old id is another one
    assert it.ones[1].filter_message(list_of(entry("s1", started=5)))["servers"][0]["state"] == "in_service"


def test_a_late_drain_notice_is_corrected_by_the_return():
    it = Installation(3, entry("s1"))
    for state in ("terminating", "in_service"):
        it.ones[0].filter_message(list_of(entry("s1", state)))
        it.exchange(0)
    it.ones[1].filter_message(list_of(entry("s1", "terminating")))
    it.exchange(1)
    it.ones[1].filter_message(list_of(entry("s1")))
    it.exchange(1, 0)
    assert it.exchange(2) == [{}] and not it.store["s1"]["leaves"]


def test_a_notice_that_a_concurrent_write_replaced_is_written_again():
    it = Installation(2, entry("s1"))
    for one in it.ones:
        one.filter_message(list_of(entry("s1", "terminating")))
    first = it.ones[1].outgoing(0.0)[0][0]
    it.exchange(0)
    it.ones[0].filter_message(list_of(entry("s1")))
    it.exchange(0)
    it.store["s1"] = first  # the other's write came late
    it.exchange(0)
    assert not it.store["s1"]["leaves"]


def test_expired_notices_leave_the_store_and_still_count_for_their_readers():
    it = Installation(2, entry("s1"))
    it.ones[0].filter_message(list_of(entry("s1", "terminating")))
    it.exchange(0, 1)
    it.exchange(0, 1, now=3601.0)
    assert not it.store
    assert it.ones[1].filter_message(list_of(entry("s1")))["servers"][0]["state"] == "terminating"


def test_malformed_notices_and_entries_are_ignored():
    one = DrainNotices(10.0)
    one.filter_message(list_of(entry("s1"), 7, {"id": 3}, {"id": "s2", "started_ms": "x"}, full=True))
    assert one.receive([None, {"id": "s1"}, {"id": "s1", "started": 0, "leaves": 1, "turn": 1}], 0.0) == []
    assert one.outgoing(0.0) == ([], [])


def test_a_notice_read_by_a_failed_exchange_is_not_lost(tmp_path):
    store = DirectoryStore(str(tmp_path))
    store.create()
    store.write_drain_notices_blocking([{"id": "s1", "started": 0, "leaves": True, "turn": 1}], [])
    with pytest.raises(VersionStoreError):
        store.exchange_blocking("n0.1", {"name": "n0"}, 4, "another history")
    store.exchange_blocking("n0.1", {"name": "n0"}, 0, "")
    assert [notice["id"] for notice in take_received_notices(store)] == ["s1"] and take_received_notices(
        store
    ) == []


def notice(name, turn=1):
    return {"id": name, "started": 0, "leaves": True, "turn": turn}


def test_an_abandoned_exchange_that_ends_late_loses_no_notice(tmp_path):
    """Its thread reads the notices, another exchange begins and ends, then the thread adds its own."""

    class Late(DirectoryStore):
        def changed_drain_notices_blocking(self):
            found = super().changed_drain_notices_blocking()
            if found and found[0]["id"] == "s1":
                assert take_received_notices(self) == []
                self.write_drain_notices_blocking([notice("s2")], [])
                self.exchange_blocking("n0.1", {"name": "n0"}, 0, "")
            return found

    store = Late(str(tmp_path))
    store.create()
    store.write_drain_notices_blocking([notice("s1")], [])
    store.exchange_blocking("n0.1", {"name": "n0"}, 0, "")
    assert {one["id"] for one in take_received_notices(store)} == {"s1", "s2"}


def test_an_unreadable_status_or_notice_fails_no_exchange(tmp_path):
    """Empty after a power loss, or of another program: skipped, and the rest counts."""
    store = DirectoryStore(str(tmp_path))
    store.create()
    store.write_drain_notices_blocking([notice("s1")], [])
    store.write_status_blocking("n1.2", {"name": "n1"})
    for folder in ("words", "nodes"):
        for name, text in (("empty", b""), ("half", b'{"id": '), ("list", b"[1]")):
            (tmp_path / folder / name).write_bytes(text)
    store.exchange_blocking("n0.1", {"name": "n0"}, 0, "")
    assert [one["id"] for one in take_received_notices(store)] == ["s1"]
    assert {row["name"] for row in store.statuses_blocking()} == {"n0", "n1"}
    assert store.unreadable_keys == {"empty", "half", "list"}


@scenario
async def test_an_unreadable_status_or_notice_in_etcd_fails_no_exchange():
    backend = Store()
    member = Served(backend)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(member.run)
        while not member.is_serving:
            await trio.testing.wait_all_tasks_blocked()
        store = EtcdStore([member.address], "/v", random.Random(1))
        nursery.start_soon(store.run)
        await store.write_drain_notices([notice("s1")], [])
        backend.put(wire.PutRequest(key=b"/v/words/bad", value=b"{"))
        backend.put(wire.PutRequest(key=b"/v/nodes/bad.1", value=b"[]"))
        assert await store.exchange("n0.1", {"name": "n0"}, 0, "") == []
        assert [one["id"] for one in take_received_notices(store)] == ["s1"]
        assert [row["name"] for row in await store.statuses()] == ["n0"]
        assert store.unreadable_keys == {"/v/words/bad", "/v/nodes/bad.1"}
        nursery.cancel_scope.cancel()


@scenario
async def test_notices_expire_from_a_store_that_only_relays_read(tmp_path):
    class RecordingStore(DirectoryStore):
        """What the relay removes."""

        removed: list = []

        async def write_drain_notices(self, notices, expired_ids):
            self.removed.extend(expired_ids)
            await super().write_drain_notices(notices, expired_ids)

    store = RecordingStore(str(tmp_path / "store"))
    store.create()
    store.write_drain_notices_blocking([notice("s1")], [])
    here = DirectoryStore(str(tmp_path / "here"))
    here.create()
    relay_store = RelayStore(store, here.path, 3.0, 10.0)
    await relay_store.exchange("relay.1", {"name": "relay"}, 0, "")
    fresh = tmp_path / "here" / "fresh"
    assert [one["id"] for one in orjson.loads(fresh.read_bytes())["words"]] == ["s1"] and not store.removed
    later = clock() + RETENTION_AGREEMENT_TIMES * 10.0 + 1.0
    with mock.patch.object(relay, "clock", lambda: later):
        await relay_store.exchange("relay.1", {"name": "relay"}, 0, "")
    assert store.removed == ["s1"] and orjson.loads(fresh.read_bytes())["words"] == []
    assert DirectoryStore(store.path).changed_drain_notices_blocking() == []


@scenario
async def test_a_status_is_not_written_after_the_removal_of_a_process_that_ends(tmp_path):
    class Slow(DirectoryStore):
        """An exchange that stays in flight."""

        def __init__(self, path):
            super().__init__(path)
            self.began, self.goes_on, self.ended = trio.Event(), trio.Event(), trio.Event()

        async def exchange(self, *arguments):
            self.began.set()
            await self.goes_on.wait()
            try:
                return await super().exchange(*arguments)
            finally:
                self.ended.set()

    class NullAdapter:
        def check(self, number, content):
            return ""

        def adapt(self, effective):
            return AdaptedVersion({}, {}, {}, {})

    store = Slow(str(tmp_path))
    store.create()
    follower = VersionFollower(
        store,
        Member("n0", "1", 1000.0),
        NullAdapter(),
        lambda adapted, binding: None,
        lambda: None,
        lambda: ("", 0),
        structlog.get_logger(),
    )
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await store.began.wait()
            async with trio.open_nursery() as leaving:
                leaving.start_soon(follower.leave)
                await trio.testing.wait_all_tasks_blocked()
                store.goes_on.set()
            await store.ended.wait()
            nursery.cancel_scope.cancel()
    assert store.statuses_blocking() == []


# several processes


async def cut_off_from_its_list(store, lists, change):
    async with running_rig(RigOptions(nodes=3, store=store, discovery=lists, bound_s=WITHIN)) as it:
        it.start_load(40, MIX)
        await first_version(it)
        await it.wait_until(
            lambda: (
                len({execution.server for execution in it.records.executions if execution.node == "n2"}) == 4
            ),
            "n2 sends to all",
        )
        it.faults.partition("n2", "list")
        changed_at = time.monotonic()
        change(it)
        # from then on n2 sends nothing there: the stated time to be told in, and the grace
        last = changed_at + WITHIN + 2.0
        await it.wait_until(
            lambda: (
                sum(
                    execution.node == "n2" and execution.started_at > last + 0.5
                    for execution in it.records.executions
                )
                > 20
            ),
            "n2 goes on with the others",
        )
        late = [
            execution
            for execution in it.records.executions
            if execution.node == "n2" and execution.server == "s3" and execution.started_at > last
        ]
        assert not late, f"{len(late)} late, the last after {late[-1].started_at - changed_at:.2f} s"
        assert "s3:terminating" in it.processes["n2"].log
        it.faults.heal("n2", "list")
        if "s3" in it.records.drained_at:
            it.records.drained_at["s3"] += WITHIN
        await kept(it, served=100)


def moved(it):
    """The others' lists say that another server is at the address of s3 by now."""
    for name in ("n0", "n1"):
        known = it.discovery_services[name].entry("s3")
        it.discovery_services[name].update(known._replace(state="terminated"))
        it.discovery_services[name].update(known._replace(id="s9"))


@pytest.mark.parametrize(
    "store, lists, change",
    [
        ("directory", "service", lambda it: it.faults.drain("s3")),
        ("etcd", "service", lambda it: it.faults.drain("s3")),
        ("relay", "service", lambda it: it.faults.drain("s3")),
        ("directory", "etcd", lambda it: it.faults.drain("s3")),
        ("directory", "service", moved),
    ],
)
def test_a_node_cut_off_from_its_list_leaves_a_server_within_the_agreement_time(store, lists, change):
    trio.run(cut_off_from_its_list, store, lists, change)
