"""Tests that a shutdown of the edge role loses no request on connections that stay open."""

import os
import signal
import socket

import h11
import pytest
import trio
from async_scenarios import scenario, until
from edge.harness import (
    LAST_CHUNK,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    never_respond,
    read_all,
    request,
    respond,
    running_edge,
    status,
)
from edge.role import running

from wheatroute.cluster.memory_budget import MemoryBudget
from wheatroute.early_signals import EarlySignals
from wheatroute.edge import shutdown as shutdown_module
from wheatroute.edge.client_session import ClientSession
from wheatroute.edge.connection import StreamConnection

GRACE_S = 4.0  # `grace_s` in `edge.role`


def stream_until(event):
    """Returns a script that sends one event of a stream, and ends the stream once `event` is set."""

    async def script(stream, fields):
        head = STREAM_HEAD.replace(b"{id}", fields["request-id"].encode())
        await stream.send_all(head + chunk(b"id: 1\ndata: a\n\n"))
        await event.wait()
        await stream.send_all(LAST_CHUNK)
        return True

    return script


async def read_until(stream, end):
    """Returns the bytes of a connection up to and including `end`, or up to the connection's end."""
    received = b""
    while end not in received and (data := await stream.receive_some(65536)):
        received += data
    return received


async def stop_and_drain(edge):
    """Sends SIGTERM, and acts as the platform until the listener is closed."""
    os.kill(os.getpid(), signal.SIGTERM)
    await until(lambda: edge.node.is_stopping)
    assert [await edge.ready(), await edge.ready()] == [503, 503]
    await until(lambda: edge.node.shutdown.is_draining)


# Lost: a request was taken long after SIGTERM, on a connection whose answer had begun before it, and cut.
@scenario
async def test_the_end_of_an_answer_ends_its_connection_while_the_node_drains():
    may_end, never = trio.Event(), trio.Event()
    server = ScriptedServer("i-1", stream_until(may_end), stream_until(never))
    async with running(server) as edge:
        await until(lambda: edge.node.is_ready)
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/stream/1", close=False))
        response = await read_until(client, b"data: a")
        await stop_and_drain(edge)
        may_end.set()
        response += await read_until(client, LAST_CHUNK)
        assert response.endswith(LAST_CHUNK)
        try:
            await client.send_all(request("/stream/2", close=False, identity="r2"))
            assert await client.receive_some(1) == b""
        except trio.BrokenResourceError:
            pass  # the connection was closed before the request arrived
        await edge.ended.wait()
    assert len(server.requests) == 1


# Lost: a request read before SIGTERM and answered after it announced no close.
@scenario
async def test_a_response_that_begins_after_the_stop_announces_the_close():
    may_begin = trio.Event()

    async def answer_late(stream, fields):
        await may_begin.wait()
        return await respond(b"ok")(stream, fields)

    server = ScriptedServer("i-1", answer_late)
    async with running_edge(server) as edge:
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/plain/1", close=False))
        await server.arrived.wait()
        edge.node.shutdown.begin(trio.current_time(), 8.0)
        may_begin.set()
        response = await read_all(client)
    assert status(response) == 200 and b"Connection: close" in response


# Lost: a request that was pipelined behind the answer under way was read and never answered.
@scenario
async def test_a_request_that_was_read_before_the_last_answer_ended_is_answered():
    may_end = trio.Event()
    server = ScriptedServer("i-1", stream_until(may_end))
    async with running(server) as edge:
        await until(lambda: edge.node.is_ready)
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/stream/1", close=False))
        await read_until(client, b"data: a")
        await stop_and_drain(edge)
        await client.send_all(request("/plain/2", close=False, identity="r2"))
        (session,) = edge.role._clients._clients
        await until(lambda: session.connection.has_unparsed_input)
        may_end.set()
        first, second = (await read_all(client)).split(LAST_CHUNK)
        assert not first and status(second) == 200 and b"Connection: close" in second
        await edge.ended.wait()


# Lost: a request that was read behind a stream which the end of the shutdown cut got no answer.
@scenario
async def test_a_request_behind_a_stream_that_the_shutdown_cuts_stays_unread():
    server = ScriptedServer("i-1", stream_until(trio.Event()))
    async with running(server) as edge:
        await until(lambda: edge.node.is_ready)
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/stream/1", close=False))
        await read_until(client, b"data: a")
        await client.send_all(request("/plain/2", close=False, identity="r2"))
        (session,) = edge.role._clients._clients
        await until(lambda: session.connection.has_unparsed_input)
        os.kill(os.getpid(), signal.SIGTERM)
        received = await read_all(client)
        await edge.ended.wait()
    # A reset: what the client had sent was not read, so that it may send it again.
    assert received.endswith(b"<reset>") and len(server.requests) == 1


@scenario
async def test_a_disconnect_behind_a_waiting_request_is_noticed():
    box = []
    server = ScriptedServer("i-1", never_respond(box))
    box.append(server)
    async with running_edge(server) as edge:
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/plain/1", close=False))
        await server.arrived.wait()
        await client.send_all(request("/plain/2", close=False, identity="r2"))
        (session,) = edge.clients._clients
        await until(lambda: session.connection.has_unparsed_input)
        await client.aclose()
        await server.cancelled.wait()
        await until(lambda: edge.clients.busy_count == 0)


