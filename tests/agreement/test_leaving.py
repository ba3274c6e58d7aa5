"""What others say of servers: the core, and several nodes, one of which hears nothing of its list."""

import random
import time
from unittest import mock

import orjson
import pytest
import structlog
import trio
import trio.testing
from asynchronous import story
from test_processes import MIX, WITHIN, first_version, kept

from wheatroute.agreement import relay
from wheatroute.agreement.adapter import AdaptedVersion
from wheatroute.agreement.etcd import EtcdPlace
from wheatroute.agreement.following import Following, clock
from wheatroute.agreement.leaving import KEPT, Leaving
from wheatroute.agreement.member import Member
from wheatroute.agreement.places import Directory, PlaceError, taken
from wheatroute.agreement.relay import Through
from wheatroute.etcd import messages as wire
from wheatroute.rig.rig import rig
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
        self.ones = [Leaving(10.0) for _ in range(count)]
        for one in self.ones:
            one.listed(list_of(*servers, full=True))

    def exchange(self, *which, now=0.0):
        """Some ask the store, one after the other; what each hears, by server."""
        told = []
        for number in which:
            one = self.ones[number]
            heard = one.heard(list(self.store.values()), now)
            told.append({server["id"]: server["state"] for server in heard})
            words, old = one.news(now)
            self.store |= {word["id"]: word for word in words}
            for name in old:
                self.store.pop(name, None)
        return told


def test_a_drain_that_one_was_told_is_heard_by_all_and_a_return_too():
    it = Installation(3, entry("s1"), entry("s2"))
    it.ones[0].listed(list_of(entry("s1", "terminating")))
    assert it.exchange(0, 1, 2) == [{}, {"s1": "terminating"}, {"s1": "terminating"}]
    # an own list that lies behind does not undo it, whole or not
    assert it.ones[1].listed(list_of(entry("s1"), full=True))["servers"][0]["state"] == "terminating"
    it.ones[0].listed(list_of(entry("s1")))
    assert it.exchange(0, 1, 2) == [{}, {"s1": "in_service"}, {"s1": "in_service"}]
    # and drained once more
    it.ones[0].listed(list_of(entry("s1", "terminating")))
    assert it.exchange(0, 1) == [{}, {"s1": "terminating"}]


def test_what_some_list_does_not_name_is_not_taken_from_others():
    it = Installation(2, entry("s1"), entry("s2"))
    it.ones[0].listed(list_of(full=True))
    it.ones[0].listed(list_of(entry("s2", "terminated")))
    assert it.exchange(0, 1) == [{}, {}] and not it.store


def test_a_restart_under_the_same_id_and_an_address_that_is_anothers_are_heard():
    it = Installation(2, entry("s1"), entry("s2", place="10.0.0.9:9"))
    it.ones[0].listed(list_of(entry("s1", started=5)))
    it.ones[0].listed(list_of(entry("s2", "terminated")))
    it.ones[0].listed(list_of(entry("s7", place="10.0.0.9:9")))
    assert it.exchange(0, 1) == [{}, {"s1": "terminating", "s2": "terminating"}]
    # the new process under the old id is another one
    assert it.ones[1].listed(list_of(entry("s1", started=5)))["servers"][0]["state"] == "in_service"


def test_one_that_hears_of_a_drain_when_it_is_long_over_is_set_right():
    it = Installation(3, entry("s1"))
    for state in ("terminating", "in_service"):
        it.ones[0].listed(list_of(entry("s1", state)))
        it.exchange(0)
    it.ones[1].listed(list_of(entry("s1", "terminating")))
    it.exchange(1)
    it.ones[1].listed(list_of(entry("s1")))
    it.exchange(1, 0)
    assert it.exchange(2) == [{}] and not it.store["s1"]["leaves"]


def test_a_word_that_was_lost_to_one_written_at_the_same_time_is_said_again():
    it = Installation(2, entry("s1"))
    for one in it.ones:
        one.listed(list_of(entry("s1", "terminating")))
    first = it.ones[1].news(0.0)[0][0]
    it.exchange(0)
    it.ones[0].listed(list_of(entry("s1")))
    it.exchange(0)
    it.store["s1"] = first  # the other's write came late
    it.exchange(0)
    assert not it.store["s1"]["leaves"]


