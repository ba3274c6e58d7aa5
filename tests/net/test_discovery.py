"""What may cross on the way from the list service, which acts at a named step to force it."""

import socket
import time
from unittest import mock

import structlog
import trio
from fakehost import OK, entry, story
from race_harness import RST, Client, ListService, Server, at, at_once, come, message, told

from wheatroute.balancing.interface import Event, ServerState
from wheatroute.net.discovery import WATCH_WAIT_S, Discovery
from wheatroute.net.node_settings import DiscoverySettings


class Told:
    """What the module hears of the list."""

    def __init__(self):
        self.states, self.whole, self.failed = {}, 0, 0

    def add_event(self, event, entries=(), whole=False):
        self.failed += event == Event.LIST_FAILED
        self.whole += whole
        if whole:
            self.states = {}
        for server, *_, state, _, _ in entries:
            self.states[server] = state


def one(state, version=0):
    return {"id": "s", "addr": "127.0.0.1:9", "state": state, "started_ms": version}


def crossing(tell):
    """Runs an async test of a list's side alone: `start(service, **terms)` gives it with what it told."""

    def run():
        async def within():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:

                    async def start(service, *others, on_request=False):
                        heard = Told()
                        host, port = service.place.split(":")
                        settings = DiscoverySettings((host, int(port)), {"": 0}, {"": 0}, on_request, {})
                        side = Discovery(settings, heard, mock.Mock(), structlog.get_logger())
                        for each in (service, *others):
                            nursery.start_soon(each.run)
                        nursery.start_soon(side.run)
                        return side, heard

                    await tell(start)
                    nursery.cancel_scope.cancel()

        trio.run(within)

    run.__name__ = tell.__name__
    return run


@crossing
async def test_a_whole_list_that_lands_behind_a_newer_change_undoes_nothing(start):
    asked, answered = trio.Event(), trio.Event()

    async def answer(request):
        if b"after=1&wait_ms=1 " in request:
            return told(1)
        if b"after=1&" in request:
            await asked.wait()
            return told(2, one("terminating"))  # while the whole list, made before, is on its way
        if b"after" in request:
            await trio.sleep_forever()
        if not asked.is_set() and side._version >= 1:
            asked.set()
            await answered.wait()
        return told(1, one("in_service"), full=True)

    service = ListService(answer)
    side, heard = await start(service)
    await come(lambda: side._version == 1 and len(service.got) >= 2)
    side.fetch()
    await come(lambda: side._version == 2)
    answered.set()
    await come(lambda: not side._fetches)
    assert heard.states == {0: ServerState.DRAINING} and side._version == 2


@crossing
async def test_a_change_that_lands_behind_a_newer_whole_list_undoes_nothing(start):
    late = trio.Event()

    async def answer(request):
        if b"after=1&wait_ms=1 " in request:
            return told(1)
        if b"after=1&" in request:
            await late.wait()
            return told(2, one("in_service", 5))
        if b"after" in request:
            await trio.sleep_forever()
        return told(1 if side._version < 1 else 3, one("terminating", 5), full=True)

    service = ListService(answer)
    side, heard = await start(service)
    await come(lambda: side._version == 1 and len(service.got) >= 2)
    side.fetch()
    await come(lambda: side._version == 3)
    late.set()
    await come(lambda: any(b"after=3&" in request for request in service.got))
    assert heard.states == {0: ServerState.DRAINING}


@crossing
async def test_a_service_that_starts_anew_with_lower_versions_is_followed(start):
    for full in (True, False):
        new = [False]

        async def answer(request, new=new, full=full):
            if new[0]:
                if b"after=3&" in request:
                    return told(4, one("terminating"))
                if b"after=4&" in request:
                    await trio.sleep_forever()
                if b"after" in request:
                    return told(3, one("in_service"), full=full)
                return told(3, one("in_service"), full=True)
            if b"after" not in request:
                return told(50, one("in_service"), full=True)
            new[0] = True
            return RST

        side, heard = await start(ListService(answer))
        await come(lambda side=side: side._version == 4)
        assert heard.states == {0: ServerState.DRAINING}


@crossing
async def test_the_old_services_last_answer_behind_a_move_is_not_taken(start):
    streams = []

    async def answer(request):
        if b"after" not in request:
            return told(40, one("terminating"), full=True)
        await trio.sleep_forever()

    old = ListService(answer)
    talk = old._talk

    async def noting(stream):
        streams.append(stream)
        await talk(stream)

    old._talk = noting
    first = told(3, one("in_service", 7), full=True)
    new = ListService(lambda request: None if b"after" in request else first)
    side, heard = await start(old, new)
    await come(lambda: side._version == 40 and any(b"after=40" in request for request in old.got))
    at_once(streams[-1], told(41, one("terminated")))  # it lies in the node's socket as the node moves
    host, port = new.place.split(":")
    side.switch_service((host, int(port)))
    await come(lambda: side._version == 3)
    await come(lambda: any(b"after=3&" in request for request in new.got))
    assert heard.states == {0: ServerState.LIVE}


