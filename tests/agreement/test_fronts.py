"""Nodes and processors with workers, each a process, on one history of versions, judged from outside."""

import time

import trio
from asynchronous import story
from test_processes import MIX, WITHIN, first_version, kept, repeated, rough

from wheatroute.rig.rig import rig


@story
async def test_nodes_and_processors_agree_though_a_processor_is_cut_off_through_a_change():
    async with rig(nodes=1, processors=2, store="etcd", within=WITHIN) as it:
        rough(it)
        it.call(40, MIX)
        await first_version(it)
        for name in it.names:
            await repeated(it, name)
        it.cut("p1", "store", "back")
        number = await it.put("look has effects now", look__effect="fragile")
        assert await it.ended(number) == "in force"
        cut = time.monotonic()
        await it.until(
            lambda: (
                sum(
                    one.status == 200 and one.node == "p1" and one.sent > cut
                    for one in it.records.asked.values()
                )
                > 20
            ),
            "p1 goes on serving",
        )
        it.heal("p1", "store")
        await it.agreed(number)
        assert {row["name"] for row in (await it.status())["processes"]} == {
            "n0",
            "p0-0",
            "p0-1",
            "p1-0",
            "p1-1",
        }
        await kept(it, repeats=2, served=100)


@story
async def test_a_processor_and_its_workers_that_stood_still_over_a_change_repeat_nothing():
    async with rig(nodes=1, processors=1, within=WITHIN) as it:
        rough(it)
        it.call(40, MIX)
        await first_version(it)
        await repeated(it, "p0")
        it.stop("p0")
        stopped = time.monotonic()
        number = await it.put("look has effects now", look__effect="fragile")
        assert await it.ended(number) == "in force"
        await it.until(lambda: time.monotonic() > stopped + 3 * WITHIN, "three times the stated time is over")
        it.go_on("p0")
        on = time.monotonic()
        await it.until(
            lambda: (
                sum(
                    one.status == 200 and one.node == "p0" and one.sent > on
                    for one in it.records.asked.values()
                )
                > 20
            ),
            "p0 serves again",
        )
        await it.agreed(number)
        await kept(it, served=60)


@story
async def test_a_processor_that_is_killed_with_its_workers_holds_nothing_up_and_comes_back_into_line():
    async with rig(nodes=1, processors=2, within=WITHIN) as it:
        rough(it)
        it.call(40, MIX)
        await first_version(it)
        it.kill("p0")
        number = await it.put("look has effects now", look__effect="fragile")
        assert await it.ended(number) == "in force"
        await it.agreed(number, ["n0", "p1"])
        await it.start("p0")
        with trio.fail_after(20):
            await it.agreed(number)
        await kept(it, served=60)


@story
async def test_a_drain_that_the_nodes_list_tells_is_kept_by_a_processor_whose_list_is_silent():
    async with rig(nodes=1, processors=1, within=WITHIN) as it:
        it.call(40, MIX)
        await first_version(it)
        await it.until(
            lambda: len({ran.server for ran in it.records.ran if ran.node == "p0"}) == 4, "p0 sends to all"
        )
        it.cut("p0", "list")
        it.drain("s3")
        it.records.drained["s3"] += WITHIN  # it is told within that time, by the other's words
        last = it.records.drained["s3"] + 2.0
        await it.until(
            lambda: sum(ran.node == "p0" and ran.at > last + 0.5 for ran in it.records.ran) > 20,
            "p0 goes on with the others",
        )
        await kept(it, served=100)
