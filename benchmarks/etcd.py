"""Measures how soon processors follow drains in etcd, under load and while etcd fails in several ways.

The members of a stand-in etcd run in this process. Each processor runs in its own process and gets requests
from a stand-in proxy, which records the times of the decisions for each server. The time to follow a drain is
from the moment when it is in the stand-in to the last decision for its server; all clocks are those of one
machine.

    python benchmarks/etcd.py --short --json    one JSON object as the last line, within 45 s
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import structlog  # noqa: E402
import trio  # noqa: E402
from envoy.service.ext_proc.v3.external_processor_pb2 import ProcessingResponse  # noqa: E402

from wheatroute import snapshot  # noqa: E402
from wheatroute.balancing.interface import Event, ServerState  # noqa: E402
from wheatroute.decide import Balancer  # noqa: E402
from wheatroute.etcd import messages as wire  # noqa: E402
from wheatroute.etcd.client import EtcdClient  # noqa: E402
from wheatroute.etcd.follower import Follower  # noqa: E402
from wheatroute.etcd.membership import Membership  # noqa: E402
from wheatroute.etcd.server_keys import ServerKeys  # noqa: E402
from wheatroute.grpc.client import Channel, connected  # noqa: E402
from wheatroute.standin.etcd import Member  # noqa: E402
from wheatroute.standin.etcd_store import Store  # noqa: E402
from wheatroute.standin.ext_proc_messages import PATH, destination, request_headers  # noqa: E402

SERVERS, MAX_DRAIN_LAG_S = 16, 2.0
PREFIX = b"/servers/"
ETCD_TABLE_TEMPLATE = """[pools.etcd]
endpoints = [{}]
prefix = "/servers/"
nodes_prefix = "/nodes/"
"""
WRITER_PROGRAM = """
import sys
from wheatroute import snapshot
n = int(sys.argv[2])
while True:
    n += 1
    snapshot.write(sys.argv[1], snapshot.encode({"n": n, "servers": [n] * 50000}, float(n)))
    print(n, flush=True)
"""


def encode_server(server: int, state: str = "in_service") -> bytes:
    return json.dumps({"addr": f"127.0.0.1:{7000 + server}", "state": state}).encode()


def put(store: Store, server: int, state: str = "in_service") -> float:
    """Writes a server's key; returns the time, on the monotonic clock that all processes share."""
    store.put(wire.PutRequest(key=PREFIX + b"s%03d" % server, value=encode_server(server, state)))
    return time.monotonic()


class LoadedProcessors:
    """The stand-in's members, the processors, and the proxies that send them requests."""

    def __init__(self, store: Store, members: list[Member], nodes: int, folder: str, seconds: float) -> None:
        from processor import CONFIGURATION_TEMPLATE, free_port

        self.store, self.members, self._processes, self._proxies = store, members, [], []  # type: ignore
        endpoints = ", ".join('"{}:{}"'.format(*member.address) for member in members)
        for node in range(nodes):
            port = free_port()
            path = os.path.join(folder, f"node{node}.toml")
            text = CONFIGURATION_TEMPLATE.format(
                servers=ETCD_TABLE_TEMPLATE.format(endpoints), port=port, workers=1
            )
            Path(path).write_text(text.replace('name = "bench"', f'name = "bench{node}"', 1))
            self._processes.append(
                (
                    subprocess.Popen(
                        [sys.executable, "-m", "wheatroute.cli", "processor", path],
                        cwd=ROOT,
                        stdout=subprocess.DEVNULL,
                    ),
                    port,
                    os.path.join(folder, f"seen{node}.json"),
                )
            )
        self._seconds = seconds

    async def start_load(self, rate: float) -> None:
        """Starts a proxy for each processor, with this many requests per second."""
        for node, (_, port, seen) in enumerate(self._processes):
            self._proxies.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "wheatroute.standin.proxy",
                        f"127.0.0.1:{port}",
                        "--rate",
                        str(rate),
                        "--seconds",
                        str(self._seconds),
                        "--seed",
                        str(node + 7),
                        "--vanish",
                        "0.01",
                        "--json",
                        "--seen",
                        seen,
                    ],
                    cwd=ROOT,
                    stdout=subprocess.PIPE,
                )
            )

    async def results(self) -> tuple[list[dict[str, Any]], list[dict[str, list[float]]]]:
        """Waits for the proxies; returns their reports, and the times of their decisions by server."""
        reports = []
        for proxy in self._proxies:
            out, _ = await trio.to_thread.run_sync(lambda proxy=proxy: proxy.communicate(timeout=60))
            reports.append(json.loads(out))
        return reports, [json.loads(Path(path).read_text()) for *_, path in self._processes]

    def stop(self) -> None:
        for process, *_ in self._processes:
            process.send_signal(signal.SIGTERM)
        for process, *_ in self._processes:
            process.wait(20)


