"""Three control nodes in one process, with real connections and disks."""

import asyncio
import gc
import json
import logging
import os
import re
import signal
import socket
import threading

import msgspec.yaml
import pytest

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import Instance, InstanceState, RegistryVersion
from wheatroute.cluster.settings import SETTINGS_VARIABLE, FailureTolerance, Settings
from wheatroute.control import main as control_main
from wheatroute.control.changes import Change, decode_state
from wheatroute.control.registry import REMOVED_HEARTBEATS, ServerHeartbeat
from wheatroute.control.service import ControlService
from wheatroute.replication.messages import SoftStateUpdate
from wheatroute.replication.storage import FILE_NAME, MemoryStorage

SCENARIO_TIMEOUT_S = 20.0  # time after which a scenario is considered hung
HOSTS = ("127.0.0.21", "127.0.0.22", "127.0.0.23")
LOG = logging.getLogger("test-nodes")


@pytest.fixture(autouse=True)
def collected_connections():
    """Collects connections whose loop is closed, which complain, before another test runs.

    The report of such a complaint inside `ast.parse` makes that fail in Python 3.11.
    """
    yield
    gc.collect()


def free_port():
    """A port that is free on all hosts, together with the next one."""
    for _ in range(50):
        with socket.socket() as probe:
            probe.bind((HOSTS[0], 0))
            port = probe.getsockname()[1]
        sockets = []
        try:
            for host in HOSTS:
                for number in (port, port + 1):
                    sockets.append(socket.socket())
                    sockets[-1].bind((host, number))
            return port
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise OSError("no free ports")


def settings(host, port, folder, **fields):
    data = folder / host
    data.mkdir(exist_ok=True)
    defaults = {
        "node": host,
        "ip": host,
        "zone": "z",
        "listen": {"control": f"{host}:{port + 2}"},
        "port_range": (port, port + 1),
        "seeds": tuple(f"{one}:{port + 2}" for one in HOSTS),
        "bootstrap": True,
        "tolerate": FailureTolerance(machines=1),
        "data_dir": str(data),
        "heartbeat_ms": 60_000.0,  # no heartbeat is missed in a scenario
    }
    return Settings(**(defaults | fields))


class ControlNodes:
    """Starts, kills and inspects the three nodes."""

    def __init__(self, folder):
        self.folder = folder
        self.port = free_port()
        self.services = {}

    async def start(self, host, **fields):
        service = ControlService(settings(host, self.port, self.folder, **fields), LOG)
        await service.start()
        self.services[host] = service

    async def primary(self, excluding=""):
        """Waits for a primary that serves; returns its host and its service."""
        while True:
            for host, service in self.services.items():
                if host != excluding and service.replicator.is_serving and service.configuration.is_committed:
                    return host, service
            await asyncio.sleep(0.01)

    async def wait_until_synced(self, host):
        """Waits until all nodes are members of this primary's view and no write is pending."""
        core = self.services[host].replicator.core
        while len(core.view.members) < len(HOSTS) or core.committed is not core.document:
            await asyncio.sleep(0.01)

    async def read_record(self, host):
        """The record on a node's disk."""
        replicator = self.services[host].replicator
        return await asyncio.get_running_loop().run_in_executor(
            replicator._executor, replicator._storage.read
        )

    async def kill(self, host):
        """Ends a node at once, as if its machine lost power."""
        service = self.services.pop(host)
        core = service.replicator.core
        for name in ("tick", "receive", "saved", "save_failed"):
            setattr(core, name, lambda *arguments: [])
        # Pending writes are finished before the process ends; later ones reach no disk.
        disk, service.replicator._storage = service.replicator._storage, MemoryStorage()
        service.replicator._executor.submit(disk.close).result()
        service.replicator._links.close()
        for link in list(service.replicator._links._links.values()):
            link.send = lambda frame: None
        # The connections from other nodes end with the process.
        for other in self.services.values():
            if link := other.replicator._links._links.get(host):
                link.close()


