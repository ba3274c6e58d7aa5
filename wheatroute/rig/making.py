"""Makes the parts of a rig: nodes, processors behind their proxies, lists, supervisors, the store's reader.

Owns the files that processes read and the links between any two of them.
"""

from __future__ import annotations

import itertools
import json
import socket
import sys
from copy import deepcopy
from functools import partial
from typing import Any

import trio

from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.rig.client_load import ClientLoad
from wheatroute.rig.datagram_link import DatagramLink
from wheatroute.rig.discovery_service import DiscoveryService
from wheatroute.rig.http_connection import listen
from wheatroute.rig.parts import RigParts
from wheatroute.rig.processes import Cluster, Kept, Process
from wheatroute.rig.server import Server
from wheatroute.rig.settings import file_text


class RigMaking(RigParts):
    """Starts what a run needs."""

    async def _make(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        nursery.start_soon(self.records.lateness.run)
        if self.kind == "relay" or "etcd" in (self.kind, self._listed_by):
            self.cluster = Cluster(self._members, self.folder / "etcd.log")
            self.processes["etcd"] = self.cluster
            self.cluster.start()
        if self.kind == "directory":
            (self.folder / "store").mkdir()
            DirectoryStore(str(self.folder / "store")).create()
        if self.kind == "relay":
            await self._start_relay()
        for name in self.names if self._tell else ():
            self._hears[name] = self._reserve(socket.SOCK_DGRAM)
        for one, other in itertools.combinations(self._hears, 2):
            link = self.links[f"{one}-{other}"] = DatagramLink(
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
            await self.until(partial(says, process, "event=listening", self._each(name)), f"{name} listens")

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
        await self.until(partial(says, relay, 'phase="in force"'), "the relay was confirmed")

    async def _listed_for(self, name: str) -> tuple[str, int]:
        """The list service of a process, through a link, and links of its own to all servers."""
        service = self.lists[name] = DiscoveryService()
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
            service.update(entry)
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
        clients = self.clients[name] = ClientLoad(
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
                    "{}:{}".format(*link.addresses[name != ends.split("-")[0]])
                    for ends, link in self.links.items()
                    if isinstance(link, DatagramLink) and name in ends.split("-")
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
        DirectoryStore(str(self.folder / "rollouts")).create()
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
        return link.address

    def _agreement(self, name: str) -> dict[str, Any]:
        if self.kind == "relay":
            return {"relay": str(self.folder / "kept"), "within": self.within}
        if self.kind == "directory" or self.cluster is None:
            # each node has a name of its own for the directory, which can be taken away from it alone
            (self.folder / f"store-{name}").symlink_to(self.folder / "store")
            return {"directory": str(self.folder / f"store-{name}"), "within": self.within}
        places = [self.link(f"{name}-etcd{i}", place) for i, place in enumerate(self.cluster.places)]
        return {"etcd": ["{}:{}".format(*place) for place in places], "prefix": "/rig", "within": self.within}

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


def says(process: Process, text: str, times: int = 1) -> bool:
    """Whether a process has logged a text so often."""
    return process.log.count(text) >= times
