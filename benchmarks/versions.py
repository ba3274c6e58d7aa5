"""What agreeing costs and holds: real nodes, each a process, under faults that none of them is told of.

Owns the list of faults, each around two changes of a request class (from safe to unsafe and back), and the
figures from the records of servers and clients. It must never ask a node whether it kept a promise; that no
process went back is the one figure read from logs, as only they tell which version a process acts on.

    python benchmarks/versions.py                 every fault, on a directory and on a stand-in etcd
    python benchmarks/versions.py --short --json  one JSON object as the last line, within 45 s
"""

from __future__ import annotations

import argparse
import heapq
import json
import os
import random
import re
import sys
import time
from collections.abc import Awaitable, Callable
from math import sqrt
from pathlib import Path
from typing import Any

import trio

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from wheatroute.agreement.member import Member  # noqa: E402
from wheatroute.agreement.version_follower import (  # noqa: E402
    EXCHANGES_PER_TTL,
    MAX_EXCHANGE_INTERVAL_S,
    status_read_interval_s,
)
from wheatroute.rig import verdict  # noqa: E402
from wheatroute.rig.options import RigOptions  # noqa: E402
from wheatroute.rig.rig import Rig, running_rig  # noqa: E402

WITHIN = 2.0  # seconds
RATE = 40.0  # requests a second at each node
MIX = {"look": 0.6, "change": 0.2, "buy": 0.2}
ACTED = re.compile(r"event=settings .*version=(\d+)")
TICK = os.sysconf("SC_CLK_TCK")

Fault = Callable[[Rig], Awaitable[None]]


async def nothing(it: Rig) -> None:
    pass


async def cut_both(it: Rig) -> None:
    it.faults.partition("n2", "store")


async def cut_there(it: Rig) -> None:
    it.faults.partition("n2", "store", "there")


async def cut_back(it: Rig) -> None:
    it.faults.partition("n2", "store", "back")


async def stopped(it: Rig) -> None:
    it.faults.stop("n2")


async def killed(it: Rig) -> None:
    it.faults.kill("n2")


async def all_gone(it: Rig) -> None:
    it.etcd.send_command("set", member=-1, silent=True)


async def two_gone(it: Rig) -> None:
    it.etcd.send_command("set", member=0, silent=True)
    it.etcd.send_command("set", member=1, behind=3)


async def late(it: Rig) -> None:
    for name in it.names:
        it.faults.impair(name, "etcd", delay=0.05)


FAULTS: list[tuple[str, str, Fault]] = [
    ("none", "directory", nothing),
    ("cut off", "directory", cut_both),
    ("stopped", "directory", stopped),
    ("killed", "directory", killed),
    ("none", "etcd", nothing),
    ("cut off", "etcd", cut_both),
    ("cut off there", "etcd", cut_there),
    ("cut off back", "etcd", cut_back),
    ("stopped", "etcd", stopped),
    ("killed", "etcd", killed),
    ("etcd all silent", "etcd", all_gone),
    ("etcd two of three", "etcd", two_gone),
    ("etcd 50 ms away", "etcd", late),
]
SHORT = (1, 2, 7)


async def heal(it: Rig, fault: Fault) -> None:
    if fault is stopped:
        it.faults.resume("n2")
    elif fault is killed:
        await it.faults.start("n2")
    elif fault in (cut_both, cut_there, cut_back):
        it.faults.heal("n2", "store")
    elif fault in (all_gone, two_gone):
        it.etcd.send_command("set", member=-1, silent=False, behind=0)


