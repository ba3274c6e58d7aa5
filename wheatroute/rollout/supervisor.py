"""The supervisor of a node: runs the program that the rollout names and replaces it without downtime.

A new process starts as the candidate beside the serving one; the serving one is stopped only once the
candidate is ready. A supervisor ends only processes that it or an earlier supervisor started. The node
outlives its supervisor: the next supervisor finds the node's processes by a state file. Does I/O through the
rollout store, the state file and child processes.
"""

from __future__ import annotations

import os
import random
import secrets
import signal
import subprocess
import time
from typing import Any

import trio

from wheatroute.agreement.errors import HistoryError, VersionStoreError
from wheatroute.agreement.member_status import StoredStatus
from wheatroute.agreement.store_address import StoreAddress, open_store
from wheatroute.agreement.version_store import running_store
from wheatroute.net.addresses import parse_address
from wheatroute.rollout.node_process import NodeProcess, find_process, start_ticks
from wheatroute.rollout.progress import RolloutProgress
from wheatroute.rollout.restart_backoff import RestartBackoff
from wheatroute.rollout.statuses import (
    FailedProgram,
    SupervisorStatus,
    figures_key,
    is_process_ready,
    supervisor_key,
    supervisor_statuses,
)
from wheatroute.rollout.supervisor_settings import SupervisorSettings
from wheatroute.rollout.supervisor_state import SupervisorState, read_state, write_state

TURN_INTERVAL_S = 0.2
STORE_TIMEOUT_S = 2.0


