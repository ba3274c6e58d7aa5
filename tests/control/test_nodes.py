"""Three control nodes in one process, with their real links and disks: no fault is simulated here."""

import asyncio
import json
import logging
import os
import re
import signal
import socket

import msgspec.yaml
import pytest

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.settings import SETTINGS_VARIABLE, Settings, Tolerate
from wheatroute.control import main as control_main
from wheatroute.control.changes import Change, decode_state
from wheatroute.control.registry import ServerHeartbeat
from wheatroute.control.service import ControlService
from wheatroute.replication.messages import SoftStateUpdate
from wheatroute.replication.storage import FILE_NAME, MemoryStorage

LIMIT = 20.0  # seconds that a story may take before it counts as hung
HOSTS = ("127.0.0.21", "127.0.0.22", "127.0.0.23")
LOG = logging.getLogger("test-nodes")


def free_port():
    """A port that is free on all hosts, and so is the next."""
    for _ in range(50):
        with socket.socket() as probe:
            probe.bind((HOSTS[0], 0))
            port = probe.getsockname()[1]
        opened = []
        try:
            for host in HOSTS:
                for number in (port, port + 1):
                    one = socket.socket()
                    opened.append(one)
                    one.bind((host, number))
            return port
        except OSError:
            continue
        finally:
            for one in opened:
                one.close()
    raise OSError("no free ports")


def settings(host, port, folder, **fields):
    data = folder / host
    data.mkdir(exist_ok=True)
    told = {
        "node": host,
        "ip": host,
        "zone": "z",
        "listen": {"control": f"{host}:{port + 2}"},
        "port_range": (port, port + 1),
        "seeds": tuple(f"{one}:{port + 2}" for one in HOSTS),
        "bootstrap": True,
        "tolerate": Tolerate(machines=1),
        "data_dir": str(data),
        "heartbeat_ms": 60_000.0,  # no server falls silent in a story
    }
    return Settings(**(told | fields))


class Nodes:
    """All three, and which of them leads."""

    def __init__(self, folder):
        self.folder = folder
        self.port = free_port()
        self.services = {}

    async def start(self, host, **fields):
        service = ControlService(settings(host, self.port, self.folder, **fields), LOG)
        await service.start()
        self.services[host] = service

    async def leader(self, but=""):
        """The one that serves, once there is one."""
        while True:
            for host, service in self.services.items():
                if host != but and service.replicator.is_serving and service._sequence >= 0:
                    return host, service
            await asyncio.sleep(0.01)

    async def settled(self, host):
        """Until this leader has all nodes as members and nothing is written any more."""
        core = self.services[host].replicator.core
        while len(core.view.members) < len(HOSTS) or core.committed is not core.document:
            await asyncio.sleep(0.01)

    async def on_disk(self, host):
        """The record that a node would start from."""
        replicator = self.services[host].replicator
        return await asyncio.get_running_loop().run_in_executor(
            replicator._executor, replicator._storage.read
        )

    async def end(self, host):
        """Without a word, as a machine that loses its power."""
        service = self.services.pop(host)
        core = service.replicator.core
        for name in ("tick", "receive", "saved", "save_failed"):
            setattr(core, name, lambda *rest: [])
        # what the disk had under way ends with the process, and nothing of it writes any more
        disk, service.replicator._storage = service.replicator._storage, MemoryStorage()
        service.replicator._executor.submit(disk.close).result()
        service.replicator._links.close()
        for link in list(service.replicator._links._links.values()):
            link.send = lambda frame: None
        # its end of their connections goes with the process
        for other in self.services.values():
            if link := other.replicator._links._links.get(host):
                link.close()


def story(tell):
    def run(tmp_path):
        async def limited():
            async with asyncio.timeout(LIMIT):
                nodes = Nodes(tmp_path)
                for host in HOSTS:
                    await nodes.start(host)
                await tell(nodes)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

        asyncio.run(limited())

    run.__name__ = tell.__name__
    return run


