"""Scenario files: the keys that operators write, the errors for an invalid file, and the stored run."""

import json

import pytest

from wheatroute.rig import run_folder
from wheatroute.rig.run_records import (
    ClientRequest,
    Execution,
    ExecutionOutcome,
    InjectedFault,
    PublishedVersion,
    RunRecords,
)
from wheatroute.rig.scenario import Action, ScenarioError, read_scenario
from wheatroute.rig.verdict import Violation

FILE = """
name = "all keys"
seed = 3
nodes = 2
processors = 1
workers = 1
store = "etcd"
members = 5
zones = 2
within = 1.5
seconds = 9.0
[callers]
rate = 20.0
mix = { look = 1.0 }
left = 1.0
[servers]
count = 6
takes = 0.02
reset = 0.1
error = 0.2
silent = 0.3
[[steps]]
at = 2.0
do = "spoil"
one = "n0"
other = "etcd"
way = "back"
how = { delay = 0.1 }
[[steps]]
at = 3.0
do = "put"
change = { look__effect = "fragile" }
why = "a reason"
over = 1
"""


def read(tmp_path, text):
    """Reads a scenario from a file with this text."""
    path = tmp_path / "scenario.toml"
    path.write_text(text)
    return read_scenario(str(path))


def test_every_key_of_a_file(tmp_path):
    scenario = read(tmp_path, FILE)
    options = scenario.rig_options(tmp_path)
    assert (options.etcd_members, options.bound_s, options.timeout_s) == (5, 1.5, 138.0)
    assert options.names == ["n0", "n1", "p0"] and options.zone_names == ["a", "b"]
    assert (scenario.clients.class_weights, scenario.clients.timeout_s) == ({"look": 1.0}, 1.0)
    servers = scenario.servers
    assert (servers.reset_ratio, servers.error_ratio, servers.unanswered_ratio) == (0.1, 0.2, 0.3)
    impair, put = scenario.steps
    assert impair.action is Action.IMPAIR and (impair.target, impair.other) == ("n0", "etcd")
    assert (impair.at_s, impair.direction, impair.parameters) == (2.0, "back", {"delay": 0.1})
    assert (put.changes, put.reason, put.over) == ({"look__effect": "fragile"}, "a reason", 1)


@pytest.mark.parametrize(
    "text, line",
    [
        ("name = [", "invalid TOML"),
        ("", "name: Field required"),
        (
            'name = "x"\nnodes = 0',
            'whole file: Value error, at least one of "nodes" and "processors" must be above 0',
        ),
        ('name = "x"\nbound_s = 1.0', "bound_s: Extra inputs are not permitted"),
        ('name = "x"\nwithin = 0.1', "within: Input should be greater than 0.2"),
        (
            'name = "x"\n[[steps]]\nat = 1\ndo = "cut"\none = "n0"',
            'Value error, the action "cut" requires the keys "one" and "other"',
        ),
        (
            'name = "x"\n[[steps]]\nat = 1\ndo = "kill"',
            'Value error, the action "kill" requires the key "one"',
        ),
        ('name = "x"\n[[steps]]\nat = 1\ndo = "chop"', "steps.0.do: Input should be 'cut', 'heal'"),
    ],
)
def test_errors_of_an_invalid_file(tmp_path, text, line):
    with pytest.raises(ScenarioError) as error:
        read(tmp_path, text)
    assert line in str(error.value)


def test_a_run_is_stored_under_its_keys_and_read_back(tmp_path):
    scenario = read(tmp_path, FILE)
    records = RunRecords()
    outcome = ExecutionOutcome.ANSWERED
    records.executions.append(Execution(5.1, "s0", "a", 0, "n0", "r1", "look", outcome, 5.05))
    records.requests["r1"] = ClientRequest(5.0, "n0", "r1", "look", 1.0, 200, 5.2, 1)
    records.versions.append(PublishedVersion(1, {}, 4.0, 4.5, "in force"))
    records.faults.append(InjectedFault(6.0, "kill n1"))
    violation = Violation("a rule (1)", "r1", ["a line"])
    clock = run_folder.RunClock(4.6, 1e9)
    run_folder.write_run(tmp_path, scenario, clock, 9.0, records, [violation], {"lost": 0})

    document = json.loads((tmp_path / "records.json").read_text())
    assert document["script"]["callers"] == {"rate": 20.0, "mix": {"look": 1.0}, "left": 1.0}
    assert document["script"]["steps"][0]["do"] == "spoil"
    assert document | {"script": 0} == {
        "began": 4.6,
        "wall": 1e9,
        "until": 9.0,
        "script": 0,
        "ran": [
            {
                "at": 5.1,
                "server": "s0",
                "zone": "a",
                "cell": 0,
                "node": "n0",
                "request": "r1",
                "kind": "look",
                "how": "answered",
                "sent": 5.05,
            }
        ],
        "asked": [
            {
                "sent": 5.0,
                "node": "n0",
                "request": "r1",
                "kind": "look",
                "left": 1.0,
                "status": 200,
                "ended": 5.2,
                "answers": 1,
            }
        ],
        "versions": [{"number": 1, "kinds": {}, "put": 4.0, "ended": 4.5, "state": "in force"}],
        "faults": [[6.0, "kill n1"]],
        "stories": [["a rule (1)", "r1", ["a line"]]],
    }
    run = run_folder.read_run(tmp_path)
    assert run.requests == [records.requests["r1"]] and run.faults == records.faults
    assert run.process_names == ["n0", "n1", "p0"] and run.publication_times == [4.0]
    assert run_folder.read_violations(tmp_path) == [violation]
    assert run_folder.read_summary(tmp_path) == {"lost": 0}
