"""The edge role as the platform meets it: a process's signals, its readiness, its primary."""

import json
import logging
import os
import signal
from contextlib import asynccontextmanager
from functools import partial

import msgspec
import msgspec.yaml
import pytest
import trio
from asynchronous import story, until
from edge.harness import (
    CONFIGURATION,
    END,
    LIMIT,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    guarded,
    listening,
    read_all,
    request,
    status,
)
from edge.primary import ScriptedPrimary

from wheatroute.cluster.configuration import decode_configuration
from wheatroute.cluster.distribution import encode_difference, make_difference, make_version
from wheatroute.cluster.messages import NotPrimary, QuotaGrant, UsageReport, UsageResponse
from wheatroute.cluster.settings import SETTINGS_VARIABLE, Bounds, Settings
from wheatroute.edge import control_client, selection, usage_reporter
from wheatroute.edge import main as edge_main
from wheatroute.edge.listeners import Listeners, listen
from wheatroute.edge.main import EdgeRole


class Role:
    """The running role, and what a story asks of it."""

    def __init__(self, role, listeners, primary):
        self.role, self.node, self.primary = role, role._node, primary
        self.port = listeners.clients.getsockname()[1]
        self.ready_port = listeners.readiness.getsockname()[1]
        self.ended = trio.Event()

    async def ask(self, text, port=None):
        async with await trio.open_tcp_stream("127.0.0.1", port or self.port) as stream:
            await stream.send_all(text)
            return await read_all(stream)

    async def ready(self):
        return status(await self.ask(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n", self.ready_port))


@asynccontextmanager
async def running(*servers, seeds=None, seeds_file=None):
    """A role whose only control node is scripted; `seeds_file` is where it looks for seeds later."""
    kept = os.environ.pop(SETTINGS_VARIABLE, None)
    if seeds_file is not None:
        os.environ[SETTINGS_VARIABLE] = str(seeds_file)
    try:
        async with _running(servers, seeds) as it:
            yield it
    finally:
        os.environ.pop(SETTINGS_VARIABLE, None)
        if kept is not None:
            os.environ[SETTINGS_VARIABLE] = kept


@asynccontextmanager
async def _running(servers, seeds):
    with trio.fail_after(LIMIT):
        async with trio.open_nursery() as nursery:
            for server in servers:
                server.port = await listening(nursery, server.serve)
            primary = ScriptedPrimary(CONFIGURATION, *servers)
            port = await listening(nursery, primary.serve)
            settings = Settings(
                node="edge-1",
                ip="127.0.0.1",
                zone="z",
                listen={},
                port_range=(port - 1, port),
                seeds=seeds or ("127.0.0.1:1",),
                bounds=Bounds(grace_s=4.0),
            )
            log = logging.getLogger("test-role")
            log.propagate = False
            log.addHandler(logging.NullHandler())
            listeners = Listeners(listen(("127.0.0.1", 0)), listen(("127.0.0.1", 0)))
            it = Role(EdgeRole(settings, listeners, log), listeners, primary)

            async def run():
                await it.role.run()
                it.ended.set()

            nursery.start_soon(run)
            yield it
            nursery.cancel_scope.cancel()


@story
async def test_it_is_ready_once_it_has_a_configuration_and_servers():
    async with running(ScriptedServer("i-1")) as it:
        await until(lambda: it.node.is_ready)
        assert await it.ready() == 200
        assert status(await it.ask(request("/plain/1"))) == 200


@story
async def test_a_request_that_comes_before_the_first_configuration_waits_for_it():
    late = trio.Event()
    async with running(ScriptedServer("i-1")) as it:
        plain = it.primary.answer

        async def answer_late(path, body):
            await late.wait()
            return await plain(path, body)

        it.primary.answer = answer_late
        async with trio.open_nursery() as nursery:
            got = []

            async def ask():
                got.append(await it.ask(request("/plain/1")))

            nursery.start_soon(ask)
            await until(lambda: it.role._clients.busy_count)
            assert await it.ready() == 503
            late.set()
        assert status(got[0]) == 200


@story
async def test_on_sigterm_it_answers_what_it_has_and_what_still_comes_and_then_ends():
    last = trio.Event()

    async def play(stream, asked):
        head = STREAM_HEAD.replace(b"{id}", asked["request-id"].encode())
        await stream.send_all(head + chunk(b"id: 1\ndata: a\n\n"))
        await last.wait()
        await stream.send_all(chunk(b"id: 2\ndata: b\n\n") + END)
        return True

    async with running(ScriptedServer("i-1", play, answer(b"late"))) as it:
        await until(lambda: it.node.is_ready)
        stream = await trio.open_tcp_stream("127.0.0.1", it.port)
        await stream.send_all(request("/stream/1"))
        idle = await trio.open_tcp_stream("127.0.0.1", it.port)
        got = await stream.receive_some(65536)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: it.node.is_stopping)
        # until the platform has asked twice, clients may still be sent here
        assert status(await it.ask(request("/plain/1", identity="r2"))) == 200
        assert [await it.ready(), await it.ready()] == [503, 503]
        assert await idle.receive_some(1) == b""  # told by the end of its connection
        assert not it.ended.is_set()
        last.set()
        got += await read_all(stream)
        await it.ended.wait()
    assert got.endswith(chunk(b"id: 2\ndata: b\n\n") + END)


@story
async def test_on_sigterm_a_stream_that_never_ends_is_cut_before_the_platform_kills_it():
    async def play(stream, asked):
        head = STREAM_HEAD.replace(b"{id}", asked["request-id"].encode())
        await stream.send_all(head + chunk(b"id: 1\ndata: a\n\n"))
        await trio.sleep_forever()

    async with running(ScriptedServer("i-1", play)) as it:
        await until(lambda: it.node.is_ready)
        stream = await trio.open_tcp_stream("127.0.0.1", it.port)
        await stream.send_all(request("/stream/1"))
        got = await stream.receive_some(65536)
        begun = trio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        await it.ended.wait()
        assert trio.current_time() - begun < 4.0  # its grace
        got += await read_all(stream)
    assert END not in got


@story
async def test_on_sighup_the_seeds_are_read_again_and_nothing_ends():
    async with running(ScriptedServer("i-1")) as it:
        await until(lambda: it.node.is_ready)
        read = []
        it.role._control_client.set_seeds = read.append
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: read)
        assert await it.ready() == 200 and not it.ended.is_set()


