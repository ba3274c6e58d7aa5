"""Rolling upgrades and downgrades of a serving router set: old and new processes run on the same disks.

Starts a router set of an earlier commit as real processes on loopback, with its configuration on its disks.
Then stops each process with SIGTERM and starts it again with the source of the working tree, one after the
other, control nodes first or edge nodes first, and finally downgrades all of them again. Meanwhile clients
send requests, an operator changes the configuration, and a server drains and returns. The result is judged
from outside: each acknowledged change is still there at the end, no request ran twice or was rejected after
it ran, every request that ran got a response, and none reaches a server more than `DRAIN_S` after its drain
was acknowledged.

    python benchmarks/upgrades.py --from a3a74a3     both orders, with the downgrade
    python benchmarks/upgrades.py --short --json     control nodes first, no downgrade; JSON as the last line
"""

import argparse
import io
import json
import os
import signal
import subprocess
import sys
import tarfile
import tempfile
import time
from contextlib import suppress
from pathlib import Path

import trio

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from edge.harness import read_message  # noqa: E402
from soak.process_cluster import (  # noqa: E402
    CONTROL_PORT,
    READY_PORT,
    LoadTenant,
    ProcessCluster,
    RouterProcess,
    http_request,
)

# The last commit before types and fields were renamed to the standard terms.
EARLIER = "a3a74a3"
FIRST_BLOCK = 240  # block of loopback addresses; the tests use lower ones
DRAIN_S = 1.0  # time after its acknowledgement within which a drain must have reached all edge nodes
UNANSWERED_S = 3.0  # time that a request may be in flight when the clients end
GRACE_S = 8.0  # time between SIGTERM and SIGKILL, as on the platform
READINESS_INTERVAL_S = 0.3  # between two readiness checks of the platform
CHANGE_INTERVAL_S = 0.3
DRAIN_INTERVAL_S = 2.5
READY_LIMIT_S = 30.0
# Error text of `ProcessCluster` clients after a response with "Connection: close".
CLOSED_AFTER_RESPONSE = "the node announced that it closes the connection"


def export_package(commit: str, folder: Path) -> Path:
    """Extracts the package as of a commit into a folder; returns the folder."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, "wheatroute"], capture_output=True, check=True
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return folder


class VersionedProcess(RouterProcess):
    """A process of the router set that runs the source tree `source`."""

    def __init__(self, system, role, host):
        self.source = system.first_source
        super().__init__(system, role, host)

    def start(self):
        """Starts the process, unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        self.write_settings(grace_s=GRACE_S)
        self.start_count += 1
        with self.path.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "wheatroute.system", self.role],
                stdout=log,
                stderr=log,
                cwd=self.source,
                env=os.environ | {"WHEATROUTE_SETTINGS": str(self.path), "PYTHONPATH": str(self.source)},
            )


