"""Clients and servers of the rig face to face: what both sides record of a request."""

import pytest
import trio

from wheatroute.rig.client_load import ClientLoad
from wheatroute.rig.http_connection import listen
from wheatroute.rig.run_records import ExecutionOutcome, RunRecords
from wheatroute.rig.server import Server
from wheatroute.rig.verdict import lost_requests


async def send(request_class, **ratios):
    """One request of a class to a server that fails these ratios of requests; the records."""
    records = RunRecords()
    server = Server("s0", "a", 0, records, 1)
    for name, ratio in ratios.items():
        setattr(server, name, ratio)
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            address = await listen(lambda stream: server.serve(stream, "n0", {}), nursery)
            load = ClientLoad("n0", address, records, 1)
            for name, effect in (("look", "retryable"), ("change", "dedup"), ("buy", "fragile")):
                load.set_class(name, 1.0, effect)
            await load.send(request_class)
            nursery.cancel_scope.cancel()
    return records


@pytest.mark.parametrize("request_class", ["look", "change", "buy"])
def test_a_request_is_recorded_on_both_sides(request_class):
    records = trio.run(send, request_class)
    (request,) = records.requests.values()
    (execution,) = records.executions
    assert (request.request_id, request.status, request.response_count) == ("n0-000001", 200, 1)
    assert (execution.request_id, execution.request_class) == ("n0-000001", request_class)
    assert execution.outcome is ExecutionOutcome.ANSWERED
    assert request.sent_at <= execution.started_at <= request.ended_at


def test_a_server_that_answers_with_an_error():
    async def run():
        return await send("look", error_ratio=1.0)

    records = trio.run(run)
    assert [one.status for one in records.requests.values()] == [500]
    assert [one.outcome for one in records.executions] == [ExecutionOutcome.ERROR]


def test_a_connection_that_breaks_loses_the_request():
    async def run():
        return await send("look", reset_ratio=1.0)

    records = trio.run(run)
    (request,) = records.requests.values()
    assert (request.status, request.response_count) == (-1, 0)
    assert lost_requests(records, request.ended_at) == [request]
    assert [one.outcome for one in records.executions] == [ExecutionOutcome.RESET]
