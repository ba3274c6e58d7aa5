"""Several nodes, each a process, with a fault between them that none is told of, judged from outside.

Each test waits for what happens. A bound is looked up in the records, never waited out and hoped for.
"""

import os
import subprocess
import sys
import time

import pytest
import trio
from asynchronous import story

from wheatroute.rig import records
from wheatroute.rig.processes import RigError
from wheatroute.rig.rig import rig
from wheatroute.rig.settings import SETTINGS, change

WITHIN = 1.5  # seconds
MIX = {"look": 0.6, "change": 0.2, "buy": 0.2}


def rough(it):
    """Servers that end a tenth of what they have run without an answer: that is what repeats come of."""
    for server in it.servers.values():
        server.reset = 0.1


async def repeated(it, node, kind="look", since=None):
    """Waits until a node sends a request again that a server had begun: what it does while it may."""
    since = time.monotonic() if since is None else since

    def seen():
        return any(
            len(runs) > 1 and runs[0].kind == kind and runs[0].node == node and runs[0].at > since
            for runs in records.attempts(it.records).values()
        )

    await it.until(seen, f"{node} repeats {kind}")


async def first_version(it):
    number = await it.put("the first")
    assert await it.ended(number) == "in force"
    await it.agreed(number)


async def kept(it, **least):
    """No promise was broken, once there was so much to judge by; and the figures."""
    with trio.fail_after(20):
        while any(
            records.summary(it.records, time.monotonic(), WITHIN)[name] < value
            for name, value in least.items()
        ):
            await trio.sleep(0.1)
    until = await it.quiet()
    await it.note()
    breaches = records.judge(it.records, until, WITHIN)
    assert not breaches, "\n".join([breaches[0].rule, *breaches[0].story])
    return records.summary(it.records, until, WITHIN)


async def through_a_change(store, way):
    async with rig(nodes=3, store=store, within=WITHIN) as it:
        rough(it)
        it.call(50, MIX)
        await first_version(it)
        await repeated(it, "n2")
        it.cut("n2", "store", way)
        number = await it.put("look has effects now", look__effect="fragile")
        assert await it.ended(number) == "in force"  # one that is cut off holds nobody up
        cut = time.monotonic()
        await it.until(
            lambda: (
                sum(
                    one.status == 200 and one.node == "n2" and one.sent > cut
                    for one in it.records.asked.values()
                )
                > 20
            ),
            "n2 goes on serving",
        )
        assert "phase=careful version=1" in it.processes["n2"].log
        it.heal("n2", "store")
        await it.agreed(number)
        await kept(it, repeats=2, served=100)


@pytest.mark.parametrize(
    "store, way", [("directory", "both"), ("etcd", "both"), ("etcd", "there"), ("etcd", "back")]
)
def test_a_node_cut_off_through_a_whole_change_goes_on_carefully_and_within_the_stated_time(store, way):
    trio.run(through_a_change, store, way)


@story
async def test_a_process_that_stood_still_over_a_change_looks_at_the_clock_first():
    async with rig(nodes=3, within=WITHIN) as it:
        rough(it)
        it.call(50, MIX)
        await first_version(it)
        await repeated(it, "n1")
        it.stop("n1")
        number = await it.put("look has effects now", look__effect="fragile")
        assert await it.ended(number) == "in force"
        put = it.records.versions[-1].put
        # what comes meanwhile lies in its sockets, answers of servers among it
        await it.until(lambda: time.monotonic() > put + 3 * WITHIN, "three times the stated time has gone by")
        it.go_on("n1")
        gone_on = time.monotonic()
        await it.agreed(number)
        await it.until(
            lambda: sum(ran.node == "n1" and ran.at > gone_on for ran in it.records.ran) > 20,
            "n1 serves again",
        )
        await kept(it, served=100)


@story
async def test_from_effects_to_none_nobody_repeats_before_all_are_at_joint():
    async with rig(nodes=3, within=WITHIN, settings=change(SETTINGS, {"look__effect": "fragile"}, 3)) as it:
        rough(it)
        it.call(50, MIX)
        await first_version(it)
        it.cut("n2", "store")
        put = time.monotonic()
        number = await it.put("look has no effects", look__effect="retryable")
        assert await it.ended(number) == "in force"
        for name in ("n0", "n1"):  # clients hear of it: their form follows
            it.clients[name].kinds["look"] = (0.6, "retryable")
        await repeated(it, "n0")
        first = min(
            runs[1].at
            for runs in records.attempts(it.records).values()
            if len(runs) > 1 and runs[0].kind == "look"
        )
        # not before n2's last confirmation was over: it was seen at most a question before the put
        assert first - put > 0.5 * WITHIN
        it.heal("n2", "store")
        await it.agreed(number)
        await kept(it)