def first():
    body = {"generation": 1, "routes": [], "services": [{"name": "s"}]}
    return Change(False, "0", json.dumps(body).encode())


def next_one(generation):
    body = {"generation": generation, "upsert": {"services": [{"name": f"s{generation}"}]}}
    return Change(True, str(generation - 1), json.dumps(body).encode())


@story
async def test_what_was_acknowledged_outlives_the_primary(nodes):
    host, service = await nodes.leader()
    assert await service.change(first()) == 1
    assert await service.change(next_one(2)) == 2
    await nodes.end(host)
    other, successor = await nodes.leader(but=host)
    assert json.loads(await successor.read())["generation"] == 2
    assert await successor.change(next_one(3)) == 3
    assert successor.replicator.core.view.epoch > service.replicator.core.view.epoch


@story
async def test_a_primary_that_is_told_to_stop_hands_over_first(nodes):
    host, service = await nodes.leader()
    assert await service.change(first()) == 1
    await service.stop()
    assert not service.replicator.core.is_leading
    with pytest.raises(RequestError) as refused:
        await service.change(next_one(2))
    other, successor = await nodes.leader(but=host)
    # callers are sent on by name
    assert refused.value.kind.value == "not-primary" and refused.value.detail == other
    assert await successor.change(next_one(2)) == 2


@story
async def test_a_node_whose_disk_was_lost_comes_back_as_another_and_is_brought_into_sync(nodes):
    host, service = await nodes.leader()
    assert await service.change(first()) == 1
    lost = next(one for one in HOSTS if one != host)
    before = nodes.services[lost].replicator.core.identity
    await nodes.end(lost)
    for file in (nodes.folder / lost).iterdir():
        file.unlink()
    await nodes.start(lost, bootstrap=False)
    again = nodes.services[lost].replicator.core
    assert again.identity != before
    while again.identity not in service.replicator.core.view.members:
        await asyncio.sleep(0.01)
    assert before not in service.replicator.core.view.voters
    assert again.document.payload == service.replicator.core.document.payload


@story
async def test_the_next_primary_knows_servers_and_drains_by_the_word_of_the_last(nodes):
    host, service = await nodes.leader()
    await service.change(first())
    beat = ServerHeartbeat(backend="s", addr="10.0.0.9:80", zone="z", slots=4, seq=1)
    await service.heartbeat("i-1", beat)
    await service.heartbeat("i-2", beat)
    await service.heartbeat("i-2", ServerHeartbeat(backend="s", addr="10.0.0.9:80", state="draining", seq=2))
    await nodes.end(host)
    _, successor = await nodes.leader(but=host)
    states = {one.id: one.state.value for one in successor._registry.present()}
    assert states == {"i-1": "ready", "i-2": "draining"}


@story
async def test_a_drain_is_acknowledged_although_links_lose_the_word_of_it_once(nodes):
    _, service = await nodes.leader()
    await service.change(first())
    beat = ServerHeartbeat(backend="s", addr="10.0.0.9:80", zone="z", slots=4, seq=1)
    await service.heartbeat("i-1", beat)
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


@story
async def test_a_node_that_lost_its_disk_knows_the_servers_by_the_time_that_it_may_lead(nodes):
    """Every process ends at once, and only the node that joined last comes back with another."""
    host, service = await nodes.leader()
    await service.change(first())
    await service.heartbeat("i-1", ServerHeartbeat(backend="s", addr="10.0.0.9:80", zone="z", slots=4, seq=1))
    while not all(b"i-1" in one.replicator._storage.read_soft_state() for one in nodes.services.values()):
        await asyncio.sleep(0.01)
    lost = next(one for one in HOSTS if one != host)
    await nodes.end(lost)
    for file in (nodes.folder / lost).iterdir():
        file.unlink()
    await nodes.start(lost, bootstrap=False)
    joined = nodes.services[lost].replicator
    while joined.core.identity not in service.replicator.core.view.members:
        await asyncio.sleep(0.01)
    while b"i-1" not in joined._storage.read_soft_state():
        await asyncio.sleep(0.01)
    for one in HOSTS:  # else the seats that could decide without the leader are those of the view before
        while joined.core.identity not in (await nodes.on_disk(one)).acceptor.view.members:
            await asyncio.sleep(0.01)
    for one in HOSTS:
        await nodes.end(one)
    for one in HOSTS:
        if one != host:
            await nodes.start(one, bootstrap=False)
    _, successor = await nodes.leader()
    assert [one.id for one in successor._registry.present()] == ["i-1"]


