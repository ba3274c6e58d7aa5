"""Tests that servers which fail, are unresponsive or have been replaced are avoided."""

import socket

import trio
from async_scenarios import scenario, until
from edge.harness import (
    TIME_LIMIT_S,
    ScriptedServer,
    never_respond,
    request,
    respond,
    running_edge,
    status,
)

from wheatroute.edge import instances
from wheatroute.edge.instances import PendingAttempt


@scenario
async def test_a_server_whose_address_was_taken_over_is_excluded():
    misdirected = respond(b"", status="421 Misdirected Request", headers=("Instance-Id: i-9",))
    server = ScriptedServer("i-1", misdirected)
    async with running_edge(server) as edge:
        assert status(await edge.exchange(request("/plain/1"))) == 503
        assert not edge.node.instances.available("llm")


@scenario
async def test_a_server_that_fails_fast_is_ejected():
    failed = respond(b"broken", status="500 Internal Server Error")
    bad, good = ScriptedServer("i-1", *[failed] * 50), ScriptedServer("i-2")
    async with running_edge(bad, good) as edge:
        for n in range(40):
            await edge.exchange(request("/plain/1", identity=f"r{n}"))
    assert len(bad.requests) < 10


@scenario
async def test_a_server_whose_host_acknowledges_nothing_is_avoided_at_once():
    previous = instances.ACKNOWLEDGE_TIMEOUT_S, instances.ACKNOWLEDGE_CHECK_INTERVAL_S
    instances.ACKNOWLEDGE_TIMEOUT_S = instances.ACKNOWLEDGE_CHECK_INTERVAL_S = 0.0
    good, unreachable = ScriptedServer("i-2"), ScriptedServer("i-1")
    try:
        # Nothing reads from this socket, so bytes beyond its receive buffer are never acknowledged.
        with socket.socket() as unread_socket:
            unread_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            unread_socket.bind(("127.0.0.1", 0))
            unread_socket.listen()
            unreachable.port = unread_socket.getsockname()[1]
            async with running_edge(good) as edge:
                edge.register(unreachable, number=2)
                server = edge.node.instances.get("i-1")
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(edge.exchange, request("/plain/1", body=b"x" * 65536))
                    await until(lambda: server.has_unacknowledged_bytes(trio.current_time()))
                    now = trio.current_time()
                    assert server.unresponsive_for(now) < edge.node.selector.response_timeout_s
                    assert list(edge.node.instances.unresponsive_for(now, TIME_LIMIT_S)) == ["i-1"]
                    edge.register(good, unreachable, number=3)
                    for n in range(20):
                        assert status(await edge.exchange(request("/plain/1", identity=f"s{n}"))) == 200
                    nursery.cancel_scope.cancel()
        assert len(good.requests) == 20
    finally:
        instances.ACKNOWLEDGE_TIMEOUT_S, instances.ACKNOWLEDGE_CHECK_INTERVAL_S = previous


@scenario
async def test_an_unresponsive_server_is_avoided():
    box = []
    unresponsive, good = ScriptedServer("i-1", never_respond(box)), ScriptedServer("i-2")
    box.append(unresponsive)
    async with running_edge(unresponsive, good) as edge:
        server = edge.node.instances.get("i-1")
        # A request has been pending for longer than the response timeout.
        server.last_response_at = trio.current_time() - 1.0
        server.pending[0] = PendingAttempt(server.last_response_at, lambda: False)
        for n in range(20):
            assert status(await edge.exchange(request("/plain/1", identity=f"r{n}"))) == 200
    assert not unresponsive.requests