async def play(name: str, store: str, fault: Fault, rounds: int, seed: int) -> dict[str, Any]:
    """Two changes a round, the fault through both of them."""
    options = RigOptions(nodes=3, store=store, bound_s=WITHIN, seed=seed, timeout_s=300.0)
    async with running_rig(options) as it:
        for server in it.servers.values():
            server.reset_ratio = 0.1
        it.start_load(RATE, MIX)
        first = await it.versions.put("as it was")
        await it.versions.wait_for_outcome(first)
        await it.versions.wait_until_agreed(first)
        cut: list[tuple[float, float]] = []
        for _ in range(rounds):
            for effect in ("fragile", "retryable"):
                await trio.sleep(0.4)
                since = time.monotonic()
                number = -1
                if fault is all_gone:  # put, and then the store is away: else it could not be put
                    number = await it.versions.put(f"{name} {effect}", look__effect=effect)
                await fault(it)
                if fault is all_gone:
                    await trio.sleep(1.5 * WITHIN)
                    await heal(it, fault)
                else:
                    number = await it.versions.put(f"{name} {effect}", look__effect=effect)
                await it.versions.wait_for_outcome(number)
                await trio.sleep(0.25 * WITHIN)
                cut.append((since, time.monotonic()))
                if fault is not all_gone:
                    await heal(it, fault)
                await it.versions.wait_until_agreed(number)
        until = await it.stop_load()
        await it.versions.read_history()
        told = verdict.summary(it.records, until, WITHIN)
        by_version: dict[int, float] = {}
        for after, _, version in verdict.contradictions(it.records):
            by_version[version.number] = max(by_version.get(version.number, 0.0), after)
        told["last_contradictions"] = [by_version.get(one.number, 0.0) for one in it.records.versions[1:]]
        told["into_force"] = [one.ended_at - one.published_at for one in it.records.versions[1:]]
        told["went_back"] = sum(went_back(it.processes[one].log) for one in it.names)
        told["share"] = share(it, cut) if fault in (cut_both, cut_there, cut_back) else None
        violations = verdict.find_violations(it.records, until, WITHIN)
        if violations:
            print("\n".join([f"BROKEN in {name} on {store}: {violations[0].rule}", *violations[0].timeline]))
        return told


async def drains(store: str, count: int, seed: int) -> list[float]:
    """Seconds from a drain that others are told to the last act against it, by a node without its list.

    What servers saw it begin there; the grace of 2 s may be used. It hears of each return, too.
    """
    out = []
    options = RigOptions(nodes=3, store=store, bound_s=WITHIN, seed=seed, timeout_s=60.0 + 10.0 * count)
    async with running_rig(options) as it:
        it.start_load(RATE, MIX)
        first = await it.versions.put("as it was")
        await it.versions.wait_for_outcome(first)
        await it.versions.wait_until_agreed(first)

        def last() -> float:
            mine = (
                execution.started_at
                for execution in it.records.executions
                if (execution.node, execution.server) == ("n2", "s3")
            )
            return max(mine, default=0.0)

        it.faults.partition("n2", "list")
        for _ in range(count):
            since = time.monotonic()
            await it.wait_until(lambda since=since: last() > since, "n2 sends there")
            told = time.monotonic()
            it.faults.drain("s3")
            await trio.sleep(WITHIN + 2.5)
            out.append(max(0.0, last() - told))
            it.faults.undrain("s3")
    return out


PHASES = {"put": "", "joint": "phase=joint", "in force": "event=settings-decided"}


async def away(phase: str, seconds: float, seed: int) -> None:
    """All members silent for so long, from a phase of a change on; prints what was served meanwhile."""
    options = RigOptions(nodes=3, store="etcd", bound_s=WITHIN, seed=seed, timeout_s=seconds + 120.0)
    async with running_rig(options) as it:
        for server in it.servers.values():
            server.reset_ratio = 0.1
        it.start_load(RATE, MIX)
        first = await it.versions.put("as it was")
        await it.versions.wait_for_outcome(first)
        await it.versions.wait_until_agreed(first)
        await trio.sleep(2.0)

        def said() -> int:
            return sum(process.log.count(PHASES[phase]) for process in it.processes.values())

        heard, began = said(), time.monotonic()
        number = await it.versions.put("while it goes away", look__effect="fragile")
        if PHASES[phase]:
            await it.wait_until(lambda: said() > heard, phase)
        it.etcd.send_command("set", member=-1, silent=True)
        gone = time.monotonic()
        await trio.sleep(seconds)
        it.etcd.send_command("set", member=-1, silent=False)
        back = time.monotonic()
        await it.versions.wait_for_outcome(number)
        await it.versions.wait_until_agreed(number)
        agreed = time.monotonic()
        until = await it.stop_load()
        await it.versions.read_history()
        told = verdict.summary(it.records, until, WITHIN)
        parts = []
        for begin, end in ((0.0, began), (gone, back)):
            asked = [one for one in it.records.requests.values() if begin <= one.sent_at < end]
            parts.append(sum(one.status == 200 for one in asked) / len(asked))
        print(
            f"etcd away for {seconds:g} s from {phase:8} served before {parts[0]:.3f}, then {parts[1]:.3f}"
            f"; agreed {agreed - back:.2f} s after it came back; last contradiction "
            f"{told['worst_contradiction_ms'] / 1000:.2f} s; lost {told['lost']}  twice "
            f"{told['unsafe_twice']}  requests {told['commands']}",
            flush=True,
        )


