"""Workers of a processor, each a process, follow versions; a proxy's requests test them over gRPC."""

import os
import signal
import subprocess
import sys
import time

import trio
from processor_harness import PLACE, SETTINGS_TEXT, VIEW, open_request, server_tables

from wheatroute.agreement import operator, version_content
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.grpc.client import Channel, connected
from wheatroute.rig.addresses import reserve_port

AGREEMENT_TIME_S = 1.5


def with_workers(test):
    """Runs `test` with a processor of two workers that follow versions in a directory."""

    def run(tmp_path):
        async def run_with_timeout():
            with trio.fail_after(60):
                reservation = reserve_port()
                address = reservation.getsockname()
                path, store = tmp_path / "file.toml", tmp_path / "store"
                text = SETTINGS_TEXT.format(servers=server_tables()).replace(
                    'listen = "127.0.0.1:1"', f'listen = "127.0.0.1:{address[1]}"\nworkers = 2'
                )
                path.write_text(text + f'[agreement]\ndirectory = "{store}"\nwithin = {AGREEMENT_TIME_S}\n')
                DirectoryStore(str(store)).create()
                command = [sys.executable, "-m", "wheatroute.cli", "processor", str(path)]
                with open(tmp_path / "log", "wb") as log:
                    supervisor = subprocess.Popen(command, stdout=log, stderr=log)
                try:
                    await test(Workers(path, store, address))
                finally:
                    supervisor.send_signal(signal.SIGTERM)
                    supervisor.wait(10)
                    reservation.close()

        trio.run(run_with_timeout)

    run.__name__ = test.__name__
    return run


class Workers:
    """The workers of one processor: its file, its version store, and the address on which it listens."""

    def __init__(self, path, store, address):
        self.path, self.store, self.address = path, store, address

    async def statuses(self):
        return (await operator.agreement_status(DirectoryStore(str(self.store)))).processes

    async def put(self, **effects):
        """Puts a version with other effects through the command line; waits until both workers act on it."""
        text = self.path.read_text()
        for name, effect in effects.items():
            head, tail = text.split(f'name = "{name}"\n', 1)
            text = f'{head}name = "{name}"\neffect = "{effect}"\n' + tail.split("\n", 1)[1]
        changed = self.path.with_name("changed.toml")
        changed.write_text(text)
        cli = [sys.executable, "-m", "wheatroute.cli", "settings", "--at", str(self.store)]
        result = subprocess.run(
            [*cli, "put", str(changed), "--why", "w", "--wait", "10"], capture_output=True, text=True
        )
        assert result.returncode == 0, result.stdout + result.stderr
        number = int(result.stdout.split()[1])
        while not [row.version for row in await self.statuses() if row.phase == "in force"] == [number] * 2:
            await trio.sleep(0.02)

    async def selects_server(self, *request, **options):
        """Returns whether a server is selected for a proxy's request; its outcome is never reported."""
        async with connected(Channel(self.address)) as channel:
            await channel.session()
            async with open_request(channel, *request, **options) as opened:
                return isinstance(await opened.decision(), str)


@with_workers
async def test_workers_apply_versions_while_serving_and_retry_only_what_is_safe(workers):
    while len(await workers.statuses()) < 2:
        await trio.sleep(0.02)
    await workers.put()
    assert {row.name for row in await workers.statuses()} == {"wheatroute-0", "wheatroute-1"}
    for n in range(6):  # on separate connections, so that both workers are tested
        assert await workers.selects_server(f"safe-{n}", VIEW)
        assert await workers.selects_server(f"safe-{n}", VIEW, 2)
    await workers.put(view="effectful")
    for n in range(6):
        # Each of the first two attempts may have run, so there must be no third one.
        assert not await workers.selects_server(f"safe-{n}", VIEW, 3)
        assert await workers.selects_server(f"new-{n}", VIEW)
        assert not await workers.selects_server(f"new-{n}", VIEW, 2)
    await workers.put(view="pure")
    assert await workers.selects_server("last", VIEW) and await workers.selects_server("last", VIEW, 2)
    assert not await workers.selects_server("place", PLACE, 2)


@with_workers
async def test_a_worker_stopped_during_a_change_retries_nothing_after_it_resumes(workers):
    while len(await workers.statuses()) < 2:
        await trio.sleep(0.02)
    await workers.put()
    worker_command = f"processor\0{workers.path}\0--worker\0001".encode()
    pids = [
        int(pid) for pid in os.listdir("/proc") if pid.isdigit() and _command(pid).find(worker_command) >= 0
    ]
    os.kill(pids[0], signal.SIGSTOP)
    stopped_at = time.monotonic()
    try:
        changed = workers.path.with_name("unsafe.toml")
        changed.write_text(workers.path.read_text().replace('effect = "pure"', 'effect = "effectful"'))
        store = DirectoryStore(str(workers.store))
        version = await operator.put_version(
            store, version_content.read_content(str(changed))[0], "while a worker is stopped"
        )
        assert (await operator.wait_for_outcome(store, version.number, 10.0)).state == "in force"
        while time.monotonic() < stopped_at + 3 * AGREEMENT_TIME_S:
            await trio.sleep(0.05)
    finally:
        os.kill(pids[0], signal.SIGCONT)
    for n in range(8):
        assert not await workers.selects_server(f"again-{n}", VIEW, 2)


def _command(pid):
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as source:
            return source.read()
    except OSError:
        return b""
