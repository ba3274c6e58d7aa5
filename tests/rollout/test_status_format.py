"""Statuses in the rollout store and the supervisor's state file keep their stored format."""

import json

import orjson
import pytest

from wheatroute.agreement.errors import MalformedDocumentError
from wheatroute.rollout import statuses, supervisor_state
from wheatroute.rollout.statuses import ControllerStatus, FailedProgram, ProcessFigures, SupervisorStatus
from wheatroute.rollout.supervisor_state import StoredProcess, SupervisorState

SUPERVISOR = {
    "row": "keeper",
    "name": "n0",
    "start": "5f3a",
    "beat": 1,
    "site": "east",
    "runs": "v1",
    "changing": False,
    "failed": [[3, "v2"]],
    "trouble": "v2 ended, status 3",
    "crashes": 1,
    "programs": ["v1", "v2"],
    "head": 4,
}
CONTROLLER = {
    "row": "controller",
    "name": "controller",
    "start": "77",
    "beat": 2,
    "findings": ["refused: not worse"],
    "head": 4,
}
PROCESS = {
    "row": "figures",
    "name": "n0",
    "start": "5f3a",
    "program": "v1",
    "beat": 9,
    "ready": True,
    "stopping": False,
    "cpu": 1.5,
    "memory": 4096,
    "connections": 3,
    "at": 1780000000.0,
}
REQUESTS = {
    "format": 1,
    "lost": 0,
    "cells": [["look", "acme", 2, 1, 1, 0, 1, 0]],
    "times": {"look": {"-15": 1}},
    "worth": {"look": 2.0},
}
STATE = {
    "old": {"program": "v1", "start": "5f3a", "pid": 12, "ticks": 345},
    "new": None,
    "leaving": [],
    "failed": [[3, "v2"]],
    "starting": ["v1", "5f3a"],
    "crashes": 1,
}


def test_statuses_are_written_with_the_same_keys_in_the_same_order():
    supervisor = SupervisorStatus(
        name="n0",
        incarnation="5f3a",
        heartbeat=1,
        site="east",
        program="v1",
        is_changing=False,
        failed=[FailedProgram(3, "v2")],
        last_error="v2 ended, status 3",
        crashes=1,
        programs=["v1", "v2"],
        applied_record=4,
    )
    controller = ControllerStatus(
        incarnation="77", heartbeat=2, findings=["refused: not worse"], applied_record=4
    )
    process = ProcessFigures(
        name="n0",
        incarnation="5f3a",
        program="v1",
        heartbeat=9,
        is_ready=True,
        is_stopping=False,
        cpu_s=1.5,
        memory_bytes=4096,
        open_connections=3,
        written_at=1780000000.0,
    )
    for status, document in ((supervisor, SUPERVISOR), (controller, CONTROLLER), (process, PROCESS)):
        assert orjson.dumps(status.to_stored()) == orjson.dumps(document)
    assert statuses.supervisor_statuses([SUPERVISOR, CONTROLLER]) == {"n0": supervisor}
    assert statuses.controller_statuses([SUPERVISOR, CONTROLLER]) == [controller]
    assert statuses.node_figures([SUPERVISOR, REQUESTS | PROCESS])[0].process == process


def test_figures_keep_their_stored_format():
    (figures,) = statuses.node_figures([REQUESTS | PROCESS])
    assert orjson.dumps(figures.requests.to_stored()) == orjson.dumps(REQUESTS)
    assert figures.requests.durations == {"look": {-15: 1}}


def test_unknown_keys_and_formats_are_ignored_and_missing_keys_are_errors():
    newer = REQUESTS | PROCESS | {"novel": 1}
    assert statuses.node_figures([newer]) == statuses.node_figures([REQUESTS | PROCESS])
    assert statuses.node_figures([newer | {"format": 2, "cells": "other"}]) == []
    assert statuses.is_process_ready([newer | {"format": 2}], "5f3a")
    assert statuses.supervisor_statuses([{"row": "novel"}, {"name": "n0"}]) == {}
    without_program = {key: value for key, value in SUPERVISOR.items() if key != "runs"}
    with pytest.raises(MalformedDocumentError):
        statuses.supervisor_statuses([without_program])


def test_the_state_file_keeps_its_format(tmp_path):
    path = str(tmp_path / "state")
    assert supervisor_state.read_state(path) is None
    state = SupervisorState(
        serving=StoredProcess("v1", "5f3a", 12, 345),
        failed=[FailedProgram(3, "v2")],
        starting=["v1", "5f3a"],
        crashes=1,
    )
    supervisor_state.write_state(path, state)
    assert (tmp_path / "state").read_text() == json.dumps(STATE)
    assert supervisor_state.read_state(path) == state
    (tmp_path / "state").write_text('{"old": null}')
    assert supervisor_state.read_state(path) == SupervisorState()
    (tmp_path / "state").write_text('{"old": ')
    assert supervisor_state.read_state(path) is None