class MixedCluster(ProcessCluster):
    """A router set whose processes each run one of two source trees; a second server drains repeatedly."""

    def __init__(self, folder, block, first_source, tenants):
        self.first_source = first_source
        super().__init__(folder, block, block, controls=3, edges=3, tenants=tenants)
        hosts = [process.host for process in self.controls]
        self.controls = [VersionedProcess(self, "control", host) for host in hosts]
        self.edges = [VersionedProcess(self, "edge", process.host) for process in list(self.edges)]
        self.draining_address = (f"127.{block}.2.2", 18080)
        self.drained_since = None  # when the second server's drain was acknowledged, None while it serves
        self.late_after_drain = []  # (request id, seconds after the acknowledgement)
        self.drains = 0
        self.answered = set()  # ids of requests that got a response
        self.arrived = {}  # time at which a request reached a server, by request id

    async def _run_request(self, headers, rng):
        if "request-id" in headers:
            self.arrived[headers["request-id"]] = trio.current_time()
        return await super()._run_request(headers, rng)

    async def _run_at_draining(self, stream):
        """Serves as the second server; records requests that arrive more than `DRAIN_S` after its drain."""
        rest = b""
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError, ConnectionError):
            while message := await read_message(stream, rest):
                _, headers, _, rest = message
                now, identity = trio.current_time(), headers.get("request-id", "")
                since = self.drained_since
                if since is not None and "tenant" in headers and now - since > DRAIN_S:
                    self.late_after_drain.append((identity, round(now - since, 2)))
                body = await self._run_request(headers, self.rng)
                head = f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nContent-Length: {len(body)}\r\n\r\n"
                await stream.send_all(head.encode() + body)

    async def serve_draining(self, task_status):
        """Listens on the second server's address."""
        host, port = self.draining_address
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._run_at_draining, listeners)

    async def _send_request(self, stream, rest, tenant, identity, rng):
        try:
            rest = await super()._send_request(stream, rest, tenant, identity, rng)
        except ConnectionError as error:
            if str(error) == CLOSED_AFTER_RESPONSE:
                self.answered.add(identity)
            raise
        self.answered.add(identity)
        return rest

    async def send_heartbeat(self, sequence, state):
        """Sends a heartbeat of the second server; returns whether a control node acknowledged it."""
        heartbeat = {
            "backend": "llm",
            "addr": "{}:{}".format(*self.draining_address),
            "zone": "here",
            "slots": 256,
            "state": state,
            "seq": sequence,
        }
        for control in self.rng.sample(self.controls, len(self.controls)):
            address = (control.host, CONTROL_PORT)
            status, _ = await http_request(address, "PUT", "/-/instances/server-2", heartbeat, timeout_s=1.0)
            if status == 200:
                return True
        return False

    async def drain_and_return(self):
        """Drains the second server and lets it return, repeatedly."""
        sequence = 0
        while True:
            for _ in range(4):
                sequence += 1
                await self.send_heartbeat(sequence, "ready")
                await trio.sleep(DRAIN_INTERVAL_S / 8)
            for _ in range(4):
                sequence += 1
                if await self.send_heartbeat(sequence, "draining"):
                    if self.drained_since is None:
                        self.drained_since, self.drains = trio.current_time(), self.drains + 1
                await trio.sleep(DRAIN_INTERVAL_S / 8)
            self.drained_since = None

    async def change_regularly(self):
        """Changes the configuration at regular intervals, as an operator would."""
        while True:
            await self.configure()
            await trio.sleep(CHANGE_INTERVAL_S)

    async def committed(self):
        """Returns the generation that the control nodes have committed."""
        while True:
            for control in self.controls:
                status, body = await http_request(
                    (control.host, CONTROL_PORT), "GET", "/-/config", timeout_s=1.0
                )
                if status == 200:
                    return json.loads(body)["generation"]
            await trio.sleep(0.1)

    def losses(self, generation):
        """Returns a line for each lost change, for lost or misrouted requests, and for each broken rule."""
        found = self.violations()
        if generation < self.generation - 1:
            found.append(f"generation is {generation} at the end, but {self.generation - 1} was acknowledged")
        ended = max(self.arrived.values(), default=0.0) - UNANSWERED_S
        lost = [one for one, at in self.arrived.items() if at < ended and one not in self.answered and one]
        if lost:
            found.append(f"ran without a response: {lost[:3]} of {len(lost)}, before {ended:.2f}")
        if self.late_after_drain:
            found.append(f"sent to a drained server: {self.late_after_drain[:3]}")
        return found