def test_words_go_from_the_store_and_stand_with_who_heard_them():
    it = Installation(2, entry("s1"))
    it.ones[0].listed(list_of(entry("s1", "terminating")))
    it.exchange(0, 1)
    it.exchange(0, 1, now=3601.0)
    assert not it.store
    assert it.ones[1].listed(list_of(entry("s1")))["servers"][0]["state"] == "terminating"


def test_what_is_no_word_and_no_entry_moves_nothing():
    one = Leaving(10.0)
    one.listed(list_of(entry("s1"), 7, {"id": 3}, {"id": "s2", "started_ms": "x"}, full=True))
    assert one.heard([None, {"id": "s1"}, {"id": "s1", "started": 0, "leaves": 1, "turn": 1}], 0.0) == []
    assert one.news(0.0) == ([], [])


def test_a_word_that_came_with_a_question_that_failed_is_not_lost(tmp_path):
    place = Directory(str(tmp_path))
    place.make()
    place.tell_now([{"id": "s1", "started": 0, "leaves": True, "turn": 1}], [])
    with pytest.raises(PlaceError):
        place.ask_now("n0.1", {"name": "n0"}, 4, "another history")
    place.ask_now("n0.1", {"name": "n0"}, 0, "")
    assert [word["id"] for word in taken(place)] == ["s1"] and taken(place) == []


def word(name, turn=1):
    return {"id": name, "started": 0, "leaves": True, "turn": turn}


def test_a_question_given_up_that_ends_late_takes_no_word_with_it(tmp_path):
    """Its thread reads the words, another question comes and goes, then the thread adds its own."""

    class Late(Directory):
        def words_now(self):
            found = super().words_now()
            if found and found[0]["id"] == "s1":
                assert taken(self) == []
                self.tell_now([word("s2")], [])
                self.ask_now("n0.1", {"name": "n0"}, 0, "")
            return found

    place = Late(str(tmp_path))
    place.make()
    place.tell_now([word("s1")], [])
    place.ask_now("n0.1", {"name": "n0"}, 0, "")
    assert {one["id"] for one in taken(place)} == {"s1", "s2"}


def test_a_row_or_word_that_cannot_be_read_fails_no_question(tmp_path):
    """Empty after a loss of power, or somebody else's: skipped and told once, the rest counts."""
    place = Directory(str(tmp_path))
    place.make()
    place.tell_now([word("s1")], [])
    place.say_now("n1.2", {"name": "n1"})
    for folder in ("words", "nodes"):
        for name, text in (("empty", b""), ("half", b'{"id": '), ("list", b"[1]")):
            (tmp_path / folder / name).write_bytes(text)
    place.ask_now("n0.1", {"name": "n0"}, 0, "")
    assert [one["id"] for one in taken(place)] == ["s1"]
    assert {row["name"] for row in place.rows_now()} == {"n0", "n1"}
    assert place.skipped == {"empty", "half", "list"}