def went_back(log: str) -> int:
    """How often a process acted on an earlier version than before; each start begins anew."""
    count, before = 0, 0
    for line in log.splitlines():
        if found := ACTED.search(line):
            acted = int(found[1])
            count += acted < before and 'reason="not confirmed yet"' not in line
            before = acted
    return count


def share(it: Rig, cut: list[tuple[float, float]]) -> float:
    """Share served at the node that is cut off, over the share at the others in the same seconds."""

    def served(mine: bool) -> float:
        found = [
            one
            for one in it.records.requests.values()
            if (one.node == "n2") == mine and any(begin <= one.sent_at <= end for begin, end in cut)
        ]
        return sum(one.status == 200 for one in found) / max(1, len(found))

    return served(True) / served(False)


async def cost(seconds: float, off: str) -> float:
    """Processor time a request with it on, over that of a node beside it with it off.

    Two nodes with it off differ by some hundredths too, so it is taken with either of them off.
    """
    async with running_rig(RigOptions(nodes=2, bound_s=10.0, timeout_s=120.0)) as it:
        told = it.files.read_node_file(off)
        del told["agreement"]
        it.faults.kill(off)
        it.files.write_node_file(off, told)
        await it.faults.start(off)
        await it.versions.wait_for_outcome(await it.versions.put("as it was"))
        it.start_load(150.0, {"look": 1.0})
        await trio.sleep(1.0)

        def used(name: str) -> float:
            fields = Path(f"/proc/{it.processes[name].pid}/stat").read_text().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / TICK

        before = {name: used(name) for name in it.names}
        counts = {name: sum(one.node == name for one in it.records.requests.values()) for name in it.names}
        await trio.sleep(seconds)
        each = {}
        for name in it.names:
            count = sum(one.node == name for one in it.records.requests.values()) - counts[name]
            each[name] = (used(name) - before[name]) / count
        return each["n1" if off == "n0" else "n0"] / each[off]


def followers(count: int, silent: int, within: float = 10.0, seed: int = 1) -> dict[str, float]:
    """Many members before one store in virtual time (simulated): no sockets, 2 to 20 ms to the store."""
    chance = random.Random(seed)
    members = [Member(f"n{i}", "1", within) for i in range(count)]
    pause = min(MAX_EXCHANGE_INTERVAL_S, members[0].confirmation_ttl_s / EXCHANGES_PER_TTL)
    log: list[dict[str, Any]] = []
    rows: dict[str, dict[str, Any]] = {}
    agenda = [(chance.random() * pause, i, "ask", 0.0) for i in range(count)]
    heapq.heapify(agenda)
    look_at = [0.0] * count
    put, forced, questions, reads, spent = -1.0, -1.0, 0, 0, 0.0
    while agenda:
        now, i, what, sent = heapq.heappop(agenda)
        member, history = members[i], members[i].history
        if put < 0.0 and now > 5.0:
            put = now
            log.append(history.put_record({"settings": {}}, "p", "", 0.0, ""))
        if forced >= 0.0 and all(one.effective.active == 1 for one in members[silent:]):
            return {
                "forced_s": forced - put,
                "all_s": now - put,
                "questions_a_second": questions / now,
                "row_reads": reads,
                "us_a_question": spent / questions * 1e6,
            }
        if i < silent and put >= 0.0:
            continue
        took = chance.uniform(0.002, 0.02)
        if what == "ask":
            rows[member.key] = member.next_status(0.0)
            heapq.heappush(agenda, (now + took, i, "answer", now))
        elif what == "answer":
            questions += 1
            began = time.perf_counter()
            before = history.head
            member.confirm(sent, log[before:])
            for version in member.unchecked_versions():
                member.record_check(version)
            member.set_effective(member.permitted(now))
            spent += time.perf_counter() - began
            if history.pending and now >= look_at[i]:
                reads += 1
                look_at[i] = now + status_read_interval_s(member.rank(list(rows.values())), pause)
                record = member.next_decision(now, now + took, list(rows.values()))
                if record is not None:
                    wait = min(1.0, member.rank(list(rows.values())) * pause / EXCHANGES_PER_TTL)
                    heapq.heappush(agenda, (now + took + wait, i, "add", 0.0))
                    continue
            heapq.heappush(agenda, (now + (0.0 if history.head > before else pause), i, "ask", 0.0))
        else:
            if len(log) == 1:
                log.append(history.next_record("force", version=1, by=member.name))
                forced = now
            heapq.heappush(agenda, (now, i, "ask", 0.0))
    raise AssertionError("nobody took it into force")


