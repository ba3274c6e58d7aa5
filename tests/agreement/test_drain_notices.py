"""Drain notices: the state machine, the stores, and a node that is cut off from its server list."""

import random
import time
from unittest import mock

import orjson
import pytest
import structlog
import trio
import trio.testing
from async_scenarios import scenario
from test_processes import AGREEMENT_TIME_S, REQUEST_MIX, check_guarantees, put_first_version

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
from wheatroute.standin.etcd import Member as EtcdMember
from wheatroute.standin.etcd_store import Store


def entry(name, state="in_service", started=0, address=""):
    return {"id": name, "state": state, "started_ms": started, "addr": address or f"10.0.0.1:{name[1:]}"}


def list_of(*servers, full=False):
    return {"full": full, "servers": list(servers)}


class Installation:
    """Processes that each have a server list, and a store that they share."""

    def __init__(self, count, *servers):
        self.store = {}
        self.processes = [DrainNotices(10.0) for _ in range(count)]
        for process in self.processes:
            process.filter_message(list_of(*servers, full=True))

    def exchange(self, *numbers, now=0.0):
        """Lets processes exchange with the store in turn; returns the changed states that each learns."""
        learned = []
        for number in numbers:
            process = self.processes[number]
            changed = process.receive(list(self.store.values()), now)
            learned.append({server["id"]: server["state"] for server in changed})
            notices, expired_ids = process.outgoing(now)
            self.store |= {notice["id"]: notice for notice in notices}
            for name in expired_ids:
                self.store.pop(name, None)
        return learned


def test_a_drain_and_a_return_reach_all_processes():
    installation = Installation(3, entry("s1"), entry("s2"))
    installation.processes[0].filter_message(list_of(entry("s1", "terminating")))
    assert installation.exchange(0, 1, 2) == [{}, {"s1": "terminating"}, {"s1": "terminating"}]
    # An outdated list of the process itself, even a full one, does not undo the drain.
    assert (
        installation.processes[1].filter_message(list_of(entry("s1"), full=True))["servers"][0]["state"]
        == "terminating"
    )
    installation.processes[0].filter_message(list_of(entry("s1")))
    assert installation.exchange(0, 1, 2) == [{}, {"s1": "in_service"}, {"s1": "in_service"}]
    # A second drain of the same process creates a notice as well.
    installation.processes[0].filter_message(list_of(entry("s1", "terminating")))
    assert installation.exchange(0, 1) == [{}, {"s1": "terminating"}]


def test_a_server_missing_from_one_list_stays_in_the_others():
    installation = Installation(2, entry("s1"), entry("s2"))
    installation.processes[0].filter_message(list_of(full=True))
    installation.processes[0].filter_message(list_of(entry("s2", "terminated")))
    assert installation.exchange(0, 1) == [{}, {}] and not installation.store


def test_a_restart_under_the_same_id_and_a_reused_address_create_notices():
    installation = Installation(2, entry("s1"), entry("s2", address="10.0.0.9:9"))
    installation.processes[0].filter_message(list_of(entry("s1", started=5)))
    installation.processes[0].filter_message(list_of(entry("s2", "terminated")))
    installation.processes[0].filter_message(list_of(entry("s7", address="10.0.0.9:9")))
    assert installation.exchange(0, 1) == [{}, {"s1": "terminating", "s2": "terminating"}]
    # The notice does not apply to the new process of the server.
    assert (
        installation.processes[1].filter_message(list_of(entry("s1", started=5)))["servers"][0]["state"]
        == "in_service"
    )


def test_a_late_drain_notice_is_corrected_by_the_notice_of_the_return():
    installation = Installation(3, entry("s1"))
    for state in ("terminating", "in_service"):
        installation.processes[0].filter_message(list_of(entry("s1", state)))
        installation.exchange(0)
    installation.processes[1].filter_message(list_of(entry("s1", "terminating")))
    installation.exchange(1)
    installation.processes[1].filter_message(list_of(entry("s1")))
    installation.exchange(1, 0)
    assert installation.exchange(2) == [{}] and not installation.store["s1"]["leaves"]