@story
async def test_a_changed_settings_file_is_taken_by_signal_and_without_while_a_stream_goes_on(tmp_path):
    path = tmp_path / "settings.yaml"
    go_on = trio.Event()

    async def play(stream, asked):
        head = STREAM_HEAD.replace(b"{id}", asked["request-id"].encode())
        await stream.send_all(head + chunk(b"id: 1\ndata: a\n\n"))
        await go_on.wait()
        await stream.send_all(chunk(b"id: 2\ndata: b\n\n") + END)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(edge_main, "CHECK_INTERVAL_S", 0.01)
        await changes_during_a_stream(path, play, go_on)


async def changes_during_a_stream(path, play, go_on):
    async with running(ScriptedServer("i-1", play), seeds_file=path) as it:
        await until(lambda: it.node.is_ready)
        stream = await trio.open_tcp_stream("127.0.0.1", it.port)
        await stream.send_all(request("/stream/1"))
        got = await stream.receive_some(65536)

        def tell(**bounds):
            told = msgspec.structs.replace(it.node.settings, bounds=Bounds(**bounds))
            path.write_bytes(msgspec.yaml.encode(told))

        tell(retry_ratio=0.1, grace_s=3.0)
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: it.node.settings.bounds.grace_s == 3.0)
        assert all(budget._ratio < 0.1 for budget in it.node._retry_budgets.values())
        tell(retry_ratio=0.1, grace_s=4.5)  # and nobody says so
        await until(lambda: it.node.settings.bounds.grace_s == 4.5)
        go_on.set()
        got += await read_all(stream)
        assert got.endswith(chunk(b"id: 2\ndata: b\n\n") + END) and not it.ended.is_set()


