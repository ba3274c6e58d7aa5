"""How records of a run are stored in its folder. The keys are older than the names in the code."""

from __future__ import annotations

from typing import Any

from wheatroute.rig.run_records import ClientRequest, Execution, PublishedVersion, RunRecords


def stored_records(records: RunRecords) -> dict[str, Any]:
    """The records by the keys of `records.json`."""
    return {
        "ran": [_stored_execution(one) for one in records.executions],
        "asked": [_stored_request(one) for one in records.requests.values()],
        "versions": [_stored_version(one) for one in records.versions],
        "faults": records.faults,
    }


def _stored_execution(execution: Execution) -> dict[str, Any]:
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


def _stored_request(request: ClientRequest) -> dict[str, Any]:
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


def _stored_version(version: PublishedVersion) -> dict[str, Any]:
    return {
        "number": version.number,
        "kinds": {},
        "put": version.published_at,
        "ended": version.ended_at,
        "state": version.state,
    }