def test_a_notice_that_a_concurrent_write_replaced_is_written_again():
    installation = Installation(2, entry("s1"))
    for process in installation.processes:
        process.filter_message(list_of(entry("s1", "terminating")))
    first = installation.processes[1].outgoing(0.0)[0][0]
    installation.exchange(0)
    installation.processes[0].filter_message(list_of(entry("s1")))
    installation.exchange(0)
    installation.store["s1"] = first  # the other process's write arrives late
    installation.exchange(0)
    assert not installation.store["s1"]["leaves"]


def test_expired_notices_are_removed_and_still_apply_where_they_were_read():
    installation = Installation(2, entry("s1"))
    installation.processes[0].filter_message(list_of(entry("s1", "terminating")))
    installation.exchange(0, 1)
    installation.exchange(0, 1, now=3601.0)
    assert not installation.store
    assert (
        installation.processes[1].filter_message(list_of(entry("s1")))["servers"][0]["state"] == "terminating"
    )


def test_malformed_notices_and_entries_are_ignored():
    process = DrainNotices(10.0)
    process.filter_message(list_of(entry("s1"), 7, {"id": 3}, {"id": "s2", "started_ms": "x"}, full=True))
    assert (
        process.receive([None, {"id": "s1"}, {"id": "s1", "started": 0, "leaves": 1, "turn": 1}], 0.0) == []
    )
    assert process.outgoing(0.0) == ([], [])


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


def notice(name, revision=1):
    return {"id": name, "started": 0, "leaves": True, "turn": revision}


def test_an_abandoned_exchange_that_ends_late_loses_no_notice(tmp_path):
    """The thread of an abandoned exchange reads a notice and adds it only after another exchange has ended.

    Guards against the loss of the notices that either of them read.
    """

    class LateStore(DirectoryStore):
        def changed_drain_notices_blocking(self):
            found = super().changed_drain_notices_blocking()
            if found and found[0]["id"] == "s1":
                assert take_received_notices(self) == []
                self.write_drain_notices_blocking([notice("s2")], [])
                self.exchange_blocking("n0.1", {"name": "n0"}, 0, "")
            return found

    store = LateStore(str(tmp_path))
    store.create()
    store.write_drain_notices_blocking([notice("s1")], [])
    store.exchange_blocking("n0.1", {"name": "n0"}, 0, "")
    assert {received["id"] for received in take_received_notices(store)} == {"s1", "s2"}


def test_an_unreadable_status_or_notice_fails_no_exchange(tmp_path):
    """An entry left empty by a power loss or written by another program is skipped, and the rest is read."""
    store = DirectoryStore(str(tmp_path))
    store.create()
    store.write_drain_notices_blocking([notice("s1")], [])
    store.write_status_blocking("n1.2", {"name": "n1"})
    for folder in ("words", "nodes"):
        for name, text in (("empty", b""), ("half", b'{"id": '), ("list", b"[1]")):
            (tmp_path / folder / name).write_bytes(text)
    store.exchange_blocking("n0.1", {"name": "n0"}, 0, "")
    assert [received["id"] for received in take_received_notices(store)] == ["s1"]
    assert {row["name"] for row in store.statuses_blocking()} == {"n0", "n1"}
    assert store.unreadable_keys == {"empty", "half", "list"}


@scenario
async def test_an_unreadable_status_or_notice_in_etcd_fails_no_exchange():
    backend = Store()
    member = EtcdMember(backend)
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
        assert [received["id"] for received in take_received_notices(store)] == ["s1"]
        assert [row["name"] for row in await store.statuses()] == ["n0"]
        assert store.unreadable_keys == {"/v/words/bad", "/v/nodes/bad.1"}
        nursery.cancel_scope.cancel()


