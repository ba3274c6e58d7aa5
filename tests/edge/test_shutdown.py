"""Tests that a shutdown of the edge role loses no request on connections that stay open."""

import os
import signal

import trio
from async_scenarios import scenario, until
from edge.harness import LAST_CHUNK, STREAM_HEAD, ScriptedServer, chunk, request
from edge.role import running


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
