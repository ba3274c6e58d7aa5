"""Clients of the rig connected to a server: what both sides record about a request."""

import pytest
import trio

from wheatroute.rig.client_load import ClientLoad
from wheatroute.rig.http_connection import listen
from wheatroute.rig.run_records import ExecutionOutcome, RunRecords
from wheatroute.rig.server import Server
from wheatroute.rig.verdict import lost_requests


async def send(request_class, **ratios):
    """Sends one request to a server that fails these ratios of requests; returns the records."""
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


def test_an_error_response_is_recorded_on_both_sides():
    async def run():
        return await send("look", error_ratio=1.0)

    records = trio.run(run)
    assert [request.status for request in records.requests.values()] == [500]
    assert [execution.outcome for execution in records.executions] == [ExecutionOutcome.ERROR]


def test_a_request_whose_connection_breaks_is_lost():
    async def run():
        return await send("look", reset_ratio=1.0)

    records = trio.run(run)
    (request,) = records.requests.values()
    assert (request.status, request.response_count) == (-1, 0)
    assert lost_requests(records, request.ended_at) == [request]
    assert [execution.outcome for execution in records.executions] == [ExecutionOutcome.RESET]
