"""Tests the messages between an edge node and the primary: long polls, usage reports and leases."""

import json
from functools import partial

import msgspec
import msgspec.yaml
import trio
from async_scenarios import scenario, until
from edge.harness import (
    CONFIGURATION,
    TIME_LIMIT_S,
    ScriptedServer,
    ignoring_disconnects,
    request,
    respond,
    status,
)
from edge.primary import ScriptedPrimary
from edge.role import running

from wheatroute.cluster.configuration import decode_configuration
from wheatroute.cluster.distribution import encode_difference, make_difference, make_version
from wheatroute.cluster.messages import NotPrimary, QuotaGrant, UsageReport, UsageResponse
from wheatroute.edge import control_client, selection, usage_reporter


@scenario
async def test_an_update_of_an_older_epoch_is_ignored():
    async with running(ScriptedServer("i-1")) as edge:
        await until(lambda: edge.node.is_ready)

        def older(poll):
            return 200, msgspec.structs.replace(edge.primary.update(poll), epoch=3, configuration=9)

        edge.primary.scripted_polls.append(older)
        edge.primary.release_polls.set()
        await until(lambda: not edge.primary.scripted_polls)
        seen = len(edge.primary.update_requests)
        await until(lambda: len(edge.primary.update_requests) > seen)
        assert edge.node.table.sequence == 1 and edge.node.instances.version.epoch == 4


def with_change(primary, body, poll):
    """Returns the primary's update, with this body as the difference to a newer version."""
    return 200, msgspec.structs.replace(primary.update(poll), configuration=8, configuration_change=body)


@scenario
async def test_a_difference_that_cannot_be_applied_is_dropped_and_the_full_configuration_requested():
    """One difference is based on a version that this node does not have, the other cannot be decoded."""
    first = make_version(decode_configuration(json.dumps(CONFIGURATION)), 7)
    second = make_version(decode_configuration(json.dumps(CONFIGURATION | {"generation": 4})), 8)
    async with running(ScriptedServer("i-1")) as edge:
        await until(lambda: edge.node.is_ready)
        for body in (encode_difference(make_difference(first, second)), b"no zlib"):
            edge.primary.sequence = 1
            edge.primary.scripted_polls.append(partial(with_change, edge.primary, body))
            edge.primary.release_polls.set()
            await until(lambda: any(poll.wants_full for poll in edge.primary.update_requests))
            (wanted,) = [poll for poll in edge.primary.update_requests if poll.wants_full][:1]
            assert wanted.configuration == edge.node.table.sequence == 1
            edge.primary.update_requests.clear()
        edge.primary.sequence = 9
        await until(lambda: edge.node.table.sequence == 9)
        await until(lambda: not edge.primary.update_requests[-1].wants_full)
        assert status(await edge.exchange(request("/plain/1"))) == 200


@scenario
async def test_while_no_node_is_primary_the_configuration_stays_in_force():
    async with running(ScriptedServer("i-1")) as edge:
        edge.primary.scripted_polls += [lambda poll: (503, NotPrimary("", ("127.0.0.1",)))] * 3
        await until(lambda: edge.node.is_ready)
        assert len(edge.primary.update_requests) >= 4
        edge.primary.scripted_polls += [lambda poll: (503, NotPrimary("", ("127.0.0.1",)))] * 3
        edge.primary.release_polls.set()
        await until(lambda: not edge.primary.scripted_polls)
        assert await edge.ready() == 200
        assert status(await edge.exchange(request("/plain/1"))) == 200


@scenario
async def test_a_poll_names_the_versions_in_force_and_a_report_the_load():
    may_respond = trio.Event()

    async def script(stream, fields):
        await may_respond.wait()
        return await respond(b"ok")(stream, fields)

    async with running(ScriptedServer("i-1", script)) as edge:
        await until(lambda: edge.node.is_ready)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(edge.exchange, request("/plain/1"))
            await until(lambda: edge.primary.reports)
            assert edge.primary.reports[0].servers["i-1"].running_requests == 1
            may_respond.set()
        await until(lambda: len(edge.primary.update_requests) > 1)
        assert edge.primary.update_requests[0].configuration == -1
        assert edge.primary.update_requests[1].configuration == 1
        await until(lambda: edge.primary.reports[-1].servers == {})