@story
async def test_a_primary_of_an_older_epoch_is_not_believed():
    async with running(ScriptedServer("i-1")) as it:
        await until(lambda: it.node.is_ready)

        def older(asked):
            return 200, msgspec.structs.replace(it.primary.update(asked), epoch=3, configuration=9)

        it.primary.polls.append(older)
        it.primary.quiet.set()
        await until(lambda: not it.primary.polls)
        seen = len(it.primary.asked)
        await until(lambda: len(it.primary.asked) > seen)
        assert it.node.table.sequence == 1 and it.node.instances.version.epoch == 4


def with_change(primary, body, asked):
    """What the primary knows, with this as the way to a newer version."""
    return 200, msgspec.structs.replace(primary.update(asked), configuration=8, configuration_change=body)


@story
async def test_a_difference_that_does_not_fit_is_not_used_and_the_whole_is_asked_for():
    """One from a version that this node doesn't have, and one that can't be read."""
    first = make_version(decode_configuration(json.dumps(CONFIGURATION)), 7)
    second = make_version(decode_configuration(json.dumps(CONFIGURATION | {"generation": 4})), 8)
    async with running(ScriptedServer("i-1")) as it:
        await until(lambda: it.node.is_ready)
        for body in (encode_difference(make_difference(first, second)), b"no zlib"):
            it.primary.sequence = 1
            it.primary.polls.append(partial(with_change, it.primary, body))
            it.primary.quiet.set()
            await until(lambda: any(asked.wants_full for asked in it.primary.asked))
            (wanted,) = [asked for asked in it.primary.asked if asked.wants_full][:1]
            assert wanted.configuration == it.node.table.sequence == 1
            it.primary.asked.clear()
        it.primary.sequence = 9
        await until(lambda: it.node.table.sequence == 9)
        await until(lambda: not it.primary.asked[-1].wants_full)
        assert status(await it.ask(request("/plain/1"))) == 200


@story
async def test_a_node_that_does_not_lead_is_asked_again_and_what_is_known_stays_in_force():
    async with running(ScriptedServer("i-1")) as it:
        it.primary.polls += [lambda asked: (503, NotPrimary("", ("127.0.0.1",)))] * 3
        await until(lambda: it.node.is_ready)
        assert len(it.primary.asked) >= 4
        it.primary.polls += [lambda asked: (503, NotPrimary("", ("127.0.0.1",)))] * 3
        it.primary.quiet.set()
        await until(lambda: not it.primary.polls)
        assert await it.ready() == 200
        assert status(await it.ask(request("/plain/1"))) == 200


@story
async def test_a_poll_says_which_versions_are_held_and_a_report_what_is_at_servers():
    box = trio.Event()

    async def play(stream, asked):
        await box.wait()
        return await answer(b"ok")(stream, asked)

    async with running(ScriptedServer("i-1", play)) as it:
        await until(lambda: it.node.is_ready)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(it.ask, request("/plain/1"))
            await until(lambda: it.primary.reports)
            assert it.primary.reports[0].servers["i-1"].running_requests == 1
            box.set()
        await until(lambda: len(it.primary.asked) > 1)
        assert it.primary.asked[0].configuration == -1 and it.primary.asked[1].configuration == 1
        await until(lambda: it.primary.reports[-1].servers == {})


@story
async def test_a_report_names_a_server_that_answers_nothing_until_it_answers():
    box = trio.Event()
    min_timeout_s, selection.MIN_RESPONSE_TIMEOUT_S = selection.MIN_RESPONSE_TIMEOUT_S, 0.05

    async def play(stream, asked):
        await box.wait()
        return await answer(b"ok")(stream, asked)

    try:
        async with running(ScriptedServer("i-1", play)) as it:
            await until(lambda: it.node.is_ready)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(it.ask, request("/plain/1"))
                await until(lambda: any(one.unresponsive_for for one in it.primary.reports))
                (named,) = [one.unresponsive_for for one in it.primary.reports if one.unresponsive_for][:1]
                assert list(named) == ["i-1"] and named["i-1"] > 0.05
                box.set()
            await until(lambda: it.primary.reports[-1].unresponsive_for == {})
    finally:
        selection.MIN_RESPONSE_TIMEOUT_S = min_timeout_s


