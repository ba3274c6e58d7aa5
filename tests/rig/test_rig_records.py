"""The rig records when the kernel received a request, not when the rig read it.

A busy rig reads requests late. If it took the time of reading for the time of sending, it would report
attempts as sent after the response, although they were sent before.
"""

import time

import trio
from async_scenarios import scenario

from wheatroute.rig.http_connection import listen
from wheatroute.rig.run_records import ClientRequest, Execution, ExecutionOutcome, RunRecords
from wheatroute.rig.server import Server
from wheatroute.rig.tcp_link import TcpLink
from wheatroute.rig.verdict import sent_after_response

STALL_S = 0.4  # how long the rig's process is busy
REQUEST = b"GET /look/1 HTTP/1.1\r\nRequest-Id: r1\r\n\r\n"


@scenario
async def test_a_request_that_a_busy_rig_reads_late_keeps_its_time_of_sending():
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            records = RunRecords()
            server = Server("s0", "a", 0, records, 1)
            links = []

            async def serve(stream):
                await server.serve(stream, "n0", links[0].sent_at)

            link = TcpLink("n0-s0", await listen(serve, nursery))
            links.append(link)
            nursery.start_soon(link.run)
            stream = await trio.open_tcp_stream(*link.address)
            await stream.send_all(REQUEST)
            sent = time.monotonic()
            time.sleep(STALL_S)
            await stream.receive_some(1)
            nursery.cancel_scope.cancel()
    (execution,) = records.executions
    assert execution.started_at > sent + STALL_S and abs(execution.sent_at - sent) < STALL_S / 4


def test_the_time_of_sending_decides_whether_an_attempt_is_after_the_response():
    request = ClientRequest(1.0, "n0", "r1", "look", 2.0, status=200, ended_at=2.0, response_count=1)

    def records_of(started_at, sent_at):
        execution = Execution(
            started_at, "s0", "a", 0, "n0", "r1", "look", ExecutionOutcome.ANSWERED, sent_at
        )
        return RunRecords(executions=[execution], requests={"r1": request})

    assert sent_after_response(records_of(2.9, 1.99)) == []
    late = records_of(2.1, 2.06)
    assert sent_after_response(late) == late.executions
