"""The processor's workers, each a process, that agree on versions; asked by a proxy's requests over gRPC."""

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

WITHIN = 1.5


def with_workers(test):
    def run(tmp_path):
        async def within():
            with trio.fail_after(60):
                held = reserve_port()
                place = held.getsockname()
                path, store = tmp_path / "file.toml", tmp_path / "store"
                text = SETTINGS_TEXT.format(servers=server_tables()).replace(
                    'listen = "127.0.0.1:1"', f'listen = "127.0.0.1:{place[1]}"\nworkers = 2'
                )
                path.write_text(text + f'[agreement]\ndirectory = "{store}"\nwithin = {WITHIN}\n')
                DirectoryStore(str(store)).create()
                command = [sys.executable, "-m", "wheatroute.cli", "processor", str(path)]
                with open(tmp_path / "log", "wb") as log:
                    supervisor = subprocess.Popen(command, stdout=log, stderr=log)
                try:
                    await test(Workers(path, store, place))
                finally:
                    supervisor.send_signal(signal.SIGTERM)
                    supervisor.wait(10)
                    held.close()

        trio.run(within)

    run.__name__ = test.__name__
    return run


class Workers:
    def __init__(self, path, store, place):
        self.path, self.store, self.place = path, store, place

    async def rows(self):
        return (await operator.agreement_status(DirectoryStore(str(self.store)))).processes

    async def put(self, **effects):
        """Puts the file with other effects, as an operator does; waits until both workers act on it."""
        text = self.path.read_text()
        for name, effect in effects.items():
            head, tail = text.split(f'name = "{name}"\n', 1)
            text = f'{head}name = "{name}"\neffect = "{effect}"\n' + tail.split("\n", 1)[1]
        changed = self.path.with_name("changed.toml")
        changed.write_text(text)
        cli = [sys.executable, "-m", "wheatroute.cli", "settings", "--at", str(self.store)]
        done = subprocess.run(
            [*cli, "put", str(changed), "--why", "w", "--wait", "10"], capture_output=True, text=True
        )
        assert done.returncode == 0, done.stdout + done.stderr
        number = int(done.stdout.split()[1])
        while not [row.version for row in await self.rows() if row.phase == "in force"] == [number] * 2:
            await trio.sleep(0.02)

    async def decided(self, *what, **how):
        """Whether a proxy's request is sent to a server; what became of it is never said."""
        async with connected(Channel(self.place)) as channel:
            await channel.session()
            async with open_request(channel, *what, **how) as opened:
                return isinstance(await opened.decision(), str)


@with_workers
async def test_workers_take_a_version_while_they_serve_and_keep_to_what_they_said(workers):
    while len(await workers.rows()) < 2:
        await trio.sleep(0.02)
    await workers.put()
    assert {row.name for row in await workers.rows()} == {"wheatroute-0", "wheatroute-1"}
    for n in range(6):  # on connections of their own, so at both workers
        assert await workers.decided(f"safe-{n}", VIEW)
        assert await workers.decided(f"safe-{n}", VIEW, 2)
    await workers.put(view="effectful")
    for n in range(6):
        assert not await workers.decided(f"safe-{n}", VIEW, 3)  # it may have run, and must not again
        assert await workers.decided(f"new-{n}", VIEW)
        assert not await workers.decided(f"new-{n}", VIEW, 2)
    await workers.put(view="pure")
    assert await workers.decided("last", VIEW) and await workers.decided("last", VIEW, 2)
    assert not await workers.decided("place", PLACE, 2)


@with_workers
async def test_a_worker_that_stood_still_over_a_change_repeats_nothing_when_it_goes_on(workers):
    while len(await workers.rows()) < 2:
        await trio.sleep(0.02)
    await workers.put()
    mine = f"processor\0{workers.path}\0--worker\0001".encode()
    pids = [int(pid) for pid in os.listdir("/proc") if pid.isdigit() and _command(pid).find(mine) >= 0]
    os.kill(pids[0], signal.SIGSTOP)
    stopped = time.monotonic()
    try:
        changed = workers.path.with_name("unsafe.toml")
        changed.write_text(workers.path.read_text().replace('effect = "pure"', 'effect = "effectful"'))
        place = DirectoryStore(str(workers.store))
        version = await operator.put_version(
            place, version_content.read_content(str(changed))[0], "while one stands still"
        )
        assert (await operator.wait_for_outcome(place, version.number, 10.0)).state == "in force"
        while time.monotonic() < stopped + 3 * WITHIN:
            await trio.sleep(0.05)
    finally:
        os.kill(pids[0], signal.SIGCONT)
    for n in range(8):
        assert not await workers.decided(f"again-{n}", VIEW, 2)


def _command(pid):
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as source:
            return source.read()
    except OSError:
        return b""