@pytest.mark.parametrize(("timeout_ms", "expected"), [(60_000, 503), (500, 200)])
def test_late_in_a_shutdown_a_request_is_admitted_only_if_it_ends_in_time(monkeypatch, timeout_ms, expected):
    monkeypatch.setattr(shutdown_module, "FULL_SERVICE_S", 0.0)
    trio.run(check_late_request, timeout_ms, expected)


async def check_late_request(timeout_ms, expected):
    server = ScriptedServer("i-1")
    async with running_edge(server) as edge:
        edge.node.shutdown.begin(trio.current_time(), 4.0)
        header = f"Timeout-Ms: {timeout_ms}"
        response = await edge.exchange(request("/plain/1", close=False, headers=(header,)))
        assert status(response) == expected and b"Connection: close" in response
        if expected == 503:
            assert b"Retry-After: " in response and response.endswith(b"stopping\n")
            assert not server.requests


# Lost: the end of a shutdown closed the connections of requests that had got no answer.
@scenario
async def test_a_request_that_may_have_run_gets_its_answer_before_the_process_ends():
    async def never_answer(stream, fields):
        await trio.sleep_forever()

    server = ScriptedServer("i-1", never_answer)
    async with running(server) as edge:
        await until(lambda: edge.node.is_ready)
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/plain/1", close=False))
        await server.arrived.wait()
        begun = trio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        response = await read_all(client)
        await edge.ended.wait()
    assert trio.current_time() - begun < GRACE_S
    assert status(response) == 502 and response.endswith(b"stopped\n")


@scenario
async def test_a_request_that_was_not_sent_is_refused_before_the_process_ends():
    server = ScriptedServer("i-1")
    async with running(server) as edge:
        await until(lambda: edge.node.is_ready)
        lease_requested = trio.Event()

        async def never_grant(tenant, tokens):
            lease_requested.set()
            await trio.sleep_forever()

        edge.role._clients._forwarder._admission._request_lease = never_grant
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/plain/1", key="k2", close=False))
        await lease_requested.wait()
        os.kill(os.getpid(), signal.SIGTERM)
        response = await read_all(client)
        await edge.ended.wait()
    assert status(response) == 503 and response.endswith(b"stopping\n") and not server.requests


@scenario
async def test_a_half_read_request_is_refused_before_the_process_ends():
    server = ScriptedServer("i-1")
    async with running(server) as edge:
        await until(lambda: edge.node.is_ready)
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await client.send_all(request("/plain/1", close=False, body=b"x" * 100)[:-1])
        await until(lambda: edge.role._clients.busy_count)
        os.kill(os.getpid(), signal.SIGTERM)
        response = await read_all(client)
        await edge.ended.wait()
    assert status(response) == 503 and b"Connection: close" in response and not server.requests


# Lost by the node's own close: it reset a connection on which a request had arrived unread.
@scenario
async def test_a_request_that_arrived_before_its_idle_connection_was_closed_is_read():
    node_end, client_end = socket.socketpair()
    node_end.setblocking(False)
    session = ClientSession(
        StreamConnection(node_end, h11.SERVER, "client"), MemoryBudget(1 << 20, lambda: None)
    )
    with client_end:
        client_end.sendall(request("/plain/1", close=False))
        session.stop_waiting()
        arrived = await session.read_request(idle_timeout_s=1.0, head_timeout_s=1.0)
    session.connection.close()
    assert arrived is not None and arrived.target == b"/plain/1"


@scenario
async def test_later_signals_neither_end_nor_cut_a_shutdown_short():
    may_end = trio.Event()
    server = ScriptedServer("i-1", stream_until(may_end))
    previous = signal.signal(signal.SIGTERM, lambda number, frame: pytest.fail("SIGTERM was left over"))
    try:
        async with running(server) as edge:
            await until(lambda: edge.node.is_ready)
            client = await trio.open_tcp_stream("127.0.0.1", edge.port)
            await client.send_all(request("/stream/1", close=False))
            await read_until(client, b"data: a")
            await stop_and_drain(edge)
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                os.kill(os.getpid(), number)
            may_end.set()
            assert (await read_all(client)).endswith(LAST_CHUNK)
            await edge.ended.wait()
    finally:
        signal.signal(signal.SIGTERM, previous)


# Lost: a node that was stopped before it had begun to serve left its waiting clients without an answer.
@scenario
async def test_a_node_that_is_stopped_while_it_starts_answers_the_clients_that_wait():
    early = EarlySignals()
    early.record(signal.SIGTERM)
    async with running(ScriptedServer("i-1"), early_signals=early) as edge:
        response = await edge.exchange(request("/plain/1", close=False))
        await edge.ended.wait()
    assert status(response) == 200 and b"Connection: close" in response


# Lost: the shutdown of a node that was stopped while it started was timed from the end of its start.
@scenario
async def test_a_shutdown_is_timed_from_the_signal_and_not_from_the_end_of_the_start():
    early = EarlySignals()
    early.record(signal.SIGTERM)
    early._first_at -= 1.5
    begun = trio.current_time()
    async with running(ScriptedServer("i-1"), early_signals=early) as edge:
        await until(lambda: edge.node.is_stopping)
        assert edge.node.shutdown.began_at <= begun - 1.5 + (trio.current_time() - begun)
        await edge.ended.wait()
