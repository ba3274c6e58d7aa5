"""The rig: starts processes of the program and everything around them on loopback, and ends all of it.

Owns every process, link and folder of a run. It must never leave a process behind, whatever goes wrong, nor
end one that it did not start; it tells the program of no fault.
"""

from __future__ import annotations

import itertools
import json
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from copy import deepcopy
from functools import partial
from pathlib import Path
from typing import Any

import trio

from wheatroute.agreement import operator
from wheatroute.agreement.places import Directory, Place, PlaceError, opened
from wheatroute.rig.endpoints import Clients, ListService, Server, listen
from wheatroute.rig.lateness import MOST_EXCUSED
from wheatroute.rig.links import Datagrams, Link, reserved
from wheatroute.rig.processes import Cluster, Kept, Process, RigError
from wheatroute.rig.records import Known, Records
from wheatroute.rig.settings import SETTINGS, change, file_text

PATIENCE = 20.0  # seconds for a process to come up, or for what `until` waits for
CELLS = 2  # servers of a cell


class Rig:
    """Nodes n0.., processors p0.. behind a proxy each, servers s0.., a store for versions, clients of each,
    and a link between any two."""

    def __init__(
        self,
        settings: dict[str, Any],
        folder: Path,
        seed: int,
        within: float,
        nodes: int,
        servers: int,
        store: str,
        members: int,
        zones: int,
        lists: str,
        peers: bool,
        processors: int,
        workers: int,
        programs: dict[str, list[str]] | None,
    ) -> None:
        self.settings, self.folder, self.seed, self.within = settings, folder, seed, within
        self.records = Records()
        self.links: dict[str, Link | Datagrams] = {}
        self._hears: dict[str, tuple[str, int]] = {}  # where nodes hear datagrams, if they tell one another
        self._tell = peers
        self.processes: dict[str, Process] = {}
        self.lists: dict[str, ListService] = {}
        self.clients: dict[str, Clients] = {}
        self.zones = [chr(ord("a") + i) for i in range(zones)]
        self.servers = {
            f"s{i}": Server(f"s{i}", self.zones[i % zones], i // CELLS, self.records, seed)
            for i in range(servers)
        }
        self.processors = [f"p{i}" for i in range(processors)]
        self.names = [f"n{i}" for i in range(nodes)] + self.processors
        self.workers = workers  # of each processor
        self.programs = programs  # that supervisors of the nodes have; the first one runs
        self.kind, self._members, self._listed_by = store, members, lists
        self._entries: dict[tuple[str, str], dict[str, Any]] = {}  # by node and server
        self.cluster: Cluster | None = None
        self._nursery: trio.Nursery
        self._operator: Place
        self._stopped: dict[str, float] = {}
        self._reserved: list[socket.socket] = []

    # making it

    async def _make(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        nursery.start_soon(self.records.lateness.run)
        if self.kind == "relay" or "etcd" in (self.kind, self._listed_by):
            self.cluster = Cluster(self._members, self.folder / "etcd.log")
            self.processes["etcd"] = self.cluster
            self.cluster.start()
        if self.kind == "directory":
            (self.folder / "store").mkdir()
            Directory(str(self.folder / "store")).make()
        if self.kind == "relay":
            await self._start_relay()
        for name in self.names if self._tell else ():
            self._hears[name] = self._reserve(socket.SOCK_DGRAM)
        for one, other in itertools.combinations(self._hears, 2):
            link = self.links[f"{one}-{other}"] = Datagrams(
                f"{one}-{other}", (self._hears[one], self._hears[other]), self.seed
            )
            nursery.start_soon(link.run)
        for i, name in enumerate(self.names):
            await (self._make_processor if name in self.processors else self._make_node)(i, name)
        for process in list(self.processes.values()):
            if process.name not in ("etcd", "relay"):
                process.start()
        for name in self.names:
            process = self.processes[name]
            await self.until(partial(_says, process, "event=listening", self._each(name)), f"{name} listens")

    def _each(self, name: str) -> int:
        """How many processes serve under a name."""
        return self.workers if name in self.processors else 1

    def _rows(self, name: str) -> list[str]:
        """Under which names a process's rows are in the store."""
        many = self._each(name)
        return [f"{name}-{i}" for i in range(many)] if many > 1 else [name]

    async def _start_relay(self) -> None:
        """The machine's one reader of etcd, through links of its own."""
        assert self.cluster is not None
        places = [self.link(f"relay-etcd{i}", place) for i, place in enumerate(self.cluster.places)]
        at = "etcd://" + ",".join("{}:{}".format(*place) for place in places) + "/rig"
        self.processes["relay"] = relay = Process(
            "relay",
            [
                sys.executable,
                "-m",
                "wheatroute.cli",
                "settings",
                "--at",
                at,
                "relay",
                "--into",
                str(self.folder / "kept"),
                "--within",
                str(self.within),
                "--name",
                "here",
            ],
            {},
            self.folder / "relay.log",
        )
        relay.start()
        await self.until(partial(_says, relay, 'phase="in force"'), "the relay was confirmed")

    async def _listed_for(self, name: str) -> tuple[str, int]:
        """The list service of a process, through a link, and links of its own to all servers."""
        service = self.lists[name] = ListService()
        for server in self.servers.values():
            place = await self._server_for(server, name)
            entry = self._entries[name, server.name] = {
                "id": server.name,
                "addr": f"{place[0]}:{place[1]}",
                "zone": server.zone,
                "kind": "toy",
                "cell": server.cell,
                "state": "in_service",
                "weight": 1.0,
                "started_ms": 0,
            }
            service.say(entry)
            self._list(name, entry)
        return self.link(f"{name}-list", await listen(service.serve, self._nursery))

    async def _make_processor(self, number: int, name: str) -> None:
        agent = await self._listed_for(name)
        listening = self._reserve()
        path = self.folder / f"{name}.toml"
        own = {
            "list_service": '"{}:{}"'.format(*agent),
            "listen": '"{}:{}"'.format(*listening),
            "name": json.dumps(name),
            "node": number,
            "workers": self.workers,
        }
        place = [f"{key} = {json.dumps(value)}" for key, value in self._agreement(name).items()]
        path.write_text(
            file_text(self.settings, len(self.names), own) + "\n".join(["[agreement]", *place, ""])
        )
        self.processes[name] = Process(
            name,
            [sys.executable, "-m", "wheatroute.cli", "processor", str(path)],
            {},
            self.folder / f"{name}.log",
        )
        from wheatroute.rig.gateway import Gateway  # who plays no processor does not pay for it

        gateway = Gateway(self.link(f"proxy-{name}", listening))
        self._nursery.start_soon(gateway.run)
        self._call(name, await listen(gateway.serve, self._nursery))

    def _call(self, name: str, place: tuple[str, int]) -> None:
        clients = self.clients[name] = Clients(
            name, self.link(f"callers-{name}", place), self.records, self.seed
        )
        self._nursery.start_soon(clients.run)

    async def _make_node(self, number: int, name: str) -> None:
        agent = await self._listed_for(name)
        listening = self._reserve()
        told: dict[str, Any] = {
            "name": name,
            "listen": "{}:{}".format(*listening),
            "discovery": "{}:{}".format(*agent),
            "seed": f"{self.seed}/{name}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": deepcopy(self.settings)
            | {"me": number, "balancers": len(self.names), "zone": self.zones[number % len(self.zones)]},
            "agreement": self._agreement(name),
        }
        if self._tell:
            told["peers"] = {
                "listen": "{}:{}".format(*self._hears[name]),
                "others": [
                    "{}:{}".format(*link.places[name != ends.split("-")[0]])
                    for ends, link in self.links.items()
                    if isinstance(link, Datagrams) and name in ends.split("-")
                ],
            }
        if self._listed_by == "etcd" and self.cluster is not None:
            places = [self.link(f"{name}-list{i}", place) for i, place in enumerate(self.cluster.places)]
            told["servers"] = {
                "etcd": ["{}:{}".format(*place) for place in places],
                "prefix": f"/servers/{name}/",
                "nodes_prefix": "/members/",
            }
        if self.programs is not None:
            told["beside"], told["rollout"] = True, {"directory": str(self.folder / "rollouts")}
            self._keep(name)
            self.write(name, told)
            self._call(name, listening)
            return
        self.write(name, told)
        self.processes[name] = Process(
            name,
            [sys.executable, "-m", "wheatroute"],
            {"PROXY_CONFIG": str(self.folder / f"{name}.json")},
            self.folder / f"{name}.log",
        )
        self._call(name, listening)

    def _keep(self, name: str) -> None:
        """A supervisor for a node, in a process of its own."""
        assert self.programs is not None
        Directory(str(self.folder / "rollouts")).make()
        file, path = self.folder / f"{name}.json", self.folder / f"supervisor-{name}.toml"
        told = {
            "name": name,
            "site": self.zones[self.names.index(name) % len(self.zones)],
            "file": str(file),
            "first": next(iter(self.programs)),
            "state": str(self.folder / f"{name}.state"),
            "log": str(self.folder / f"{name}.log"),
            "directory": str(self.folder / "rollouts"),
            "patience": 10.0,
        }
        path.write_text(
            "\n".join(
                [
                    *(f"{key} = {json.dumps(value)}" for key, value in told.items()),
                    "[programs]",
                    *(f"{json.dumps(key)} = {json.dumps(value)}" for key, value in self.programs.items()),
                    "",
                ]
            )
        )
        self.processes[f"supervisor-{name}"] = Process(
            f"supervisor-{name}",
            [sys.executable, "-m", "wheatroute.cli", "keep", str(path)],
            {},
            self.folder / f"supervisor-{name}.log",
        )
        self.processes[name] = Kept(name, file, self.folder / f"{name}.log")

    def control(self) -> str:
        """One more controller of rollouts; its name."""
        name = f"controller{sum(one.startswith('controller') for one in self.processes)}"
        self.processes[name] = Process(
            name,
            [
                sys.executable,
                "-m",
                "wheatroute.cli",
                "rollout",
                "--at",
                str(self.folder / "rollouts"),
                "control",
            ],
            {},
            self.folder / f"{name}.log",
        )
        self.processes[name].start()
        return name

    def _list(self, node: str, entry: dict[str, Any]) -> None:
        if self._listed_by == "etcd" and self.cluster is not None:
            told = {key: value for key, value in entry.items() if key not in ("id", "weight")}
            self.cluster.order("put", key=f"/servers/{node}/{entry['id']}", value=json.dumps(told))

    async def _server_for(self, server: Server, node: str) -> tuple[str, int]:
        async def serve(stream: trio.SocketStream) -> None:
            await server.serve(stream, node, link.sent_at)

        link = self._linked(f"{node}-{server.name}", await listen(serve, self._nursery))
        return link.place

    def _agreement(self, name: str) -> dict[str, Any]:
        if self.kind == "relay":
            return {"relay": str(self.folder / "kept"), "within": self.within}
        if self.kind == "directory" or self.cluster is None:
            # each node has a name of its own for the directory, which can be taken away from it alone
            (self.folder / f"store-{name}").symlink_to(self.folder / "store")
            return {"directory": str(self.folder / f"store-{name}"), "within": self.within}
        places = [self.link(f"{name}-etcd{i}", place) for i, place in enumerate(self.cluster.places)]
        return {"etcd": ["{}:{}".format(*place) for place in places], "prefix": "/rig", "within": self.within}

    def link(self, name: str, target: tuple[str, int]) -> tuple[str, int]:
        return self._linked(name, target).place

    def _linked(self, name: str, target: tuple[str, int]) -> Link:
        link = self.links[name] = Link(name, target)
        self._nursery.start_soon(link.run)
        return link

    def write(self, name: str, told: dict[str, Any]) -> None:
        (self.folder / f"{name}.json").write_text(json.dumps(told))

    def file(self, name: str) -> dict[str, Any]:
        told: dict[str, Any] = json.loads((self.folder / f"{name}.json").read_text())
        return told

    def _reserve(self, kind: int = socket.SOCK_STREAM) -> tuple[str, int]:
        held = reserved(kind)
        place: tuple[str, int] = held.getsockname()
        if kind == socket.SOCK_STREAM:
            self._reserved.append(held)
        else:
            held.close()  # nobody can share a place for datagrams, and hardly anyone else asks for one
        return place

    def end(self) -> None:
        for process in self.processes.values():
            process.end()
        for held in self._reserved:
            held.close()

    # waiting

    async def until(self, what: Callable[[], Any], name: str, patience: float = PATIENCE) -> None:
        """Waits until something is so; raises `RigError` when that takes too long.

        What this process was late meanwhile is added to the patience, up to once that patience.
        """
        begun = time.monotonic()
        while not what():
            now = time.monotonic()
            if now > begun + patience + min(patience, self.records.lateness.total(begun, now)):
                raise RigError(f"waited {now - begun:.1f} s until {name}")
            await trio.sleep(0.01)

    # faults, which the program is not told of

    def fault(self, text: str) -> None:
        self.records.faults.append((time.monotonic(), text))

    def between(self, one: str, other: str) -> list[Link | Datagrams]:
        """The links from one process to another, or from it; `etcd` stands for all members."""
        found: list[Link | Datagrams] = []
        for name, link in self.links.items():
            first, _, second = name.partition("-")
            if first == one and second.startswith(other) or first == other and second.startswith(one):
                found.append(link)
        if not found:
            raise RigError(f"there is no link between {one} and {other}")
        return found

    def cut(self, one: str, other: str, way: str = "both") -> None:
        self.fault(f"cut {one} {other} {way}")
        if other == "store" and self.kind == "directory":
            (self.folder / f"store-{one}").unlink()
            return
        for link in self.between(one, "etcd" if other == "store" else other):
            link.cut(way)

    def heal(self, one: str, other: str) -> None:
        self.fault(f"heal {one} {other}")
        if other == "store" and self.kind == "directory":
            (self.folder / f"store-{one}").symlink_to(self.folder / "store")
            return
        for link in self.between(one, "etcd" if other == "store" else other):
            link.heal()

    def spoil(self, one: str, other: str, way: str = "both", **how: float) -> None:
        self.fault(f"spoil {one} {other} {way} {how}")
        for link in self.between(one, other):
            link.spoil(way, **how)

    def reset(self, one: str, other: str) -> None:
        self.fault(f"reset {one} {other}")
        for link in self.between(one, other):
            link.reset()

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.fault(f"stop {name}")
        self._stopped[name] = time.monotonic()
        self.processes[name].signal_all(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        self.fault(f"continue {name}")
        self.records.killed.append((self._stopped.pop(name), time.monotonic() + 0.5, name))
        self.processes[name].signal_all(signal.SIGCONT)

    def kill(self, name: str) -> None:
        self.fault(f"kill {name}")
        self._stopped[name] = time.monotonic()
        self.processes[name].end()

    async def start(self, name: str) -> None:
        self.fault(f"start {name}")
        process = self.processes[name]
        before = process.log.count("event=listening")
        process.start()
        await self.until(
            lambda: process.log.count("event=listening") >= before + self._each(name), f"{name} listens again"
        )
        if name in self._stopped:
            self.records.killed.append((self._stopped.pop(name), time.monotonic(), name))

    def drain(self, server: str) -> None:
        """All lists say that a server is to be left; what it begins too long after is a broken drain."""
        self.fault(f"drain {server}")
        self.records.drained[server] = time.monotonic()
        self._say(server, "terminating")

    def take_back(self, server: str) -> None:
        """All lists say that a server that was to be left serves on."""
        self.fault(f"take back {server}")
        self.records.drained.pop(server, None)
        self._say(server, "in_service")

    def _say(self, server: str, state: str) -> None:
        for name, service in self.lists.items():
            entry = self._entries[name, server] | {"state": state}
            service.say(entry)
            self._list(name, entry)

    def double(self, name: str) -> Process:
        """A second process of a node's name, at a place of its own."""
        self.fault(f"a second process is started as {name}")
        told = self.file(name) | {"listen": "{}:{}".format(*self._reserve())}
        self.write(f"{name}-double", told)
        process = self.processes[f"{name}-double"] = Process(
            f"{name}-double",
            [sys.executable, "-m", "wheatroute"],
            {"PROXY_CONFIG": str(self.folder / f"{name}-double.json")},
            self.folder / f"{name}-double.log",
        )
        process.start()
        return process

    def command(self, *words: str, through: str = "") -> Process:
        """`wheatroute settings` with these words, as an operator's process; its log is what it says.

        `through` names a link of its own to the store, which can be cut.
        """
        at = str(self.folder / "store")
        if self.kind != "directory" and self.cluster is not None:
            places = [
                self.link(f"{through}-etcd{i}", place) if through else place
                for i, place in enumerate(self.cluster.places)
            ]
            at = "etcd://" + ",".join("{}:{}".format(*place) for place in places) + "/rig"
        name = f"operator{len(self.processes)}"
        process = self.processes[name] = Process(
            name,
            [sys.executable, "-m", "wheatroute.cli", "settings", "--at", at, *words],
            {},
            self.folder / f"{name}.log",
        )
        process.start()
        return process

    async def note(self) -> Any:
        """What the store says of the versions; also those that others put."""
        async with self._place() as place:
            history = await operator.history_of(place)
        for number, version in history.versions.items():
            if number not in [one.number for one in self.records.versions]:
                kinds = {one["name"]: one for one in version.content["settings"]["traffic-types"]}
                self.records.versions.append(Known(number, kinds, time.monotonic()))
        self._note(history)
        return history

    def file_of(self, **changes: Any) -> str:
        """A file with the settings, some of them changed, for the command line."""
        path = self.folder / f"settings{len(list(self.folder.iterdir()))}.json"
        path.write_text(json.dumps({"settings": change(self.settings, changes, len(self.names))}))
        return str(path)

    # versions

    @asynccontextmanager
    async def _place(self) -> AsyncIterator[Place]:
        """The operator's own way to the store, with no link between."""
        if self.kind == "directory" or self.cluster is None:
            yield Directory(str(self.folder / "store"))
            return
        ends = ",".join("{}:{}".format(*place) for place in self.cluster.places)
        async with opened(operator.place_of(f"etcd://{ends}/rig")) as place:
            yield place

    async def put(self, why: str = "a change", over: int = 0, **changes: Any) -> int:
        """Puts the settings with changes, by path: `look__effect="fragile"` is a request class's key."""
        settings = change(self.settings, changes, len(self.names))
        moment = time.monotonic()
        async with self._place() as place:
            content: dict[str, Any] = {"settings": settings}
            if self.processors:
                path = self.folder / "put.toml"
                path.write_text(file_text(settings, len(self.names), {}))
                content |= operator.content_of(str(path))[0]
            version = await operator.put(place, content, why, over)
        self.records.versions.append(
            Known(version.number, {one["name"]: one for one in settings["traffic-types"]}, moment)
        )
        return version.number

    async def ended(self, number: int, patience: float = PATIENCE) -> str:
        """What becomes of a version: its state."""
        with trio.fail_after(patience):
            async with self._place() as place:
                while True:
                    with suppress(PlaceError, trio.TooSlowError):
                        history = await operator.history_of(place)
                        self._note(history)
                        if history.versions[number].life:
                            return history.versions[number].state
                    await trio.sleep(0.02)

    def _note(self, history: Any) -> None:
        for known in self.records.versions:
            life = history.versions[known.number].life if known.number in history.versions else []
            if life and life[-1] != known.state:
                known.state, known.ended = life[-1], known.ended or time.monotonic()

    async def status(self) -> dict[str, Any]:
        async with self._place() as place:
            return await operator.status(place)

    async def agreed(self, number: int, names: list[str] | None = None, patience: float = PATIENCE) -> None:
        """Waits until the nodes (all that run) act on a version alone."""
        with trio.move_on_after(patience):
            while True:
                rows = {}
                with suppress(PlaceError, trio.TooSlowError):
                    told = await self.status()
                    for row in sorted(told["processes"], key=lambda row: -row["confirmed_ago_s"]):
                        rows[row["name"]] = row
                if all(
                    name in rows and rows[name]["phase"] == "in force" and rows[name]["version"] == number
                    for one in names or self.names
                    for name in self._rows(one)
                ):
                    return
                await trio.sleep(0.02)
        raise RigError(f"waited {patience:g} s until all act on version {number}: {rows}")

    # clients

    def call(self, rate: float, kinds: dict[str, float], left: float = 2.0) -> None:
        """Clients of all nodes ask at a rate each, in the forms of the settings at the start."""
        forms = {one["name"]: one["effect"] for one in self.settings["traffic-types"]}
        for clients in self.clients.values():
            clients.kinds = {name: (part, forms[name]) for name, part in kinds.items()}
            clients.rate, clients.left = rate, left

    async def quiet(self) -> float:
        """Clients stop asking, all that was asked gets its time; returns the moment after."""
        for clients in self.clients.values():
            clients.rate = 0.0
        out = max((one.left for one in self.records.asked.values()), default=0.0)
        with trio.move_on_after(out + 1.5 + MOST_EXCUSED):
            while any(not one.ended for one in self.records.asked.values()):
                await trio.sleep(0.02)
        for name, since in self._stopped.items():
            self.records.killed.append((since, time.monotonic() + 60.0, name))
        return time.monotonic()


def _says(process: Process, text: str, times: int = 1) -> bool:
    return process.log.count(text) >= times


@asynccontextmanager
async def rig(
    nodes: int = 3,
    servers: int = 4,
    store: str = "directory",
    members: int = 3,
    zones: int = 1,
    within: float = 2.0,
    seed: int = 1,
    settings: dict[str, Any] | None = None,
    longest: float = 120.0,
    keep: Path | None = None,
    lists: str = "service",
    peers: bool = False,
    processors: int = 0,
    workers: int = 2,
    programs: dict[str, list[str]] | None = None,
) -> AsyncIterator[Rig]:
    """A rig that stands, for as long as that lasts and `longest` at the most; then all of it is ended.

    `store` is where versions are, a directory or etcd; `lists` where servers are, a list service or
    etcd. With `peers` nodes tell one another what servers hold, by datagrams. Processors, with so many
    workers each, hear of servers by a list service. With `programs`, nodes are run by supervisors. Logs and
    files go into `keep`, or into a folder that goes with the rig.
    """
    folder = keep or Path(tempfile.mkdtemp(prefix="wheatroute-rig-"))
    folder.mkdir(parents=True, exist_ok=True)
    told = deepcopy(settings or SETTINGS)
    told["dcs"] = [chr(ord("a") + i) for i in range(zones)]
    made = Rig(
        told,
        folder,
        seed,
        within,
        nodes,
        servers,
        store,
        members,
        zones,
        lists,
        peers,
        processors,
        workers,
        programs,
    )
    try:
        with trio.fail_after(longest):
            async with trio.open_nursery() as nursery:
                await made._make(nursery)
                yield made
                nursery.cancel_scope.cancel()
    finally:
        made.end()
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