@story
async def test_what_can_be_used_at_one_place_only_never_comes_into_force_and_says_where():
    async with rig(nodes=2, within=WITHIN) as it:
        it.kill("n1")
        document = it.file("n1")
        document["settings"]["tick"] = 0.01
        it.write("n1", document)
        await it.start("n1")
        number = await it.put("the first")
        state = await it.ended(number)
        assert state.startswith("withdrawn: n1: tick: changes with a restart only")
        it.kill("n1")
        it.write("n1", document | {"settings": document["settings"] | {"tick": 0.005}})
        await it.start("n1")
        await first_version(it)


@pytest.mark.parametrize("phase", ["", "phase=joint", "event=settings-judged"])
def test_all_of_the_store_is_gone_in_each_phase_and_nothing_is_lost(phase):
    trio.run(store_gone, phase)


async def store_gone(phase):
    async with rig(nodes=3, store="etcd", within=WITHIN) as it:
        rough(it)
        it.call(40, MIX)
        await first_version(it)
        for effect in ("fragile", "retryable"):
            before = sum(process.log.count(phase) for process in it.processes.values()) if phase else -1
            number = await it.put("a change", look__effect=effect)
            # put, and hardly anyone has heard of it; some have; somebody has judged that all have
            await it.until(
                lambda before=before: (
                    sum(process.log.count(phase) for process in it.processes.values()) > before
                ),
                phase,
            )
            it.cluster.order("set", member=-1, silent=True)
            counts = [it.processes[name].log.count("phase=careful") for name in it.names]
            await it.until(
                lambda counts=counts: all(
                    it.processes[name].log.count("phase=careful") > count
                    for name, count in zip(it.names, counts, strict=True)
                ),
                "all are careful",
            )
            assert all(it.processes[name].alive for name in it.names)
            it.cluster.order("set", member=-1, silent=False)
            assert await it.ended(number) == "in force"
            await it.agreed(number)
        await kept(it, served=100)


@story
async def test_two_of_three_members_gone_or_one_that_lies_behind_hold_nothing_up():
    async with rig(nodes=2, store="etcd", within=WITHIN) as it:
        await first_version(it)
        it.cluster.order("set", member=0, silent=True)
        it.cluster.order("set", member=1, behind=3)  # it cannot ask the others, and says so
        number = await it.put("a change", look__effect="fragile")
        assert await it.ended(number) == "in force"
        await it.agreed(number)


@story
async def test_a_store_put_back_to_an_older_backup_takes_nobody_back():
    async with rig(nodes=2, store="etcd", within=WITHIN) as it:
        rough(it)
        it.call(40, MIX)
        await first_version(it)
        it.cluster.order("keep")
        number = await it.put("look has effects now", look__effect="fragile")
        assert await it.ended(number) == "in force"
        await it.agreed(number)
        it.cluster.order("restore")
        await it.until(
            lambda: all("phase=careful version=2" in it.processes[name].log for name in it.names),
            "both are careful, and stay at what they acted on",
        )
        for name in it.names:
            phases = [line for line in it.processes[name].log.splitlines() if "event=settings " in line]
            acted = [int(line.split("version=")[1].split()[0]) for line in phases]
            assert acted == sorted(acted)
        await kept(it)


@story
async def test_another_cluster_in_the_place_of_the_first_confirms_nothing():
    async with rig(nodes=2, store="etcd", within=WITHIN) as it:
        await first_version(it)
        it.cluster.order("clear", cluster=77)
        await it.until(
            lambda: all(
                "cluster 4d answers in the place of 1" in it.processes[name].log for name in it.names
            ),
            "both say so",
        )
        await it.until(
            lambda: all("phase=careful version=1" in it.processes[name].log for name in it.names),
            "both are careful",
        )


