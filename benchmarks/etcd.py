"""Drains followed through etcd while etcd fails: a stand-in, processors with load, and every fault in turn.

Owns the processes: stand-in members in this one, processors in processes of their own, each asked by a
stand-in proxy that notes when it was last sent to each server. A drain counts from the moment in which the
stand-in holds it to the last decision for its server, by clocks of one machine.

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

SERVERS, DRAINED_WITHIN = 16, 2.0
PREFIX = b"/servers/"
TABLE = """[pools.etcd]
endpoints = [{}]
prefix = "/servers/"
nodes_prefix = "/nodes/"
"""
WRITER = """
import sys
from wheatroute import snapshot
n = int(sys.argv[2])
while True:
    n += 1
    snapshot.write(sys.argv[1], snapshot.encode({"n": n, "servers": [n] * 50000}, float(n)))
    print(n, flush=True)
"""


def value(server: int, state: str = "in_service") -> bytes:
    return json.dumps({"addr": f"127.0.0.1:{7000 + server}", "state": state}).encode()


def put(store: Store, server: int, state: str = "in_service") -> float:
    """Writes a server's key; when that was, on the clock that all processes read."""
    store.put(wire.PutRequest(key=PREFIX + b"s%03d" % server, value=value(server, state)))
    return time.monotonic()


class Fleet:
    """The stand-in's members, processors and the proxies that ask them."""

    def __init__(self, store: Store, members: list[Member], nodes: int, folder: str, seconds: float) -> None:
        from processor import FILE, free_port

        self.store, self.members, self._processes, self._proxies = store, members, [], []  # type: ignore
        endpoints = ", ".join('"{}:{}"'.format(*one.address) for one in members)
        for node in range(nodes):
            port = free_port()
            path = os.path.join(folder, f"node{node}.toml")
            text = FILE.format(servers=TABLE.format(endpoints), port=port, workers=1)
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

    async def load(self, rate: float) -> None:
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
        told = []
        for one in self._proxies:
            out, _ = await trio.to_thread.run_sync(lambda one=one: one.communicate(timeout=60))
            told.append(json.loads(out))
        return told, [json.loads(Path(seen).read_text()) for *_, seen in self._processes]

    def stop(self) -> None:
        for process, *_ in self._processes:
            process.send_signal(signal.SIGTERM)
        for process, *_ in self._processes:
            process.wait(20)


async def faults(fleet: Fleet, short: bool, nursery: trio.Nursery) -> list[tuple[str, int, float]]:
    """Each fault in turn, with a drain in it: its name, the server, and when the notice could be had."""
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
        since = put(store, server, "terminating")
        if after is not None:
            await trio.sleep(wait)
            after()
            since = time.monotonic()  # only from here on could it be heard
        drains.append((name, server, since))
        await trio.sleep(2.3 if before or after else 0.3)

    def each(what: Callable[[Member], None]) -> Callable[[], None]:
        return lambda: [what(one) for one in members] and None

    def again() -> None:
        for one in members:
            nursery.start_soon(one.run)

    def compact() -> None:
        store.compact(store.revision)

    for _ in range(3):
        await drain("calm")
    await drain("streams cut", each(Member.drop_streams))
    last = min(members, key=lambda one: one.open_stream_count)  # the other two have the nodes' streams
    others = [one for one in members if one is not last]
    await drain("members silent", lambda: [setattr(one.faults, "is_unresponsive", True) for one in others])
    for one in others:
        one.faults.is_unresponsive = False
    last.drop_streams()
    await trio.sleep(0.5)
    last = min(members, key=lambda one: one.open_stream_count)
    others = [one for one in members if one is not last]
    await drain("members behind", lambda: [setattr(one.faults, "revision_lag", 1) for one in others])
    for one in others:
        one.faults.revision_lag = 0
    away = 2.0 if short else 60.0
    await drain("etcd away", each(Member.stop), again, away)

    def cut_off() -> None:
        each(Member.stop)()

    await drain("away and compacted", cut_off, lambda: (compact(), again()) and None, 1.0)
    return drains


async def followed(short: bool) -> dict[str, Any]:
    store = Store()
    members = [Member(store) for _ in range(3)]
    for server in range(SERVERS):
        put(store, server)
    nodes, seconds = 2, 24.0 if short else 85.0
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            for one in members:
                nursery.start_soon(one.run)
            fleet = Fleet(store, members, nodes, folder, seconds)
            try:
                while sum(key.startswith(b"/nodes/") for key in store.keys) < nodes:
                    await trio.sleep(0.05)
                await fleet.load(300.0)
                await trio.sleep(2.0)
                drains = await faults(fleet, short, nursery)
                told, seen = await fleet.results()
            finally:
                fleet.stop()
            nursery.cancel_scope.cancel()
    return judge(drains, told, seen)


