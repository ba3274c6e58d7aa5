"""Nodes and processors with workers, each a process, follow one history of versions under faults."""

import time

import trio
from async_scenarios import scenario
from test_processes import MIX, WITHIN, first_version, kept, repeated, rough

from wheatroute.rig.options import RigOptions
from wheatroute.rig.rig import running_rig


@scenario
async def test_a_processor_cut_off_during_a_change_keeps_serving_and_agrees_later():
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
            "p1 continues to serve",
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
async def test_a_processor_stopped_with_its_workers_during_a_change_retries_nothing_unsafe():
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
            lambda: time.monotonic() > stopped + 3 * WITHIN, "three times the agreement time has passed"
        )
        it.faults.resume("p0")
        resumed = time.monotonic()
        await it.wait_until(
            lambda: (
                sum(
                    one.status == 200 and one.node == "p0" and one.sent_at > resumed
                    for one in it.records.requests.values()
                )
                > 20
            ),
            "p0 serves again",
        )
        await it.versions.wait_until_agreed(number)
        await kept(it, served=60)


@scenario
async def test_a_processor_killed_with_its_workers_delays_no_change_and_agrees_after_a_restart():
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
async def test_a_drain_in_the_nodes_list_reaches_a_processor_whose_list_is_silent():
    async with running_rig(RigOptions(nodes=1, processors=1, bound_s=WITHIN)) as it:
        it.start_load(40, MIX)
        await first_version(it)
        await it.wait_until(
            lambda: (
                len({execution.server for execution in it.records.executions if execution.node == "p0"}) == 4
            ),
            "p0 has sent to all servers",
        )
        it.faults.partition("p0", "list")
        it.faults.drain("s3")
        it.records.drained_at["s3"] += WITHIN  # it learns of the drain within that time, by the node's notice
        last = it.records.drained_at["s3"] + 2.0
        await it.wait_until(
            lambda: (
                sum(
                    execution.node == "p0" and execution.started_at > last + 0.5
                    for execution in it.records.executions
                )
                > 20
            ),
            "p0 continues with the other servers",
        )
        await kept(it, served=100)
