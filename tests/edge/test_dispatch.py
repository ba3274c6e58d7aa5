"""Tests dispatch: retries, rejections and hedges."""

from contextlib import asynccontextmanager

import trio
from async_scenarios import scenario, until
from edge.harness import (
    LAST_CHUNK,
    STREAM_HEAD,
    TIME_LIMIT_S,
    ScriptedServer,
    chunk,
    never_respond,
    request,
    respond,
    respond_raw,
    running_edge,
    status,
)

from wheatroute.cluster.messages import InstanceState
from wheatroute.edge.attempt import EdgeAttempt

RUN_ATTEMPT = EdgeAttempt.run


@scenario
async def test_a_non_idempotent_request_that_may_have_run_is_never_retried():
    first, second = ScriptedServer("i-1", respond_raw(b"")), ScriptedServer("i-2", respond_raw(b""))
    async with running_edge(first, second) as edge:
        assert status(await edge.exchange(request("/plain/1"))) == 502
    assert len(first.requests) + len(second.requests) == 1


@scenario
async def test_an_idempotent_request_is_retried_once():
    servers = [ScriptedServer(f"i-{n}", respond_raw(b""), respond_raw(b"")) for n in range(3)]
    async with running_edge(*servers) as edge:
        assert status(await edge.exchange(request("/safe/1"))) == 502
    assert sum(len(server.requests) for server in servers) == 2


def first_then_ok(first):
    """Returns two servers and the list of server ids in the order of requests.

    The script `first` answers the first request that arrives at either server; all others get a response.
    """
    arrivals = []

    async def script(stream, fields):
        arrivals.append(fields["target-instance"])
        return await (first if len(arrivals) == 1 else respond(b"ok"))(stream, fields)

    return [ScriptedServer(f"i-{n}", script, script) for n in range(2)], arrivals


@scenario
async def test_a_request_that_a_server_did_not_execute_is_retried_even_if_not_idempotent():
    rejection = respond(b"", status="503 Service Unavailable", headers=("Not-Executed: 1",))
    servers, arrivals = first_then_ok(rejection)
    async with running_edge(*servers) as edge:
        response = await edge.exchange(request("/plain/1"))
    assert status(response) == 200 and response.endswith(b"ok") and len(set(arrivals)) == 2


@scenario
async def test_a_request_rejected_by_all_servers_gets_a_retry_after():
    rejection = respond(
        b"", status="503 Service Unavailable", headers=("Not-Executed: 1", "Server-Signature: s2")
    )
    server = ScriptedServer("i-1", rejection)
    async with running_edge(server) as edge:
        response = await edge.exchange(request("/plain/1"))
    assert status(response) == 503
    assert b"Retry-After: 0." in response
    assert b"server-signature" not in response.lower()


@scenario
async def test_nothing_is_written_to_a_server_that_leaves_during_the_connect():
    leaving, staying = ScriptedServer("i-1"), ScriptedServer("i-2")
    async with running_edge(leaving, staying) as edge:
        acquire = edge.node.pool.acquire

        async def acquire_then_drain(server, request_id):
            connection = await acquire(server, request_id)
            if server.id == "i-1":
                edge.register(leaving, staying, number=2, states={"i-1": InstanceState.DRAINING})
            return connection

        edge.node.pool.acquire = acquire_then_drain
        for n in range(6):
            assert status(await edge.exchange(request("/plain/1", identity=f"r{n}"))) == 200
    assert not leaving.requests and len(staying.requests) == 6


@scenario
async def test_an_idempotent_request_with_an_error_response_is_retried():
    servers, arrivals = first_then_ok(respond(b"broken", status="500 Internal Server Error"))
    async with running_edge(*servers) as edge:
        response = await edge.exchange(request("/safe/1"))
    assert status(response) == 200 and response.endswith(b"ok") and len(set(arrivals)) == 2