@story
async def test_a_word_or_row_in_etcd_that_cannot_be_read_fails_no_question():
    store = Store()
    member = Served(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(member.run)
        while member._server is None:
            await trio.testing.wait_all_tasks_blocked()
        place = EtcdPlace([member.place], "/v", random.Random(1))
        nursery.start_soon(place.run)
        await place.tell([word("s1")], [])
        store.put(wire.PutRequest(key=b"/v/words/bad", value=b"{"))
        store.put(wire.PutRequest(key=b"/v/nodes/bad.1", value=b"[]"))
        assert await place.ask("n0.1", {"name": "n0"}, 0, "") == []
        assert [one["id"] for one in taken(place)] == ["s1"]
        assert [row["name"] for row in await place.rows()] == ["n0"]
        assert place.skipped == {"/v/words/bad", "/v/nodes/bad.1"}
        nursery.cancel_scope.cancel()


@story
async def test_words_go_from_a_store_that_all_machines_ask_through_relays(tmp_path):
    class Told(Directory):
        """What the relay removes."""

        removed: list = []

        async def tell(self, words, old):
            self.removed.extend(old)
            await super().tell(words, old)

    store = Told(str(tmp_path / "store"))
    store.make()
    store.tell_now([word("s1")], [])
    here = Directory(str(tmp_path / "here"))
    here.make()
    through = Through(store, here.path, 3.0, 10.0)
    await through.ask("relay.1", {"name": "relay"}, 0, "")
    fresh = tmp_path / "here" / "fresh"
    assert [one["id"] for one in orjson.loads(fresh.read_bytes())["words"]] == ["s1"] and not store.removed
    later = clock() + KEPT * 10.0 + 1.0
    with mock.patch.object(relay, "clock", lambda: later):
        await through.ask("relay.1", {"name": "relay"}, 0, "")
    assert store.removed == ["s1"] and orjson.loads(fresh.read_bytes())["words"] == []
    assert Directory(store.path).words_now() == []


@story
async def test_a_row_is_not_written_behind_the_removal_of_a_process_that_ends(tmp_path):
    class Slow(Directory):
        """A question that is on its way for long."""

        def __init__(self, path):
            super().__init__(path)
            self.began, self.goes_on, self.ended = trio.Event(), trio.Event(), trio.Event()

        async def ask(self, *told):
            self.began.set()
            await self.goes_on.wait()
            try:
                return await super().ask(*told)
            finally:
                self.ended.set()

    class Adapts:
        def check(self, number, content):
            return ""

        def adapt(self, acts):
            return AdaptedVersion({}, {}, {}, {})

    place = Slow(str(tmp_path))
    place.make()
    following = Following(
        place,
        Member("n0", "1", 1000.0),
        Adapts(),
        lambda adapted, binding: None,
        lambda: None,
        lambda: ("", 0),
        structlog.get_logger(),
    )
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(following.run)
            await place.began.wait()
            async with trio.open_nursery() as leaving:
                leaving.start_soon(following.leave)
                await trio.testing.wait_all_tasks_blocked()
                place.goes_on.set()
            await place.ended.wait()
            nursery.cancel_scope.cancel()
    assert place.rows_now() == []


# several processes


async def cut_off_from_its_list(store, lists, change):
    async with rig(nodes=3, store=store, lists=lists, within=WITHIN) as it:
        it.call(40, MIX)
        await first_version(it)
        await it.until(
            lambda: len({ran.server for ran in it.records.ran if ran.node == "n2"}) == 4, "n2 sends to all"
        )
        it.cut("n2", "list")
        told = time.monotonic()
        change(it)
        # from then on n2 sends nothing there: the stated time to be told in, and the grace
        last = told + WITHIN + 2.0
        await it.until(
            lambda: sum(ran.node == "n2" and ran.at > last + 0.5 for ran in it.records.ran) > 20,
            "n2 goes on with the others",
        )
        late = [ran for ran in it.records.ran if ran.node == "n2" and ran.server == "s3" and ran.at > last]
        assert not late, f"{len(late)} late, the last after {late[-1].at - told:.2f} s"
        assert "s3:terminating" in it.processes["n2"].log
        it.heal("n2", "list")
        if "s3" in it.records.drained:
            it.records.drained["s3"] += WITHIN
        await kept(it, served=100)


def moved(it):
    """The others' lists say that another server is at the address of s3 by now."""
    for name in ("n0", "n1"):
        known = it.lists[name].servers["s3"]
        place = {key: value for key, value in known.items() if key != "_since"}
        it.lists[name].say(place | {"state": "terminated"})
        it.lists[name].say(place | {"id": "s9"})


@pytest.mark.parametrize(
    "store, lists, change",
    [
        ("directory", "service", lambda it: it.drain("s3")),
        ("etcd", "service", lambda it: it.drain("s3")),
        ("relay", "service", lambda it: it.drain("s3")),
        ("directory", "etcd", lambda it: it.drain("s3")),
        ("directory", "service", moved),
    ],
)
def test_a_node_that_hears_nothing_of_its_list_leaves_a_server_within_the_stated_time(store, lists, change):
    trio.run(cut_off_from_its_list, store, lists, change)
