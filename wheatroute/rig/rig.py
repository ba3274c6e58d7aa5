"""The rig: runs processes of the program, and everything that they communicate with, on loopback.

Whatever fails, it must end all processes that it started, and must not end any other process. It doesn't
notify the program of any fault.
"""

from __future__ import annotations

import shutil
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from pathlib import Path

import trio

from wheatroute.rig.builder import RigBuilder
from wheatroute.rig.components import RigComponents, create_components
from wheatroute.rig.etcd_process import EtcdProcess
from wheatroute.rig.faults import FaultInjector
from wheatroute.rig.launcher import Launcher
from wheatroute.rig.loop_lateness import MAX_EXCUSED_S
from wheatroute.rig.options import RigOptions
from wheatroute.rig.versions import VersionPublisher
from wheatroute.rig.waiting import WAIT_TIMEOUT_S, wait_until

# After the load stops, the requests in flight get the longest timeout of any request plus this time and
# MAX_EXCUSED_S to end.
DRAIN_SLACK_S = 1.5
CHECK_INTERVAL_S = 0.02


class Rig:
    """Nodes, processors with a proxy each, servers, a store for versions, and clients of each node.

    The connections between them pass through links, into which faults can be injected.
    """

    def __init__(self, components: RigComponents) -> None:
        self.names = components.options.names
        self.folder = components.folder
        self.files = components.files
        self.settings = components.settings
        self.records = components.records
        self.links = components.network.links
        self.processes = components.processes
        self.servers = components.servers
        self.loads = components.loads
        self.discovery_services = components.discovery.services
        self.launcher = Launcher(components)
        self.faults = FaultInjector(
            components.options,
            components.records,
            components.network,
            components.processes,
            components.discovery,
            components.backend,
        )
        self.versions = VersionPublisher(
            components.options, components.settings, components.records, components.backend, components.folder
        )
        self._etcd = components.etcd

    @property
    def etcd(self) -> EtcdProcess:
        """The process of the stand-in etcd cluster; only valid if `has_etcd`."""
        assert self._etcd is not None
        return self._etcd

    @property
    def has_etcd(self) -> bool:
        """Whether the rig runs a stand-in etcd cluster."""
        return self._etcd is not None

    async def wait_until(
        self, condition: Callable[[], object], description: str, timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Waits until a condition is true, see `waiting.wait_until`."""
        await wait_until(self.records.lateness, condition, description, timeout_s)

    def start_load(self, rate: float, class_weights: dict[str, float], timeout_s: float = 2.0) -> None:
        """Makes the clients of each node send `rate` requests per second, of classes drawn by weight."""
        effects = {table["name"]: table["effect"] for table in self.settings["traffic-types"]}
        for load in self.loads.values():
            load.clear_classes()
            for name, weight in class_weights.items():
                load.set_class(name, weight, effects[name])
            load.rate = rate
            load.timeout_s = timeout_s

    async def stop_load(self) -> float:
        """Stops the clients and waits for the requests in flight to end; returns the time after that."""
        for load in self.loads.values():
            load.rate = 0.0
        requests = self.records.requests
        longest_s = max((request.timeout_s for request in requests.values()), default=0.0)
        with trio.move_on_after(longest_s + DRAIN_SLACK_S + MAX_EXCUSED_S):
            while not all(request.ended_at for request in requests.values()):
                await trio.sleep(CHECK_INTERVAL_S)
        self.faults.record_open_downtimes()
        return time.monotonic()


@asynccontextmanager
async def running_rig(options: RigOptions) -> AsyncIterator[Rig]:
    """Builds a rig, runs it until the context ends, and then ends all its processes.

    Raises `trio.TooSlowError` if that takes longer than `timeout_s` of the options.
    """
    with ExitStack() as cleanup:
        folder = cleanup.enter_context(_run_folder(options.folder))
        with trio.fail_after(options.timeout_s):
            async with trio.open_nursery() as nursery:
                components = create_components(options, folder, nursery)
                cleanup.callback(components.close)
                nursery.start_soon(components.records.lateness.run)
                await RigBuilder(components, nursery).build()
                yield Rig(components)
                nursery.cancel_scope.cancel()


@contextmanager
def _run_folder(folder: Path | None) -> Iterator[Path]:
    """Yields the folder of a run: the given one, which is kept, or a temporary one, which is deleted."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        yield folder
        return
    temporary = Path(tempfile.mkdtemp(prefix="wheatroute-rig-"))
    try:
        yield temporary
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