def test_damage_on_disk_is_found_and_mended_while_the_node_runs(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr("wheatroute.replication.replicator.SCRUB_INTERVAL_S", 0.02)

    async def tell(nodes):
        host, service = await nodes.leader()
        await service.change(first())
        await nodes.settled(host)  # a change of view would write the document anew behind the damage
        path = nodes.folder / host / FILE_NAME
        written = service.replicator.core.document.payload

        def damage():
            with open(path, "r+b") as file:  # every copy, under the open environment, as pages that rot
                data = file.read()
                for found in re.finditer(re.escape(written), data):
                    file.seek(found.start() + len(written) // 2)
                    file.write(bytes([data[file.tell()] ^ 0xFF]))

        # where the disk is written too, so that no page is given to something else meanwhile
        await asyncio.get_running_loop().run_in_executor(service.replicator._executor, damage)
        while not any(record.message == "scrub" for record in caplog.records):
            await asyncio.sleep(0.01)
        while b"document" not in service.replicator._storage._written:  # written anew
            await asyncio.sleep(0.01)
        await nodes.end(host)
        await nodes.start(host, bootstrap=False)
        core = nodes.services[host].replicator.core
        assert core.identity == service.replicator.core.identity
        assert b'"generation"' in decode_state(core.document.payload).body

    story(tell)(tmp_path)
    (found,) = [record for record in caplog.records if record.message == "scrub"]
    assert found.damaged == ["document"]


def test_the_role_ends_on_sigterm_and_reads_its_seeds_on_sighup(tmp_path, monkeypatch):
    port = free_port()
    alone = settings(
        HOSTS[0], port, tmp_path, seeds=(f"{HOSTS[0]}:{port + 2}",), tolerate=Tolerate(machines=0)
    )
    read = asyncio.Event()
    taken = []
    path = tmp_path / "settings.yaml"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))

    class Watched(ControlService):
        def take_settings(self, told):
            super().take_settings(told)
            taken.append((told, self.replicator.core.tolerate, self.replicator.core.hosts))
            read.set()

    monkeypatch.setattr(control_main, "ControlService", Watched)
    monkeypatch.setattr(control_main, "CHECK_INTERVAL_S", LIMIT)  # the signal alone is looked at here

    async def tell():
        async with asyncio.timeout(LIMIT):
            role = asyncio.create_task(control_main.serve(alone, LOG))
            body = first().body
            while True:
                try:
                    reader, writer = await asyncio.open_connection(HOSTS[0], port + 2)
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            answered = b""
            while not answered.startswith(b"HTTP/1.1 200"):
                assert b" 4" not in answered[:10], answered
                writer.write(
                    b"PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 0\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )
                answered = await reader.readuntil(b"\r\n\r\n")
                length = int(answered.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
            seeds = (*alone.seeds, f"{HOSTS[1]}:{port + 2}")
            path.write_bytes(msgspec.yaml.encode(msgspec.structs.replace(alone, seeds=seeds)))
            os.kill(os.getpid(), signal.SIGHUP)
            await read.wait()
            (told, tolerate, hosts), *_ = taken
            assert told.seeds == seeds and tolerate == 0 and HOSTS[1] in hosts
            assert not role.done()
            os.kill(os.getpid(), signal.SIGTERM)
            await role
            writer.close()

    asyncio.run(tell())