class Supervisor:
    """The supervisor of one node."""

    def __init__(self, settings: SupervisorSettings, log: Any) -> None:
        self._settings, self._log = settings, log
        address = StoreAddress(
            directory=settings.directory,
            etcd_endpoints=tuple(parse_address(endpoint) for endpoint in settings.etcd),
            prefix=settings.prefix,
        )
        self._store = open_store(address, random.Random(), STORE_TIMEOUT_S / 3)
        self._progress = RolloutProgress()
        self._incarnation = secrets.token_hex(6)
        self._heartbeat = 0
        self._last_program = settings.first_program  # the program that served last
        # Program and incarnation of the process started last, written to the state file before its start.
        self._starting: list[str] = []
        # Keys of the stored figures of processes that have ended, which are to be removed.
        self._ended_keys: list[str] = []
        self.serving: NodeProcess | None = None
        # The process that replaces the serving one as soon as it is ready.
        self.candidate: NodeProcess | None = None
        # Processes that are stopping: former serving ones, and candidates that were not ready in time.
        self.draining: list[NodeProcess] = []
        self._failed: list[FailedProgram] = []
        # The last failure of a program, for the status; "" once a candidate has been promoted.
        self._last_error = ""
        self._crashes = 0
        self._backoff = RestartBackoff()
        # Statuses of all supervisors by node, as last read.
        self._supervisors: dict[str, SupervisorStatus] = {}

    async def run(self) -> None:
        """Supervises the node until cancelled; its processes keep running after that."""
        self._read_state()
        async with running_store(self._store):
            while True:
                statuses = await self._exchange()
                self._take_turn(statuses)
                self._write_state()
                await trio.sleep(TURN_INTERVAL_S)

    def _read_state(self) -> None:
        """Adopts the processes in the state file, which an earlier supervisor left running."""
        state = read_state(self._settings.state_file)
        if state is None:
            return
        self._failed, self._crashes = list(state.failed), state.crashes
        if state.serving is not None:
            self._last_program = state.serving.program
        found = _stored_processes(state)
        alive = {name: process for name, process in found.items() if process.is_alive}
        self.serving, self.candidate = alive.get("serving"), alive.get("candidate")
        if self.serving is None and self.candidate is not None:
            self.serving, self.candidate = self.candidate, None
        draining = [NodeProcess.from_stored(stored) for stored in state.draining]
        self.draining = [process for process in draining if process.is_alive]
        self._log.info("running-processes-found", **{name: process.pid for name, process in alive.items()})

    def _write_state(self) -> None:
        state = SupervisorState(
            serving=self.serving.to_stored() if self.serving else None,
            candidate=self.candidate.to_stored() if self.candidate else None,
            draining=[process.to_stored() for process in self.draining],
            failed=self._failed,
            starting=self._starting,
            crashes=self._crashes,
        )
        write_state(self._settings.state_file, state)

    def _start(self, program: str) -> NodeProcess:
        incarnation = secrets.token_hex(6)
        self._starting = [program, incarnation]
        self._write_state()
        environment = os.environ | {
            "PROXY_CONFIG": self._settings.node_file,
            "WHEATROUTE_PROGRAM": program,
            "WHEATROUTE_START": incarnation,
        }
        with open(self._settings.node_log or f"{self._settings.state_file}.log", "ab") as log:
            child = subprocess.Popen(
                self._settings.programs[program],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        self._log.info("process-started", program=program, pid=child.pid)
        return NodeProcess(program, incarnation, child.pid, start_ticks(child.pid), child)

    def _next_status(self) -> SupervisorStatus:
        self._heartbeat += 1
        return SupervisorStatus(
            name=self._settings.name,
            incarnation=self._incarnation,
            heartbeat=self._heartbeat,
            site=self._settings.site,
            program=self.serving.program if self.serving is not None else "",
            is_changing=self.candidate is not None or bool(self.draining),
            failed=self._failed,
            last_error=self._last_error,
            crashes=self._crashes,
            programs=sorted(self._settings.programs),
            applied_record=self._progress.head,
        )

    async def _exchange(self) -> list[StoredStatus] | None:
        """Writes the status and reads new records; returns all statuses, or None if the store failed."""
        status = self._next_status()
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                documents = await self._store.exchange(
                    supervisor_key(status.name),
                    status.to_stored(),
                    self._progress.head,
                    self._progress.head_digest,
                )
                for document in documents:
                    self._progress.apply(document)
                statuses = await self._store.statuses()
                await self._store.remove_statuses(self._ended_keys)
                self._ended_keys.clear()
                self._supervisors = supervisor_statuses(statuses)
                return statuses
        except (VersionStoreError, HistoryError, trio.TooSlowError) as error:
            if self._last_error != str(error):
                self._log.warning(
                    "store-access-failed", error=str(error) or "no response from the store in time"
                )
            return None

    def _take_turn(self, statuses: list[StoredStatus] | None) -> None:
        """Checks all processes once: drains, restarts, promotes a candidate or starts one.

        `statuses` is None if the store failed; then no change of the program begins.
        """
        self.draining = [process for process in self.draining if self._is_still_draining(process)]
        if self.serving is not None and not self.serving.is_alive:
            self._handle_crash(self.serving)
        if self.serving is None and self.candidate is None and self._backoff.is_over(time.monotonic()):
            self._last_program = self._wanted_program()
            self.serving = self._start(self._last_program)
        if self.candidate is not None:
            self._check_candidate(self.candidate, statuses or [])
        elif statuses is not None and self.serving is not None and not self.draining:
            self._begin_change(self.serving)

    def _begin_change(self, serving: NodeProcess) -> None:
        """Starts a candidate if the node is to run another program and may change now."""
        wanted = self._wanted_program()
        if wanted == serving.program:
            return
        if self._progress.may_change(self._settings.name, self._supervisors):
            self.candidate = self._start(wanted)

    def _wanted_program(self) -> str:
        """Returns the program that the node is to run.

        That is the program that the rollout names, or the running one if the rollout names none for this
        node. A named program that has failed at this node or is missing in the supervisor's settings is
        replaced: the new program of the plan by the old one, and the old one by the program that runs.
        """
        target = self._progress.target(self._settings.name)
        if target is not None and target not in self._settings.programs:
            self._report_error(f"program {target!r} is not in the settings of this supervisor")
            self._add_failure(target)
        running = self.serving.program if self.serving is not None else self._last_program
        if target is None:
            return running
        if FailedProgram(self._progress.number, target) not in self._failed:
            return target
        plan = self._progress.plan
        return plan.old if plan is not None and target == plan.new else running

    def _add_failure(self, program: str) -> None:
        failed = FailedProgram(self._progress.number, program)
        if failed not in self._failed:
            self._failed.append(failed)

    def _report_error(self, error: str) -> None:
        """Logs an error and keeps it for the status, unless it is the same as the last one."""
        if error != self._last_error:
            self._last_error = error
            self._log.warning("program-failed", error=error)

    def _handle_crash(self, process: NodeProcess) -> None:
        """Handles the end of the serving process: the candidate replaces it if there is one.

        Without a candidate the process is restarted after the backoff. If it ran the new program of the
        rollout, that program counts as failed at this node.
        """
        self._crashes += 1
        self._ended_keys.append(figures_key(self._settings.name, process.incarnation))
        self._report_error(f"{process.program} ended, {process.exit_text}")
        now = time.monotonic()
        self._backoff.process_ended(now, lived_s=now - process.since)
        plan = self._progress.plan
        target = self._progress.target(self._settings.name)
        if plan is not None and process.program == plan.new == target:
            self._add_failure(process.program)
        self.serving = None
        if self.candidate is not None and self.candidate.is_alive:
            self.serving, self.candidate = self.candidate, None

    def _check_candidate(self, process: NodeProcess, statuses: list[StoredStatus]) -> None:
        """Promotes the candidate once it is ready; gives it up if it has ended or is not ready in time."""
        if not process.is_alive:
            self._report_error(f"{process.program} did not come up: {process.exit_text}")
            self._add_failure(process.program)
            self.candidate = None
        elif is_process_ready(statuses, process.incarnation):
            self._promote(process)
        elif time.monotonic() - process.since > self._settings.ready_timeout_s:
            self._report_error(f"{process.program} was not ready within {self._settings.ready_timeout_s:g} s")
            self._add_failure(process.program)
            self._drain(process)
            self.candidate = None

    def _promote(self, process: NodeProcess) -> None:
        """Makes the candidate the serving process; the former one gets SIGTERM and drains."""
        if self.serving is not None:
            self._drain(self.serving)
        self._log.info("candidate-promoted", program=process.program, pid=process.pid)
        self.serving, self.candidate = process, None
        self._last_error, self._last_program = "", process.program

    def _drain(self, process: NodeProcess) -> None:
        """Has a process answer its clients and end; it may have some even before it is ready."""
        process.signal(signal.SIGTERM)
        process.since = time.monotonic()
        self.draining.append(process)

    def _is_still_draining(self, process: NodeProcess) -> bool:
        """Returns whether a process is still alive; kills it if it has exceeded the drain timeout."""
        if not process.is_alive:
            self._ended_keys.append(figures_key(self._settings.name, process.incarnation))
            return False
        if time.monotonic() - process.since > self._settings.drain_timeout_s:
            self._report_error(f"{process.program} did not stop within {self._settings.drain_timeout_s:g} s")
            process.signal(signal.SIGKILL)
        return True


def _stored_processes(state: SupervisorState) -> dict[str, NodeProcess]:
    """Returns the processes in the state under "serving" and "candidate", without those that are not set."""
    found = {
        name: NodeProcess.from_stored(stored)
        for name, stored in (("serving", state.serving), ("candidate", state.candidate))
        if stored is not None
    }
    if state.starting:
        # The supervisor may have died after it started a process and before it stored the process id.
        program, incarnation = state.starting
        pid = find_process(incarnation)
        if pid and not any(process.pid == pid for process in found.values()):
            found.setdefault("candidate", NodeProcess(program, incarnation, pid, start_ticks(pid)))
    return found


async def run_supervisor(settings: SupervisorSettings, log: Any) -> None:
    """Runs a supervisor until SIGTERM or SIGINT; its errors are raised in an exception group."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Supervisor(settings, log).run)
            async for _ in signals:
                nursery.cancel_scope.cancel()
