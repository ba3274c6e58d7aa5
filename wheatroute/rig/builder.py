"""Builds a rig from its options: etcd cluster, nodes, processors behind proxies, supervisors, clients."""

from __future__ import annotations

import itertools
from copy import deepcopy

import trio

from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.rig.addresses import Address, host_port
from wheatroute.rig.client_load import ClientLoad
from wheatroute.rig.components import RigComponents
from wheatroute.rig.discovery import etcd_servers_table
from wheatroute.rig.http_connection import listen
from wheatroute.rig.network import free_datagram_address
from wheatroute.rig.process_files import toml_entries
from wheatroute.rig.processes import NODE_COMMAND, Process, SupervisedProcess, cli_command
from wheatroute.rig.processor_file import ProcessorInstance, processor_file
from wheatroute.rig.server import Server
from wheatroute.rig.supervisor import rollout_directory, supervisor_file
from wheatroute.rig.version_backend import RelayBackend
from wheatroute.rig.waiting import wait_until

NODE_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


class RigBuilder:
    """Adds processes to a rig's components and starts them."""

    def __init__(self, components: RigComponents, nursery: trio.Nursery) -> None:
        self._components = components
        self._options = components.options
        self._nursery = nursery
        # by node or processor: the address at which it receives datagrams of its peers
        self._peer_listeners: dict[str, Address] = {}

    async def build(self) -> None:
        """Adds and starts all processes; raises `RigError` if one of them does not start to listen."""
        if self._components.etcd is not None:
            self._components.etcd.start()
        if isinstance(self._components.backend, RelayBackend):
            await self._start_relay(self._components.backend)
        if self._options.peers:
            self._link_peers()
        for number, name in enumerate(self._options.names):
            if name in self._options.processor_names:
                await self._add_processor(number, name)
            else:
                await self._add_node(number, name)
        await self._start_all()

    async def _start_all(self) -> None:
        for process in self._components.processes.values():
            # etcd and the relay have been started before
            if process.name not in ("etcd", "relay"):
                process.start()
        for name in self._options.names:
            await self._wait_for_log(
                name, "event=listening", self._options.process_count(name), f"{name} listens"
            )

    async def _wait_for_log(self, name: str, text: str, count: int, description: str) -> None:
        process = self._components.processes[name]
        await wait_until(
            self._components.records.lateness,
            lambda: process.log.count(text) >= count,
            description,
        )

    def _add_process(self, process: Process) -> None:
        self._components.processes[process.name] = process

    async def _start_relay(self, backend: RelayBackend) -> None:
        """Starts the relay, which alone reads the versions in etcd, for all nodes and processors.

        It reaches etcd through its own links.
        """
        options = ["--into", str(backend.directory), "--within", str(self._options.bound_s), "--name", "here"]
        command = cli_command("settings", "--at", backend.url("relay"), "relay", *options)
        relay = Process("relay", command, self._components.files.log("relay"))
        self._add_process(relay)
        relay.start()
        await self._wait_for_log("relay", 'phase="in force"', 1, "the relay was confirmed")

    def _link_peers(self) -> None:
        """Adds a datagram link between any two of the nodes and processors."""
        self._peer_listeners = {name: free_datagram_address() for name in self._options.names}
        for first, second in itertools.combinations(self._peer_listeners, 2):
            ends = self._peer_listeners[first], self._peer_listeners[second]
            self._components.network.add_datagram_link(f"{first}-{second}", ends, self._options.seed)

    async def _add_discovery_service(self, name: str) -> Address:
        """Adds a process's discovery service; returns its address.

        The process reaches the service and all servers through its own links.
        """
        service = self._components.discovery.add_process(name)
        for server in self._components.servers.values():
            address = await self._link_server(server, name)
            self._components.discovery.add_server(name, server, address)
        address = await listen(service.serve, self._nursery)
        return self._components.network.add_link(f"{name}-list", address).address

    async def _link_server(self, server: Server, name: str) -> Address:
        async def serve(stream: trio.SocketStream) -> None:
            await server.serve(stream, name, link.sent_at)

        link = self._components.network.add_link(f"{name}-{server.name}", await listen(serve, self._nursery))
        return link.address

    def _add_load(self, name: str, address: Address) -> None:
        """Adds the clients of a node or proxy, and their link to it."""
        link_address = self._components.network.add_link(f"callers-{name}", address).address
        load = ClientLoad(name, link_address, self._components.records, self._options.seed)
        self._components.loads[name] = load
        self._nursery.start_soon(load.run)

    async def _add_processor(self, number: int, name: str) -> None:
        discovery = await self._add_discovery_service(name)
        listener = self._components.network.reserve_address()
        instance = ProcessorInstance(
            name=name,
            number=number,
            workers=self._options.workers,
            listen=host_port(listener),
            discovery_service=host_port(discovery),
        )
        text = processor_file(self._components.settings, len(self._options.names), instance)
        agreement = ["[agreement]", *toml_entries(self._components.backend.agreement_table(name)), ""]
        path = self._components.files.write_toml(name, text + "\n".join(agreement))
        self._add_process(
            Process(name, cli_command("processor", str(path)), self._components.files.log(name))
        )
        await self._add_gateway(name, listener)

    async def _add_gateway(self, name: str, processor: Address) -> None:
        """Adds the proxy in front of a processor, and its clients."""
        # imported here because its libraries are needed only with processors
        from wheatroute.rig.gateway import Gateway

        gateway = Gateway(self._components.network.add_link(f"proxy-{name}", processor).address)
        self._nursery.start_soon(gateway.run)
        self._add_load(name, await listen(gateway.serve, self._nursery))

    async def _add_node(self, number: int, name: str) -> None:
        discovery = await self._add_discovery_service(name)
        listener = self._components.network.reserve_address()
        document = self._node_document(number, name, listener, discovery)
        if self._options.programs is not None:
            DirectoryStore(rollout_directory(self._components.folder)).create()
            document["beside"] = True
            document["rollout"] = {"directory": rollout_directory(self._components.folder)}
            self._add_supervisor(number, name, self._options.programs)
        else:
            environment = {"PROXY_CONFIG": str(self._components.files.node_file(name))}
            log = self._components.files.log(name)
            self._add_process(Process(name, NODE_COMMAND, log, environment))
        self._components.files.write_node_file(name, document)
        self._add_load(name, listener)

    def _node_document(
        self, number: int, name: str, listener: Address, discovery: Address
    ) -> dict[str, object]:
        """Returns the settings file of a node, as a document."""
        own_settings = {
            "me": number,
            "balancers": len(self._options.names),
            "zone": self._options.zone_of(number),
        }
        document: dict[str, object] = {
            "name": name,
            "listen": host_port(listener),
            "discovery": host_port(discovery),
            "seed": f"{self._options.seed}/{name}",
            "limits": NODE_LIMITS,
            "settings": deepcopy(self._components.settings) | own_settings,
            "agreement": self._components.backend.agreement_table(name),
        }
        if self._options.peers:
            document["peers"] = {
                "listen": host_port(self._peer_listeners[name]),
                "others": [*map(host_port, self._components.network.peer_addresses(name))],
            }
        if self._options.discovery == "etcd" and self._components.etcd is not None:
            addresses = self._components.network.add_links(f"{name}-list", self._components.etcd.addresses)
            document["servers"] = etcd_servers_table(name, [*map(host_port, addresses)])
        return document

    def _add_supervisor(self, number: int, node: str, programs: dict[str, list[str]]) -> None:
        """Adds a node's supervisor as a process, and the node as the program that the supervisor runs."""
        files = self._components.files
        name = f"supervisor-{node}"
        text = supervisor_file(node, self._options.zone_of(number), programs, files)
        path = files.write_toml(name, text)
        self._add_process(Process(name, cli_command("keep", str(path)), files.log(name)))
        self._add_process(SupervisedProcess(node, files.node_file(node), files.log(node)))