@story
async def test_of_two_operators_at_once_one_is_told_and_neither_is_lost():
    async with rig(nodes=2, within=WITHIN) as it:
        await first_version(it)
        it.stop("n1")  # so that the first of them stays under way
        asked = [
            it.command("put", it.file_of(look__effect="fragile"), "--why", f"operator {i}") for i in range(2)
        ]
        await it.until(lambda: not any(one.alive for one in asked), "both were answered")
        assert sorted(one.status for one in asked) == [0, 3]
        refused = next(one for one in asked if one.status == 3)
        assert "version 2 by" in refused.log and "--over 2" in refused.log
        over = it.command("put", it.file_of(look__hard_stop=1.9), "--why", "over it", "--over", "2")
        await it.until(lambda: not over.alive, "it was put")
        assert over.status == 0
        it.go_on("n1")
        await it.agreed(3)
        history = await it.note()
        assert history.versions[2].state == "replaced by 3" and history.active == 3


@story
async def test_a_put_whose_answer_is_lost_is_put_once_and_its_operator_hears_of_it():
    async with rig(nodes=2, store="etcd", within=WITHIN) as it:
        await first_version(it)
        put = it.command("put", it.file_of(look__effect="fragile"), "--why", "once", through="operator")

        async def cut_when_it_is_there():
            while len((await it.note()).versions) < 2:
                await trio.sleep(0)

        # answers come late, so that the cut falls between the record and its answer
        it.spoil("operator", "etcd", "back", delay=0.3)
        with trio.fail_after(20):
            await cut_when_it_is_there()
        it.cut("operator", "etcd", "back")
        it.reset("operator", "etcd")
        it.heal("operator", "etcd")
        await it.until(lambda: not put.alive, "the operator was answered")
        assert put.status == 0 and "version 2 put" in put.log
        assert len((await it.note()).versions) == 2


@story
async def test_a_program_that_dies_while_it_puts_leaves_a_whole_version_or_none():
    async with rig(nodes=2, within=WITHIN) as it:
        await first_version(it)
        for i in range(6):
            file = it.file_of(look__hard_stop=1.5 + i / 100)
            put = it.command("put", file, "--why", f"{i}")
            with trio.move_on_after(0.05 * i + 0.1):
                await it.until(lambda put=put: not put.alive, "it has ended")
            put.end()
            history = await it.note()
            if history.pending:
                assert await it.ended(history.pending) == "in force"
            await it.agreed((await it.note()).active)


@story
async def test_a_hundred_puts_in_ten_seconds_end_with_the_last_one_everywhere():
    async with rig(nodes=3, within=WITHIN) as it:
        rough(it)
        it.call(30, MIX)
        await first_version(it)
        number = 1
        for i in range(100):
            number = await it.put(f"{i}", over=number, look__effect=("fragile", "retryable", "dedup")[i % 3])
        await it.agreed(number)
        assert number == 101
        await kept(it)


@story
async def test_a_node_that_starts_in_the_middle_of_a_change_counts_from_its_first_act_on():
    async with rig(nodes=3, within=WITHIN) as it:
        rough(it)
        it.call(40, MIX)
        await first_version(it)
        it.kill("n2")
        it.stop("n1")  # the change stays open for as long as n1's confirmation lasts
        number = await it.put("look has effects now", look__effect="fragile")
        await it.start("n2")
        await it.until(
            lambda: (
                "phase=joint version=1 joint=2" in it.processes["n2"].log
                or "version=2" in it.processes["n2"].log
            ),
            "n2 keeps within both",
        )
        assert await it.ended(number) == "in force"
        it.go_on("n1")
        await it.agreed(number)
        await kept(it)


@story
async def test_a_node_that_starts_while_the_store_is_away_serves_carefully_and_repeats_nothing():
    async with rig(nodes=2, store="etcd", within=WITHIN) as it:
        rough(it)
        await first_version(it)
        number = await it.put("look has effects now", look__effect="fragile")
        assert await it.ended(number) == "in force"
        it.kill("n1")
        it.cut("n1", "store")
        await it.start("n1")  # its own file still says that look has none
        it.call(40, MIX)
        await it.until(
            lambda: sum(one.node == "n1" and one.status == 200 for one in it.records.asked.values()) > 60,
            "n1 serves",
        )
        assert not any(
            len(runs) > 1 and runs[0].node == "n1" for runs in records.attempts(it.records).values()
        )
        it.heal("n1", "store")
        await it.agreed(number)
        await kept(it)


