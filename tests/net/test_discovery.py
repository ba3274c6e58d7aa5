"""Races between responses of the list service, which acts at named steps to force each of them."""

import socket
import time
from unittest import mock

import structlog
import trio
from node_harness import OK, list_response, scenario, server_entry
from race_harness import RST, Client, ListService, Server, hook, new_request, send_now, wait_until

from wheatroute.balancing.interface import Event, ServerState
from wheatroute.net.discovery import WATCH_WAIT_S, Discovery
from wheatroute.net.node_settings import DiscoverySettings


class EventRecorder:
    """Records the events of a `Discovery`: the latest state of each server and the number of failures."""

    def __init__(self):
        self.states, self.failures = {}, 0

    def add_event(self, event, entries=(), is_full=False):
        self.failures += event == Event.LIST_FAILED
        if is_full:
            self.states = {}
        for server, *_, state, _, _ in entries:
            self.states[server] = state


def entry_in_state(state, version=0):
    return {"id": "s", "addr": "127.0.0.1:9", "state": state, "started_ms": version}


def discovery_test(test):
    """Runs an async test of a `Discovery` alone: `start(service)` returns it and its `EventRecorder`."""

    def run():
        async def within():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:

                    async def start(service, *others, on_request=False):
                        recorder = EventRecorder()
                        host, port = service.address.split(":")
                        settings = DiscoverySettings((host, int(port)), {"": 0}, {"": 0}, on_request, {})
                        discovery = Discovery(settings, recorder, mock.Mock(), structlog.get_logger())
                        for each in (service, *others):
                            nursery.start_soon(each.run)
                        nursery.start_soon(discovery.run)
                        return discovery, recorder

                    await test(start)
                    nursery.cancel_scope.cancel()

        trio.run(within)

    run.__name__ = test.__name__
    return run


@discovery_test
async def test_a_full_list_that_arrives_after_a_newer_change_does_not_revert_it(start):
    list_requested, answered = trio.Event(), trio.Event()

    async def answer(request):
        if b"after=1&wait_ms=1 " in request:
            return list_response(1)
        if b"after=1&" in request:
            await list_requested.wait()
            # Sent while the full list, created earlier, is in transit.
            return list_response(2, entry_in_state("terminating"))
        if b"after" in request:
            await trio.sleep_forever()
        if not list_requested.is_set() and discovery._version >= 1:
            list_requested.set()
            await answered.wait()
        return list_response(1, entry_in_state("in_service"), is_full=True)

    service = ListService(answer)
    discovery, recorder = await start(service)
    await wait_until(lambda: discovery._version == 1 and len(service.requests) >= 2)
    discovery.fetch()
    await wait_until(lambda: discovery._version == 2)
    answered.set()
    await wait_until(lambda: not discovery._fetches)
    assert recorder.states == {0: ServerState.DRAINING} and discovery._version == 2


@discovery_test
async def test_a_change_that_arrives_after_a_newer_full_list_does_not_revert_it(start):
    release_change = trio.Event()

    async def answer(request):
        if b"after=1&wait_ms=1 " in request:
            return list_response(1)
        if b"after=1&" in request:
            await release_change.wait()
            return list_response(2, entry_in_state("in_service", 5))
        if b"after" in request:
            await trio.sleep_forever()
        return list_response(
            1 if discovery._version < 1 else 3, entry_in_state("terminating", 5), is_full=True
        )

    service = ListService(answer)
    discovery, recorder = await start(service)
    await wait_until(lambda: discovery._version == 1 and len(service.requests) >= 2)
    discovery.fetch()
    await wait_until(lambda: discovery._version == 3)
    release_change.set()
    await wait_until(lambda: any(b"after=3&" in request for request in service.requests))
    assert recorder.states == {0: ServerState.DRAINING}


