"""Tests requests that wait in the node while the configuration, the servers or their client change."""

from copy import deepcopy

import trio
import trio.testing
from async_scenarios import scenario, until
from edge.harness import (
    CONFIGURATION,
    ScriptedServer,
    read_all,
    request,
    running_edge,
    serve_on_free_port,
    status,
)

from wheatroute.cluster.messages import InstanceState

LONG_TARGETS = deepcopy(CONFIGURATION)
for route_fields in LONG_TARGETS["routes"]:
    route_fields["target_ms"] = 20_000  # so that a request may wait for a server for seconds


@scenario
async def test_a_waiting_request_keeps_a_route_that_is_removed():
    """A request keeps the configuration version that admitted it; the next request gets the new one."""
    server = ScriptedServer("i-1")
    without = deepcopy(LONG_TARGETS)
    without["generation"] = 4
    without["routes"] = [route for route in LONG_TARGETS["routes"] if route["name"] != "plain"]
    async with running_edge(server, configuration=LONG_TARGETS) as edge:
        edge.register(number=2)
        waiting = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await waiting.send_all(request("/plain/1"))
        await until(lambda: edge.clients.busy_count)
        edge.configure(without, sequence=2)
        edge.register(server, number=3)
        assert status(await read_all(waiting)) == 200
        assert status(await edge.exchange(request("/plain/1", identity="r2"))) == 404
    assert len(server.requests) == 1


@scenario
async def test_an_api_key_moved_to_another_tenant_counts_from_the_next_request_on():
    server = ScriptedServer("i-1")
    moved = deepcopy(CONFIGURATION)
    moved["generation"] = 4
    moved["tenants"] = [
        {"name": "mill", "api_keys": ["k3"], "priority": 2},
        {"name": "dye-works", "api_keys": ["k1"]},
    ]
    async with running_edge(server) as edge:
        assert status(await edge.exchange(request("/plain/1", identity="r1"))) == 200
        edge.configure(moved, sequence=2)
        edge.register(server, number=2)
        assert status(await edge.exchange(request("/plain/1", identity="r2"))) == 200
        assert status(await edge.exchange(request("/plain/1", identity="r3", key="k3"))) == 200
        assert status(await edge.exchange(request("/plain/1", identity="r4", key="k2"))) == 401
    assert [headers["tenant"] for _, headers, _ in server.requests] == ["mill", "dye-works", "mill"]


@scenario
async def test_a_waiting_request_whose_client_disconnects_reaches_no_server():
    server = ScriptedServer("i-1")
    async with running_edge(server, configuration=LONG_TARGETS) as edge:
        edge.register(number=2)
        disconnecting = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await disconnecting.send_all(request("/plain/1"))
        await until(lambda: edge.clients.busy_count)
        await disconnecting.aclose()
        await until(lambda: not edge.clients.busy_count)
        edge.register(server, number=3)
        assert status(await edge.exchange(request("/plain/1", identity="r2"))) == 200
    assert [headers["request-id"] for _, headers, _ in server.requests] == ["r2"]


@scenario
async def test_a_waiting_request_is_answered_before_a_stopping_node_ends():
    server = ScriptedServer("i-1")
    async with running_edge(server, configuration=LONG_TARGETS) as edge:
        edge.register(number=2)
        waiting = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await waiting.send_all(request("/plain/1"))
        await until(lambda: edge.clients.busy_count)
        edge.node.shutdown.begin(trio.current_time(), 8.0)
        edge.clients.close_listener()
        edge.clients.close_idle()
        edge.register(server, number=3)
        assert status(await read_all(waiting)) == 200
    assert len(server.requests) == 1


@scenario
async def test_a_server_that_leaves_while_it_accepts_no_bytes_delays_no_request():
    """The socket never becomes writable again, but the request is still sent to another server."""
    body = b"x" * (24 << 20)  # more than the socket buffers hold
    large = CONFIGURATION | {"limits": {"max_body_bytes": 32 << 20}}
    begun, other = trio.Event(), ScriptedServer("i-2")

    class NeverReadingServer(ScriptedServer):
        async def serve(self, stream):
            await stream.receive_some(1024)
            begun.set()
            await trio.sleep_forever()

    leaving = NeverReadingServer("i-1")
    async with running_edge(leaving, configuration=large) as edge:
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.send_all, request("/plain/1", body=body))
            await begun.wait()
            other.port = await serve_on_free_port(nursery, other.serve)
            edge.register(leaving, other, number=2, states={"i-1": InstanceState.DRAINING})
            response = await read_all(client)
            nursery.cancel_scope.cancel()
    assert status(response) == 200 and len(other.requests) == 1


@scenario
async def test_a_server_that_leaves_before_the_last_byte_never_gets_a_complete_request():
    """An incomplete request never runs, so a non-idempotent one may be sent to another server."""
    body = b"x" * (24 << 20)  # more than the socket buffers hold
    large = CONFIGURATION | {"limits": {"max_body_bytes": 32 << 20}}
    begun, drained, other = trio.Event(), trio.Event(), ScriptedServer("i-2")
    received_parts = []

    class LateReadingServer(ScriptedServer):
        async def serve(self, stream):
            received_parts.append(await stream.receive_some(1024))
            begun.set()
            await drained.wait()
            while data := await stream.receive_some(1 << 16):
                received_parts.append(data)

    leaving = LateReadingServer("i-1")
    async with running_edge(leaving, configuration=large) as edge:
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.send_all, request("/plain/1", body=body))
            await begun.wait()
            other.port = await serve_on_free_port(nursery, other.serve)
            edge.register(leaving, other, number=2, states={"i-1": InstanceState.DRAINING})
            drained.set()
            response = await read_all(client)
            nursery.cancel_scope.cancel()
    assert status(response) == 200 and len(other.requests) == 1
    assert sum(map(len, received_parts)) < len(body)
