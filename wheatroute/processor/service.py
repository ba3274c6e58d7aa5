"""The processor as a program: its workers, its listener, what it does on signals, and how it stops.

Owns the processes. With one worker the program is that worker; with several, a supervisor holds the listener,
starts them, starts a crashed one anew with growing waits, and passes signals on. It must never end with
requests unanswered while they can still be answered.
"""

from __future__ import annotations

import gc
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import trio

from wheatroute import config
from wheatroute.grpc.limits import ConnectionLimits
from wheatroute.grpc.server import Server, listen
from wheatroute.net.log import open_log
from wheatroute.net.signals import handle_signals, open_signal_receiver, record_early_signals
from wheatroute.processor.dispatcher import Dispatcher, Listed
from wheatroute.processor.keeping import Keeping
from wheatroute.processor.streams import PATH
from wheatroute.tls import ServerContext, TlsError

PAUSES = 100_000, 50, 100  # next to nothing here is left to the collector, whose pauses are milliseconds
HELD = 10.0  # seconds that a worker must have lived for its next end to count as its first
FIRST_WAIT, LONGEST_WAIT = 0.1, 10.0  # seconds until an ended worker is started anew
LEAVING = 1.0  # seconds beyond the longest deadline in which proxies may end their streams


class Following(Protocol):
    """Has a worker act on the settings that all processes agree on."""

    async def run(self) -> None:
        """Follows them until it is cancelled."""

    async def leave(self) -> None:
        """The worker ends."""


# makes one for a worker: its file and number, what it is told, its dispatcher and list, its log
Follow = Callable[[config.File, int, dict[str, Any], Dispatcher, Listed, Any], Following]


