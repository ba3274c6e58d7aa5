"""The rig: starts processes of the program and everything around them on loopback, and ends all of it.

Owns every process, link and folder of a run. It must never leave a process behind, whatever goes wrong, nor
end one that it did not start; it tells the program of no fault.
"""

from __future__ import annotations

import shutil
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from copy import deepcopy
from pathlib import Path
from typing import Any

import trio

from wheatroute.rig.faulting import RigFaults
from wheatroute.rig.loop_lateness import MAX_EXCUSED_S
from wheatroute.rig.run_records import Downtime
from wheatroute.rig.settings import SETTINGS
from wheatroute.rig.versioning import RigVersions


class Rig(RigFaults, RigVersions):
    """Nodes n0.., processors p0.. behind a proxy each, servers s0.., a store for versions, clients of each,
    and a link between any two."""

    def call(self, rate: float, kinds: dict[str, float], left: float = 2.0) -> None:
        """Clients of all nodes ask at a rate each, in the forms of the settings at the start."""
        forms = {one["name"]: one["effect"] for one in self.settings["traffic-types"]}
        for clients in self.clients.values():
            clients.clear_classes()
            for name, share in kinds.items():
                clients.set_class(name, share, forms[name])
            clients.rate, clients.timeout_s = rate, left

    async def quiet(self) -> float:
        """Clients stop asking, all that was asked gets its time; returns the moment after."""
        for clients in self.clients.values():
            clients.rate = 0.0
        out = max((one.timeout_s for one in self.records.requests.values()), default=0.0)
        with trio.move_on_after(out + 1.5 + MAX_EXCUSED_S):
            while any(not one.ended_at for one in self.records.requests.values()):
                await trio.sleep(0.02)
        for name, since in self._stopped.items():
            self.records.downtimes.append(Downtime(since, time.monotonic() + 60.0, name))
        return time.monotonic()


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