@story
async def test_two_processes_of_one_name_both_count_and_are_told_of():
    async with rig(nodes=2, within=WITHIN) as it:
        await first_version(it)
        double = it.double("n1")
        await it.until(lambda: 'phase="in force" version=1' in double.log, "the second one was confirmed")
        rows = [row for row in (await it.status())["processes"] if row["name"] == "n1"]
        assert len(rows) == 2 and all(row["doubled"] for row in rows)
        number = await it.put("a change", look__effect="fragile")
        assert await it.ended(number) == "in force" and "joint=2" in double.log


@story
async def test_a_version_that_all_can_use_and_that_is_wrong_is_taken_back_within_the_stated_time():
    async with rig(nodes=3, within=WITHIN) as it:
        it.call(40, {"look": 1.0})
        await first_version(it)
        number = await it.put("wrong", allowed__most_relays=0)
        assert await it.ended(number) == "in force"
        wrong = time.monotonic()
        await it.until(
            lambda: (
                sum(one.sent > wrong and one.status in (502, 503) for one in it.records.asked.values()) > 20
            ),
            "it refuses what comes",
        )
        asked = time.monotonic()
        back = it.command("back", "1", "--why", "it refuses everything", "--wait", "10")
        await it.until(lambda: not back.alive, "it is back")
        assert back.status == 0 and "version 3: in force" in back.log
        await it.agreed(3)
        # the command line's own start takes most of it
        assert (await it.note()).versions[3].parent == 2 and time.monotonic() - asked < 5 * WITHIN
        well = time.monotonic()
        await it.until(
            lambda: sum(one.sent > well and one.status == 200 for one in it.records.asked.values()) > 20,
            "it handles again",
        )


@story
async def test_a_machine_with_one_reader_agrees_like_the_others_and_is_careful_without_it():
    async with rig(nodes=3, store="relay", within=WITHIN) as it:
        rough(it)
        it.call(50, MIX)
        await first_version(it)
        await repeated(it, "n1")
        links = {name: link.connections for name, link in it.links.items() if "etcd" in name}
        assert links and all(name.startswith("relay-") for name in links)  # nobody else reads etcd
        assert {row["name"] for row in (await it.status())["processes"]} == {"n0", "n1", "n2", "relay-here"}
        it.cut("relay", "etcd", "back")
        number = await it.put("look has effects now", look__effect="fragile")
        await it.until(
            lambda: all("phase=careful version=1" in it.processes[name].log for name in it.names),
            "all are careful",
        )
        it.heal("relay", "etcd")
        assert await it.ended(number) == "in force"
        await it.agreed(number)
        it.processes["relay"].signal(9)
        counts = [it.processes[name].log.count("phase=careful version=2") for name in it.names]
        await it.until(
            lambda: all(
                it.processes[name].log.count("phase=careful version=2") > count
                for name, count in zip(it.names, counts, strict=True)
            ),
            "careful again",
        )
        it.processes["relay"].start()
        await it.agreed(number)
        await kept(it, repeats=2)


@story
async def test_a_process_that_ends_holds_no_change_up():
    async with rig(nodes=3, within=WITHIN) as it:
        await first_version(it)
        it.processes["n2"].signal(15)
        await it.until(lambda: not it.processes["n2"].alive, "it has ended")
        assert it.processes["n2"].status == 0
        assert {row["name"] for row in (await it.status())["processes"]} == {"n0", "n1"}


def test_without_the_table_a_node_loads_none_of_it_and_has_one_thread_and_no_child():
    async def run():
        async with rig(nodes=1, within=WITHIN) as it:
            document = it.file("n0")
            del document["agreement"]
            it.kill("n0")
            it.write("n0", document)
            await it.start("n0")
            pid = it.processes["n0"].pid
            assert len(os.listdir(f"/proc/{pid}/task")) == 1
            assert not open(f"/proc/{pid}/task/{pid}/children").read()
            assert "event=settings" not in it.processes["n0"].log.rsplit("event=listening", 1)[1]

    trio.run(run)
    text = (
        "import wheatroute.__main__, sys; print([one for one in sys.modules"
        " if any(part in one for part in ('agreement', 'rfc8785', 'wheatroute.rig', 'rollout'))])"
    )
    result = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


