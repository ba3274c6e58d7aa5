"""A router set of real processes on loopback, its clients and a server, judged from outside.

What tenants used in any window of the rule is what arrived at the server and was run, by the clock of this
process. Clients keep using an open connection until it ends, also while the process behind it is stopping.
"""

import json
import os
import signal
import subprocess
import sys
from collections import Counter
from contextlib import suppress
from random import Random

import trio
from edge.harness import read_message
from soak.limits import LimitedTenant, Rule, configuration

HOST = "desk.example"
CONTROL_PORT, FRONT_PORT, READY_PORT, FIRST_PORT = 18367, 18360, 18365, 18500
WINDOW_S, EXCESS, SLACK = 4.0, 0.1, 4_000.0
GRACE_S = 3.0
HEARTBEAT_S = 0.5
SIZES = (20, 60, 180)  # tokens of a request
ANSWER_LIMIT = 3.0  # seconds that a client waits for an answer
PROMISES = (429, 503)  # answers that say that a request never ran and never will
BOUNDS = {
    "quota_window_s": WINDOW_S,
    "quota_excess": EXCESS,
    "quota_slack": SLACK,
    "grace_s": GRACE_S,
    "converge_ms": 1500,
    "contact_ms": 2000,
}
RULE = Rule(WINDOW_S, EXCESS, SLACK, settles_s=6.0)


class Tenant(LimitedTenant):
    """One tenant, and how many clients it has, with how long a pause between two requests of each."""

    def __init__(self, name, rate, burst, clients, pause):
        super().__init__(RULE, name, rate, burst, unread=20)
        self.clients, self.pause = clients, pause


async def call(address, method, path, content=None, headers=(), limit=1.5):
    """One HTTP request; its status and body, or 0 where nobody answers."""
    host, port = address
    body = b"" if content is None else json.dumps(content).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}", *headers]
    text = "\r\n".join([*lines, "Content-Type: application/json", "Connection: close"]) + "\r\n\r\n"
    with trio.move_on_after(limit), suppress(OSError, trio.BrokenResourceError, ConnectionError):
        async with await trio.open_tcp_stream(host, port) as stream:
            await stream.send_all(text.encode() + body)
            message = await read_message(stream, b"")
            if message is None:
                return 0, b""
            line, told, found, _ = message
            status = int(line.split(" ")[1])
            if status == 307:
                moved = told["location"].split("//")[1].split("/")[0]
                return await call((moved.split(":")[0], port), method, path, content, headers, limit)
            return status, found
    return 0, b""


class Process:
    """One process of the router set: its settings, its life and its log."""

    def __init__(self, system, role, host):
        self.system, self.role, self.host = system, role, host
        self.node = f"{role}-{host}"
        self.running = None
        self.lives = 0
        self.write_settings()

    def write_settings(self, **bounds):
        """Replaces the settings file whole; JSON is YAML too."""
        folder = self.system.folder
        listen = {"control": f"{self.host}:{CONTROL_PORT}"}
        if self.role == "edge":
            listen = {"front": f"{self.host}:{FRONT_PORT}", "ready": f"{self.host}:{READY_PORT}"}
        told = {
            "node": self.node,
            "ip": self.host,
            "zone": "here",
            "listen": listen,
            "port_range": [FIRST_PORT, FIRST_PORT + 15],
            "seeds": [f"{one}:{CONTROL_PORT}" for one in self.system.seeds],
            "bootstrap": self.lives == 0,
            "counts_for_quorum": self.role == "control",
            "tolerate": {"machines": 1},
            "heartbeat_ms": HEARTBEAT_S * 1000,
            "data_dir": str(folder / self.node) if self.role == "control" else None,
            "bounds": BOUNDS | bounds,
        }
        self.path = folder / f"{self.node}.yaml"
        (folder / self.node).mkdir(exist_ok=True)
        draft = folder / f"{self.node}.draft"
        draft.write_text(json.dumps(told))
        os.replace(draft, self.path)

    def start(self):
        if self.running is not None and self.running.poll() is None:
            return
        self.write_settings()
        self.lives += 1
        with self.path.with_suffix(".log").open("ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, "-m", "wheatroute.system", self.role],
                stderr=log,
                stdout=log,
                env=os.environ | {"WHEATROUTE_SETTINGS": str(self.path)},
            )

    def send(self, number):
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(number)

    async def gone(self, limit):
        """Waits until it has ended; killed where it hasn't in time."""
        with trio.move_on_after(limit):
            while self.running.poll() is None:
                await trio.sleep(0.05)
        self.send(signal.SIGKILL)
        while self.running.poll() is None:
            await trio.sleep(0.01)