@story
async def test_without_a_primary_requests_use_this_nodes_part_and_only_the_first_waits_for_an_answer():
    backoff_s = usage_reporter.LEASE_BACKOFF_S
    usage_reporter.LEASE_BACKOFF_S = LIMIT  # however slow this machine is
    try:
        await without_a_primary()
    finally:
        usage_reporter.LEASE_BACKOFF_S = backoff_s


async def without_a_primary():
    body = request("/plain/1", key="k2", headers=("Token-Count: 10,10",))
    async with running(ScriptedServer("i-1")) as it:
        await until(lambda: it.node.is_ready)
        waited = []
        plain = it.primary.answer

        async def answer_nothing(path, body):
            if path != b"/usage":
                return await plain(path, body)
            report = msgspec.msgpack.decode(body, type=UsageReport)
            if any(need.wanted for need in report.tenants.values()):  # else it is a regular one
                waited.append(report)
            await trio.sleep_forever()

        # its part: 100 tokens a second, told just now
        it.node.quotas.apply_grant("small", QuotaGrant(0.0, 0.0, 100.0), trio.current_time() - 1.0)
        it.primary.answer = answer_nothing
        assert status(await it.ask(body)) == 200
        answered = [status(await it.ask(body)) for _ in range(10)]
        assert 200 in answered and 429 in answered
        assert len(waited) <= 1  # none, if a regular report met the silence first


@story
async def test_a_poll_whose_connection_breaks_keeps_no_client_from_its_lease():
    """A connection that was reset says nothing of the primary: tokens are asked for at once."""
    body = request("/plain/1", key="k2", headers=("Token-Count: 10,10",))
    async with running(ScriptedServer("i-1")) as it:
        await until(lambda: it.node.is_ready)
        plain, leased, broken = it.primary.answer, [], trio.Event()

        async def break_polls(path, told):
            if path != b"/usage":
                broken.set()
                raise trio.BrokenResourceError  # the harness ends the connection
            report = msgspec.msgpack.decode(told, type=UsageReport)
            if any(need.wanted for need in report.tenants.values()):
                leased.append(report)
                return 200, UsageResponse({"small": QuotaGrant(20.0)}, {}, 1)
            return await plain(path, told)

        it.primary.answer = break_polls
        it.primary.quiet.set()
        await broken.wait()
        assert status(await it.ask(body)) == 200
        assert len(leased) == 1


@story
async def test_a_primary_that_another_node_names_is_asked_at_once():
    backoff_s = control_client.HOST_BACKOFF_S
    control_client.HOST_BACKOFF_S = 9 * LIMIT  # after a backoff it would hang
    try:
        async with running(ScriptedServer("i-1"), seeds=("127.0.0.1:1", "127.0.0.2:1")) as it:
            there = ScriptedPrimary(CONFIGURATION, *it.primary.servers)
            there.hosts = ("127.0.0.2", "127.0.0.1")
            port = it.node.settings.internal_port
            async with trio.open_nursery() as nursery:
                await nursery.start(partial(trio.serve_tcp, guarded(there.serve), port, host="127.0.0.2"))
                it.primary.answer = elsewhere
                await until(lambda: there.asked)
                await until(lambda: it.node.is_ready)
                assert status(await it.ask(request("/plain/1"))) == 200
                nursery.cancel_scope.cancel()
    finally:
        control_client.HOST_BACKOFF_S = backoff_s


async def elsewhere(path, body):
    return 503, NotPrimary("127.0.0.2", ("127.0.0.2", "127.0.0.1"))