class Replacement:
    """Replaces processes one after the other by ones of another source tree.

    `steps(system)` returns (processes, source) pairs in the order of replacement.
    """

    def __init__(self, steps):
        self.steps = steps
        self.generation = -1

    async def __call__(self, system):
        async with trio.open_nursery() as nursery:
            await nursery.start(
                lambda task_status=trio.TASK_STATUS_IGNORED: _begin(system, nursery, task_status)
            )
            await trio.sleep(2.0)
            for processes, source in self.steps(system):
                for process in processes:
                    await self._replace(system, process, source)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        self.generation = await system.committed()

    @staticmethod
    async def _replace(system, process, source):
        process.send_signal(signal.SIGTERM)
        async with trio.open_nursery() as nursery:
            if process.role == "edge":
                nursery.start_soon(_ask_readiness, process)
            await process.wait_until_ended(GRACE_S)
            nursery.cancel_scope.cancel()
        process.source = source
        process.start()
        with trio.fail_after(READY_LIMIT_S):
            if process.role == "edge":
                while (await http_request((process.host, READY_PORT), "GET", "/-/readyz", timeout_s=0.5))[
                    0
                ] != 200:
                    await trio.sleep(0.05)
            else:
                while (await http_request((process.host, CONTROL_PORT), "GET", "/-/config", timeout_s=0.5))[
                    0
                ] != 200:
                    await trio.sleep(0.05)


async def _ask_readiness(process):
    """Checks an edge node's readiness as the platform does: a stopping node waits for two failed checks."""
    while True:
        await http_request((process.host, READY_PORT), "GET", "/-/readyz", timeout_s=0.5)
        await trio.sleep(READINESS_INTERVAL_S)


async def _begin(system, nursery, task_status):
    await nursery.start(lambda task_status=trio.TASK_STATUS_IGNORED: system.serve_draining(task_status))
    nursery.start_soon(system.drain_and_return)
    nursery.start_soon(system.change_regularly)
    task_status.started()


class UpgradeRun:
    """A run with one order of replacement, on a router set that starts with the earlier source tree."""

    def __init__(self, order, earlier, later, both_ways):
        self.order, self.earlier, self.later, self.both_ways = order, earlier, later, both_ways

    def steps(self, system):
        """Returns (processes, source) pairs in the order of replacement."""
        groups = [system.controls, system.edges]
        if self.order == "edge nodes first":
            groups.reverse()
        steps = [(group, self.later) for group in groups]
        return steps + ([(group, self.earlier) for group in groups] if self.both_ways else [])

    def run(self, folder, block):
        """Runs the upgrade; returns its figures and what was wrong."""
        tenants = [LoadTenant("hot", 6_000.0, 6_000.0, clients=8, pause_s=0.1)]
        system = MixedCluster(folder, block, self.earlier, tenants)
        replacement = Replacement(self.steps)
        began = time.monotonic()
        trio.run(self._run_until_replaced, system, replacement)
        wrong = system.losses(replacement.generation)
        if not system.drains or system.generation < 10 or len(system.answered) < 100:
            wrong.append("too few requests, changes or drains to judge")
        return {
            "order": self.order,
            "both_ways": self.both_ways,
            "seconds": round(time.monotonic() - began, 1),
            "answers": {
                str(status): count for status, count in sorted(system.response_counts.items(), key=str)
            },
            "changes": system.generation,
            "drains": system.drains,
            "wrong": wrong,
        }

    @staticmethod
    async def _run_until_replaced(system, replacement):
        """Runs the cluster, as `ProcessCluster.run`, until the replacement is done."""
        done = trio.Event()

        async def replace(_):
            await replacement(system)
            done.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(system.run, replace, 600.0)
            await done.wait()
            nursery.cancel_scope.cancel()


def main():
    """Runs the upgrades and prints their figures; returns 1 if anything was lost or broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--from", dest="commit", default=EARLIER, help="the earlier commit to start from")
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    orders = ["control nodes first"] if options.short else ["control nodes first", "edge nodes first"]
    found = []
    with tempfile.TemporaryDirectory() as folder:
        earlier = export_package(options.commit, Path(folder) / "earlier")
        for index, order in enumerate(orders):
            disks = Path(folder) / f"play-{index}"
            disks.mkdir()
            upgrade = UpgradeRun(order, earlier, ROOT, both_ways=not options.short)
            found.append(upgrade.run(disks, FIRST_BLOCK + index))
            if not options.json:
                print(json.dumps(found[-1], indent=2))
    if options.json:
        print(json.dumps({"from": options.commit, "plays": found}))
    return 1 if any(one["wrong"] for one in found) else 0


if __name__ == "__main__":
    sys.exit(main())
