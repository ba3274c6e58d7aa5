"""The folder of a run: `records.json` and `summary.json`, next to the logs and files of its processes.

The keys in these two files are older than the names in the code, and must not change.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from wheatroute.rig.run_records import ClientRequest, Execution, InjectedFault, PublishedVersion, RunRecords
from wheatroute.rig.scenario import Scenario
from wheatroute.rig.verdict import Violation

RECORDS = "records.json"
SUMMARY = "summary.json"


class RunClock(NamedTuple):
    """When the load of a run began."""

    started_at: float  # monotonic clock, as for all times in the records
    started_unix_s: float  # Unix time, as the processes' logs have it


@dataclass(frozen=True)
class StoredRun:
    """The data of a stored run from which its plot is drawn."""

    name: str
    process_names: list[str]  # of nodes and processors
    duration_s: float
    clock: RunClock
    requests: list[ClientRequest]
    publication_times: list[float]  # of all versions, in their order
    faults: list[InjectedFault]


def write_run(
    folder: Path,
    scenario: Scenario,
    clock: RunClock,
    until: float,
    records: RunRecords,
    violations: list[Violation],
    summary: dict[str, object],
) -> None:
    """Writes the records and the summary of a run that ended at `until`."""
    document = {
        "began": clock.started_at,
        "wall": clock.started_unix_s,
        "until": until,
        "script": scenario.model_dump(by_alias=True),
        "ran": [_stored_execution(execution) for execution in records.executions],
        "asked": [_stored_request(request) for request in records.requests.values()],
        "versions": [_stored_version(version) for version in records.versions],
        "faults": records.faults,
        "stories": [[violation.rule, violation.request_id, violation.timeline] for violation in violations],
    }
    (folder / RECORDS).write_text(json.dumps(document))
    (folder / SUMMARY).write_text(json.dumps(summary, indent=1))


def read_run(folder: Path) -> StoredRun:
    """Reads a stored run; raises `FileNotFoundError` if the folder has none."""
    document = json.loads((folder / RECORDS).read_text())
    script = document["script"]
    nodes = [f"n{i}" for i in range(script["nodes"])]
    processors = [f"p{i}" for i in range(script["processors"])]
    return StoredRun(
        name=script["name"],
        process_names=nodes + processors,
        duration_s=script["seconds"],
        clock=RunClock(document["began"], document["wall"]),
        requests=[_read_request(stored) for stored in document["asked"]],
        publication_times=[stored["put"] for stored in document["versions"]],
        faults=[InjectedFault(*stored) for stored in document["faults"]],
    )


def read_violations(folder: Path) -> list[Violation]:
    """Reads the violations of a stored run."""
    return [Violation(*stored) for stored in json.loads((folder / RECORDS).read_text())["stories"]]


def read_summary(folder: Path) -> dict[str, object]:
    """Reads the summary of a stored run; raises `FileNotFoundError` if the folder has none."""
    summary: dict[str, object] = json.loads((folder / SUMMARY).read_text())
    return summary


def _stored_execution(execution: Execution) -> dict[str, object]:
    return {
        "at": execution.started_at,
        "server": execution.server,
        "zone": execution.zone,
        "cell": execution.cell,
        "node": execution.node,
        "request": execution.request_id,
        "kind": execution.request_class,
        "how": execution.outcome,
        "sent": execution.sent_at,
    }


def _stored_request(request: ClientRequest) -> dict[str, object]:
    return {
        "sent": request.sent_at,
        "node": request.node,
        "request": request.request_id,
        "kind": request.request_class,
        "left": request.timeout_s,
        "status": request.status,
        "ended": request.ended_at,
        "answers": request.response_count,
    }


def _read_request(stored: dict[str, Any]) -> ClientRequest:
    return ClientRequest(
        sent_at=stored["sent"],
        node=stored["node"],
        request_id=stored["request"],
        request_class=stored["kind"],
        timeout_s=stored["left"],
        status=stored["status"],
        ended_at=stored["ended"],
        response_count=stored["answers"],
    )


def _stored_version(version: PublishedVersion) -> dict[str, object]:
    return {
        "number": version.number,
        "kinds": {},
        "put": version.published_at,
        "ended": version.ended_at,
        "state": version.state,
    }
