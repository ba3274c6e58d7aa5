"""Requests that meet a change of configuration, of servers or of clients while they wait in the node."""

import json
from copy import deepcopy

import trio
import trio.testing
from asynchronous import story, until
from edge.harness import CONFIGURATION, ScriptedServer, edge, listening, read_all, request, status
from edge.test_role import running

from wheatroute.cluster.messages import InstanceState

PATIENT = deepcopy(CONFIGURATION)
for one in PATIENT["routes"]:
    one["target_ms"] = 20_000  # so that a request waits for a server for seconds


@story
async def test_a_route_that_goes_while_its_request_waits_was_its_route():
    """It is carried by the version that it came under, and the next one is refused by the new version."""
    server = ScriptedServer("i-1")
    without = deepcopy(PATIENT)
    without["generation"] = 4
    without["routes"] = [route for route in PATIENT["routes"] if route["name"] != "plain"]
    async with edge(server, configuration=PATIENT) as it:
        it.register(number=2)
        waiting = await trio.open_tcp_stream("127.0.0.1", it.port)
        await waiting.send_all(request("/plain/1"))
        await until(lambda: it.clients.busy_count)
        it.configure(without, sequence=2)
        it.register(server, number=3)
        assert status(await read_all(waiting)) == 200
        assert status(await it.ask(request("/plain/1", identity="r2"))) == 404
    assert len(server.requests) == 1


@story
async def test_a_key_that_passes_to_another_tenant_is_that_ones_from_the_next_request_on():
    server = ScriptedServer("i-1")
    moved = deepcopy(CONFIGURATION)
    moved["generation"] = 4
    moved["tenants"] = [
        {"name": "mill", "api_keys": ["k3"], "priority": 2},
        {"name": "dye-works", "api_keys": ["k1"]},
    ]
    async with edge(server) as it:
        assert status(await it.ask(request("/plain/1", identity="r1"))) == 200
        it.configure(moved, sequence=2)
        it.register(server, number=2)
        assert status(await it.ask(request("/plain/1", identity="r2"))) == 200
        assert status(await it.ask(request("/plain/1", identity="r3", key="k3"))) == 200
        assert status(await it.ask(request("/plain/1", identity="r4", key="k2"))) == 401
    assert [headers["tenant"] for _, headers, _ in server.requests] == ["mill", "dye-works", "mill"]


@story
async def test_a_client_that_goes_while_its_request_waits_reaches_no_server():
    server = ScriptedServer("i-1")
    async with edge(server, configuration=PATIENT) as it:
        it.register(number=2)
        gone = await trio.open_tcp_stream("127.0.0.1", it.port)
        await gone.send_all(request("/plain/1"))
        await until(lambda: it.clients.busy_count)
        await gone.aclose()
        await until(lambda: not it.clients.busy_count)
        it.register(server, number=3)
        assert status(await it.ask(request("/plain/1", identity="r2"))) == 200
    assert [headers["request-id"] for _, headers, _ in server.requests] == ["r2"]


@story
async def test_a_request_that_waits_as_the_node_is_told_to_stop_is_answered_before_it_ends():
    server = ScriptedServer("i-1")
    async with edge(server, configuration=PATIENT) as it:
        it.register(number=2)
        waiting = await trio.open_tcp_stream("127.0.0.1", it.port)
        await waiting.send_all(request("/plain/1"))
        await until(lambda: it.clients.busy_count)
        it.node.is_stopping = True
        it.clients.close_listener()
        it.clients.close_idle()
        it.register(server, number=3)
        assert status(await read_all(waiting)) == 200
    assert len(server.requests) == 1


@story
async def test_seeds_that_change_in_the_file_without_a_signal_are_found(tmp_path):
    path = tmp_path / "boot.yaml"
    async with running(ScriptedServer("i-1"), seeds=("127.0.0.9:1",), seeds_file=path) as it:
        # nobody is there: all that the node knows is wrong
        await trio.testing.wait_all_tasks_blocked()
        assert not it.node.is_configured
        settings = {
            "node": "edge-1",
            "ip": "127.0.0.1",
            "zone": "z",
            "listen": {},
            "port_range": [1, 2],
            "seeds": ["127.0.0.1:1"],
        }
        path.write_text(json.dumps(settings))
        await until(lambda: it.node.is_ready)
        assert status(await it.ask(request("/plain/1"))) == 200


@story
async def test_a_server_that_leaves_while_it_takes_no_bytes_holds_no_request():
    """Its socket is never writable again: the request goes to another server all the same."""
    body = b"x" * (24 << 20)  # more than the sockets between take
    large = CONFIGURATION | {"limits": {"max_body_bytes": 32 << 20}}
    begun, other = trio.Event(), ScriptedServer("i-2")

    class Stuck(ScriptedServer):
        async def serve(self, stream):
            await stream.receive_some(1024)
            begun.set()
            await trio.sleep_forever()

    leaving = Stuck("i-1")
    async with edge(leaving, configuration=large) as it:
        client = await trio.open_tcp_stream("127.0.0.1", it.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.send_all, request("/plain/1", body=body))
            await begun.wait()
            other.port = await listening(nursery, other.serve)
            it.register(leaving, other, number=2, states={"i-1": InstanceState.DRAINING})
            got = await read_all(client)
            nursery.cancel_scope.cancel()
    assert status(got) == 200 and len(other.requests) == 1


@story
async def test_a_server_that_leaves_before_the_last_byte_is_written_gets_no_whole_request():
    """Without its rest the request never runs there, so an unsafe one may go to another server."""
    body = b"x" * (24 << 20)  # more than the sockets between take
    large = CONFIGURATION | {"limits": {"max_body_bytes": 32 << 20}}
    begun, drained, other = trio.Event(), trio.Event(), ScriptedServer("i-2")
    halves = []

    class Reluctant(ScriptedServer):
        async def serve(self, stream):
            halves.append(await stream.receive_some(1024))
            begun.set()
            await drained.wait()
            while data := await stream.receive_some(1 << 16):
                halves.append(data)

    leaving = Reluctant("i-1")
    async with edge(leaving, configuration=large) as it:
        client = await trio.open_tcp_stream("127.0.0.1", it.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.send_all, request("/plain/1", body=body))
            await begun.wait()
            other.port = await listening(nursery, other.serve)
            it.register(leaving, other, number=2, states={"i-1": InstanceState.DRAINING})
            drained.set()
            got = await read_all(client)
            nursery.cancel_scope.cancel()
    assert status(got) == 200 and len(other.requests) == 1
    assert sum(map(len, halves)) < len(body)
