"""Runs the workers of the processor as child processes, restarts crashed ones and forwards signals."""

from __future__ import annotations

import os
import signal
import subprocess
from collections.abc import AsyncIterator, Callable, Sequence

import trio

from wheatroute.net.log import Logger
from wheatroute.net.signals import open_signal_receiver

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 10.0
# A worker that has run for longer than this is restarted after the minimum delay. Each time a worker exits
# earlier, its delay doubles, up to the maximum.
STABLE_AFTER_S = 10.0
# Exit status of a worker whose settings can't be used. It is not restarted, since a restart would not help.
BAD_SETTINGS_STATUS = 2


class WorkerSupervisor:
    """Keeps one process running for each command line, until a signal stops the supervisor."""

    def __init__(
        self,
        commands: list[list[str]],
        descriptors: tuple[int, ...],
        log: Logger,
        start_process: Callable[..., subprocess.Popen[bytes]] = subprocess.Popen,
    ) -> None:
        self._commands = commands
        # File descriptors that the workers inherit.
        self._descriptors = descriptors
        self._log = log
        self._start_process = start_process
        # Running processes by worker number.
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._is_stopping = False
        # Exit status of the supervisor.
        self.status = 0

    async def run(self, early_signals: Sequence[int] = ()) -> None:
        """Runs the workers until a stop signal.

        `early_signals` are the stop signals received before this call; if there are any, no worker starts.
        """
        # The receiver is opened before the first worker starts: without it, a signal after that start would
        # end the supervisor and leave its workers running.
        with open_signal_receiver() as signals:
            if not early_signals:
                await self._run(signals)

    async def _run(self, signals: AsyncIterator[int]) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._handle_signals, signals)
            async with trio.open_nursery() as workers:
                for worker in range(len(self._commands)):
                    workers.start_soon(self._run_worker, worker)
            nursery.cancel_scope.cancel()

    async def _run_worker(self, worker: int) -> None:
        """Runs a worker and restarts it when it exits, with a delay that doubles while it exits early."""
        delay_s = MIN_RESTART_DELAY_S
        while not self._is_stopping:
            started_at = trio.current_time()
            status = await self._run_process(worker)
            if self._is_stopping:
                self.status = self.status or max(0, status)
                return
            if status == BAD_SETTINGS_STATUS:
                self.status = BAD_SETTINGS_STATUS
                self._stop()
                return
            is_stable = trio.current_time() - started_at > STABLE_AFTER_S
            delay_s = MIN_RESTART_DELAY_S if is_stable else min(MAX_RESTART_DELAY_S, 2 * delay_s)
            self._log.warning("worker-ended", worker=worker, status=status, restart_in_s=round(delay_s, 2))
            await trio.sleep(delay_s)

    async def _run_process(self, worker: int) -> int:
        """Runs a worker's process until it exits; returns its exit status."""
        process = self._start_process(self._commands[worker], pass_fds=self._descriptors)
        self._processes[worker] = process
        if self._is_stopping:
            process.send_signal(signal.SIGTERM)
        status = await trio.to_thread.run_sync(process.wait, abandon_on_cancel=True)
        del self._processes[worker]
        return status

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number == signal.SIGHUP:
                self._send_signal(number)
            else:
                self._log.info("stopping", signal=signal.Signals(number).name)
                self._stop()

    def _stop(self) -> None:
        self._is_stopping = True
        self._send_signal(signal.SIGTERM)

    def _send_signal(self, number: int) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                os.kill(process.pid, number)
