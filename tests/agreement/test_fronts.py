"""Nodes and processors with workers, each a process, on one history of versions, judged from outside."""

import time

import trio
from async_scenarios import scenario
from test_processes import MIX, WITHIN, first_version, kept, repeated, rough

from wheatroute.rig.options import RigOptions
from wheatroute.rig.rig import running_rig


@scenario
async def test_nodes_and_processors_agree_though_a_processor_is_cut_off_through_a_change():
    async with running_rig(RigOptions(nodes=1, processors=2, store="etcd", bound_s=WITHIN)) as it:
        rough(it)
        it.start_load(40, MIX)
        await first_version(it)
        for name in it.names:
            await repeated(it, name)
        it.faults.partition("p1", "store", "back")
        number = await it.versions.put("look has effects now", look__effect="fragile")
        assert await it.versions.wait_for_outcome(number) == "in force"
        cut = time.monotonic()
        await it.wait_until(
            lambda: (
                sum(
                    one.status == 200 and one.node == "p1" and one.sent_at > cut
                    for one in it.records.requests.values()
                )
                > 20
            ),
            "p1 goes on serving",
        )
        it.faults.heal("p1", "store")
        await it.versions.wait_until_agreed(number)
        assert {row.name for row in (await it.versions.status()).processes} == {
            "n0",
            "p0-0",
            "p0-1",
            "p1-0",
            "p1-1",
        }
        await kept(it, repeats=2, served=100)


@scenario
async def test_a_processor_and_its_workers_that_stood_still_over_a_change_repeat_nothing():
    async with running_rig(RigOptions(nodes=1, processors=1, bound_s=WITHIN)) as it:
        rough(it)
        it.start_load(40, MIX)
        await first_version(it)
        await repeated(it, "p0")
        it.faults.stop("p0")
        stopped = time.monotonic()
        number = await it.versions.put("look has effects now", look__effect="fragile")
        assert await it.versions.wait_for_outcome(number) == "in force"
        await it.wait_until(
            lambda: time.monotonic() > stopped + 3 * WITHIN, "three times the stated time is over"
        )
        it.faults.resume("p0")
        on = time.monotonic()
        await it.wait_until(
            lambda: (
                sum(
                    one.status == 200 and one.node == "p0" and one.sent_at > on
                    for one in it.records.requests.values()
                )
                > 20
            ),
            "p0 serves again",
        )
        await it.versions.wait_until_agreed(number)
        await kept(it, served=60)


@scenario
async def test_a_processor_that_is_killed_with_its_workers_holds_nothing_up_and_comes_back_into_line():
    async with running_rig(RigOptions(nodes=1, processors=2, bound_s=WITHIN)) as it:
        rough(it)
        it.start_load(40, MIX)
        await first_version(it)
        it.faults.kill("p0")
        number = await it.versions.put("look has effects now", look__effect="fragile")
        assert await it.versions.wait_for_outcome(number) == "in force"
        await it.versions.wait_until_agreed(number, ["n0", "p1"])
        await it.faults.start("p0")
        with trio.fail_after(20):
            await it.versions.wait_until_agreed(number)
        await kept(it, served=60)


@scenario
async def test_a_drain_that_the_nodes_list_tells_is_kept_by_a_processor_whose_list_is_silent():
    async with running_rig(RigOptions(nodes=1, processors=1, bound_s=WITHIN)) as it:
        it.start_load(40, MIX)
        await first_version(it)
        await it.wait_until(
            lambda: (
                len({execution.server for execution in it.records.executions if execution.node == "p0"}) == 4
            ),
            "p0 sends to all",
        )
        it.faults.partition("p0", "list")
        it.faults.drain("s3")
        it.records.drained_at["s3"] += WITHIN  # it is told within that time, by the other's words
        last = it.records.drained_at["s3"] + 2.0
        await it.wait_until(
            lambda: (
                sum(
                    execution.node == "p0" and execution.started_at > last + 0.5
                    for execution in it.records.executions
                )
                > 20
            ),
            "p0 goes on with the others",
        )
        await kept(it, served=100)