async def drain_during_faults(
    fleet: LoadedProcessors, short: bool, nursery: trio.Nursery
) -> list[tuple[str, int, float]]:
    """Injects each fault in turn and drains a server during it.

    Returns the fault's name, the server, and the time from which the drain could be received, for each drain.
    """
    store, members, drains = fleet.store, fleet.members, []
    order = list(range(SERVERS))
    random.Random(3).shuffle(order)

    async def drain(
        name: str,
        before: Callable[[], Any] | None = None,
        after: Callable[[], Any] | None = None,
        wait: float = 0.0,
    ) -> None:
        if before is not None:
            before()
        server = order.pop()
        receivable_at = put(store, server, "terminating")
        if after is not None:
            await trio.sleep(wait)
            after()
            # The drain can be received only from now on.
            receivable_at = time.monotonic()
        drains.append((name, server, receivable_at))
        await trio.sleep(2.3 if before or after else 0.3)

    def for_each_member(action: Callable[[Member], None]) -> Callable[[], None]:
        return lambda: [action(member) for member in members] and None

    def restart_members() -> None:
        for member in members:
            nursery.start_soon(member.run)

    def compact() -> None:
        store.compact(store.revision)

    for _ in range(3):
        await drain("calm")
    await drain("streams cut", for_each_member(Member.drop_streams))
    # The other two members have the nodes' streams.
    free_member = min(members, key=lambda member: member.open_stream_count)
    others = [member for member in members if member is not free_member]
    await drain(
        "members silent", lambda: [setattr(member.faults, "is_unresponsive", True) for member in others]
    )
    for member in others:
        member.faults.is_unresponsive = False
    free_member.drop_streams()
    await trio.sleep(0.5)
    free_member = min(members, key=lambda member: member.open_stream_count)
    others = [member for member in members if member is not free_member]
    await drain("members behind", lambda: [setattr(member.faults, "revision_lag", 1) for member in others])
    for member in others:
        member.faults.revision_lag = 0
    outage_s = 2.0 if short else 60.0
    await drain("etcd away", for_each_member(Member.stop), restart_members, outage_s)

    def stop_all() -> None:
        for_each_member(Member.stop)()

    await drain("away and compacted", stop_all, lambda: (compact(), restart_members()) and None, 1.0)
    return drains


async def measure_drains(short: bool) -> dict[str, Any]:
    """Runs the processors under load while servers drain and etcd fails; returns the figures."""
    store = Store()
    members = [Member(store) for _ in range(3)]
    for server in range(SERVERS):
        put(store, server)
    nodes, seconds = 2, 24.0 if short else 85.0
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(member.run)
            fleet = LoadedProcessors(store, members, nodes, folder, seconds)
            try:
                while sum(key.startswith(b"/nodes/") for key in store.keys) < nodes:
                    await trio.sleep(0.05)
                await fleet.start_load(300.0)
                await trio.sleep(2.0)
                drains = await drain_during_faults(fleet, short, nursery)
                reports, decision_times = await fleet.results()
            finally:
                fleet.stop()
            nursery.cancel_scope.cancel()
    return summarize(drains, reports, decision_times)