@scenario
async def test_a_report_names_an_unresponsive_server_until_it_responds():
    may_respond = trio.Event()
    min_timeout_s, selection.MIN_RESPONSE_TIMEOUT_S = selection.MIN_RESPONSE_TIMEOUT_S, 0.05

    async def script(stream, fields):
        await may_respond.wait()
        return await respond(b"ok")(stream, fields)

    try:
        async with running(ScriptedServer("i-1", script)) as edge:
            await until(lambda: edge.node.is_ready)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(edge.exchange, request("/plain/1"))
                await until(lambda: any(report.unresponsive_for for report in edge.primary.reports))
                (named,) = [
                    report.unresponsive_for for report in edge.primary.reports if report.unresponsive_for
                ][:1]
                assert list(named) == ["i-1"] and named["i-1"] > 0.05
                may_respond.set()
            await until(lambda: edge.primary.reports[-1].unresponsive_for == {})
    finally:
        selection.MIN_RESPONSE_TIMEOUT_S = min_timeout_s


@scenario
async def test_an_isolated_node_uses_local_tokens_and_at_most_one_request_waits_for_a_lease():
    backoff_s = usage_reporter.LEASE_BACKOFF_S
    usage_reporter.LEASE_BACKOFF_S = TIME_LIMIT_S  # covers the whole test, however slow this machine is
    try:
        await check_isolated_node()
    finally:
        usage_reporter.LEASE_BACKOFF_S = backoff_s


async def check_isolated_node():
    body = request("/plain/1", key="k2", headers=("Token-Count: 10,10",))
    async with running(ScriptedServer("i-1")) as edge:
        await until(lambda: edge.node.is_ready)
        lease_requests = []
        respond_normally = edge.primary.respond

        async def answer_nothing(path, body):
            if path != b"/usage":
                return await respond_normally(path, body)
            report = msgspec.msgpack.decode(body, type=UsageReport)
            if any(demand.wanted for demand in report.tenants.values()):  # otherwise it is a periodic report
                lease_requests.append(report)
            await trio.sleep_forever()

        # The local rate is 100 tokens per second, granted a second ago.
        edge.node.quotas.apply_grant("small", QuotaGrant(0.0, 0.0, 100.0), trio.current_time() - 1.0)
        edge.primary.respond = answer_nothing
        assert status(await edge.exchange(body)) == 200
        statuses = [status(await edge.exchange(body)) for _ in range(10)]
        assert 200 in statuses and 429 in statuses
        assert len(lease_requests) <= 1  # none if a periodic report got no response before


@scenario
async def test_a_poll_whose_connection_breaks_delays_no_lease():
    """A reset connection does not mean that the primary is down, so tokens are requested at once."""
    body = request("/plain/1", key="k2", headers=("Token-Count: 10,10",))
    async with running(ScriptedServer("i-1")) as edge:
        await until(lambda: edge.node.is_ready)
        respond_normally, lease_requests, broken = edge.primary.respond, [], trio.Event()

        async def break_polls(path, body):
            if path != b"/usage":
                broken.set()
                raise trio.BrokenResourceError  # the harness ends the connection
            report = msgspec.msgpack.decode(body, type=UsageReport)
            if any(demand.wanted for demand in report.tenants.values()):
                lease_requests.append(report)
                return 200, UsageResponse({"small": QuotaGrant(20.0)}, {}, 1)
            return await respond_normally(path, body)

        edge.primary.respond = break_polls
        edge.primary.release_polls.set()
        await broken.wait()
        assert status(await edge.exchange(body)) == 200
        assert len(lease_requests) == 1


@scenario
async def test_a_primary_that_another_node_names_is_used_at_once():
    backoff_s = control_client.HOST_BACKOFF_S
    control_client.HOST_BACKOFF_S = 9 * TIME_LIMIT_S  # with a backoff, the test would hang
    try:
        async with running(ScriptedServer("i-1"), seeds=("127.0.0.1:1", "127.0.0.2:1")) as edge:
            other_primary = ScriptedPrimary(CONFIGURATION, *edge.primary.servers)
            other_primary.hosts = ("127.0.0.2", "127.0.0.1")
            port = edge.node.settings.internal_port
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    partial(trio.serve_tcp, ignoring_disconnects(other_primary.serve), port, host="127.0.0.2")
                )
                edge.primary.respond = name_another_primary
                await until(lambda: other_primary.update_requests)
                await until(lambda: edge.node.is_ready)
                assert status(await edge.exchange(request("/plain/1"))) == 200
                nursery.cancel_scope.cancel()
    finally:
        control_client.HOST_BACKOFF_S = backoff_s


async def name_another_primary(path, body):
    return 503, NotPrimary("127.0.0.2", ("127.0.0.2", "127.0.0.1"))
