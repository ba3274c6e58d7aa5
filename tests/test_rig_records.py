"""The rig's own measure of when a request was sent: by the kernel, not by when the rig came to read it."""

import time

import trio
from async_scenarios import scenario

from wheatroute.rig.endpoints import Server, listen
from wheatroute.rig.links import Link
from wheatroute.rig.records import Asked, Ran, Records, after_answer

STALL = 0.4  # seconds that the rig's process is busy
REQUEST = b"GET /look/1 HTTP/1.1\r\nRequest-Id: r1\r\n\r\n"


@scenario
async def test_what_a_busy_rig_reads_late_was_sent_when_it_was():
    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            records = Records()
            server = Server("s0", "a", 0, records, 1)
            found = []

            async def serve(stream):
                await server.serve(stream, "n0", found[0].sent_at)

            link = Link("n0-s0", await listen(serve, nursery))
            found.append(link)
            nursery.start_soon(link.run)
            stream = await trio.open_tcp_stream(*link.place)
            await stream.send_all(REQUEST)
            sent = time.monotonic()
            time.sleep(STALL)
            await stream.receive_some(1)
            nursery.cancel_scope.cancel()
    (ran,) = records.ran
    assert ran.at > sent + STALL and abs(ran.sent - sent) < STALL / 4


def test_an_attempt_is_after_the_answer_by_when_it_was_sent():
    asked = Asked(1.0, "n0", "r1", "look", 2.0, status=200, ended=2.0, answers=1)

    def ran(at, sent):
        return Records(ran=[Ran(at, "s0", "a", 0, "n0", "r1", "look", "answered", sent)], asked={"r1": asked})

    assert after_answer(ran(2.9, 1.99)) == []
    late = ran(2.1, 2.06)
    assert after_answer(late) == late.ran