def test_the_rig_says_what_it_waited_for_and_ends_what_it_started():
    pids = []

    async def run():
        async with rig(nodes=1, within=WITHIN) as it:
            pids.append(it.processes["n0"].pid)
            it.stop("n0")
            with pytest.raises(RigError, match="waited 0.1 s until pigs fly"):
                await it.until(lambda: False, "pigs fly", 0.1)

    trio.run(run)
    with pytest.raises(ProcessLookupError):
        os.kill(pids[0], 0)


@story
async def test_a_node_follows_its_servers_in_etcd_and_keeps_drains_through_its_faults():
    async with rig(nodes=2, store="etcd", lists="etcd", within=WITHIN) as it:
        it.call(40, MIX)
        await first_version(it)
        await it.until(lambda: len({ran.server for ran in it.records.ran}) == 4, "all servers serve")
        it.cluster.order("set", member=0, silent=True)
        it.drain("s3")
        drained = time.monotonic()
        await it.until(lambda: sum(ran.at > drained + 2.3 for ran in it.records.ran) > 40, "the others serve")
        it.cluster.order("set", member=0, silent=False)
        assert all(
            row["list_revision"] > 1 and row["list_source"] == "etcd 1"
            for row in (await it.status())["processes"]
        )
        # counted by their keys, whatever number the settings have
        assert all(
            "event=peers" in it.processes[name].log and "nodes=2" in it.processes[name].log
            for name in it.names
        )
        await kept(it, served=100)


@story
async def test_a_list_that_was_put_back_undoes_no_drain_and_is_followed_again_later():
    async with rig(nodes=2, within=WITHIN) as it:
        it.call(40, MIX)
        await first_version(it)
        it.drain("s3")
        drained = time.monotonic()
        await it.until(lambda: sum(ran.at > drained + 0.5 for ran in it.records.ran) > 20, "the others serve")
        it.lists["n0"].put_back(1)
        await it.until(lambda: "event=list-behind" in it.processes["n0"].log, "n0 sees that it lies behind")
        behind = time.monotonic()
        await it.until(lambda: sum(ran.at > behind + 2.5 for ran in it.records.ran) > 20, "it goes on")
        for _ in range(2):
            it.drain("s3")
        await it.until(lambda: "event=list-came-up" in it.processes["n0"].log, "n0 follows it again")
        it.records.drained["s3"] = drained
        await kept(it, served=100)


@story
async def test_another_cluster_with_lower_numbers_takes_no_server_from_a_node_that_agrees():
    async with rig(nodes=2, store="directory", lists="etcd", within=WITHIN) as it:
        it.call(40, MIX)
        await first_version(it)
        it.drain("s3")
        drained = time.monotonic()
        await it.until(lambda: sum(ran.at > drained + 1.0 for ran in it.records.ran) > 20, "the others serve")
        it.cluster.order("clear", cluster=77)  # with no servers at all
        await it.until(
            lambda: all(
                "cluster 4d answers in the place of 1" in it.processes[name].log for name in it.names
            ),
            "both say so",
        )
        other = time.monotonic()
        await it.until(
            lambda: sum(one.sent > other and one.status == 200 for one in it.records.asked.values()) > 60,
            "they serve by what they had",
        )
        await kept(it, served=100)


@story
async def test_words_among_nodes_that_get_lost_repeated_late_and_out_of_order_break_nothing():
    settings = change(SETTINGS, {"report__how": "probe", "allowed__probes": True}, 3)
    settings["allowed"]["peers"] = True
    async with rig(nodes=3, within=WITHIN, settings=settings, peers=True) as it:
        it.call(40, MIX)
        for one, other in (("n0", "n1"), ("n0", "n2"), ("n1", "n2")):
            it.spoil(one, other, lose=0.3, repeat=0.3, reorder=0.3, delay=0.05)
        words = [it.links[name] for name in ("n0-n1", "n0-n2", "n1-n2")]
        await it.until(
            lambda: all(link.lost and link.repeated and link.reordered for link in words[:2]),
            "words were lost, repeated and out of order",
        )
        it.cut("n0", "n1", "there")
        passed = words[1].passed
        await it.until(lambda: words[1].passed > passed, "the others still talk")
        await kept(it, served=100)