def with_nodes(scenario):
    """Makes a test that runs a scenario with three started nodes."""

    def test(tmp_path):
        async def run():
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                nodes = ControlNodes(tmp_path)
                for host in HOSTS:
                    await nodes.start(host)
                await scenario(nodes)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

        asyncio.run(run())

    test.__name__ = scenario.__name__
    return test


def first_change():
    body = {"generation": 1, "routes": [], "services": [{"name": "s"}]}
    return Change(False, "0", json.dumps(body).encode())


def later_change(generation):
    body = {"generation": generation, "upsert": {"services": [{"name": f"s{generation}"}]}}
    return Change(True, str(generation - 1), json.dumps(body).encode())


@with_nodes
async def test_an_acknowledged_change_survives_the_loss_of_the_primary(nodes):
    host, service = await nodes.primary()
    assert await service.change(first_change()) == 1
    assert await service.change(later_change(2)) == 2
    await nodes.kill(host)
    other, successor = await nodes.primary(excluding=host)
    assert json.loads(await successor.read())["generation"] == 2
    assert await successor.change(later_change(3)) == 3
    assert successor.replicator.core.view.epoch > service.replicator.core.view.epoch


@with_nodes
async def test_a_primary_that_stops_hands_over_first(nodes):
    host, service = await nodes.primary()
    assert await service.change(first_change()) == 1
    await service.stop()
    assert not service.replicator.core.is_leading
    with pytest.raises(RequestError) as rejected:
        await service.change(later_change(2))
    other, successor = await nodes.primary(excluding=host)
    # Callers are redirected to the next primary.
    assert rejected.value.kind.value == "not-primary" and rejected.value.detail == other
    assert await successor.change(later_change(2)) == 2


@with_nodes
async def test_a_node_whose_disk_was_lost_returns_under_a_new_identity_and_syncs(nodes):
    host, service = await nodes.primary()
    assert await service.change(first_change()) == 1
    lost = next(one for one in HOSTS if one != host)
    before = nodes.services[lost].replicator.core.identity
    await nodes.kill(lost)
    for file in (nodes.folder / lost).iterdir():
        file.unlink()
    await nodes.start(lost, bootstrap=False)
    again = nodes.services[lost].replicator.core
    assert again.identity != before
    while again.identity not in service.replicator.core.view.members:
        await asyncio.sleep(0.01)
    assert before not in service.replicator.core.view.voters
    assert again.document.payload == service.replicator.core.document.payload


@with_nodes
async def test_the_next_primary_has_the_servers_and_drains_that_the_previous_one_shared(nodes):
    host, service = await nodes.primary()
    await service.change(first_change())
    heartbeat = ServerHeartbeat(backend="s", addr="10.0.0.9:80", zone="z", slots=4, seq=1)
    await service.heartbeat("i-1", heartbeat)
    await service.heartbeat("i-2", heartbeat)
    await service.heartbeat("i-2", ServerHeartbeat(backend="s", addr="10.0.0.9:80", state="draining", seq=2))
    await nodes.kill(host)
    _, successor = await nodes.primary(excluding=host)
    states = {instance.id: instance.state.value for instance in successor.state.registry.live_instances()}
    assert states == {"i-1": "ready", "i-2": "draining"}


# A late heartbeat put a server back into service that had deregistered, at a primary that didn't know it.
@with_nodes
async def test_a_departure_outlives_two_primaries(nodes):
    first, service = await nodes.primary()
    await service.change(first_change())
    heartbeat = ServerHeartbeat(backend="s", addr="10.0.0.9:80", zone="z", slots=4, seq=1)
    await service.heartbeat("i-1", heartbeat)
    await nodes.wait_until_synced(first)
    await service.deregister("i-1")
    await nodes.kill(first)
    second, service = await nodes.primary(excluding=first)
    await service.heartbeat("i-1", heartbeat)
    assert not service.state.registry.live_instances()
    await nodes.start(first, bootstrap=False)
    await nodes.wait_until_synced(second)
    # Once a departure is acknowledged, all members also have the departures before it.
    await service.deregister("i-2")
    await nodes.kill(second)
    _, service = await nodes.primary(excluding=second)
    for identity in ("i-1", "i-2"):
        await service.heartbeat(identity, heartbeat)
    assert not service.state.registry.live_instances()


