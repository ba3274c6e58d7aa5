"""Tests the edge role as the platform sees it: signals, readiness and settings."""

import json
import os
import signal

import msgspec
import msgspec.yaml
import pytest
import trio
import trio.testing
from async_scenarios import scenario, until
from edge.harness import (
    LAST_CHUNK,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    read_all,
    request,
    respond,
    status,
)
from edge.role import running

from wheatroute.cluster.settings import Bounds
from wheatroute.edge import main as edge_main


@scenario
async def test_the_node_is_ready_once_it_has_a_configuration_and_servers():
    async with running(ScriptedServer("i-1")) as edge:
        await until(lambda: edge.node.is_ready)
        assert await edge.ready() == 200
        assert status(await edge.exchange(request("/plain/1"))) == 200


@scenario
async def test_a_request_before_the_first_configuration_waits_for_it():
    late = trio.Event()
    async with running(ScriptedServer("i-1")) as edge:
        respond_normally = edge.primary.respond

        async def answer_late(path, body):
            await late.wait()
            return await respond_normally(path, body)

        edge.primary.respond = answer_late
        async with trio.open_nursery() as nursery:
            response = []

            async def send_request():
                response.append(await edge.exchange(request("/plain/1")))

            nursery.start_soon(send_request)
            await until(lambda: edge.role._clients.busy_count)
            assert await edge.ready() == 503
            late.set()
        assert status(response[0]) == 200


@scenario
async def test_on_sigterm_the_node_answers_accepted_and_late_requests_and_then_ends():
    last = trio.Event()

    async def script(stream, fields):
        head = STREAM_HEAD.replace(b"{id}", fields["request-id"].encode())
        await stream.send_all(head + chunk(b"id: 1\ndata: a\n\n"))
        await last.wait()
        await stream.send_all(chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK)
        return True

    async with running(ScriptedServer("i-1", script, respond(b"late"))) as edge:
        await until(lambda: edge.node.is_ready)
        stream = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await stream.send_all(request("/stream/1"))
        idle = await trio.open_tcp_stream("127.0.0.1", edge.port)
        response = await stream.receive_some(65536)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: edge.node.is_stopping)
        # Until two probes have failed, the platform may still send clients to this node.
        assert status(await edge.exchange(request("/plain/1", identity="r2"))) == 200
        assert [await edge.ready(), await edge.ready()] == [503, 503]
        assert await idle.receive_some(1) == b""  # closed by the node
        assert not edge.ended.is_set()
        last.set()
        response += await read_all(stream)
        await edge.ended.wait()
    assert response.endswith(chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK)


@scenario
async def test_on_sigterm_an_endless_stream_is_cut_before_the_platform_kills_the_process():
    async def script(stream, fields):
        head = STREAM_HEAD.replace(b"{id}", fields["request-id"].encode())
        await stream.send_all(head + chunk(b"id: 1\ndata: a\n\n"))
        await trio.sleep_forever()

    async with running(ScriptedServer("i-1", script)) as edge:
        await until(lambda: edge.node.is_ready)
        stream = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await stream.send_all(request("/stream/1"))
        response = await stream.receive_some(65536)
        begun = trio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        await edge.ended.wait()
        assert trio.current_time() - begun < 4.0  # `grace_s` in `edge.role`
        response += await read_all(stream)
    assert LAST_CHUNK not in response


@scenario
async def test_on_sighup_the_seeds_are_read_again_and_nothing_ends():
    async with running(ScriptedServer("i-1")) as edge:
        await until(lambda: edge.node.is_ready)
        read = []
        edge.role._control_client.set_seeds = read.append
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: read)
        assert await edge.ready() == 200 and not edge.ended.is_set()


@scenario
async def test_a_changed_settings_file_is_applied_with_or_without_a_signal_during_a_stream(tmp_path):
    path = tmp_path / "settings.yaml"
    may_continue = trio.Event()

    async def script(stream, fields):
        head = STREAM_HEAD.replace(b"{id}", fields["request-id"].encode())
        await stream.send_all(head + chunk(b"id: 1\ndata: a\n\n"))
        await may_continue.wait()
        await stream.send_all(chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(edge_main, "CHECK_INTERVAL_S", 0.01)
        await check_changes_during_a_stream(path, script, may_continue)


async def check_changes_during_a_stream(path, script, may_continue):
    async with running(ScriptedServer("i-1", script), seeds_file=path) as edge:
        await until(lambda: edge.node.is_ready)
        stream = await trio.open_tcp_stream("127.0.0.1", edge.port)
        await stream.send_all(request("/stream/1"))
        response = await stream.receive_some(65536)

        def write_settings(**bounds):
            changed = msgspec.structs.replace(edge.node.settings, bounds=Bounds(**bounds))
            path.write_bytes(msgspec.yaml.encode(changed))

        write_settings(retry_ratio=0.1, grace_s=3.0)
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: edge.node.settings.bounds.grace_s == 3.0)
        assert all(budget._ratio < 0.1 for budget in edge.node._retry_budgets.values())
        write_settings(retry_ratio=0.1, grace_s=4.5)  # without a signal
        await until(lambda: edge.node.settings.bounds.grace_s == 4.5)
        may_continue.set()
        response += await read_all(stream)
        assert response.endswith(chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK) and not edge.ended.is_set()


@scenario
async def test_seeds_that_change_in_the_file_without_a_signal_are_used(tmp_path):
    path = tmp_path / "boot.yaml"
    async with running(ScriptedServer("i-1"), seeds=("127.0.0.9:1",), seeds_file=path) as edge:
        # There is no control node at the seed that the node knows.
        await trio.testing.wait_all_tasks_blocked()
        assert not edge.node.is_configured
        settings = {
            "node": "edge-1",
            "ip": "127.0.0.1",
            "zone": "z",
            "listen": {},
            "port_range": [1, 2],
            "seeds": ["127.0.0.1:1"],
        }
        path.write_text(json.dumps(settings))
        await until(lambda: edge.node.is_ready)
        assert status(await edge.exchange(request("/plain/1"))) == 200