def judge(
    drains: list[tuple[str, int, float]], told: list[dict[str, Any]], seen: list[dict[str, list[float]]]
) -> dict[str, Any]:
    late, lags = 0, []
    for name, server, since in drains:
        moments = [moment for one in seen for moment in one.get(f"127.0.0.1:{7000 + server}", [])]
        lag = max(moments, default=since) - since
        lags.append(max(0.0, lag))
        late += sum(moment - since > DRAINED_WITHIN for moment in moments)
        print(f"{name:>20}: last decision {max(0.0, lag) * 1e3:8.1f} ms after the notice could be had")
    lags.sort()
    return {
        "drains": len(drains),
        "late_attempts": late,
        "worst_drain_ms": round(lags[-1] * 1e3, 1),
        "median_drain_ms": round(lags[len(lags) // 2] * 1e3, 1),
        "requests": sum(one["count"]["requests"] for one in told),
        "lost": sum(one["count"].get("unanswered", 0) for one in told),
        "unsafe_twice": sum(one["unsafe_twice"] for one in told),
    }


class Nothing:
    """A writer of which nothing is wanted."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


async def herd(nodes: int) -> dict[str, Any]:
    """All followers lose etcd together and it comes back: when each has it again, and what it costs."""
    store, told, back = Store(), [0] * nodes, [0.0] * nodes
    member = Member(store)
    for server in range(SERVERS):
        put(store, server)

    def take(node: int, what: dict[str, Any]) -> None:
        told[node] += 1
        back[node] = time.monotonic()

    followers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(member.run)
        for node in range(nodes):
            chance = random.Random(node)
            followers.append(
                Follower(
                    EtcdClient([member.address], chance),
                    PREFIX,
                    partial(take, node),
                    chance,
                    structlog.get_logger(),
                )
            )
            nursery.start_soon(followers[-1].run)
        while not all(told):
            await trio.sleep(0.02)
        lags = []
        for n in range(100):  # calm: from a put to what is handed on, at every node
            before = sum(told)
            since = put(store, 0, ("terminating", "in_service")[n % 2])
            while sum(told) < before + nodes:
                await trio.sleep(0.001)
            lags += [moment - since for moment in back]
        member.stop()
        await trio.sleep(3.0)
        put(store, 1, "terminating")
        before, watches = told[:], member.watch_stream_count
        nursery.start_soon(member.run)
        since = time.monotonic()
        while any(now == then for now, then in zip(told, before, strict=True)):
            await trio.sleep(0.005)
        streams = member.watch_stream_count - watches
        nursery.cancel_scope.cancel()
    lags.sort()
    after = sorted(moment - since for moment in back)
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


def first_decision(text: str, folder: str) -> float:
    """Seconds from starting a processor with this file to its first decision."""
    from processor import free_port

    port, path = free_port(), os.path.join(folder, "start.toml")
    Path(path).write_text(text.replace("PORT", str(port)))
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "wheatroute.cli", "processor", path], cwd=ROOT, stdout=subprocess.DEVNULL
    )

    async def ask() -> float:
        async with connected(Channel(("127.0.0.1", port))) as channel:
            n = 0
            while True:
                n += 1
                async with channel.call(PATH) as talk:
                    await talk.send(request_headers(f"first{n}", 0, 1, 1.0))
                    message = await talk.receive()
                    if message and destination(ProcessingResponse.FromString(message)):
                        return time.monotonic() - began
                await trio.sleep(0.01)

    try:
        return trio.run(ask)
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(20)


def starts() -> dict[str, float]:
    """A start from etcd, and one from the snapshot that it left, with etcd away."""
    from processor import FILE

    store, stop, places = Store(), threading.Event(), []  # type: ignore[var-annotated]
    for server in range(SERVERS):
        put(store, server)

    async def serve() -> None:
        member = Member(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(member.run)
            places.append(member.address)
            await trio.to_thread.run_sync(stop.wait)
            nursery.cancel_scope.cancel()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    while not places:
        time.sleep(0.01)
    with tempfile.TemporaryDirectory() as folder:
        text = FILE.format(servers=TABLE.format('"{}:{}"'.format(*places[0])), port="PORT", workers=1)
        text += f'\n[snapshot]\npath = "{folder}/kept"\nevery = 0.2\n'
        from_etcd = first_decision(text, folder)
        stop.set()
        thread.join()
        from_snapshot = first_decision(text, folder)
    return {"start_from_etcd_s": round(from_etcd, 2), "start_from_snapshot_s": round(from_snapshot, 2)}


def change_cost(servers: int) -> tuple[float, float, float]:
    """Seconds for a list of so many, MB for it, and seconds for one change: registry and module together."""
    from decisions import decision_settings

    keys, numbers = ServerKeys(PREFIX), {}  # type: ignore[var-annotated]
    kvs = [wire.KeyValue(key=PREFIX + b"s%05d" % n, value=value(n)) for n in range(servers)]
    balancer = Balancer(decision_settings(nodes=200), random.Random(1))
    tracemalloc.start()
    began = time.perf_counter()
    told, _ = keys.load(kvs, 0.0)
    entries = []
    for one in told["servers"]:
        numbers[one["id"]] = len(numbers)
        entries.append((numbers[one["id"]], 0, 0, 0, ServerState.LIVE, 1.0, 0.0))
    balancer.handle_events(1.0, [(Event.SERVERS_LISTED, entries, True)], Nothing())
    took, (held, _) = time.perf_counter() - began, tracemalloc.get_traced_memory()
    tracemalloc.stop()
    costs = []
    for n in range(60):
        event = wire.Event(type=wire.PUT, kv=wire.KeyValue(key=kvs[n].key, value=value(n, "terminating")))
        began = time.perf_counter()
        told, _ = keys.apply([event], 0.0)
        changed = [(numbers[one["id"]], 0, 0, 0, ServerState.DRAINING, 1.0, 0.0) for one in told["servers"]]
        balancer.handle_events(1.0 + n * 1e-6, [(Event.SERVERS_LISTED, changed, False)], Nothing())
        costs.append(time.perf_counter() - began)
    return took, held / 2**20, sorted(costs)[len(costs) // 2]


def torn(kills: int) -> int:
    """Snapshots that were neither the old nor the new one, of so many writers killed at any moment."""
    chance, last, bad = random.Random(9), 0, 0
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "snapshot")
        for _ in range(kills):
            child = subprocess.Popen(
                [sys.executable, "-c", WRITER, path, str(last)], cwd=ROOT, stdout=subprocess.PIPE
            )
            assert child.stdout is not None
            child.stdout.readline()
            time.sleep(chance.random() * 0.01)
            child.kill()
            done = [int(line) for line in child.stdout.read().split()]
            child.wait()
            try:
                told = snapshot.read(path, 1e9, 1e10)
                bad += told["servers"] != [told["n"]] * 50000 or told["n"] < max(done, default=last)
                last = told["n"]
            except snapshot.SnapshotError:
                bad += 1
    return bad


def quotas() -> tuple[float, float]:
    """The sum of all nodes' parts of one share while nodes come and go, least and most; told 50 ms late."""
    chance, names, sums = random.Random(2), [f"n{i:02}" for i in range(20)], []
    peers = {name: Membership(b"/", name, 1) for name in names}
    there = set(names[:10])
    for step in range(3000):
        moment = step * 0.1
        if chance.random() < 0.05:
            name = chance.choice(names)
            there = there - {name} if name in there and len(there) > 2 else there | {name}
        for name in there:
            peers[name].update(sorted(there), moment)
        sums.append(sum(1.0 / peers[name].estimate(moment)[0] for name in there))
    return min(sums), max(sums)


def main() -> None:
    parse = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parse.add_argument("--short", action="store_true")
    parse.add_argument("--json", action="store_true")
    told = parse.parse_args()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    out = trio.run(followed, told.short)
    out |= trio.run(herd, 20 if told.short else 100)
    out |= starts()
    small, large = change_cost(100), change_cost(10000)
    print(f"a list of 100: {small[0] * 1e3:.1f} ms, {small[1]:.2f} MB; one change {small[2] * 1e6:.0f} us")
    print(f"a list of 10,000: {large[0] * 1e3:.1f} ms, {large[1]:.2f} MB; one change {large[2] * 1e6:.0f} us")
    out["change_cost_ratio_10000_100"] = round(large[2] / small[2], 2)
    out["torn_snapshots"] = torn(10 if told.short else 100)
    out["least_quota_sum"], out["most_quota_sum"] = (round(one, 3) for one in quotas())
    print(json.dumps(out))


if __name__ == "__main__":
    main()