@with_nodes
async def test_a_drain_is_acknowledged_although_its_soft_state_is_lost_once_on_each_link(nodes):
    _, service = await nodes.primary()
    await service.change(first_change())
    heartbeat = ServerHeartbeat(backend="s", addr="10.0.0.9:80", zone="z", slots=4, seq=1)
    await service.heartbeat("i-1", heartbeat)
    links = service.replicator._links
    send, lost = links.send, set()

    def lossy(host, message):
        if isinstance(message, SoftStateUpdate) and host not in lost:
            lost.add(host)
            return
        send(host, message)

    links.send = lossy
    await service.heartbeat("i-1", ServerHeartbeat(backend="s", addr="10.0.0.9:80", state="draining", seq=2))
    assert len(lost) == 2


@with_nodes
async def test_a_node_that_lost_its_disk_has_the_servers_before_it_may_lead(nodes):
    """Kills all processes, then restarts only the node that joined last and one more."""
    host, service = await nodes.primary()
    await service.change(first_change())
    await service.heartbeat("i-1", ServerHeartbeat(backend="s", addr="10.0.0.9:80", zone="z", slots=4, seq=1))
    while not all(b"i-1" in one.replicator._storage.read_soft_state() for one in nodes.services.values()):
        await asyncio.sleep(0.01)
    lost = next(one for one in HOSTS if one != host)
    await nodes.kill(lost)
    for file in (nodes.folder / lost).iterdir():
        file.unlink()
    await nodes.start(lost, bootstrap=False)
    joined = nodes.services[lost].replicator
    while joined.core.identity not in service.replicator.core.view.members:
        await asyncio.sleep(0.01)
    while b"i-1" not in joined._storage.read_soft_state():
        await asyncio.sleep(0.01)
    # Without this wait, the nodes that could decide without the leader would be those of the previous view.
    for one in HOSTS:
        while joined.core.identity not in (await nodes.read_record(one)).acceptor.view.members:
            await asyncio.sleep(0.01)
    for one in HOSTS:
        await nodes.kill(one)
    for one in HOSTS:
        if one != host:
            await nodes.start(one, bootstrap=False)
    _, successor = await nodes.primary()
    assert [instance.id for instance in successor.state.registry.live_instances()] == ["i-1"]