@scenario
async def test_notices_expire_from_a_store_that_only_relays_read(tmp_path):
    class RecordingStore(DirectoryStore):
        """Records the notices that the relay removes."""

        removed: list = []

        async def write_drain_notices(self, notices, expired_ids):
            self.removed.extend(expired_ids)
            await super().write_drain_notices(notices, expired_ids)

    store = RecordingStore(str(tmp_path / "store"))
    store.create()
    store.write_drain_notices_blocking([notice("s1")], [])
    relayed = DirectoryStore(str(tmp_path / "here"))
    relayed.create()
    relay_store = RelayStore(store, relayed.path, 3.0, 10.0)
    await relay_store.exchange("relay.1", {"name": "relay"}, 0, "")
    fresh = tmp_path / "here" / "fresh"
    assert [stored["id"] for stored in orjson.loads(fresh.read_bytes())["words"]] == [
        "s1"
    ] and not store.removed
    later = clock() + RETENTION_AGREEMENT_TIMES * 10.0 + 1.0
    with mock.patch.object(relay, "clock", lambda: later):
        await relay_store.exchange("relay.1", {"name": "relay"}, 0, "")
    assert store.removed == ["s1"] and orjson.loads(fresh.read_bytes())["words"] == []
    assert DirectoryStore(store.path).changed_drain_notices_blocking() == []


@scenario
async def test_a_status_is_not_written_after_its_removal_by_a_stopping_process(tmp_path):
    class SlowStore(DirectoryStore):
        """Keeps an exchange in flight until `may_continue` is set."""

        def __init__(self, path):
            super().__init__(path)
            self.began, self.may_continue, self.ended = trio.Event(), trio.Event(), trio.Event()

        async def exchange(self, *arguments):
            self.began.set()
            await self.may_continue.wait()
            try:
                return await super().exchange(*arguments)
            finally:
                self.ended.set()

    class NullAdapter:
        def check(self, number, content):
            return ""

        def adapt(self, effective):
            return AdaptedVersion({}, {}, {}, {})

    store = SlowStore(str(tmp_path))
    store.create()
    follower = VersionFollower(
        store,
        Member("n0", "1", 1000.0),
        NullAdapter(),
        lambda adapted, applies_to_pending: None,
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
                store.may_continue.set()
            await store.ended.wait()
            nursery.cancel_scope.cancel()
    assert store.statuses_blocking() == []


# Tests with several processes.


async def check_node_cut_off_from_its_list(store, discovery, change):
    async with running_rig(
        RigOptions(nodes=3, store=store, discovery=discovery, bound_s=AGREEMENT_TIME_S)
    ) as rig:
        rig.start_load(40, REQUEST_MIX)
        await put_first_version(rig)
        await rig.wait_until(
            lambda: (
                len({execution.server for execution in rig.records.executions if execution.node == "n2"}) == 4
            ),
            "n2 has sent to all servers",
        )
        rig.faults.partition("n2", "list")
        changed_at = time.monotonic()
        change(rig)
        # After the agreement time and the drain grace, n2 sends nothing to the server.
        last_allowed_at = changed_at + AGREEMENT_TIME_S + 2.0
        await rig.wait_until(
            lambda: (
                sum(
                    execution.node == "n2" and execution.started_at > last_allowed_at + 0.5
                    for execution in rig.records.executions
                )
                > 20
            ),
            "n2 continues with the other servers",
        )
        late = [
            execution
            for execution in rig.records.executions
            if execution.node == "n2" and execution.server == "s3" and execution.started_at > last_allowed_at
        ]
        assert not late, f"{len(late)} late, the last after {late[-1].started_at - changed_at:.2f} s"
        assert "s3:terminating" in rig.processes["n2"].log
        rig.faults.heal("n2", "list")
        if "s3" in rig.records.drained_at:
            rig.records.drained_at["s3"] += AGREEMENT_TIME_S
        await check_guarantees(rig, served=100)


def replace_s3(rig):
    """Makes the lists of the other nodes report another server at the address of s3."""
    for name in ("n0", "n1"):
        entry_before = rig.discovery_services[name].entry("s3")
        rig.discovery_services[name].update(entry_before._replace(state="terminated"))
        rig.discovery_services[name].update(entry_before._replace(id="s9"))


@pytest.mark.parametrize(
    "store, discovery, change",
    [
        ("directory", "service", lambda rig: rig.faults.drain("s3")),
        ("etcd", "service", lambda rig: rig.faults.drain("s3")),
        ("relay", "service", lambda rig: rig.faults.drain("s3")),
        ("directory", "etcd", lambda rig: rig.faults.drain("s3")),
        ("directory", "service", replace_s3),
    ],
)
def test_a_node_cut_off_from_its_list_stops_using_a_server_within_the_agreement_time(
    store, discovery, change
):
    trio.run(check_node_cut_off_from_its_list, store, discovery, change)
