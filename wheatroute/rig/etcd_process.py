"""The process of the stand-in etcd cluster, which is controlled by commands; see `etcd_cluster`."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from wheatroute.rig.addresses import Address, host_port
from wheatroute.rig.processes import ROOT, Process, RigError

CLUSTER_ENDED = b'{"trouble": "the process of the cluster has ended"}'


class EtcdProcess(Process):
    """The process that runs all members of the stand-in etcd cluster.

    After `start`, `addresses` has their addresses.
    """

    def __init__(self, member_count: int, log: Path) -> None:
        command = [sys.executable, "-m", "wheatroute.rig.etcd_cluster", str(member_count)]
        super().__init__("etcd", command, log)
        self.addresses: list[Address] = []

    def start(self) -> None:
        """Starts the process and reads its members' addresses."""
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stderr=log,
                stdout=subprocess.PIPE,
                start_new_session=True,
            )
        assert self._process.stdout is not None
        self.addresses = [(host, port) for host, port in json.loads(self._process.stdout.readline())]

    def send_command(self, order: str, **arguments: Any) -> None:
        """Sends a command to the cluster, see `etcd_cluster.Commands`; raises `RigError` if it fails.

        `order` is the name of the command; scenario files use the same key for it.
        """
        assert self._process is not None and self._process.stdin and self._process.stdout
        self._process.stdin.write(json.dumps({"order": order} | arguments).encode() + b"\n")
        self._process.stdin.flush()
        response = json.loads(self._process.stdout.readline() or CLUSTER_ENDED)
        if response:
            raise RigError(f"the command to the etcd cluster failed: {response['trouble']}")


def etcd_url(addresses: list[Address], prefix: str) -> str:
    """Returns the URL of a version store in etcd, as the command line accepts it."""
    return f"etcd://{','.join(map(host_port, addresses))}{prefix}"