def test_corruption_on_disk_is_detected_and_repaired_while_the_node_runs(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr("wheatroute.replication.replicator.SCRUB_INTERVAL_S", 0.02)

    async def scenario(nodes):
        host, service = await nodes.primary()
        await service.change(first_change())
        # A view change would rewrite the document after it was corrupted.
        await nodes.wait_until_synced(host)
        path = nodes.folder / host / FILE_NAME
        written = service.replicator.core.document.payload

        def damage():
            # Corrupts every copy while the database is open, as decaying pages on a disk would.
            with open(path, "r+b") as file:
                data = file.read()
                for found in re.finditer(re.escape(written), data):
                    file.seek(found.start() + len(written) // 2)
                    file.write(bytes([data[file.tell()] ^ 0xFF]))

        # Runs on the thread that writes to the disk, so that no page is reused in the meantime.
        await asyncio.get_running_loop().run_in_executor(service.replicator._executor, damage)
        while not any(record.message == "record-damaged" for record in caplog.records):
            await asyncio.sleep(0.01)
        # The scrub removes a damaged value from `_written`; the next write adds it again.
        while b"document" not in service.replicator._storage._written:
            await asyncio.sleep(0.01)
        await nodes.kill(host)
        await nodes.start(host, bootstrap=False)
        core = nodes.services[host].replicator.core
        assert core.identity == service.replicator.core.identity
        assert b'"generation"' in decode_state(core.document.payload).body

    with_nodes(scenario)(tmp_path)
    (found,) = [record for record in caplog.records if record.message == "record-damaged"]
    assert found.damaged == ["document"]


# A node that led before its listeners were open counted the heartbeats that servers could not send as missed.
def test_no_heartbeat_counts_as_missed_before_the_listeners_of_the_primary_are_open(
    tmp_path, monkeypatch, restored_signals
):
    port = free_port()
    single = settings(
        HOSTS[0],
        port,
        tmp_path,
        seeds=(f"{HOSTS[0]}:{port + 2}",),
        tolerate=FailureTolerance(machines=0),
        heartbeat_ms=20.0,
    )
    instance = Instance("i-1", "s", "10.0.0.9:80", "z", 4, InstanceState.READY, 1)
    services, may_listen = [], threading.Event()
    checks = []  # times of the checks for missed heartbeats
    import_and_make_servers = control_main._import_and_make_servers

    class RestoredService(ControlService):
        """Restores a server as soon as it leads."""

        def __init__(self, *arguments):
            super().__init__(*arguments)
            services.append(self)

        def _apply_missed_heartbeats(self, now):
            super()._apply_missed_heartbeats(now)
            checks.append(now)

        def _on_view_change(self):
            super()._on_view_change()
            if self.leadership.is_leading and not self.state.registry.live_instances():
                self.state.registry.restore(asyncio.get_running_loop().time(), (instance,))

    def open_late(*arguments):
        assert may_listen.wait(SCENARIO_TIMEOUT_S)
        return import_and_make_servers(*arguments)

    monkeypatch.setattr("wheatroute.control.service.MAINTENANCE_INTERVAL_S", 0.01)
    monkeypatch.setattr(control_main, "ControlService", RestoredService)
    monkeypatch.setattr(control_main, "_import_and_make_servers", open_late)

    def state():
        (entry,), _ = services[0].state.registry.changes(RegistryVersion())
        return entry.state

    async def run():
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            role = asyncio.create_task(control_main.serve(single, LOG))
            while not services or not services[0].state.registry.live_instances():
                await asyncio.sleep(0.01)
            led_at = checks[-1]
            while checks[-1] < led_at + 2 * REMOVED_HEARTBEATS * single.heartbeat_ms / 1000:
                await asyncio.sleep(0.01)
            assert state() == InstanceState.READY
            may_listen.set()
            while state() != InstanceState.REMOVED:
                await asyncio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
            await role

    asyncio.run(run())


def test_the_role_stops_on_sigterm_and_reloads_its_seeds_on_sighup(tmp_path, monkeypatch, restored_signals):
    port = free_port()
    single = settings(
        HOSTS[0], port, tmp_path, seeds=(f"{HOSTS[0]}:{port + 2}",), tolerate=FailureTolerance(machines=0)
    )
    reloaded = asyncio.Event()
    applied = []
    path = tmp_path / "settings.yaml"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))

    class ObservedService(ControlService):
        def apply_settings(self, settings):
            super().apply_settings(settings)
            applied.append((settings, self.replicator.core.tolerate, self.replicator.core.hosts))
            reloaded.set()

    monkeypatch.setattr(control_main, "ControlService", ObservedService)
    # Disables the check of the file's content: this test is only about the signal.
    monkeypatch.setattr(control_main, "CHECK_INTERVAL_S", SCENARIO_TIMEOUT_S)

    async def run():
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            role = asyncio.create_task(control_main.serve(single, LOG))
            body = first_change().body
            while True:
                try:
                    reader, writer = await asyncio.open_connection(HOSTS[0], port + 2)
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            response = b""
            while not response.startswith(b"HTTP/1.1 200"):
                assert b" 4" not in response[:10], response
                writer.write(
                    b"PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )
                response = await reader.readuntil(b"\r\n\r\n")
                length = int(response.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
            seeds = (*single.seeds, f"{HOSTS[1]}:{port + 2}")
            path.write_bytes(msgspec.yaml.encode(msgspec.structs.replace(single, seeds=seeds)))
            os.kill(os.getpid(), signal.SIGHUP)
            await reloaded.wait()
            (new_settings, tolerate, hosts), *_ = applied
            assert new_settings.seeds == seeds and tolerate == 0 and HOSTS[1] in hosts
            assert not role.done()
            os.kill(os.getpid(), signal.SIGTERM)
            await role
            writer.close()

    asyncio.run(run())
