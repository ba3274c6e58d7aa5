"""Plays a scenario: builds its rig, applies the load and the steps, judges the records and stores the run."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from wheatroute.agreement.errors import OperatorError, VersionStoreError
from wheatroute.rig import run_folder, verdict
from wheatroute.rig.processes import RigError
from wheatroute.rig.rig import Rig, running_rig
from wheatroute.rig.run_folder import RunClock
from wheatroute.rig.scenario import Action, Scenario, ServersTable, Step

PROGRESS_INTERVAL_S = 0.2
# How long a step that publishes a version waits for the version's outcome.
OUTCOME_TIMEOUT_S = 60.0

# Receives the fraction of the load's duration that has passed, 0 to 1.
ProgressCallback = Callable[[float], None]


async def play(
    scenario: Scenario, folder: Path, on_progress: ProgressCallback = lambda fraction: None
) -> dict[str, object]:
    """Plays a scenario and stores the run in `folder`; returns its summary."""
    async with running_rig(scenario.rig_options(folder)) as rig:
        _configure_servers(rig, scenario.servers)
        await _publish_first_version(rig)
        clock = RunClock(time.monotonic(), time.time())
        await _play_load(rig, scenario, clock.started_at, on_progress)
        until = await rig.stop_load()
        await _record_versions(rig)
        on_progress(1.0)
        return _store_run(rig, scenario, folder, clock, until)


def _configure_servers(rig: Rig, table: ServersTable) -> None:
    for server in rig.servers.values():
        server.mean_service_time_s = table.mean_service_time_s
        server.reset_ratio = table.reset_ratio
        server.error_ratio = table.error_ratio
        server.unanswered_ratio = table.unanswered_ratio


async def _publish_first_version(rig: Rig) -> None:
    number = await rig.versions.put("the settings as they are")
    await rig.versions.wait_for_outcome(number)
    await rig.versions.wait_until_agreed(number)


async def _play_load(rig: Rig, scenario: Scenario, started_at: float, on_progress: ProgressCallback) -> None:
    clients = scenario.clients
    rig.start_load(clients.rate, clients.class_weights, clients.timeout_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_play_steps, rig, scenario.steps, started_at)
        while (elapsed_s := time.monotonic() - started_at) < scenario.duration_s:
            on_progress(elapsed_s / scenario.duration_s)
            await trio.sleep(PROGRESS_INTERVAL_S)
        nursery.cancel_scope.cancel()


async def _play_steps(rig: Rig, steps: list[Step], started_at: float) -> None:
    async with trio.open_nursery() as nursery:
        for step in sorted(steps, key=lambda step: step.at_s):
            await trio.sleep(max(0.0, started_at + step.at_s - time.monotonic()))
            if step.action is Action.PUT:
                # in a separate task, so that later steps don't wait for the version's outcome
                nursery.start_soon(_publish, rig, step)
            else:
                await _perform(rig, step)


async def _publish(rig: Rig, step: Step) -> None:
    try:
        number = await rig.versions.put(step.reason, step.over, **step.changes)
        await rig.versions.wait_for_outcome(number, OUTCOME_TIMEOUT_S)
    except (OperatorError, VersionStoreError) as error:
        rig.faults.record(f"not put: {error}")


async def _perform(rig: Rig, step: Step) -> None:
    match step.action:
        case Action.PARTITION:
            rig.faults.partition(step.target, step.other, step.direction)
        case Action.HEAL:
            rig.faults.heal(step.target, step.other)
        case Action.IMPAIR:
            rig.faults.impair(step.target, step.other, step.direction, **step.parameters)
        case Action.RESET_CONNECTIONS:
            rig.faults.reset_connections(step.target, step.other)
        case Action.STOP:
            rig.faults.stop(step.target)
        case Action.RESUME:
            rig.faults.resume(step.target)
        case Action.KILL:
            rig.faults.kill(step.target)
        case Action.START:
            await rig.faults.start(step.target)
        case Action.DRAIN:
            rig.faults.drain(step.target)
        case Action.ETCD:
            _send_to_etcd(rig, step.parameters)


def _send_to_etcd(rig: Rig, command: dict[str, Any]) -> None:
    if not rig.has_etcd:
        raise RigError('the action "etcd" requires an etcd cluster, but the store of this rig is a directory')
    rig.faults.record(f"etcd {command}")
    rig.etcd.send_command(**command)


async def _record_versions(rig: Rig) -> None:
    try:
        await rig.versions.read_history()
    except (VersionStoreError, trio.TooSlowError):
        # the scenario left the store unreachable: the versions recorded so far are kept
        pass


def _store_run(
    rig: Rig, scenario: Scenario, folder: Path, clock: RunClock, until: float
) -> dict[str, object]:
    violations = verdict.find_violations(rig.records, until, scenario.bound_s)
    summary = verdict.summary(rig.records, until, scenario.bound_s) | {
        "name": scenario.name,
        "seed": scenario.seed,
        "processes": len(rig.processes),
        "within": scenario.bound_s,
        "changes": len(rig.records.versions) - 1,
        "broken": [violation.rule for violation in violations],
    }
    run_folder.write_run(folder, scenario, clock, until, rig.records, violations, summary)
    return summary
