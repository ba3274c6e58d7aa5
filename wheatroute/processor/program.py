"""Runs the processor as a program: one worker in this process, or a supervisor of several worker processes.

The supervisor opens the listener, which the workers inherit. Exit statuses: 0 after a stop signal, 1 if the
listener can't be opened, 2 if the settings can't be used. If workers exit with other statuses after a stop
signal, the supervisor exits with the first positive one.
"""

from __future__ import annotations

import gc
import socket
import sys
from collections.abc import Sequence

import trio

from wheatroute.config import settings_file
from wheatroute.config.settings import Settings
from wheatroute.early_signals import ignore_signals, record_early_signals
from wheatroute.grpc.server import listen
from wheatroute.net.addresses import parse_address
from wheatroute.net.log import open_log
from wheatroute.net.signals import open_signal_receiver
from wheatroute.processor.supervisor import BAD_SETTINGS_STATUS, WorkerSupervisor
from wheatroute.processor.worker import FollowSettings, Worker
from wheatroute.processor.worker_settings import derive_worker_settings
from wheatroute.tls import TlsError

CANNOT_LISTEN_STATUS = 1
NO_DESCRIPTOR = -1
# High thresholds, because almost nothing here needs the cyclic collector, whose pauses take milliseconds.
GC_THRESHOLDS = (100_000, 50, 100)


def run(path: str, follow: FollowSettings | None = None) -> int:
    """Runs the processor that the settings file describes; returns the exit status."""
    early_signals = record_early_signals()
    try:
        settings = settings_file.read(path)
        derive_worker_settings(settings)
    except settings_file.ConfigError as error:
        return _fail(BAD_SETTINGS_STATUS, error)
    assert settings.processor is not None
    if settings.processor.workers == 1:
        return run_worker(path, early_signals=early_signals, follow=follow)
    try:
        listener = listen(_listen_address(settings))
    except OSError as error:
        return _fail(CANNOT_LISTEN_STATUS, error)
    descriptor = listener.fileno()
    commands = [_worker_command(path, number, descriptor) for number in range(settings.processor.workers)]
    supervisor = WorkerSupervisor(commands, (descriptor,), open_log(settings.name))
    trio.run(supervisor.run, early_signals)
    ignore_signals()
    return supervisor.status


def run_worker(
    path: str,
    number: int = 0,
    descriptor: int = NO_DESCRIPTOR,
    early_signals: Sequence[int] | None = None,
    follow: FollowSettings | None = None,
) -> int:
    """Runs one worker in this process; returns the exit status.

    `descriptor` is the file descriptor of an open listener; if it is negative, a new listener is opened.
    `early_signals` are the stop signals received so far. They are passed on rather than recorded again,
    because a second recording would not include the signals of the first.
    """
    if early_signals is None:
        early_signals = record_early_signals()
    try:
        settings = settings_file.read(path)
        log = open_log(derive_worker_settings(settings, number).name)
        worker = Worker(settings, path, number, log, follow)
    except (settings_file.ConfigError, TlsError) as error:
        return _fail(BAD_SETTINGS_STATUS, error)
    try:
        listener = _open_listener(settings, descriptor)
    except OSError as error:
        return _fail(CANNOT_LISTEN_STATUS, error)
    # Excludes the objects loaded so far from garbage collection: they stay until the process exits.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    trio.run(_serve, worker, listener, early_signals)
    ignore_signals()
    return 0


async def _serve(worker: Worker, listener: socket.socket, early_signals: Sequence[int]) -> None:
    with open_signal_receiver() as signals:
        if early_signals:
            listener.close()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(worker.handle_signals, signals)
            await worker.run(listener)
            nursery.cancel_scope.cancel()


def _open_listener(settings: Settings, descriptor: int) -> socket.socket:
    has_descriptor = descriptor >= 0
    listener = socket.socket(fileno=descriptor) if has_descriptor else listen(_listen_address(settings))
    listener.setblocking(False)
    return listener


def _listen_address(settings: Settings) -> tuple[str, int]:
    assert settings.processor is not None
    return parse_address(settings.processor.listen)


def _worker_command(path: str, number: int, descriptor: int) -> list[str]:
    module = [sys.executable, "-m", "wheatroute.cli"]
    return [*module, "processor", path, "--worker", str(number), "--descriptor", str(descriptor)]


def _fail(status: int, error: Exception) -> int:
    for line in str(error).splitlines():
        print(f"wheatroute: {line}", file=sys.stderr)
    return status
