"""Measures the cost and the guarantees of the agreement on settings, with real nodes under injected faults.

During each fault a request class is changed twice (from safe to unsafe and back). The figures come from the
records of servers and clients; a node must never be asked whether it kept a guarantee. Only the check that no
process went back to an earlier version reads logs, as only they contain the version that a process acts on.

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

AGREEMENT_TIME_S = 2.0
RATE = 40.0  # requests per second at each node
MIX = {"look": 0.6, "change": 0.2, "buy": 0.2}
ACTED_VERSION = re.compile(r"event=settings .*version=(\d+)")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

Fault = Callable[[Rig], Awaitable[None]]


async def no_fault(rig: Rig) -> None:
    pass


async def partition(rig: Rig) -> None:
    rig.faults.partition("n2", "store")


async def partition_requests(rig: Rig) -> None:
    rig.faults.partition("n2", "store", "there")


async def partition_responses(rig: Rig) -> None:
    rig.faults.partition("n2", "store", "back")


async def suspend_node(rig: Rig) -> None:
    rig.faults.stop("n2")


async def kill_node(rig: Rig) -> None:
    rig.faults.kill("n2")


async def silence_all_members(rig: Rig) -> None:
    rig.etcd.send_command("set", member=-1, silent=True)


async def impair_two_members(rig: Rig) -> None:
    rig.etcd.send_command("set", member=0, silent=True)
    rig.etcd.send_command("set", member=1, behind=3)


async def delay_store(rig: Rig) -> None:
    for name in rig.names:
        rig.faults.impair(name, "etcd", delay=0.05)


FAULTS: list[tuple[str, str, Fault]] = [
    ("none", "directory", no_fault),
    ("cut off", "directory", partition),
    ("stopped", "directory", suspend_node),
    ("killed", "directory", kill_node),
    ("none", "etcd", no_fault),
    ("cut off", "etcd", partition),
    ("cut off there", "etcd", partition_requests),
    ("cut off back", "etcd", partition_responses),
    ("stopped", "etcd", suspend_node),
    ("killed", "etcd", kill_node),
    ("etcd all silent", "etcd", silence_all_members),
    ("etcd two of three", "etcd", impair_two_members),
    ("etcd 50 ms away", "etcd", delay_store),
]
SHORT = (1, 2, 7)  # indexes in FAULTS


async def heal(rig: Rig, fault: Fault) -> None:
    """Ends a fault."""
    if fault is suspend_node:
        rig.faults.resume("n2")
    elif fault is kill_node:
        await rig.faults.start("n2")
    elif fault in (partition, partition_requests, partition_responses):
        rig.faults.heal("n2", "store")
    elif fault in (silence_all_members, impair_two_members):
        rig.etcd.send_command("set", member=-1, silent=False, behind=0)


async def run_fault(name: str, store: str, fault: Fault, rounds: int, seed: int) -> dict[str, Any]:
    """Makes two changes in each round while the fault is in effect; returns the figures of the run."""
    options = RigOptions(nodes=3, store=store, bound_s=AGREEMENT_TIME_S, seed=seed, timeout_s=300.0)
    async with running_rig(options) as rig:
        for server in rig.servers.values():
            server.reset_ratio = 0.1
        rig.start_load(RATE, MIX)
        first = await rig.versions.put("as it was")
        await rig.versions.wait_for_outcome(first)
        await rig.versions.wait_until_agreed(first)
        fault_periods: list[tuple[float, float]] = []
        for _ in range(rounds):
            for effect in ("fragile", "retryable"):
                await trio.sleep(0.4)
                since = time.monotonic()
                number = -1
                if fault is silence_all_members:
                    # The change must be put before the store becomes unreachable.
                    number = await rig.versions.put(f"{name} {effect}", look__effect=effect)
                await fault(rig)
                if fault is silence_all_members:
                    await trio.sleep(1.5 * AGREEMENT_TIME_S)
                    await heal(rig, fault)
                else:
                    number = await rig.versions.put(f"{name} {effect}", look__effect=effect)
                await rig.versions.wait_for_outcome(number)
                await trio.sleep(0.25 * AGREEMENT_TIME_S)
                fault_periods.append((since, time.monotonic()))
                if fault is not silence_all_members:
                    await heal(rig, fault)
                await rig.versions.wait_until_agreed(number)
        until = await rig.stop_load()
        await rig.versions.read_history()
        figures = verdict.summary(rig.records, until, AGREEMENT_TIME_S)
        by_version: dict[int, float] = {}
        for after, _, version in verdict.contradictions(rig.records):
            by_version[version.number] = max(by_version.get(version.number, 0.0), after)
        figures["last_contradictions"] = [
            by_version.get(version.number, 0.0) for version in rig.records.versions[1:]
        ]
        figures["into_force"] = [
            version.ended_at - version.published_at for version in rig.records.versions[1:]
        ]
        figures["went_back"] = sum(count_version_rollbacks(rig.processes[node].log) for node in rig.names)
        figures["share"] = (
            relative_share(rig, fault_periods)
            if fault in (partition, partition_requests, partition_responses)
            else None
        )
        violations = verdict.find_violations(rig.records, until, AGREEMENT_TIME_S)
        if violations:
            print("\n".join([f"BROKEN in {name} on {store}: {violations[0].rule}", *violations[0].timeline]))
        return figures


async def drain_delays(store: str, count: int, seed: int) -> list[float]:
    """Measures how soon a node without its server list follows drains that it learns from the other nodes.

    Returns, for each drain, the seconds to the last request that the drained server got from this node, by
    the records of the servers; the node may use the grace period of 2 s. The node also learns of each
    server's return.
    """
    delays = []
    options = RigOptions(
        nodes=3, store=store, bound_s=AGREEMENT_TIME_S, seed=seed, timeout_s=60.0 + 10.0 * count
    )
    async with running_rig(options) as rig:
        rig.start_load(RATE, MIX)
        first = await rig.versions.put("as it was")
        await rig.versions.wait_for_outcome(first)
        await rig.versions.wait_until_agreed(first)

        def last() -> float:
            mine = (
                execution.started_at
                for execution in rig.records.executions
                if (execution.node, execution.server) == ("n2", "s3")
            )
            return max(mine, default=0.0)

        rig.faults.partition("n2", "list")
        for _ in range(count):
            since = time.monotonic()
            await rig.wait_until(lambda since=since: last() > since, "n2 sends to s3")
            drained_at = time.monotonic()
            rig.faults.drain("s3")
            await trio.sleep(AGREEMENT_TIME_S + 2.5)
            delays.append(max(0.0, last() - drained_at))
            rig.faults.undrain("s3")
    return delays


# By phase of a change: the log text which shows that a process is in it.
PHASE_LOG_TEXTS = {"put": "", "joint": "phase=joint", "in force": "event=settings-decided"}


async def etcd_outage(phase: str, seconds: float, seed: int) -> None:
    """Silences all etcd members from a phase of a change on; prints the share of requests then served."""
    options = RigOptions(
        nodes=3, store="etcd", bound_s=AGREEMENT_TIME_S, seed=seed, timeout_s=seconds + 120.0
    )
    async with running_rig(options) as rig:
        for server in rig.servers.values():
            server.reset_ratio = 0.1
        rig.start_load(RATE, MIX)
        first = await rig.versions.put("as it was")
        await rig.versions.wait_for_outcome(first)
        await rig.versions.wait_until_agreed(first)
        await trio.sleep(2.0)

        def count_log_texts() -> int:
            return sum(process.log.count(PHASE_LOG_TEXTS[phase]) for process in rig.processes.values())

        count_before, began = count_log_texts(), time.monotonic()
        number = await rig.versions.put("while it goes away", look__effect="fragile")
        if PHASE_LOG_TEXTS[phase]:
            await rig.wait_until(lambda: count_log_texts() > count_before, phase)
        rig.etcd.send_command("set", member=-1, silent=True)
        silenced_at = time.monotonic()
        await trio.sleep(seconds)
        rig.etcd.send_command("set", member=-1, silent=False)
        resumed_at = time.monotonic()
        await rig.versions.wait_for_outcome(number)
        await rig.versions.wait_until_agreed(number)
        agreed_at = time.monotonic()
        until = await rig.stop_load()
        await rig.versions.read_history()
        summary = verdict.summary(rig.records, until, AGREEMENT_TIME_S)
        served_shares = []
        for begin, end in ((0.0, began), (silenced_at, resumed_at)):
            requests = [
                request for request in rig.records.requests.values() if begin <= request.sent_at < end
            ]
            served_shares.append(sum(request.status == 200 for request in requests) / len(requests))
        print(
            f"etcd away for {seconds:g} s from {phase:8} served before {served_shares[0]:.3f}, "
            f"then {served_shares[1]:.3f}; agreed {agreed_at - resumed_at:.2f} s after its return; "
            f"last contradiction {summary['worst_contradiction_ms'] / 1000:.2f} s; lost {summary['lost']}  "
            f"twice {summary['unsafe_twice']}  requests {summary['commands']}",
            flush=True,
        )


def count_version_rollbacks(log: str) -> int:
    """Counts how often a process acted on an earlier version than before, in the log of one process.

    A process that has just started may act on an earlier version until it is confirmed; that is not
    counted.
    """
    count, before = 0, 0
    for line in log.splitlines():
        if found := ACTED_VERSION.search(line):
            acted = int(found[1])
            count += acted < before and 'reason="not confirmed yet"' not in line
            before = acted
    return count


def relative_share(rig: Rig, fault_periods: list[tuple[float, float]]) -> float:
    """Returns the share of requests served at the partitioned node, divided by that at the others."""

    def served_share(is_partitioned: bool) -> float:
        requests = [
            request
            for request in rig.records.requests.values()
            if (request.node == "n2") == is_partitioned
            and any(begin <= request.sent_at <= end for begin, end in fault_periods)
        ]
        return sum(request.status == 200 for request in requests) / max(1, len(requests))

    return served_share(True) / served_share(False)


async def relative_cpu_cost(seconds: float, off: str) -> float:
    """Returns the CPU time per request of a node with agreement, divided by that of a node without (`off`).

    Two equal nodes also differ by some hundredths, so callers measure with either node as the one without.
    """
    async with running_rig(RigOptions(nodes=2, bound_s=10.0, timeout_s=120.0)) as rig:
        settings = rig.files.read_node_file(off)
        del settings["agreement"]
        rig.faults.kill(off)
        rig.files.write_node_file(off, settings)
        await rig.faults.start(off)
        await rig.versions.wait_for_outcome(await rig.versions.put("as it was"))
        rig.start_load(150.0, {"look": 1.0})
        await trio.sleep(1.0)

        def cpu_seconds(name: str) -> float:
            fields = Path(f"/proc/{rig.processes[name].pid}/stat").read_text().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

        before = {name: cpu_seconds(name) for name in rig.names}
        counts = {
            name: sum(request.node == name for request in rig.records.requests.values()) for name in rig.names
        }
        await trio.sleep(seconds)
        cpu_per_request = {}
        for name in rig.names:
            count = sum(request.node == name for request in rig.records.requests.values()) - counts[name]
            cpu_per_request[name] = (cpu_seconds(name) - before[name]) / count
        return cpu_per_request["n1" if off == "n0" else "n0"] / cpu_per_request[off]


def simulate_members(count: int, silent: int, within: float = 10.0, seed: int = 1) -> dict[str, float]:
    """Simulates many members of one store in virtual time: no sockets, 2 to 20 ms to the store."""
    rng = random.Random(seed)
    members = [Member(f"n{index}", "1", within) for index in range(count)]
    interval = min(MAX_EXCHANGE_INTERVAL_S, members[0].confirmation_ttl_s / EXCHANGES_PER_TTL)
    log: list[dict[str, Any]] = []
    rows: dict[str, dict[str, Any]] = {}
    agenda = [(rng.random() * interval, index, "ask", 0.0) for index in range(count)]
    heapq.heapify(agenda)
    next_read_at = [0.0] * count
    put_at, forced_at, exchanges, reads, cpu_seconds = -1.0, -1.0, 0, 0, 0.0
    while agenda:
        now, index, action, sent_at = heapq.heappop(agenda)
        member, history = members[index], members[index].history
        if put_at < 0.0 and now > 5.0:
            put_at = now
            log.append(history.put_record({"settings": {}}, "p", "", 0.0, ""))
        if forced_at >= 0.0 and all(member.effective.active == 1 for member in members[silent:]):
            return {
                "forced_s": forced_at - put_at,
                "all_s": now - put_at,
                "questions_a_second": exchanges / now,
                "row_reads": reads,
                "us_a_question": cpu_seconds / exchanges * 1e6,
            }
        if index < silent and put_at >= 0.0:
            continue
        delay = rng.uniform(0.002, 0.02)
        if action == "ask":
            rows[member.key] = member.next_status(0.0)
            heapq.heappush(agenda, (now + delay, index, "answer", now))
        elif action == "answer":
            exchanges += 1
            began = time.perf_counter()
            before = history.head
            member.confirm(sent_at, log[before:])
            for version in member.unchecked_versions():
                member.record_check(version)
            member.set_effective(member.permitted(now))
            cpu_seconds += time.perf_counter() - began
            if history.pending and now >= next_read_at[index]:
                reads += 1
                next_read_at[index] = now + status_read_interval_s(member.rank(list(rows.values())), interval)
                record = member.next_decision(now, now + delay, list(rows.values()))
                if record is not None:
                    wait = min(1.0, member.rank(list(rows.values())) * interval / EXCHANGES_PER_TTL)
                    heapq.heappush(agenda, (now + delay + wait, index, "add", 0.0))
                    continue
            heapq.heappush(agenda, (now + (0.0 if history.head > before else interval), index, "ask", 0.0))
        else:
            if len(log) == 1:
                log.append(history.next_record("force", version=1, by=member.name))
                forced_at = now
            heapq.heappush(agenda, (now, index, "ask", 0.0))
    raise AssertionError("no member forced the version into effect")


def quantile(values: list[float], fraction: float) -> float:
    """Returns the quantile of the values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--short", action="store_true", help="three faults, ends within 45 s")
    parser.add_argument("--json", action="store_true", help="one JSON object as the last line")
    parser.add_argument("--rounds", type=int, default=3, help="rounds of two changes for each fault")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--away",
        type=float,
        help="only measure an etcd outage of this many seconds, from each phase of a change",
    )
    options = parser.parse_args()
    if options.away:
        for phase in PHASE_LOG_TEXTS:
            trio.run(etcd_outage, phase, options.away, options.seed)
        return
    faults = [FAULTS[i] for i in SHORT] if options.short else FAULTS
    out: list[dict[str, Any]] = []
    for name, store, fault in faults:
        one = trio.run(run_fault, name, store, fault, 1 if options.short else options.rounds, options.seed)
        out.append(one)
        contradictions, force = one["last_contradictions"], one["into_force"]
        print(
            f"{name:18} {store:10} changes {len(contradictions):2}  into force {quantile(force, 0.5):.2f} s, "
            f"worst {max(force):.2f}  last contradiction p50 {quantile(contradictions, 0.5):.2f} "
            f"worst {max(contradictions):.2f} of "
            f"{AGREEMENT_TIME_S:g} s  late {one['late_contradictions']}  lost {one['lost']}  twice "
            f"{one['unsafe_twice']}  back {one['went_back']}  requests {one['commands']}  share "
            f"{'-' if one['share'] is None else round(one['share'], 3)}",
            flush=True,
        )
    ratios = [trio.run(relative_cpu_cost, 2.0 if options.short else 40.0, off) for off in ("n1", "n0")]
    ratio = sqrt(ratios[0] * ratios[1])
    print(f"CPU time per request, with agreement over without: {ratio:.3f}")
    delays = {
        store: trio.run(drain_delays, store, 1 if options.short else 6, options.seed)
        for store in (("directory",) if options.short else ("directory", "etcd", "relay"))
    }
    for store, seconds in delays.items():
        print(
            f"drain learned from other nodes, {store}: last request median {quantile(seconds, 0.5):.2f} s, "
            f"worst {max(seconds):.2f} of {AGREEMENT_TIME_S + 2.0:g} s"
        )
    simulated = {silent: simulate_members(200, silent) for silent in (0, 1)}
    for silent, one in simulated.items():
        print(
            f"simulated, 200 followers, {silent} silent: in force after {one['forced_s']:.2f} s, "
            f"everywhere after {one['all_s']:.2f} s; {one['questions_a_second']:.0f} exchanges per second, "
            f"all statuses read {one['row_reads']:.0f} times, {one['us_a_question']:.0f} us per exchange"
        )
    shares = [one["share"] for one in out if one["share"] is not None]
    contradictions = [value for one in out for value in one["last_contradictions"]]
    if options.json:
        print(
            json.dumps(
                {
                    "processes": 3,
                    "changes": len(contradictions),
                    "late_contradictions": sum(one["late_contradictions"] for one in out),
                    "p50_contradiction_ms": round(1000 * quantile(contradictions, 0.5), 1),
                    "p99_contradiction_ms": round(1000 * quantile(contradictions, 0.99), 1),
                    "worst_contradiction_ms": round(1000 * max(contradictions), 1),
                    "bound_ms": 1000 * AGREEMENT_TIME_S,
                    "worst_drain_ms": round(1000 * max(map(max, delays.values())), 1),
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
