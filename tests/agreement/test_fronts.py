"""Nodes and processors, whose workers are processes too, follow one history of versions under faults."""

import time

import trio
from async_scenarios import scenario
from test_processes import (
    AGREEMENT_TIME_S,
    REQUEST_MIX,
    check_guarantees,
    make_servers_reset,
    put_first_version,
    wait_for_retry,
)

from wheatroute.rig.options import RigOptions
from wheatroute.rig.rig import running_rig


@scenario
async def test_a_processor_cut_off_during_a_change_keeps_serving_and_agrees_later():
    async with running_rig(RigOptions(nodes=1, processors=2, store="etcd", bound_s=AGREEMENT_TIME_S)) as rig:
        make_servers_reset(rig)
        rig.start_load(40, REQUEST_MIX)
        await put_first_version(rig)
        for name in rig.names:
            await wait_for_retry(rig, name)
        rig.faults.partition("p1", "store", "back")
        number = await rig.versions.put("look has effects now", look__effect="fragile")
        assert await rig.versions.wait_for_outcome(number) == "in force"
        cut_at = time.monotonic()
        await rig.wait_until(
            lambda: (
                sum(
                    request.status == 200 and request.node == "p1" and request.sent_at > cut_at
                    for request in rig.records.requests.values()
                )
                > 20
            ),
            "p1 continues to serve",
        )
        rig.faults.heal("p1", "store")
        await rig.versions.wait_until_agreed(number)
        assert {row.name for row in (await rig.versions.status()).processes} == {
            "n0",
            "p0-0",
            "p0-1",
            "p1-0",
            "p1-1",
        }
        await check_guarantees(rig, repeats=2, served=100)


@scenario
async def test_a_processor_stopped_with_its_workers_during_a_change_retries_nothing_unsafe():
    async with running_rig(RigOptions(nodes=1, processors=1, bound_s=AGREEMENT_TIME_S)) as rig:
        make_servers_reset(rig)
        rig.start_load(40, REQUEST_MIX)
        await put_first_version(rig)
        await wait_for_retry(rig, "p0")
        rig.faults.stop("p0")
        stopped_at = time.monotonic()
        number = await rig.versions.put("look has effects now", look__effect="fragile")
        assert await rig.versions.wait_for_outcome(number) == "in force"
        await rig.wait_until(
            lambda: time.monotonic() > stopped_at + 3 * AGREEMENT_TIME_S,
            "three times the agreement time has passed",
        )
        rig.faults.resume("p0")
        resumed_at = time.monotonic()
        await rig.wait_until(
            lambda: (
                sum(
                    request.status == 200 and request.node == "p0" and request.sent_at > resumed_at
                    for request in rig.records.requests.values()
                )
                > 20
            ),
            "p0 serves again",
        )
        await rig.versions.wait_until_agreed(number)
        await check_guarantees(rig, served=60)


@scenario
async def test_a_processor_killed_with_its_workers_delays_no_change_and_agrees_after_a_restart():
    async with running_rig(RigOptions(nodes=1, processors=2, bound_s=AGREEMENT_TIME_S)) as rig:
        make_servers_reset(rig)
        rig.start_load(40, REQUEST_MIX)
        await put_first_version(rig)
        rig.faults.kill("p0")
        number = await rig.versions.put("look has effects now", look__effect="fragile")
        assert await rig.versions.wait_for_outcome(number) == "in force"
        await rig.versions.wait_until_agreed(number, ["n0", "p1"])
        await rig.faults.start("p0")
        with trio.fail_after(20):
            await rig.versions.wait_until_agreed(number)
        await check_guarantees(rig, served=60)


@scenario
async def test_a_drain_in_the_nodes_list_reaches_a_processor_whose_list_is_silent():
    async with running_rig(RigOptions(nodes=1, processors=1, bound_s=AGREEMENT_TIME_S)) as rig:
        rig.start_load(40, REQUEST_MIX)
        await put_first_version(rig)
        await rig.wait_until(
            lambda: (
                len({execution.server for execution in rig.records.executions if execution.node == "p0"}) == 4
            ),
            "p0 has sent to all servers",
        )
        rig.faults.partition("p0", "list")
        rig.faults.drain("s3")
        # The notice of the node reaches p0 within the agreement time after the drain.
        rig.records.drained_at["s3"] += AGREEMENT_TIME_S
        last_allowed_at = rig.records.drained_at["s3"] + 2.0
        await rig.wait_until(
            lambda: (
                sum(
                    execution.node == "p0" and execution.started_at > last_allowed_at + 0.5
                    for execution in rig.records.executions
                )
                > 20
            ),
            "p0 continues with the other servers",
        )
        await check_guarantees(rig, served=100)