class Service:
    """One worker; `follow` is asked where the file names a place for versions of the settings."""

    def __init__(
        self, file: config.File, path: str, worker: int, log: Any, follow: Follow | None = None
    ) -> None:
        self._file, self._path, self._worker, self._log = file, path, worker, log
        told, front = config.told_to_processor(file, worker), file.processor
        assert front is not None
        self._longest = max(kind.deadline for kind in told["terms"].request_classes)
        self.dispatcher = Dispatcher(told, log)
        self.list = Listed(told, self.dispatcher.rounds, self.dispatcher, log)
        self.dispatcher.rounds.discovery = self.list
        kept = told["snapshot"]
        self._keeping = Keeping(kept, told["source"], self.dispatcher, self.list, log) if kept else None
        self._following: Following | None = None
        if told["agreement"]:
            assert follow is not None, "a file with [agreement] needs who follows it"
            self._following = follow(file, worker, told, self.dispatcher, self.list, log)
        tls = front.tls
        self._tls = ServerContext(tls.certificate, tls.key, tls.client_authorities) if tls else None
        self.server = Server(
            {PATH: self.dispatcher.opened},
            ConnectionLimits(max_streams=front.most_streams),
            log,
            self._tls,
            front.most_connections,
            self.dispatcher.burst,
            front.workers > 1,
        )

    async def run(self, listener: socket.socket, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until SIGTERM or `stop`, and until what is open is answered."""
        trio.lowlevel.add_instrument(self.dispatcher.rounds.event_loop_lag)
        async with trio.open_nursery() as nursery:
            if self._keeping is not None:
                self._keeping.start()
                nursery.start_soon(self._keeping.run)
            following = [self._following.run] if self._following else []
            for task in (self.list.run, self.dispatcher.run, self.dispatcher.rounds.run, *following):
                nursery.start_soon(task)
            self._log.info("listening", place="{}:{}".format(*listener.getsockname()[:2]))
            task_status.started()
            await self.server.run([listener])
            if self._keeping is not None:
                await self._keeping.write()
            if self.list.etcd is not None:
                await self.list.etcd.leave()
            if self._following is not None:
                await self._following.leave()
            self._log.info("stopped", asked=self.dispatcher.asked, decisions=self.dispatcher.decisions)
            nursery.cancel_scope.cancel()

    async def stop(self) -> None:
        """GOAWAY to every proxy; what is open is answered, and ended once its time is over."""
        self.server.stop()
        with trio.move_on_after(self._longest + LEAVING):
            while self.server.sessions:
                await trio.sleep(0.01)
        self.server.end("stopping")

    def reload(self) -> None:
        """Takes from the file what a running worker can change; one of no use changes nothing."""
        try:
            file = config.read(self._path)
            told = config.told_to_processor(file, self._worker)
            if self._tls is not None:
                self._tls.reload()
        except (config.ConfigError, TlsError) as trouble:
            for line in str(trouble).splitlines():
                self._log.warning("not-reloaded", trouble=line)
            return
        self.list.retake(told)
        kept = until_restart(self._file, file)
        self._log.info("reloaded", **{"until_restart": ",".join(kept)} if kept else {})

    async def heed(self, signals: Any) -> None:
        """Handles signals until it is cancelled."""
        await handle_signals(signals, self.stop, self.reload, self._log)


def until_restart(old: config.File, new: config.File) -> list[str]:
    """What of a new file a running worker does not take."""
    kept = [
        name
        for name in ("name", "seed", "nodes", "node", "traffic_types", "customers", "processor")
        if getattr(old, name) != getattr(new, name)
    ]
    bare = [
        [pool.model_copy(update={"servers": [], "list_service": None}) for pool in one.pools]
        for one in (old, new)
    ]
    return kept + (["pools"] if bare[0] != bare[1] else [])


def serve(
    path: str,
    worker: int = 0,
    descriptor: int = -1,
    early: Sequence[int] | None = None,
    follow: Follow | None = None,
) -> int:
    """One worker in the foreground; the exit status. `early` are signals to stop that came already."""
    early = (
        record_early_signals() if early is None else early
    )  # noted once: a second list would forget the first
    try:
        file = config.read(path)
        told = config.told_to_processor(file, worker)
        log = open_log(told["name"])
        service = Service(file, path, worker, log, follow)
    except (config.ConfigError, TlsError) as trouble:
        print("\n".join(f"wheatroute: {line}" for line in str(trouble).splitlines()), file=sys.stderr)
        return 2
    try:
        listener = socket.socket(fileno=descriptor) if descriptor >= 0 else listen(_place(file))
        listener.setblocking(False)
    except OSError as trouble:
        print(f"wheatroute: {trouble}", file=sys.stderr)
        return 1
    gc.freeze()  # what is loaded by now stays for good
    gc.set_threshold(*PAUSES)
    trio.run(_serve, service, listener, early)
    return 0


async def _serve(service: Service, listener: socket.socket, early: Sequence[int]) -> None:
    with open_signal_receiver() as signals:
        if early:
            listener.close()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.heed, signals)
            await service.run(listener)
            nursery.cancel_scope.cancel()


def _place(file: config.File) -> tuple[str, int]:
    assert file.processor is not None
    return config.parse_address(file.processor.listen)


def run(path: str, follow: Follow | None = None) -> int:
    """The processor as the file has it: one worker in this process, or a supervisor of several."""
    early = record_early_signals()
    try:
        file = config.read(path)
        config.told_to_processor(file)
    except config.ConfigError as trouble:
        print("\n".join(f"wheatroute: {line}" for line in trouble.lines), file=sys.stderr)
        return 2
    assert file.processor is not None
    if file.processor.workers == 1:
        return serve(path, early=early, follow=follow)
    try:
        listener = listen(_place(file))
    except OSError as trouble:
        print(f"wheatroute: {trouble}", file=sys.stderr)
        return 1
    log = open_log(file.name)
    commands = [_command(path, worker, listener.fileno()) for worker in range(file.processor.workers)]
    supervisor = WorkerSupervisor(commands, (listener.fileno(),), log)
    trio.run(supervisor.run, early)
    return supervisor.status


def _command(path: str, worker: int, descriptor: int) -> list[str]:
    return [
        sys.executable,
        "-m",
        "wheatroute.cli",
        "processor",
        path,
        "--worker",
        str(worker),
        "--descriptor",
        str(descriptor),
    ]


class WorkerSupervisor:
    """Keeps one process for each command line going, until it is told to stop."""

    def __init__(
        self,
        commands: list[list[str]],
        descriptors: tuple[int, ...],
        log: Any,
        start: Callable[..., subprocess.Popen[bytes]] = subprocess.Popen,
    ) -> None:
        self._commands, self._descriptors, self._log, self._start = commands, descriptors, log, start
        self.children: dict[int, subprocess.Popen[bytes]] = {}
        self.status = 0
        self._stopping = False

    async def run(self, early: Sequence[int] = ()) -> None:
        """Runs workers until a stop signal, and starts a crashed one again; returns the exit status."""
        # heeded before the first child: a signal in between would leave one behind without its supervisor
        with open_signal_receiver() as signals:
            if not early:
                await self._run(signals)

    async def _run(self, signals: Any) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._heed, signals)
            async with trio.open_nursery() as keeping:
                for worker in range(len(self._commands)):
                    keeping.start_soon(self._keep, worker)
            nursery.cancel_scope.cancel()

    async def _keep(self, worker: int) -> None:
        wait = FIRST_WAIT
        while not self._stopping:
            began = trio.current_time()
            child = self._start(self._commands[worker], pass_fds=self._descriptors)
            self.children[worker] = child
            if self._stopping:
                child.send_signal(signal.SIGTERM)
            status = await trio.to_thread.run_sync(child.wait, abandon_on_cancel=True)
            del self.children[worker]
            if self._stopping:
                self.status = self.status or max(0, status)
                return
            if status == 2:
                # what it was told is no use, which no restart changes
                self.status = 2
                self._stop(signal.SIGTERM)
                return
            wait = FIRST_WAIT if trio.current_time() - began > HELD else min(LONGEST_WAIT, 2 * wait)
            self._log.warning("worker-ended", worker=worker, status=status, again_in=round(wait, 2))
            await trio.sleep(wait)

    async def _heed(self, signals: Any) -> None:
        async for number in signals:
            if number == signal.SIGHUP:
                self._pass_on(number)
            else:
                self._log.info("stopping", signal=signal.Signals(number).name)
                self._stop(signal.SIGTERM)

    def _stop(self, number: int) -> None:
        self._stopping = True
        self._pass_on(number)

    def _pass_on(self, number: int) -> None:
        for child in self.children.values():
            if child.poll() is None:
                os.kill(child.pid, number)
