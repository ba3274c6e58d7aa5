"""The components of a rig, and their creation before any process runs."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path

import trio

from wheatroute.rig.client_load import ClientLoad
from wheatroute.rig.discovery import Discovery
from wheatroute.rig.etcd_process import EtcdProcess
from wheatroute.rig.network import Network
from wheatroute.rig.options import SERVERS_PER_CELL, RigOptions
from wheatroute.rig.process_files import ProcessFiles
from wheatroute.rig.processes import Process
from wheatroute.rig.run_records import RunRecords
from wheatroute.rig.server import Server
from wheatroute.rig.settings import DEFAULT_SETTINGS, Settings
from wheatroute.rig.version_backend import DirectoryBackend, EtcdBackend, RelayBackend, VersionBackend


@dataclass
class RigComponents:
    """The state that several modules of the rig share.

    Processes, loads and links are added while the rig is built.
    """

    options: RigOptions
    folder: Path
    files: ProcessFiles
    settings: Settings  # the initial settings of all nodes
    records: RunRecords
    network: Network
    servers: dict[str, Server]
    etcd: EtcdProcess | None
    backend: VersionBackend
    discovery: Discovery
    processes: dict[str, Process]
    loads: dict[str, ClientLoad] = field(default_factory=dict)  # by node or processor

    def close(self) -> None:
        """Kills all processes, and releases the reserved ports."""
        for process in self.processes.values():
            process.kill()
        self.network.close()


def create_components(options: RigOptions, folder: Path, nursery: trio.Nursery) -> RigComponents:
    """Creates the components, without starting a process."""
    settings = deepcopy(options.settings or DEFAULT_SETTINGS) | {"dcs": options.zone_names}
    files = ProcessFiles(folder)
    records = RunRecords()
    network = Network(nursery)
    etcd = EtcdProcess(options.etcd_members, files.log("etcd")) if options.has_etcd else None
    return RigComponents(
        options=options,
        folder=folder,
        files=files,
        settings=settings,
        records=records,
        network=network,
        servers=_servers(options, records),
        etcd=etcd,
        backend=_backend(options, folder, etcd, network),
        discovery=Discovery(etcd if options.discovery == "etcd" else None),
        processes={"etcd": etcd} if etcd is not None else {},
    )


def _servers(options: RigOptions, records: RunRecords) -> dict[str, Server]:
    servers = [
        Server(f"s{i}", options.zone_of(i), i // SERVERS_PER_CELL, records, options.seed)
        for i in range(options.servers)
    ]
    return {server.name: server for server in servers}


def _backend(options: RigOptions, folder: Path, etcd: EtcdProcess | None, network: Network) -> VersionBackend:
    if options.store == "directory" or etcd is None:
        return DirectoryBackend(folder, options.bound_s)
    if options.store == "relay":
        return RelayBackend(etcd, network, options.bound_s, folder / "kept")
    return EtcdBackend(etcd, network, options.bound_s)