def quantile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def main() -> None:
    parse = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parse.add_argument("--short", action="store_true", help="three faults, ends within 45 s")
    parse.add_argument("--json", action="store_true", help="one JSON object as the last line")
    parse.add_argument("--rounds", type=int, default=3, help="of two changes, for each fault")
    parse.add_argument("--seed", type=int, default=1)
    parse.add_argument("--away", type=float, help="only: etcd away for so many seconds, in each phase")
    told = parse.parse_args()
    if told.away:
        for phase in PHASES:
            trio.run(away, phase, told.away, told.seed)
        return
    faults = [FAULTS[i] for i in SHORT] if told.short else FAULTS
    out: list[dict[str, Any]] = []
    for name, store, fault in faults:
        one = trio.run(play, name, store, fault, 1 if told.short else told.rounds, told.seed)
        out.append(one)
        last, force = one["last_contradictions"], one["into_force"]
        print(
            f"{name:18} {store:10} changes {len(last):2}  into force {quantile(force, 0.5):.2f} s, worst "
            f"{max(force):.2f}  last contradiction p50 {quantile(last, 0.5):.2f} worst {max(last):.2f} of "
            f"{WITHIN:g} s  late {one['late_contradictions']}  lost {one['lost']}  twice "
            f"{one['unsafe_twice']}  back {one['went_back']}  requests {one['commands']}  share "
            f"{'-' if one['share'] is None else round(one['share'], 3)}",
            flush=True,
        )
    ratios = [trio.run(cost, 2.0 if told.short else 40.0, off) for off in ("n1", "n0")]
    ratio = sqrt(ratios[0] * ratios[1])
    print(f"processor time a request, on over off: {ratio:.3f}")
    left = {
        store: trio.run(drains, store, 1 if told.short else 6, told.seed)
        for store in (("directory",) if told.short else ("directory", "etcd", "relay"))
    }
    for store, seconds in left.items():
        print(
            f"drain told to others, own list cut, {store}: last act median {quantile(seconds, 0.5):.2f} s, "
            f"worst {max(seconds):.2f} of {WITHIN + 2.0:g} s"
        )
    many = {silent: followers(200, silent) for silent in (0, 1)}
    for silent, one in many.items():
        print(
            f"simulated, 200 followers, {silent} silent: in force after {one['forced_s']:.2f} s, "
            f"everywhere after {one['all_s']:.2f} s; {one['questions_a_second']:.0f} questions a second, "
            f"all rows read {one['row_reads']:.0f} times, {one['us_a_question']:.0f} us a question"
        )
    shares = [one["share"] for one in out if one["share"] is not None]
    last = [value for one in out for value in one["last_contradictions"]]
    if told.json:
        print(
            json.dumps(
                {
                    "processes": 3,
                    "changes": len(last),
                    "late_contradictions": sum(one["late_contradictions"] for one in out),
                    "p50_contradiction_ms": round(1000 * quantile(last, 0.5), 1),
                    "p99_contradiction_ms": round(1000 * quantile(last, 0.99), 1),
                    "worst_contradiction_ms": round(1000 * max(last), 1),
                    "bound_ms": 1000 * WITHIN,
                    "worst_drain_ms": round(1000 * max(map(max, left.values())), 1),
                    "lost": sum(one["lost"] for one in out),
                    "unsafe_twice": sum(one["unsafe_twice"] + one["refused_begun"] for one in out),
                    "went_back": sum(one["went_back"] for one in out),
                    "served_cut_off_share": round(min(shares), 3) if shares else None,
                    "round_cost_ratio": round(ratio, 3),
                    "commands": sum(one["commands"] for one in out),
                }
            )
        )


if __name__ == "__main__":
    main()