class System:
    """All processes, the server that they reach, and the clients; ends whatever it started."""

    def __init__(self, folder, seed, block, controls, edges, tenants):
        if any(folder.iterdir()):
            raise FileExistsError(f"{folder} has the disks of another play, with limits of its own")
        self.folder, self.chance, self.tenants = folder, Random(seed), tenants
        hosts = [f"127.{block}.0.{number}" for number in range(1, controls + 1)]
        self.seeds = hosts[:3]
        self.controls = [Process(self, "control", host) for host in hosts]
        self.edges = [Process(self, "edge", f"127.{block}.1.{number}") for number in range(1, edges + 1)]
        self.server_address = (f"127.{block}.2.1", 18080)
        self.generation = 0
        self.ran = Counter()  # by request id
        self.promised = set()  # ids of requests that were answered as never run
        self.answers = Counter()  # by status, and closed connections
        self.troubles = []  # (when, what)

    # the server

    async def _serve(self, stream):
        rest = b""
        chance = Random(self.chance.random())
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError, ConnectionError):
            while message := await read_message(stream, rest):
                _, headers, _, rest = message
                body = await self._run(headers, chance)
                answer = (
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {headers.get('request-id', '')}\r\n"
                    f"Server-Signature: s\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                await stream.send_all(answer.encode() + body)

    async def _run(self, headers, chance):
        tenant = next((one for one in self.tenants if one.name == headers.get("tenant")), None)
        if tenant is None:
            return b'{"phase":"both","models":[],"utilization":false,"seq":1,"queued":0,"running":0}'
        used, generated = headers["token-count"].split(",")
        tenant.used.append((trio.current_time(), int(used) + int(generated)))
        self.ran[headers["request-id"]] += 1
        await trio.sleep(0.03 * chance.random())
        return b"done\n"

    async def _heartbeats(self):
        beat = {
            "backend": "llm",
            "addr": "{}:{}".format(*self.server_address),
            "zone": "here",
            "slots": 256,
            "state": "ready",
        }
        number = 0
        while True:
            number += 1
            for control in self.chance.sample(self.controls, len(self.controls)):
                address = (control.host, CONTROL_PORT)
                status, _ = await call(
                    address, "PUT", "/-/instances/server-1", beat | {"seq": number}, limit=0.5
                )
                if status == 200:
                    break
            await trio.sleep(HEARTBEAT_S)

    # the operator

    async def configure(self):
        """Has the tenants' present limits taken, by whichever node takes them."""
        match, self.generation = self.generation, self.generation + 1
        body = configuration(self.generation, self.tenants, timeout_ms=2500, target_ms=300, host=HOST)
        while True:
            control = self.chance.choice(self.controls)
            address = (control.host, CONTROL_PORT)
            status, _ = await call(address, "PUT", "/-/config", body, (f"If-Match: {match}",))
            if status == 200:
                return
            await trio.sleep(0.1)

    # clients

    async def _client(self, tenant, name):
        chance = Random(self.chance.random())
        number = 0
        while True:
            edge = chance.choice(self.edges)
            try:
                async with await trio.open_tcp_stream(edge.host, FRONT_PORT) as stream:
                    rest = b""
                    while True:
                        number += 1
                        rest = await self._ask(stream, rest, tenant, f"{name}-{number}", chance)
                        await trio.sleep(tenant.pause * chance.expovariate(1.0))
            except (OSError, trio.BrokenResourceError, ConnectionError, trio.TooSlowError):
                self.answers["no answer"] += 1
                await trio.sleep(0.05 + 0.1 * chance.random())

    async def _ask(self, stream, rest, tenant, identity, chance):
        lines = [
            f"POST /ask/{identity} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {identity}",
            f"Authorization: Token key-{tenant.name}",
            f"Token-Count: {chance.choice(SIZES)},0",
            "Timeout-Ms: 2000",
            "Content-Length: 0",
        ]
        with trio.fail_after(ANSWER_LIMIT):
            await stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n")
            message = await read_message(stream, rest)
            if message is None:
                raise ConnectionError("closed")
            line, headers, _, rest = message
        status = int(line.split(" ")[1])
        assert headers.get("request-id", identity) == identity
        self.answers[status] += 1
        if status in PROMISES:
            self.promised.add(identity)
        if headers.get("connection", "").lower() == "close":
            raise ConnectionError("the node closes it")
        return rest

    # a play

    async def play(self, troubles, length):
        """Starts everything, lets `troubles(self)` strike while clients send, and ends everything."""
        try:
            async with trio.open_nursery() as nursery:
                host, port = self.server_address
                await nursery.start(self._listen, host, port)
                for process in (*self.controls, *self.edges):
                    process.start()
                with trio.fail_after(60.0):
                    await self.configure()
                nursery.start_soon(self._heartbeats)
                with trio.fail_after(60.0):
                    await self._all_ready()
                for tenant in self.tenants:
                    tenant.limit(trio.current_time(), tenant.rate, tenant.burst)
                    for number in range(tenant.clients):
                        nursery.start_soon(self._client, tenant, f"{tenant.name}-{number}")
                with trio.move_on_after(length):
                    nursery.start_soon(troubles, self)
                    await trio.sleep_forever()
                nursery.cancel_scope.cancel()
        finally:
            self._end()

    async def _listen(self, host, port, task_status):
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _all_ready(self):
        for edge in self.edges:
            while (await call((edge.host, READY_PORT), "GET", "/-/readyz", limit=0.5))[0] != 200:
                await trio.sleep(0.1)

    def _end(self):
        for process in (*self.controls, *self.edges):
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in (*self.controls, *self.edges):
            if process.running is not None:
                process.running.wait()

    def verdict(self):
        """What broke a rule, a line each."""
        found = [line for tenant in self.tenants for line in tenant.verdict()]
        if twice := [identity for identity, times in self.ran.items() if times > 1]:
            found.append(f"run twice: {twice[:3]}")
        if refused := [identity for identity in self.promised if identity in self.ran]:
            found.append(f"run, and answered as never run: {refused[:3]}")
        return found


class Troubles:
    """Signals, restarts and changes by the draw of a seed, in series and overlapping."""

    KINDS = (
        "primary",
        "primary",
        "controls",
        "edges",
        "stop edge",
        "stop control",
        "freeze",
        "hup",
        "limits",
    )

    def __init__(self, seed, until):
        self.chance, self.until = Random(seed), until

    async def __call__(self, system):
        begin = trio.current_time()
        async with trio.open_nursery() as nursery:
            while (now := trio.current_time() - begin) < self.until:
                kind = self.chance.choice(self.KINDS)
                system.troubles.append((round(now, 2), kind))
                nursery.start_soon(getattr(self, "_" + kind.replace(" ", "_")), system)
                await trio.sleep(self.chance.choice((0.05, 0.4, 1.0, 2.0)) * (0.5 + self.chance.random()))

    async def _kill(self, process, away):
        process.send(signal.SIGKILL)
        await trio.sleep(away)
        process.start()

    async def _stop(self, process):
        """SIGTERM as the platform sends it, SIGKILL after the grace, then a new process."""
        process.send(signal.SIGTERM)
        await process.gone(GRACE_S)
        process.start()

    async def _primary(self, system):
        leader = system.chance.choice(system.controls)
        for control in system.controls:
            status, _ = await call((control.host, CONTROL_PORT), "GET", "/-/config", limit=0.3)
            if status == 200:
                leader = control
        await self._kill(leader, self.chance.uniform(0.0, 2.0))

    async def _controls(self, system):
        async with trio.open_nursery() as nursery:
            for control in system.controls:
                nursery.start_soon(self._kill, control, self.chance.uniform(0.0, 0.6))

    async def _edges(self, system):
        async with trio.open_nursery() as nursery:
            for edge in system.edges:
                if self.chance.random() < 0.4:
                    nursery.start_soon(self._kill, edge, self.chance.uniform(0.0, 0.6))

    async def _stop_edge(self, system):
        await self._stop(self.chance.choice(system.edges))

    async def _stop_control(self, system):
        await self._stop(self.chance.choice(system.controls))

    async def _freeze(self, system):
        process = self.chance.choice([*system.edges, *system.controls])
        process.send(signal.SIGSTOP)
        await trio.sleep(self.chance.uniform(0.2, 2.5))
        process.send(signal.SIGCONT)

    async def _hup(self, system):
        """The settings file changes in a figure that no rule here rests on, with a signal behind it."""
        for process in system.edges + system.controls:
            if self.chance.random() < 0.5:
                process.write_settings(reuse_s=self.chance.randint(1, 5))
                process.send(signal.SIGHUP)

    async def _limits(self, system):
        tenant = self.chance.choice(system.tenants)
        times = self.chance.choice((0.5, 0.8, 1.25, 2.0))
        tenant.limit(trio.current_time(), tenant.rate * times, tenant.burst * times)
        await system.configure()


def drawn(folder, seed, block, edges, length, controls=3):
    """Plays the day of this seed with real processes; the system, to be judged."""
    chance = Random(seed)
    tenants = [
        Tenant("hot", 4_000.0, 4_000.0 * chance.uniform(0.5, 2.0), clients=4 * edges, pause=0.15),
        Tenant("calm", 2_000.0, 2_000.0, clients=edges, pause=0.3),
    ]
    system = System(folder, chance.random(), block, controls, edges, tenants)
    trio.run(system.play, Troubles(chance.random(), length - 2.0), length)
    return system