@discovery_test
async def test_a_restarted_service_with_lower_versions_is_followed(start):
    for is_full in (True, False):
        has_restarted = [False]

        async def answer(request, has_restarted=has_restarted, is_full=is_full):
            if has_restarted[0]:
                if b"after=3&" in request:
                    return list_response(4, entry_in_state("terminating"))
                if b"after=4&" in request:
                    await trio.sleep_forever()
                if b"after" in request:
                    return list_response(3, entry_in_state("in_service"), is_full=is_full)
                return list_response(3, entry_in_state("in_service"), is_full=True)
            if b"after" not in request:
                return list_response(50, entry_in_state("in_service"), is_full=True)
            has_restarted[0] = True
            return RST

        discovery, recorder = await start(ListService(answer))
        await wait_until(lambda discovery=discovery: discovery._version == 4)
        assert recorder.states == {0: ServerState.DRAINING}


@discovery_test
async def test_the_last_response_of_the_previous_list_service_is_ignored_after_a_switch(start):
    streams = []

    async def answer(request):
        if b"after" not in request:
            return list_response(40, entry_in_state("terminating"), is_full=True)
        await trio.sleep_forever()

    old = ListService(answer)
    serve_connection = old._serve_connection

    async def record_stream(stream):
        streams.append(stream)
        await serve_connection(stream)

    old._serve_connection = record_stream
    first = list_response(3, entry_in_state("in_service", 7), is_full=True)
    new = ListService(lambda request: None if b"after" in request else first)
    discovery, recorder = await start(old, new)
    await wait_until(
        lambda: discovery._version == 40 and any(b"after=40" in request for request in old.requests)
    )
    # It is in the node's socket when the node switches to the new service.
    send_now(streams[-1], list_response(41, entry_in_state("terminated")))
    host, port = new.address.split(":")
    discovery.switch_service((host, int(port)))
    await wait_until(lambda: discovery._version == 3)
    await wait_until(lambda: any(b"after=3&" in request for request in new.requests))
    assert recorder.states == {0: ServerState.LIVE}


@discovery_test
async def test_a_watch_that_is_reset_just_before_a_drain_receives_it_at_once(start):
    reset_at = []

    async def answer(request):
        if b"after" not in request:
            return list_response(1, entry_in_state("in_service"), is_full=True)
        if b"after=2&" in request:
            await trio.sleep_forever()
        if reset_at:
            return list_response(2, entry_in_state("terminating"))
        if b"wait_ms=1 " in request:
            return list_response(1)
        reset_at.append(time.monotonic())
        return RST

    discovery, recorder = await start(ListService(answer))
    await wait_until(lambda: discovery._version == 2)
    assert recorder.states == {0: ServerState.DRAINING} and time.monotonic() - reset_at[0] < 1.0


@discovery_test
async def test_a_change_that_an_unresponsive_watch_misses_is_received_within_the_maximum_age(start):
    """The service stops responding during a watch with the longest wait, and on the next two connections."""
    silent_since, calls = [], []

    async def answer(request):
        if b"after" not in request:
            return list_response(1, entry_in_state("in_service"), is_full=True)
        if not silent_since:
            if b"wait_ms=1 " in request:
                return list_response(1)
            silent_since.append(time.monotonic())
            return None
        calls.append(time.monotonic())
        if len(calls) <= 2:
            return None
        if b"after=2&" in request:
            await trio.sleep_forever()
        return list_response(2, entry_in_state("terminating"))

    discovery, recorder = await start(ListService(answer))
    await wait_until(lambda: discovery._version == 2)
    elapsed_s = time.monotonic() - silent_since[0]
    assert recorder.states == {0: ServerState.DRAINING} and len(calls) >= 3
    # The protocol considers missed changes as known 6 s after the watch became unresponsive, and 2 s after
    # the requested wait.
    assert elapsed_s < min(6.0, WATCH_WAIT_S + 2.0), elapsed_s