@crossing
async def test_a_watch_that_is_reset_just_before_a_drain_hears_of_it_at_once(start):
    reset_at = []

    async def answer(request):
        if b"after" not in request:
            return told(1, one("in_service"), full=True)
        if b"after=2&" in request:
            await trio.sleep_forever()
        if reset_at:
            return told(2, one("terminating"))
        if b"wait_ms=1 " in request:
            return told(1)
        reset_at.append(time.monotonic())
        return RST

    side, heard = await start(ListService(answer))
    await come(lambda: side._version == 2)
    assert heard.states == {0: ServerState.DRAINING} and time.monotonic() - reset_at[0] < 1.0


@crossing
async def test_what_a_silent_watch_misses_is_told_anew_before_it_counts_as_told(start):
    """Silent from its longest wait's first byte; the first new connection is silent as well, and another."""
    silent_since, calls = [], []

    async def answer(request):
        if b"after" not in request:
            return told(1, one("in_service"), full=True)
        if not silent_since:
            if b"wait_ms=1 " in request:
                return told(1)
            silent_since.append(time.monotonic())
            return None
        calls.append(time.monotonic())
        if len(calls) <= 2:
            return None
        if b"after=2&" in request:
            await trio.sleep_forever()
        return told(2, one("terminating"))

    side, heard = await start(ListService(answer))
    await come(lambda: side._version == 2)
    took = time.monotonic() - silent_since[0]
    assert heard.states == {0: ServerState.DRAINING} and len(calls) >= 3
    # 6 s after it fell silent, and 2 s after the wait it asked for is over, what it misses counts as told
    assert took < min(6.0, WATCH_WAIT_S + 2.0), took


@crossing
async def test_a_list_service_that_takes_no_connection_at_first_is_found_again_in_time(start):
    """Its queue is full, so that the first new connection never comes up; then it is there again."""
    state = {"silent": None}

    async def answer(request):
        if b"after" not in request:
            return told(1, one("in_service"), full=True)
        if state["silent"] is None:
            if b"wait_ms=1 " in request:
                return told(1)
            state["silent"] = time.monotonic()
            return None
        if b"after=2&" in request:
            await trio.sleep_forever()
        return told(2, one("terminating"))

    service = ListService(answer)
    side, heard = await start(service)
    await come(lambda: state["silent"] is not None)
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    fill = [socket.create_connection(full.getsockname())]
    place, tries = side._address, []
    connect = side._connect

    async def dropped():
        tries.append(time.monotonic())
        side._address = full.getsockname() if len(tries) == 1 else place
        try:
            return await connect()
        finally:
            side._address = place

    side._connect = dropped
    await come(lambda: side._version == 2)
    assert len(tries) == 2 and time.monotonic() - state["silent"] < min(6.0, WATCH_WAIT_S + 2.0)
    assert heard.states == {0: ServerState.DRAINING}
    for sock in (*fill, full):
        sock.close()


@crossing
async def test_a_list_asked_for_that_is_never_answered_is_asked_for_again_in_time(start):
    side, heard = await start(ListService(lambda request: None), on_request=True)
    await come(lambda: hasattr(side, "_nursery"))
    began = time.monotonic()
    side.watch(True)
    await come(lambda: heard.failed)
    assert time.monotonic() - began < 1.5


@crossing
async def test_a_list_that_comes_indented_is_read(start):
    import json

    body = json.dumps({"version": 5, "full": True, "servers": [one("terminating")]}, indent=2).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    side, heard = await start(ListService(lambda request: None if b"after" in request else answer))
    await come(lambda: side._version == 5)
    assert heard.states == {0: ServerState.DRAINING}


@crossing
async def test_bad_lists_end_in_a_line_each_and_lose_no_good_entry(start):
    bad = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]x",
        b"\x00\xff" * 40,
        RST,
        told(7, {"id": 5}, {"id": "t", "addr": "nowhere"}, "s", one("terminating"), full=True),
    ]
    side, heard = await start(ListService(lambda request: bad.pop(0) if bad else None))
    await come(lambda: side._version == 7)
    assert heard.states == {0: ServerState.DRAINING}


@story
async def test_a_drain_heard_by_the_watch_stands_though_an_older_list_comes_after(start):
    """The same through a whole node: nothing new goes to the server that drains."""
    older = trio.Event()
    servers = [Server(OK), Server(OK, name="t")]
    draining = entry(servers[0], state="terminating")

    async def answer(request):
        if b"after=1&wait_ms=1 " in request:
            return told(1)
        if b"after=1&" in request:
            return told(2, draining)
        if b"after" in request:
            await trio.sleep_forever()
        await older.wait()
        return told(1, *map(entry, servers), full=True)

    found = []
    with at(Discovery, "watch", before=lambda side, enable: found.append(side)):
        node = await start(*servers, discovery=ListService(answer))
        side = found[0]
        side.fetch()
        await come(lambda: side._version == 2)
        older.set()
        await come(lambda: not side._fetches)
    for _ in range(12):
        assert (await Client(node.port).send(message(node, "place", body="b")[0]).answer())[0] == 200
    assert not servers[0].heads and len(servers[1].got) == 12