@scenario
async def test_a_non_idempotent_request_gets_the_error_response():
    failed = respond(b"broken", status="500 Internal Server Error", headers=("Server-Signature: s7",))
    servers = [ScriptedServer(f"i-{n}", failed) for n in range(2)]
    async with running_edge(*servers) as edge:
        response = await edge.exchange(request("/plain/1"))
    assert status(response) == 500
    assert response.endswith(b"broken")
    assert sum(len(server.requests) for server in servers) == 1


@scenario
async def test_a_late_stream_is_hedged_once_and_the_loser_is_cancelled():
    box = []
    complete = respond_raw(STREAM_HEAD + chunk(b"id: 1\ndata: a\n\n") + LAST_CHUNK, keep=True)
    target_ids = []

    async def script(stream, fields):
        target_ids.append(fields["target-instance"])
        if len(target_ids) == 1:
            return await never_respond(box)(stream, fields)
        return await complete(stream, fields)

    servers = [ScriptedServer(f"i-{n}", script, script) for n in range(3)]
    async with running_edge(*servers) as edge:
        for _ in range(30):
            edge.node.hedge_timer.record(trio.current_time(), 0.01)
        box.append(servers[0])
        response = await edge.exchange(request("/resume/1"))
        await servers[0].cancelled.wait()
    assert response.endswith(LAST_CHUNK) and len(target_ids) == 2 and len(set(target_ids)) == 2


@scenario
async def test_no_hedge_is_sent_on_other_routes_or_with_too_few_samples():
    for path, times in (("/stream/1", 30), ("/plain/1", 30), ("/resume/1", 19)):
        box = []
        servers = [ScriptedServer(f"i-{n}", never_respond(box)) for n in range(2)]
        box.append(servers[0])
        async with running_edge(*servers) as edge:
            for _ in range(times):
                edge.node.hedge_timer.record(trio.current_time(), 0.001)
            await edge.exchange(request(path, headers=("Timeout-Ms: 60",)))
        assert sum(len(server.requests) for server in servers) == 1


@asynccontextmanager
async def both_attempts_end_at_once(before=None):
    """A hedged stream whose two attempts have their first events before either is handled.

    `before` is called with the client once both have succeeded, before either continues.
    """
    begun = respond_raw(STREAM_HEAD + chunk(b"id: 1\ndata: a\n\n"), keep=True)
    servers = [ScriptedServer(f"i-{n}", begun, begun) for n in range(2)]
    ended, both, client = [], trio.Event(), None

    async def run(attempt):
        outcome = await RUN_ATTEMPT(attempt)
        ended.append(attempt)
        with trio.move_on_after(TIME_LIMIT_S, shield=True):
            if len(ended) == 2:
                if before is not None:
                    await before(client)
                both.set()
            await both.wait()
        return outcome

    EdgeAttempt.run = run
    try:
        async with running_edge(*servers) as edge:
            for _ in range(30):
                edge.node.hedge_timer.record(trio.current_time(), 0.001)
            client = await trio.open_tcp_stream("127.0.0.1", edge.port)
            await client.send_all(request("/resume/1"))
            await both.wait()
            yield edge, client, [attempt.server for attempt in ended]
            await until(lambda: not edge.clients._clients)
            await until(lambda: not any(edge.node.pool.connection_count(attempt.server) for attempt in ended))
            assert not any(edge.node.selector.load.running_requests(attempt.server.id) for attempt in ended)
    finally:
        EdgeAttempt.run = RUN_ATTEMPT


@scenario
async def test_a_hedge_that_succeeds_with_the_first_attempt_is_released():
    async with both_attempts_end_at_once() as (edge, client, servers):
        response = b""
        while b"data: a" not in response:
            response += await client.receive_some(65536)
        running = [edge.node.selector.load.running_requests(server.id) for server in servers]
        assert sorted(running) == [0, 1]
        assert running == [edge.node.pool.connection_count(server) for server in servers]
        await client.aclose()


@scenario
async def test_a_client_that_disconnects_as_both_attempts_succeed_leaves_nothing_open():
    async with both_attempts_end_at_once(before=lambda client: client.aclose()):
        pass