def summarize(
    drains: list[tuple[str, int, float]],
    reports: list[dict[str, Any]],
    decision_times: list[dict[str, list[float]]],
) -> dict[str, Any]:
    """Prints the time to follow each drain; returns the figures of all drains and proxies."""
    late, lags = 0, []
    for name, server, since in drains:
        moments = [
            moment
            for decisions in decision_times
            for moment in decisions.get(f"127.0.0.1:{7000 + server}", [])
        ]
        lag = max(moments, default=since) - since
        lags.append(max(0.0, lag))
        late += sum(moment - since > MAX_DRAIN_LAG_S for moment in moments)
        print(f"{name:>20}: last decision {max(0.0, lag) * 1e3:8.1f} ms after the drain could be received")
    lags.sort()
    return {
        "drains": len(drains),
        "late_attempts": late,
        "worst_drain_ms": round(lags[-1] * 1e3, 1),
        "median_drain_ms": round(lags[len(lags) // 2] * 1e3, 1),
        "requests": sum(report["count"]["requests"] for report in reports),
        "lost": sum(report["count"].get("unanswered", 0) for report in reports),
        "unsafe_twice": sum(report["unsafe_twice"] for report in reports),
    }


class DiscardingWriter:
    """A `CommandWriter` that discards all commands."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


async def measure_reconnection(nodes: int) -> dict[str, Any]:
    """Stops etcd for many followers at once; measures how soon each catches up afterwards, and the cost."""
    store, update_counts, updated_at = Store(), [0] * nodes, [0.0] * nodes
    member = Member(store)
    for server in range(SERVERS):
        put(store, server)

    def record_update(node: int, _update: dict[str, Any]) -> None:
        update_counts[node] += 1
        updated_at[node] = time.monotonic()

    followers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(member.run)
        for node in range(nodes):
            rng = random.Random(node)
            followers.append(
                Follower(
                    EtcdClient([member.address], rng),
                    PREFIX,
                    partial(record_update, node),
                    rng,
                    structlog.get_logger(),
                )
            )
            nursery.start_soon(followers[-1].run)
        while not all(update_counts):
            await trio.sleep(0.02)
        lags = []
        # Without faults: the time from a put until every node has passed the change on.
        for n in range(100):
            before = sum(update_counts)
            since = put(store, 0, ("terminating", "in_service")[n % 2])
            while sum(update_counts) < before + nodes:
                await trio.sleep(0.001)
            lags += [moment - since for moment in updated_at]
        member.stop()
        await trio.sleep(3.0)
        put(store, 1, "terminating")
        before, watches = update_counts[:], member.watch_stream_count
        nursery.start_soon(member.run)
        since = time.monotonic()
        while any(now == then for now, then in zip(update_counts, before, strict=True)):
            await trio.sleep(0.005)
        streams = member.watch_stream_count - watches
        nursery.cancel_scope.cancel()
    lags.sort()
    after = sorted(moment - since for moment in updated_at)
    return {
        "put_to_node_p50_ms": round(lags[len(lags) // 2] * 1e3, 2),
        "put_to_node_p99_ms": round(lags[int(len(lags) * 0.99)] * 1e3, 2),
        "herd_nodes": nodes,
        "herd_first_ms": round(after[0] * 1e3),
        "herd_last_ms": round(after[-1] * 1e3),
        "herd_spread_ms": round((after[int(nodes * 0.9)] - after[nodes // 10]) * 1e3),
        "herd_streams_a_node": round(streams / nodes, 2),
        "herd_lists": sum(one.list_count for one in followers) - nodes,
    }


def seconds_to_first_decision(text: str, folder: str) -> float:
    """Returns the seconds from starting a processor with this configuration to its first decision."""
    from processor import free_port

    port, path = free_port(), os.path.join(folder, "start.toml")
    Path(path).write_text(text.replace("PORT", str(port)))
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "wheatroute.cli", "processor", path], cwd=ROOT, stdout=subprocess.DEVNULL
    )

    async def time_first_decision() -> float:
        async with connected(Channel(("127.0.0.1", port))) as channel:
            n = 0
            while True:
                n += 1
                async with channel.call(PATH) as call:
                    await call.send(request_headers(f"first{n}", 0, 1, 1.0))
                    message = await call.receive()
                    if message and destination(ProcessingResponse.FromString(message)):
                        return time.monotonic() - began
                await trio.sleep(0.01)

    try:
        return trio.run(time_first_decision)
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(20)


def start_times() -> dict[str, float]:
    """Measures a start from etcd, and one from the snapshot that it left, while etcd is stopped."""
    from processor import CONFIGURATION_TEMPLATE

    store, stop, addresses = Store(), threading.Event(), []  # type: ignore[var-annotated]
    for server in range(SERVERS):
        put(store, server)

    async def serve() -> None:
        member = Member(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.run)
            addresses.append(member.address)
            await trio.to_thread.run_sync(stop.wait)
            nursery.cancel_scope.cancel()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    while not addresses:
        time.sleep(0.01)
    with tempfile.TemporaryDirectory() as folder:
        text = CONFIGURATION_TEMPLATE.format(
            servers=ETCD_TABLE_TEMPLATE.format('"{}:{}"'.format(*addresses[0])), port="PORT", workers=1
        )
        text += f'\n[snapshot]\npath = "{folder}/kept"\nevery = 0.2\n'
        from_etcd = seconds_to_first_decision(text, folder)
        stop.set()
        thread.join()
        from_snapshot = seconds_to_first_decision(text, folder)
    return {"start_from_etcd_s": round(from_etcd, 2), "start_from_snapshot_s": round(from_snapshot, 2)}


def change_cost(servers: int) -> tuple[float, float, float]:
    """Measures the server keys and the balancer together, for a list of this many servers.

    Returns the seconds and MB for the complete list, and the median seconds for one change.
    """
    from decisions import decision_settings

    keys, numbers = ServerKeys(PREFIX), {}  # type: ignore[var-annotated]
    kvs = [wire.KeyValue(key=PREFIX + b"s%05d" % n, value=encode_server(n)) for n in range(servers)]
    balancer = Balancer(decision_settings(nodes=200), random.Random(1))
    tracemalloc.start()
    began = time.perf_counter()
    update, _ = keys.load(kvs, 0.0)
    entries = []
    for one in update["servers"]:
        numbers[one["id"]] = len(numbers)
        entries.append((numbers[one["id"]], 0, 0, 0, ServerState.LIVE, 1.0, 0.0))
    balancer.handle_events(1.0, [(Event.SERVERS_LISTED, entries, True)], DiscardingWriter())
    elapsed, (memory, _) = time.perf_counter() - began, tracemalloc.get_traced_memory()
    tracemalloc.stop()
    costs = []
    for n in range(60):
        event = wire.Event(
            type=wire.PUT, kv=wire.KeyValue(key=kvs[n].key, value=encode_server(n, "terminating"))
        )
        began = time.perf_counter()
        update, _ = keys.apply([event], 0.0)
        changed = [(numbers[one["id"]], 0, 0, 0, ServerState.DRAINING, 1.0, 0.0) for one in update["servers"]]
        balancer.handle_events(1.0 + n * 1e-6, [(Event.SERVERS_LISTED, changed, False)], DiscardingWriter())
        costs.append(time.perf_counter() - began)
    return elapsed, memory / 2**20, sorted(costs)[len(costs) // 2]


def count_torn_snapshots(kills: int) -> int:
    """Kills writers at random moments; counts snapshots that are neither the old nor the new one."""
    rng, last_read, torn_count = random.Random(9), 0, 0
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "snapshot")
        for _ in range(kills):
            child = subprocess.Popen(
                [sys.executable, "-c", WRITER_PROGRAM, path, str(last_read)], cwd=ROOT, stdout=subprocess.PIPE
            )
            assert child.stdout is not None
            child.stdout.readline()
            time.sleep(rng.random() * 0.01)
            child.kill()
            written = [int(line) for line in child.stdout.read().split()]
            child.wait()
            try:
                content = snapshot.read(path, 1e9, 1e10)
                torn_count += content["servers"] != [content["n"]] * 50000 or content["n"] < max(
                    written, default=last_read
                )
                last_read = content["n"]
            except snapshot.SnapshotError:
                torn_count += 1
    return torn_count


def quota_share_sums() -> tuple[float, float]:
    """Simulates nodes that join and leave; returns the minimum and the maximum sum of their quota shares.

    Time advances in steps of 100 ms; a node is meant to learn of a change 50 ms late.
    """
    rng, names, sums = random.Random(2), [f"n{i:02}" for i in range(20)], []
    memberships = {name: Membership(b"/", name, 1) for name in names}
    present = set(names[:10])
    for step in range(3000):
        moment = step * 0.1
        if rng.random() < 0.05:
            name = rng.choice(names)
            present = present - {name} if name in present and len(present) > 2 else present | {name}
        for name in present:
            memberships[name].update(sorted(present), moment)
        sums.append(sum(1.0 / memberships[name].estimate(moment)[0] for name in present))
    return min(sums), max(sums)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    out = trio.run(measure_drains, options.short)
    out |= trio.run(measure_reconnection, 20 if options.short else 100)
    out |= start_times()
    small, large = change_cost(100), change_cost(10000)
    print(f"list of 100 servers: {small[0] * 1e3:.1f} ms, {small[1]:.2f} MB; change {small[2] * 1e6:.0f} us")
    print(
        f"list of 10,000 servers: {large[0] * 1e3:.1f} ms, {large[1]:.2f} MB; change {large[2] * 1e6:.0f} us"
    )
    out["change_cost_ratio_10000_100"] = round(large[2] / small[2], 2)
    out["torn_snapshots"] = count_torn_snapshots(10 if options.short else 100)
    out["least_quota_sum"], out["most_quota_sum"] = (round(total, 3) for total in quota_share_sums())
    print(json.dumps(out))


if __name__ == "__main__":
    main()
