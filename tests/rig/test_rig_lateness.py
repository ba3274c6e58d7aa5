"""The delay of the rig's own event loop is measured, excused up to a limit, and not blamed on the program."""

import time

import trio
import trio.testing
from async_scenarios import scenario

from wheatroute.rig.loop_lateness import MAX_EXCUSED_S, LoopLateness
from wheatroute.rig.run_records import ClientRequest, RunRecords
from wheatroute.rig.verdict import excused_requests, lost_requests, summary

STALL_S = 0.3
TIMEOUT_S = 2.0


def records_of(ended, delays=()):
    """Returns records of a request that was sent at 10 s and answered at `ended`.

    `delays` are the delays of the rig's event loop: when its probe woke up, and how late that was.
    """
    records = RunRecords()
    records.requests["r1"] = ClientRequest(
        10.0, "n0", "r1", "look", TIMEOUT_S, status=200, ended_at=ended, response_count=1
    )
    for woke, delay in delays:
        records.lateness.record(woke, delay)
    return records


def test_a_late_response_on_a_punctual_rig_is_lost():
    assert [request.request_id for request in lost_requests(records_of(ended=12.9), until=20.0)] == ["r1"]


def test_a_response_no_later_than_the_delay_of_the_rig_is_excused_and_reported():
    records = records_of(ended=12.9, delays=[(11.0, 0.4), (12.9, 0.3)])
    assert not lost_requests(records, until=20.0) and len(excused_requests(records)) == 1
    assert summary(records, 20.0, 1.5)["rig_late_ms"] == 400.0


def test_delays_before_and_after_a_request_excuse_nothing():
    assert lost_requests(records_of(ended=12.9, delays=[(9.9, 0.9), (14.0, 0.9)]), until=20.0)


def test_the_excused_delay_is_limited():
    delays = [(10.0 + 0.5 * n, 0.5) for n in range(1, 12)]
    records = records_of(ended=12.3 + MAX_EXCUSED_S + 0.1, delays=delays)
    assert records.lateness.excused_s(10.0, 16.0) == MAX_EXCUSED_S
    assert lost_requests(records, until=20.0)


def test_a_request_without_a_response_is_lost_however_late_the_rig_is():
    records = records_of(ended=13.0, delays=[(12.0, 2.0)])
    records.requests["r1"].status = records.requests["r1"].response_count = 0
    assert lost_requests(records, until=20.0)


@scenario
async def test_the_delay_of_a_busy_loop_is_measured():
    lateness = LoopLateness()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lateness.run)
        await trio.testing.wait_all_tasks_blocked()  # the probe sleeps
        start = time.monotonic()
        while time.monotonic() < start + STALL_S:  # the rig's process is busy
            pass
        with trio.fail_after(10.0):
            while not lateness.delays_s:
                await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()
    assert lateness.excused_s(start, time.monotonic()) > STALL_S / 2
