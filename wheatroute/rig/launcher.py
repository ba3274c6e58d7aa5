"""Starts further processes in a run: operators' commands, rollout controllers and duplicates of nodes."""

from __future__ import annotations

import time

from wheatroute.rig.addresses import host_port
from wheatroute.rig.components import RigComponents
from wheatroute.rig.processes import NODE_COMMAND, Process, cli_command
from wheatroute.rig.supervisor import rollout_directory


class Launcher:
    """Starts further processes; the rig ends them with all others."""

    def __init__(self, components: RigComponents) -> None:
        self._components = components

    def _start(self, name: str, command: list[str], environment: dict[str, str] | None = None) -> Process:
        process = Process(name, command, self._components.files.log(name), environment)
        self._components.processes[name] = process
        process.start()
        return process

    def start_settings_command(self, *arguments: str, link_name: str = "") -> Process:
        """Starts `wheatroute settings` with these arguments; the log of the process is its output.

        With `link_name`, the command reaches the store through links of that name, which can be partitioned.
        """
        url = self._components.backend.url(link_name)
        command = cli_command("settings", "--at", url, *arguments)
        return self._start(f"operator{len(self._components.processes)}", command)

    def start_controller(self) -> str:
        """Starts an additional rollout controller; returns the name of the process."""
        number = sum(name.startswith("controller") for name in self._components.processes)
        directory = rollout_directory(self._components.folder)
        command = cli_command("rollout", "--at", directory, "control")
        return self._start(f"controller{number}", command).name

    def start_duplicate(self, node: str) -> Process:
        """Starts a second process under a node's name, which listens at another address."""
        self._components.records.record_fault(time.monotonic(), f"a second process is started as {node}")
        name = f"{node}-double"
        files = self._components.files
        overrides = {"listen": host_port(self._components.network.reserve_address())}
        files.write_node_file(name, files.read_node_file(node) | overrides)
        return self._start(name, NODE_COMMAND, {"PROXY_CONFIG": str(files.node_file(name))})