@story
async def test_a_group_that_narrows_is_kept_to_within_the_stated_time():
    async with rig(nodes=3, servers=6, store="etcd", within=WITHIN) as it:
        rough(it)
        it.call(60, {"change": 1.0})
        await first_version(it)
        await repeated(it, "n2", "change")
        it.cut("n2", "store", "back")
        number = await it.put("keys are a cell's", change__group="cell")
        assert await it.ended(number) == "in force"
        await it.agreed(number, ["n0", "n1"])
        await repeated(it, "n0", "change")  # inside the cell it still may
        it.heal("n2", "store")
        await it.agreed(number)
        await kept(it, repeats=5)


@story
async def test_a_drain_is_not_undone_by_an_older_backup_of_the_store():
    async with rig(nodes=2, store="directory", lists="etcd", within=WITHIN) as it:
        it.call(40, MIX)
        await first_version(it)
        it.cluster.order("keep")
        it.drain("s3")
        drained = time.monotonic()
        await it.until(lambda: sum(ran.at > drained + 1.0 for ran in it.records.ran) > 20, "the others serve")
        it.cluster.order("restore")
        it.reset("n0", "list")
        it.reset("n1", "list")
        restored = time.monotonic()
        await it.until(lambda: sum(ran.at > restored + 2.5 for ran in it.records.ran) > 20, "they go on")
        await kept(it, served=100)


def test_a_script_is_played_judged_and_drawn(tmp_path):
    script = tmp_path / "short.toml"
    text = open("examples/rig/cut_off.toml").read()
    script.write_text(text.replace("seconds = 12.0", "seconds = 5.0").replace("within = 2.0", "within = 1.5"))
    cli = [sys.executable, "-m", "wheatroute.cli", "rig"]
    into = tmp_path / "kept"
    done = subprocess.run([*cli, "run", str(script), "--into", str(into)], capture_output=True, text=True)
    assert done.returncode == 0 and "no promise broken" in done.stdout, done.stdout + done.stderr
    drawn = subprocess.run([*cli, "report", str(into)], capture_output=True, text=True, check=True)
    assert (into / "timeline.png").stat().st_size > 10_000 and "report.md" in drawn.stdout
    again = subprocess.run([*cli, "run", str(script), "--into", str(into)], capture_output=True, text=True)
    assert again.returncode == 2 and "holds something already" in again.stderr
    script.write_text(text.replace('do = "cut"', 'do = "chop"'))
    wrong = subprocess.run([*cli, "run", str(script)], capture_output=True, text=True)
    assert wrong.returncode == 2 and "steps.0.do" in wrong.stderr


@story
async def test_a_request_class_and_a_tenant_come_and_go_while_nodes_serve():
    async with rig(nodes=2, within=WITHIN) as it:
        it.call(30, {"look": 1.0})
        await first_version(it)
        clients = it.clients["n0"]
        clients.kinds["peek"] = (0.0, "retryable")
        assert (await clients.ask("peek")).status == 404
        look = it.settings["traffic-types"][0]
        number = await it.put(
            "peek comes",
            **{
                "traffic-types": [look, look | {"name": "peek"}],
                "tenants": [{"name": "other", "portion": 1.0, "quota-rps": 500.0}],
            },
        )
        assert await it.ended(number) == "in force"
        await it.agreed(number)
        assert (await clients.ask("peek")).status == 200 and (await clients.ask("look")).status == 200
        clients.kinds["buy"] = (0.0, "fragile")
        assert (await clients.ask("buy")).status == 404
        it.records.asked = {name: one for name, one in it.records.asked.items() if one.status != 404}
        await kept(it)


@story
async def test_a_node_that_only_flaps_holds_no_change_up():
    async with rig(nodes=3, store="etcd", within=WITHIN) as it:
        rough(it)
        it.call(40, MIX)
        await first_version(it)

        async def flap():
            while True:
                it.cut("n2", "store", "back")
                await trio.sleep(0.4)
                it.heal("n2", "store")
                await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(flap)
            for effect in ("fragile", "retryable"):
                number = await it.put("a change", look__effect=effect)
                assert await it.ended(number, 4 * WITHIN) == "in force"
                await it.agreed(number, ["n0", "n1"])
            nursery.cancel_scope.cancel()
        it.heal("n2", "store")
        await it.agreed(number)
        await kept(it, repeats=1)
