"""Tests client connections: framing, disconnection, backpressure and shutdown."""

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


@scenario
async def test_a_chunked_body_is_forwarded_complete_with_its_length():
    server = ScriptedServer("i-1")
    message = request("/plain/1").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    async with running_edge(server) as edge:
        assert status(await edge.exchange(message + chunk(b"abc") + chunk(b"defg") + LAST_CHUNK)) == 200
    _, headers, body = server.requests[0]
    assert body == b"abcdefg" and headers["content-length"] == "7" and "transfer-encoding" not in headers


@scenario
async def test_a_request_with_two_lengths_reaches_no_server():
    server = ScriptedServer("i-1")
    message = request("/plain/1", body=b"x" * 5).replace(
        b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n", 1
    )
    async with running_edge(server) as edge:
        assert status(await edge.exchange(message)) == 400
    assert not server.requests


@scenario
async def test_a_request_is_cancelled_when_its_client_disconnects():
    box = []
    server = ScriptedServer("i-1", never_respond(box))
    box.append(server)
    async with running_edge(server) as edge:
        stream = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await stream.send_all(request("/plain/1"))
        await server.arrived.wait()
        await stream.aclose()
        await server.cancelled.wait()
        await until(lambda: edge.clients.busy_count == 0)


@scenario
async def test_a_client_that_reads_nothing_delays_no_other_client_and_fills_no_memory():
    event_count, size = 3000, 1 << 16
    sent = []

    async def script(stream, fields):
        await stream.send_all(STREAM_HEAD.replace(b"{id}", fields["request-id"].encode()))
        event = chunk(b"data: " + b"x" * size + b"\n\n")
        for number in range(event_count):
            await stream.send_all(event)
            sent.append(number)
        return False

    server = ScriptedServer("i-1", script, *[respond(b"ok")] * 30)
    async with running_edge(server) as edge:
        slow = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await slow.send_all(request("/stream/1"))
        await until(lambda: sent)
        seen, stalled = 0, 0
        # Ends once 30 requests in a row of other clients were answered without progress of the slow stream.
        while stalled < 30:
            seen, stalled = (len(sent), 0) if len(sent) > seen else (seen, stalled + 1)
            assert status(await edge.exchange(request("/plain/1", identity=f"r{seen}-{stalled}"))) == 200
        assert len(sent) < event_count / 2
        (slow_client,) = [client for client in edge.clients._clients if client.is_busy]
        assert len(slow_client.connection._unsent) <= 4 * size
        await slow.aclose()
        await until(lambda: not edge.clients._clients)


@scenario
async def test_a_stopping_node_ends_connections_with_their_responses():
    server = ScriptedServer("i-1")
    async with running_edge(server) as edge:
        connection = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await connection.send_all(request("/plain/1", close=False))
        response = await connection.receive_some(65536)
        assert status(response) == 200 and b"Connection: close" not in response
        edge.node.shutdown.begin(trio.current_time(), 8.0)
        await connection.send_all(request("/plain/2", close=False))
        response = await connection.receive_some(65536)
        assert status(response) == 200 and b"Connection: close" in response
        assert await connection.receive_some(10) == b""


@scenario
async def test_idle_connections_are_closed_by_close_idle():
    async with running_edge(ScriptedServer("i-1")) as edge:
        idle = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await until(lambda: edge.clients._clients)
        edge.clients.close_idle()
        assert await idle.receive_some(10) == b""


def head_request(path, identity):
    return request(path, close=False, identity=identity).replace(b"POST ", b"HEAD ", 1)


# An error response to HEAD failed inside the node, which closed the connection without an answer.
@scenario
async def test_an_error_response_to_head_has_no_body_and_keeps_the_connection():
    rejected = respond(b"", status="503 Service Unavailable", headers=("Not-Executed: 1",))
    server = ScriptedServer("i-1", rejected)
    async with running_edge(server) as edge:
        client = await trio.open_tcp_stream("127.0.0.1", edge.port)
        received = b""
        for path, identity, expected in (
            ("/plain/1", "r1", 503),
            ("/none/1", "r2", 404),
            ("/plain/2", "r3", 200),
        ):
            await client.send_all(head_request(path, identity))
            received = b""
            while b"\r\n\r\n" not in received:
                received += await client.receive_some(65536)
            assert status(received) == expected and received.endswith(b"\r\n\r\n")
        # The next request isn't taken for HEAD: its error response has its body.
        await client.send_all(request("/none/2", identity="r4"))
        assert (await read_all(client)).endswith(b"no-route\n")


@scenario
async def test_an_error_response_to_an_incomplete_head_request_has_no_body():
    message = head_request("/plain/1", "r1").replace(b"Content-Length: 0", b"Content-Length: 99999999")
    async with running_edge(ScriptedServer("i-1")) as edge:
        received = await edge.exchange(message)
    assert status(received) == 413 and received.endswith(b"\r\n\r\n")