@discovery_test
async def test_a_list_service_that_accepts_no_connection_at_first_is_reached_in_time(start):
    """Its queue is full, so that the first new connection is never established; the second one is."""
    state = {"silent": None}

    async def answer(request):
        if b"after" not in request:
            return list_response(1, entry_in_state("in_service"), is_full=True)
        if state["silent"] is None:
            if b"wait_ms=1 " in request:
                return list_response(1)
            state["silent"] = time.monotonic()
            return None
        if b"after=2&" in request:
            await trio.sleep_forever()
        return list_response(2, entry_in_state("terminating"))

    service = ListService(answer)
    discovery, recorder = await start(service)
    await wait_until(lambda: state["silent"] is not None)
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    fill = [socket.create_connection(full.getsockname())]
    address, attempt_times = discovery._address, []
    connect = discovery._connect

    async def connect_to_full_queue_first():
        attempt_times.append(time.monotonic())
        discovery._address = full.getsockname() if len(attempt_times) == 1 else address
        try:
            return await connect()
        finally:
            discovery._address = address

    discovery._connect = connect_to_full_queue_first
    await wait_until(lambda: discovery._version == 2)
    assert len(attempt_times) == 2 and time.monotonic() - state["silent"] < min(6.0, WATCH_WAIT_S + 2.0)
    assert recorder.states == {0: ServerState.DRAINING}
    for sock in (*fill, full):
        sock.close()


@discovery_test
async def test_a_list_request_without_a_response_is_repeated_in_time(start):
    discovery, recorder = await start(ListService(lambda request: None), on_request=True)
    await wait_until(lambda: hasattr(discovery, "_nursery"))
    began = time.monotonic()
    discovery.watch(True)
    await wait_until(lambda: recorder.failures)
    assert time.monotonic() - began < 1.5


@discovery_test
async def test_an_indented_list_is_parsed(start):
    import json

    body = json.dumps(
        {"version": 5, "full": True, "servers": [entry_in_state("terminating")]}, indent=2
    ).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    discovery, recorder = await start(ListService(lambda request: None if b"after" in request else answer))
    await wait_until(lambda: discovery._version == 5)
    assert recorder.states == {0: ServerState.DRAINING}


@discovery_test
async def test_malformed_lists_are_logged_in_a_line_each_and_lose_no_valid_entry(start):
    bad = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]x",
        b"\x00\xff" * 40,
        RST,
        list_response(
            7, {"id": 5}, {"id": "t", "addr": "nowhere"}, "s", entry_in_state("terminating"), is_full=True
        ),
    ]
    discovery, recorder = await start(ListService(lambda request: bad.pop(0) if bad else None))
    await wait_until(lambda: discovery._version == 7)
    assert recorder.states == {0: ServerState.DRAINING}


@scenario
async def test_a_drain_received_by_the_watch_stays_in_effect_though_an_older_list_arrives_later(start):
    """Runs a complete node: an older full list must not make it send requests to a draining server again."""
    release_full_list = trio.Event()
    servers = [Server(OK), Server(OK, name="t")]
    draining = server_entry(servers[0], state="terminating")

    async def answer(request):
        if b"after=1&wait_ms=1 " in request:
            return list_response(1)
        if b"after=1&" in request:
            return list_response(2, draining)
        if b"after" in request:
            await trio.sleep_forever()
        await release_full_list.wait()
        return list_response(1, *map(server_entry, servers), is_full=True)

    found = []
    with hook(Discovery, "watch", before=lambda discovery, enable: found.append(discovery)):
        node = await start(*servers, discovery=ListService(answer))
        discovery = found[0]
        discovery.fetch()
        await wait_until(lambda: discovery._version == 2)
        release_full_list.set()
        await wait_until(lambda: not discovery._fetches)
    for _ in range(12):
        assert (await Client(node.port).send(new_request(node, "place", body="b")[0]).response())[0] == 200
    assert not servers[0].heads and len(servers[1].requests) == 12
